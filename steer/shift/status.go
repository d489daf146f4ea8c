package shift

import "time"

// ScopeStatus is the evidence in one scope over the fleet.
type ScopeStatus struct {
	Scope Scope  `json:"scope"`
	New   Counts `json:"new"`
	Old   Counts `json:"old"`
	// Evidence is the logarithm of the evidence that the new version is worse.
	// The shift is rolled back when it reaches Threshold.
	Evidence  float64 `json:"evidence"`
	Threshold float64 `json:"limit"`
}

// Status is the state of a shift as seen by one instance.
type Status struct {
	Shift    string    `json:"shift"`
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Instance string    `json:"instance"`
	Deadline time.Time `json:"deadline"`
	// Record is the record as known to the instance.
	Record Record `json:"record"`
	// Stages is the number of stages.
	Stages int `json:"stages"`
	// Share is the current share of the new version on this instance.
	Share Share `json:"share"`
	// Connected is set if the store answered or a majority of the fleet
	// reported within the contact timeout.
	Connected bool `json:"inTouch"`
	// Waits lists what the next step waits for.
	Waits []Wait `json:"waits"`
	// WillMissDeadline is set if the shift can no longer be complete by its
	// deadline.
	WillMissDeadline bool `json:"late"`
	// Routes holds the outcomes of the current stage over the fleet.
	Routes []Progress `json:"routes"`
	// Scopes holds the evidence since the instance started.
	Scopes []ScopeStatus `json:"scopes"`
}

// Status returns the state of the shift at now.
func (c *Controller) Status(now time.Time) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{
		Shift:            c.cfg.Name,
		Service:          c.cfg.Service,
		From:             c.cfg.From,
		To:               c.cfg.To,
		Instance:         c.self,
		Deadline:         c.cfg.Deadline,
		Record:           c.view,
		Stages:           len(c.cfg.Stages),
		Share:            c.share(now),
		Connected:        c.connected(now),
		Waits:            c.waits(now),
		WillMissDeadline: c.willMissDeadline(now),
	}
	progress := c.fleetProgress()
	for _, route := range sortedKeys(progress) {
		s.Routes = append(s.Routes, *progress[route])
	}
	scopes := c.scopes()
	threshold := c.threshold(len(scopes))
	for _, scope := range scopes {
		s.Scopes = append(s.Scopes, c.scopeStatus(scope, threshold))
	}
	return s
}

// willMissDeadline reports whether the remaining stages end after the start of
// the guard period.
func (c *Controller) willMissDeadline(now time.Time) bool {
	if c.view.Settled() {
		return false
	}
	begin := c.view.Since
	if c.view.Phase == Pending {
		begin = c.cfg.Start
	}
	end := begin.Add(c.cfg.minDuration(c.view.Stage))
	if end.Before(now) {
		end = now
	}
	return end.After(c.cfg.Deadline.Add(-c.cfg.Guard))
}

// scopeStatus returns the fleet's evidence in one scope.
func (c *Controller) scopeStatus(scope Scope, threshold float64) ScopeStatus {
	tally := c.fleetTally(scope)
	s := ScopeStatus{Scope: scope, New: tally.New, Old: tally.Old, Threshold: threshold}
	for _, d := range []*detector{c.fleetDetectors[scope], c.judge.detectors[scope]} {
		if d != nil && d.started > 0 {
			s.Evidence = max(s.Evidence, d.log())
		}
	}
	return s
}

// RecordKnown reports whether the record was received from the store or from a
// peer. Without it the instance must not act.
func (c *Controller) RecordKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known()
}

// View returns the record as known to this instance.
func (c *Controller) View() Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}
