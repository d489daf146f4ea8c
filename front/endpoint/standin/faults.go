package standin

import (
	"context"
	"time"
)

// Faults configures how the endpoint fails. The zero value means no faults.
// Each percentage is a share of the requests. Durations are in nanoseconds in
// JSON.
type Faults struct {
	// ShedPercent sheds a request before it runs and states that it did not
	// run.
	ShedPercent int `json:"shedPercent"`
	// FailPercent runs a request and responds with status 500.
	FailPercent int `json:"failPercent"`
	// FailAfter makes every request fail with status 500 once the endpoint has
	// run for that long; 0 means never.
	FailAfter time.Duration `json:"failAfter"`
	// Slow is added to the running time of every request.
	Slow time.Duration `json:"slow"`
	// LatePercent runs a request and delays its response by LateBy.
	LatePercent int           `json:"latePercent"`
	LateBy      time.Duration `json:"lateBy"`
	// FreezePercent runs a request and never responds.
	FreezePercent int `json:"freezePercent"`
	// CutPercent runs a request and breaks the connection in the middle of the
	// response body.
	CutPercent int `json:"cutPercent"`
	// LosePercent runs a request and breaks the connection before the response.
	LosePercent int `json:"losePercent"`
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the current faults.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// plan holds the faults of one request.
type plan struct {
	fail         bool
	freeze       bool
	truncate     bool
	dropResponse bool
	// delay is added to the request's running time.
	delay time.Duration
}

// plan draws the faults of the next request. The caller must hold the lock.
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

// wait waits while the request runs and reports whether the client is still
// waiting.
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
