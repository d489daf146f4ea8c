package shifts

import (
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// DefaultLinkBytesPerSecond is the usual capacity of a link between two regions, in bytes
// a second each way: 4 Gbit/s.
const DefaultLinkBytesPerSecond = 4e9 / 8

// source is what one instance said of its load.
type source struct {
	region string
	loads  []Load
	heard  time.Time
}

// roomTable holds all instances' loads.
type roomTable struct {
	mu      sync.Mutex
	sources map[string]source
}

// put takes an instance's loads, if they can be relied on.
func (t *roomTable) put(now time.Time, r Report) {
	if !r.LoadsReliable {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sources == nil {
		t.sources = make(map[string]source)
	}
	t.sources[r.Instance] = source{region: r.Region, loads: r.Loads, heard: now}
}

// collect returns the loads of the listed instances, and false if one has not
// been heard within limit. Instances that are not listed are forgotten.
func (t *roomTable) collect(now time.Time, listed []string, limit time.Duration) ([]source, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]source, len(listed))
	var all []source
	complete := true
	for _, name := range listed {
		s, known := t.sources[name]
		if !known || now.Sub(s.heard) > limit {
			complete = false
			continue
		}
		kept[name] = s
		all = append(all, s)
	}
	t.sources = kept
	return all, complete
}

// link is the way from one region to another.
type link struct{ from, to string }

// usage sums up the fleet's load.
type usage struct {
	// slots are those in use, by service and region.
	slots map[loadKey]float64
	// bytes are those to each region, and links those between regions.
	bytes map[string]float64
	links map[link]float64
}

// sumUp adds up loads by region.
func sumUp(index *document.Index, sources []source) usage {
	u := usage{
		slots: make(map[loadKey]float64),
		bytes: make(map[string]float64),
		links: make(map[link]float64),
	}
	for _, s := range sources {
		for _, l := range s.loads {
			region := index.Region(l.FailureDomain)
			u.slots[loadKey{l.Service, region}] += l.Slots
			u.bytes[region] += l.BytesPerSecond
			if region != s.region {
				u.links[link{s.region, region}] += l.BytesPerSecond
			}
		}
	}
	return u
}

// roomFor returns the room for the region's traffic elsewhere: that of the
// service that has the least for what it would move, and of the fullest link.
func roomFor(index *document.Index, u usage, region string, linkBytes float64) shift.Headroom {
	r := shift.Headroom{LinkDemand: u.bytes[region], LinkSpareCapacity: linkBytes}
	for _, used := range u.links {
		r.LinkSpareCapacity = min(r.LinkSpareCapacity, linkBytes-used)
	}
	doc := index.Document()
	for i := range doc.Services {
		service := &doc.Services[i]
		demand := u.slots[loadKey{service.Name, region}]
		if demand == 0 {
			continue
		}
		spare := 0.0
		for other, slots := range slotsElsewhere(index, service, region) {
			spare += max(0, float64(slots)-u.slots[loadKey{service.Name, other}])
		}
		if r.Demand == 0 || spare*r.Demand < r.SpareCapacity*demand {
			r.Demand, r.SpareCapacity = demand, spare
		}
	}
	return r
}

// slotsElsewhere returns a service's slots in the regions that stay in service.
// While a shift is on, a region counts with the version that has fewer there.
func slotsElsewhere(index *document.Index, service *document.Service, region string) map[string]int {
	slots := slotsOf(index, index.Version(service.Name, service.Serving), region)
	s := index.Shift(service.Name)
	if s == nil {
		return slots
	}
	other := slotsOf(index, index.Version(service.Name, s.To), region)
	for name, n := range slots {
		slots[name] = min(n, other[name])
	}
	return slots
}

// slotsOf returns a version's slots by region, without the region and others that
// are drained.
func slotsOf(index *document.Index, v *document.Version, region string) map[string]int {
	slots := make(map[string]int)
	for _, e := range v.Endpoints {
		name := index.Region(e.FailureDomain)
		if name != region && index.Drain(name) == nil {
			slots[name] += e.Slots
		}
	}
	return slots
}

// room returns the room for a region's traffic. Without the load of every listed
// instance none is known.
func (m *Manager) room(now time.Time, index *document.Index, listed []string, region string) shift.Headroom {
	sources, complete := m.rooms.collect(now, listed, m.settings.Tuning.ContactTimeout)
	if !complete {
		return shift.Headroom{}
	}
	r := roomFor(index, sumUp(index, sources), region, m.settings.LinkBytesPerSecond)
	r.MeasuredAt = now
	return r
}
