package shift

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// ScopeTally is the evidence in one scope.
type ScopeTally struct {
	Scope Scope `json:"scope"`
	Tally Tally `json:"tally"`
	// Drift is the logarithm of the likelihood ratio that the new version
	// drifted from the old version's rate.
	Drift float64 `json:"drift"`
}

// rounded shortens the logarithms for the way to the peers.
func (st ScopeTally) rounded() ScopeTally {
	for i, l := range st.Tally.Logs {
		st.Tally.Logs[i] = roundLog(l)
	}
	st.Drift = roundLog(st.Drift)
	return st
}

// roundLog rounds to a thousandth of a nat.
func roundLog(l float64) float64 { return math.Round(l*1000) / 1000 }

// ScopeSuspicions holds the recent suspicions in one scope that ended without proof.
type ScopeSuspicions struct {
	Scope Scope `json:"scope"`
	// EndTimes are their ends.
	EndTimes []time.Time `json:"times"`
}

// Progress counts the outcomes on one route since the present stage began.
type Progress struct {
	Route string `json:"route"`
	New   Counts `json:"new"`
	Old   Counts `json:"old"`
}

// Report is what one instance tells its peers about a shift. All counts run
// from Began on, so a lost summary is made good by the next.
type Report struct {
	// Shift names the shift.
	Shift string `json:"shift"`
	// Instance is the sender.
	Instance string `json:"instance"`
	// StartedAt is when the sender's counts started.
	StartedAt time.Time `json:"began"`
	// Sequence rises with each summary of the sender.
	Sequence uint64 `json:"sequence"`
	// Record is the outcome as the sender knows it.
	Record Record `json:"record"`
	// Suspected says that the new version is suspected.
	Suspected bool `json:"suspect"`
	// OutcomesMissing says that outcomes of the new version stopped arriving.
	OutcomesMissing bool `json:"blind"`
	// SentToNew counts the requests given to the new version in this stage.
	SentToNew uint64 `json:"picked"`
	// Progress holds the present stage's outcomes by route.
	Progress []Progress `json:"progress"`
	// Scopes holds the evidence since Began.
	Scopes []ScopeTally `json:"scopes"`
	// UnprovenSuspicions holds the suspicions that ended without proof.
	UnprovenSuspicions []ScopeSuspicions `json:"strikes"`
}

// peerState is a peer as its last summary shows it.
type peerState struct {
	report Report
	// merged are the evidence already added to the fleet's.
	merged map[Scope]ScopeTally
}

// Report returns the instance's own summary at now.
func (c *Controller) Report(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return c.buildReport(now)
}

// buildReport builds the instance's own buildReport. c.mu is held.
func (c *Controller) buildReport(now time.Time) Report {
	s := Report{
		Shift:           c.cfg.Name,
		Instance:        c.self,
		StartedAt:       c.startedAt,
		Sequence:        c.sequence,
		Record:          c.view,
		Suspected:       c.judge.suspicion.active,
		OutcomesMissing: c.outcomesMissing,
		SentToNew:       c.sentToNew.Load() - c.sentAtStep,
	}
	for _, route := range slices.Sorted(maps.Keys(c.progress)) {
		s.Progress = append(s.Progress, *c.progress[route])
	}
	for _, scope := range c.scopes() {
		if st, known := c.judge.scopeTally(scope); known {
			s.Scopes = append(s.Scopes, st.rounded())
		}
	}
	for _, scope := range sortedScopes(c.judge.suspicion.unprovenEnds) {
		s.UnprovenSuspicions = append(s.UnprovenSuspicions, ScopeSuspicions{Scope: scope, EndTimes: c.judge.suspicion.recentUnproven(now, scope)})
	}
	return s
}

// ReceiveReport takes a peer's summary. Summaries may arrive late, twice or in the
// wrong order.
func (c *Controller) ReceiveReport(now time.Time, s Report) {
	if s.Shift != c.cfg.Name || s.Instance == c.self {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	peer := c.peers[s.Instance]
	if peer == nil || !peer.report.StartedAt.Equal(s.StartedAt) {
		peer = &peerState{merged: make(map[Scope]ScopeTally)}
		c.peers[s.Instance] = peer
	}
	if s.Sequence <= peer.report.Sequence {
		return
	}
	for _, st := range s.Scopes {
		c.addPeerEvidence(peer, st)
	}
	peer.report = s
	c.lastReports[s.Instance] = now
	c.adoptRecord(now, s.Record)
	c.updatePlan(now)
}

// addPeerEvidence adds what a peer has found since its last summary.
func (c *Controller) addPeerEvidence(peer *peerState, st ScopeTally) {
	previous := peer.merged[st.Scope]
	delta := st.Tally
	delta.New.N -= previous.Tally.New.N
	delta.New.Hits -= previous.Tally.New.Hits
	delta.Old.N -= previous.Tally.Old.N
	delta.Old.Hits -= previous.Tally.Old.Hits
	for i := range delta.Logs {
		delta.Logs[i] -= previous.Tally.Logs[i]
	}
	entry(c.peerTallies, st.Scope).Merge(&delta)
	*entry(c.peerDrifts, st.Scope) += st.Drift - previous.Drift
	peer.merged[st.Scope] = st
}

// sortedScopes returns the keys of m in a fixed order.
func sortedScopes[V any](m map[Scope]V) []Scope {
	return slices.SortedFunc(maps.Keys(m), func(a, b Scope) int {
		return cmp.Or(
			strings.Compare(string(a.Signal), string(b.Signal)),
			strings.Compare(a.Route, b.Route),
			strings.Compare(a.Domain, b.Domain),
		)
	})
}
