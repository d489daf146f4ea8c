package shifts

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// Chooser chooses the version of a service for a request. Manager implements
// it.
type Chooser interface {
	// ChooseVersion returns the version for a request to the service that arrives
	// at now, according to the document of index. It is called once per request:
	// retries go to the same version or to the serving version.
	ChooseVersion(index *document.Index, service string, now time.Time) string
}

// Outcome is the outcome of one request at an endpoint.
type Outcome struct {
	// Service and Version identify what the endpoint runs.
	Service, Version string
	// Route is the name of the request's route.
	Route string
	// FailureDomain is that of the endpoint. It is empty if the version had no
	// slot for the request, which counts as Failed.
	FailureDomain string
	// Latency is the time from choosing the version to the outcome.
	Latency time.Duration
	// Bytes is the total size of request and response.
	Bytes int64
	// Failed is set if the endpoint broke off, did not respond in time, or
	// responded with a server error.
	Failed bool
	// Inconclusive is set if the outcome is no evidence about the endpoint: the
	// caller gave up, or the endpoint shed the request. It counts only as load.
	Inconclusive bool
}

// Recorder records the outcomes of requests. Manager implements it.
type Recorder interface {
	// RecordOutcome records one outcome.
	RecordOutcome(o Outcome)
}

var (
	_ Chooser  = (*Manager)(nil)
	_ Recorder = (*Manager)(nil)
)

// ChooseVersion implements Chooser. It always returns a version of the document
// of index: a shift that this document lacks, or has with another name or
// target version, is not applied.
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

// DrainedShare returns the share of the region's requests, from 0 to 1, that
// goes to other regions.
func (m *Manager) DrainedShare(region string) float64 {
	d := m.set.Load().drainsByRegion[region]
	if d == nil {
		return 0
	}
	return float64(d.Moved()) / float64(shift.FullShare)
}
