package standin

import (
	"context"
	"time"
)

// Faults says how the endpoint misbehaves; the zero value means not at all.
// Each share is a percentage of the requests; each time is in nanoseconds in
// JSON.
type Faults struct {
	// ShedPercent refuses a request before it runs, by the endpoint's word.
	ShedPercent int `json:"shedPercent"`
	// FailPercent runs a request and answers with status 500.
	FailPercent int `json:"failPercent"`
	// FailAfter makes every request fail with status 500 once the endpoint has
	// been up that long; 0 means never.
	FailAfter time.Duration `json:"failAfter"`
	// Slow is added to the time that each request runs.
	Slow time.Duration `json:"slow"`
	// LatePercent runs a request and holds its answer back for LateBy.
	LatePercent int           `json:"latePercent"`
	LateBy      time.Duration `json:"lateBy"`
	// FreezePercent runs a request and never answers.
	FreezePercent int `json:"freezePercent"`
	// CutPercent runs a request and breaks the connection in the middle of
	// the answer's body.
	CutPercent int `json:"cutPercent"`
	// LosePercent runs a request and breaks the connection before the answer.
	LosePercent int `json:"losePercent"`
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the faults as they stand.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// plan is what becomes of one request.
type plan struct {
	fail         bool
	freeze       bool
	truncate     bool
	dropResponse bool
	// delay is added to the time that the request runs.
	delay time.Duration
}

// plan draws what becomes of the next request.
func (e *Endpoint) plan() plan {
	f := e.faults
	p := plan{
		fail:         e.draw(f.FailPercent) || f.FailAfter > 0 && time.Since(e.started) >= f.FailAfter,
		freeze:       e.draw(f.FreezePercent),
		truncate:     e.draw(f.CutPercent),
		dropResponse: e.draw(f.LosePercent),
		delay:        f.Slow,
	}
	if e.draw(f.LatePercent) {
		p.delay += f.LateBy
	}
	return p
}

// wait lets the request run and tells whether its client still waits.
func (p plan) wait(ctx context.Context, service time.Duration) bool {
	if p.freeze {
		<-ctx.Done()
		return false
	}
	if service+p.delay == 0 {
		return true
	}
	timer := time.NewTimer(service + p.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
