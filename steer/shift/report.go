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
	// Drift is the log likelihood ratio that the new version drifted from the
	// old version's rate.
	Drift float64 `json:"drift"`
}

// rounded rounds the logarithms to keep reports small.
func (st ScopeTally) rounded() ScopeTally {
	for i, l := range st.Tally.Logs {
		st.Tally.Logs[i] = roundLog(l)
	}
	st.Drift = roundLog(st.Drift)
	return st
}

// roundLog rounds to a thousandth of a nat.
func roundLog(l float64) float64 { return math.Round(l*1000) / 1000 }

// ScopeSuspicions holds the recent suspicions in one scope that ended without
// proof.
type ScopeSuspicions struct {
	Scope Scope `json:"scope"`
	// EndTimes holds the time at which each of them ended.
	EndTimes []time.Time `json:"times"`
}

// Progress counts the outcomes on one route since the current stage began.
type Progress struct {
	Route string `json:"route"`
	New   Counts `json:"new"`
	Old   Counts `json:"old"`
}

// Report is the state of a shift that one instance sends to its peers. Its
// counts are cumulative, since StartedAt or since the current step began, so a
// lost report is compensated by the next one.
type Report struct {
	// Shift is the name of the shift.
	Shift string `json:"shift"`
	// Instance is the sender.
	Instance string `json:"instance"`
	// StartedAt is when the sender's counts started. It identifies the
	// incarnation of the sender.
	StartedAt time.Time `json:"began"`
	// Sequence increases with each report of the sender.
	Sequence uint64 `json:"sequence"`
	// Record is the record as known to the sender.
	Record Record `json:"record"`
	// Suspected is set while the sender suspects the new version.
	Suspected bool `json:"suspect"`
	// OutcomesMissing is set while outcomes of the new version do not arrive at
	// the sender.
	OutcomesMissing bool `json:"blind"`
	// SentToNew counts the requests sent to the new version in this step.
	SentToNew uint64 `json:"picked"`
	// Progress holds the outcomes of the current stage by route.
	Progress []Progress `json:"progress"`
	// Scopes holds the evidence since StartedAt.
	Scopes []ScopeTally `json:"scopes"`
	// UnprovenSuspicions holds the suspicions that ended without proof.
	UnprovenSuspicions []ScopeSuspicions `json:"strikes"`
}

// peerState is the state of a peer according to its last report.
type peerState struct {
	report Report
	// merged is the peer's evidence that is already part of the fleet's.
	merged map[Scope]ScopeTally
}

// Report returns the report of this instance at now.
func (c *Controller) Report(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return c.buildReport(now)
}

// buildReport builds the report of this instance. The caller must hold c.mu.
func (c *Controller) buildReport(now time.Time) Report {
	report := Report{
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
		report.Progress = append(report.Progress, *c.progress[route])
	}
	for _, scope := range c.scopes() {
		if st, known := c.judge.scopeTally(scope); known {
			report.Scopes = append(report.Scopes, st.rounded())
		}
	}
	for _, scope := range sortedScopes(c.judge.suspicion.unprovenEnds) {
		report.UnprovenSuspicions = append(report.UnprovenSuspicions, ScopeSuspicions{Scope: scope, EndTimes: c.judge.suspicion.recentUnproven(now, scope)})
	}
	return report
}

// ReceiveReport processes a report of a peer. Reports may arrive late, more
// than once or out of order.
func (c *Controller) ReceiveReport(now time.Time, report Report) {
	if report.Shift != c.cfg.Name || report.Instance == c.self {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	peer := c.peers[report.Instance]
	if peer == nil || !peer.report.StartedAt.Equal(report.StartedAt) {
		peer = &peerState{merged: make(map[Scope]ScopeTally)}
		c.peers[report.Instance] = peer
	}
	if report.Sequence <= peer.report.Sequence {
		return
	}
	for _, st := range report.Scopes {
		c.addPeerEvidence(peer, st)
	}
	peer.report = report
	c.lastReports[report.Instance] = now
	c.adoptRecord(now, report.Record)
	c.updatePlan(now)
}

// addPeerEvidence adds the evidence that the peer found since its last report.
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
	getOrCreate(c.peerTallies, st.Scope).Merge(&delta)
	*getOrCreate(c.peerDrifts, st.Scope) += st.Drift - previous.Drift
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
