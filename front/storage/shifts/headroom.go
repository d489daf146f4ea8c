package shifts

import (
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// DefaultLinkBytesPerSecond is the default capacity of a link between two
// regions in each direction: 4 Gbit/s.
const DefaultLinkBytesPerSecond = 4e9 / 8

// loadReport is the load of one instance as last reported.
type loadReport struct {
	region     string
	loads      []Load
	receivedAt time.Time
}

// loadTable holds the last reported loads of all instances, this one included.
type loadTable struct {
	mu      sync.Mutex
	reports map[string]loadReport
}

// store stores the loads in a report unless they are unreliable.
func (t *loadTable) store(now time.Time, r Report) {
	if !r.LoadsReliable {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = make(map[string]loadReport)
	}
	t.reports[r.Instance] = loadReport{region: r.Region, loads: r.Loads, receivedAt: now}
}

// collectFresh returns the loads of the live instances that are at most maxAge
// old, and whether there is one of every live instance. It removes all other
// loads.
func (t *loadTable) collectFresh(now time.Time, live []string, maxAge time.Duration) ([]loadReport, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]loadReport, len(live))
	var reports []loadReport
	complete := true
	for _, name := range live {
		report, known := t.reports[name]
		if !known || now.Sub(report.receivedAt) > maxAge {
			complete = false
			continue
		}
		kept[name] = report
		reports = append(reports, report)
	}
	t.reports = kept
	return reports, complete
}

// link is the network link from one region to another.
type link struct{ from, to string }

// usage is the total load of all instances.
type usage struct {
	// slots is the number of slots in use by service and region.
	slots map[loadKey]float64
	// bytes is the traffic to endpoints in each region, and links the traffic
	// between regions, in bytes per second.
	bytes map[string]float64
	links map[link]float64
}

// sumLoads adds up loads by region.
func sumLoads(index *document.Index, reports []loadReport) usage {
	u := usage{
		slots: make(map[loadKey]float64),
		bytes: make(map[string]float64),
		links: make(map[link]float64),
	}
	for _, r := range reports {
		for _, l := range r.loads {
			region := index.Region(l.FailureDomain)
			u.slots[loadKey{l.Service, region}] += l.Slots
			u.bytes[region] += l.BytesPerSecond
			if region != r.region {
				u.links[link{r.region, region}] += l.BytesPerSecond
			}
		}
	}
	return u
}

// headroomFor returns the headroom for a region's traffic in the other regions.
// Its slots are those of the service with the least spare capacity in relation
// to its demand; its bandwidth is that of the link with the highest load.
func headroomFor(index *document.Index, u usage, region string, linkBytesPerSecond float64) shift.Headroom {
	r := shift.Headroom{LinkDemand: u.bytes[region], LinkSpareCapacity: linkBytesPerSecond}
	for _, used := range u.links {
		r.LinkSpareCapacity = min(r.LinkSpareCapacity, linkBytesPerSecond-used)
	}
	doc := index.Document()
	for i := range doc.Services {
		service := &doc.Services[i]
		demand := u.slots[loadKey{service.Name, region}]
		if demand == 0 {
			continue
		}
		spareCapacity := 0.0
		for other, slots := range slotsElsewhere(index, service, region) {
			spareCapacity += max(0, float64(slots)-u.slots[loadKey{service.Name, other}])
		}
		if r.Demand == 0 || spareCapacity*r.Demand < r.SpareCapacity*demand {
			r.Demand, r.SpareCapacity = demand, spareCapacity
		}
	}
	return r
}

// slotsElsewhere returns a service's slots by region, without the given region
// and those that are drained. During a shift, each region counts with the
// version that has fewer slots there.
func slotsElsewhere(index *document.Index, service *document.Service, region string) map[string]int {
	slots := slotsByRegion(index, index.Version(service.Name, service.Serving), region)
	s := index.Shift(service.Name)
	if s == nil {
		return slots
	}
	other := slotsByRegion(index, index.Version(service.Name, s.To), region)
	for name, n := range slots {
		slots[name] = min(n, other[name])
	}
	return slots
}

// slotsByRegion returns a version's slots by region, without the excluded
// region and those that are drained.
func slotsByRegion(index *document.Index, v *document.Version, excluded string) map[string]int {
	slots := make(map[string]int)
	for _, e := range v.Endpoints {
		name := index.Region(e.FailureDomain)
		if name != excluded && index.Drain(name) == nil {
			slots[name] += e.Slots
		}
	}
	return slots
}

// headroom returns the headroom for a region's traffic. Unless the current load
// of every live instance is known, it returns the zero Headroom, which means
// that there is no measurement.
func (m *Manager) headroom(now time.Time, index *document.Index, live []string, region string) shift.Headroom {
	reports, complete := m.fleetLoads.collectFresh(now, live, m.settings.Tuning.ContactTimeout)
	if !complete {
		return shift.Headroom{}
	}
	r := headroomFor(index, sumLoads(index, reports), region, m.settings.LinkBytesPerSecond)
	r.MeasuredAt = now
	return r
}
