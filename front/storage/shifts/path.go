package shifts

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// Chooser says which version of a service gets a request. Manager implements
// it.
type Chooser interface {
	// ChooseVersion returns the version for a request to the service that arrives
	// at now, by the document behind index. It is called once for a request:
	// retries go to the same version or to the one that serves.
	ChooseVersion(index *document.Index, service string, now time.Time) string
}

// Outcome is the end of one request at an endpoint.
type Outcome struct {
	// Service and Version say what the endpoint runs.
	Service, Version string
	// Route names the request's route.
	Route string
	// FailureDomain is the endpoint's; empty when the version had no room for
	// the request, which counts as Failed.
	FailureDomain string
	// Latency is the time from choosing the version to the outcome.
	Latency time.Duration
	// Bytes is the size of request and answer together.
	Bytes int64
	// Failed says that the endpoint failed: it broke off, gave no answer in
	// time, or answered with a server error.
	Failed bool
	// Inconclusive says that the end tells nothing of the endpoint: the caller
	// gave up, or the endpoint shed the request. It counts as load only.
	Inconclusive bool
}

// Recorder takes the outcomes of requests. Manager implements it.
type Recorder interface {
	// RecordOutcome takes one outcome.
	RecordOutcome(o Outcome)
}

var (
	_ Chooser  = (*Manager)(nil)
	_ Recorder = (*Manager)(nil)
)

// ChooseVersion implements Chooser. The version is always one of the document's: a
// shift that the document does not list, or lists differently, is not applied.
func (m *Manager) ChooseVersion(index *document.Index, service string, now time.Time) string {
	s := index.Service(service)
	if s == nil {
		return ""
	}
	c := m.set.Load().shiftsByService[service]
	documented := index.Shift(service)
	if c == nil || documented == nil || documented.Name != c.Name() || documented.To != c.To() {
		return s.Serving
	}
	if c.ChooseNew(now) {
		return documented.To
	}
	return s.Serving
}

// RecordOutcome implements Recorder.
func (m *Manager) RecordOutcome(o Outcome) {
	if o.FailureDomain != "" {
		m.loads.addOutcome(&o)
	}
	c := m.set.Load().shiftsByService[o.Service]
	if c == nil || o.Inconclusive {
		return
	}
	isNew := o.Version == c.To()
	if !isNew && o.Version != c.From() {
		return
	}
	c.RecordOutcome(shift.Outcome{
		Route:   o.Route,
		Domain:  o.FailureDomain,
		New:     isNew,
		Failed:  o.Failed,
		Sent:    time.Now().Add(-o.Latency),
		Latency: o.Latency,
	})
}

// DrainedShare returns the part of the region's requests, 0 to 1, that goes to other
// regions.
func (m *Manager) DrainedShare(region string) float64 {
	d := m.set.Load().drainsByRegion[region]
	if d == nil {
		return 0
	}
	return float64(d.Moved()) / float64(shift.FullShare)
}
