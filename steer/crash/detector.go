package crash

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// Detector decides for one instance which requests are refused because they
// crash endpoints. It is safe for concurrent use.
//
// All requests that ran at an endpoint when its process ended are suspected
// alike, and a response to one clears it. One that ran at several ends without a
// response in between is refused at all instances, until a trial gets a response.
type Detector struct {
	rules   Rules
	onEvent func(Event)

	mu       sync.Mutex
	self     string
	fleet    []string
	ends     map[catalog.Incarnation]*end
	suspects map[Fingerprint]*suspect
	refused  map[Fingerprint]*refused
	running  map[Fingerprint]int // requests of this instance, by fingerprint
	answers  recentAnswers
}

// end is the end of an endpoint's process.
type end struct {
	endpoint  catalog.Incarnation
	at        time.Time
	learnedAt time.Time                 // when something new was last learned about it
	requests  map[Fingerprint]time.Time // when each was last sent there
	// confirmed is set once this instance has reached another endpoint since, or
	// another instance has seen the end as well.
	confirmed bool
	// refuted is set once the process has answered a later request.
	refuted bool
}

// Run is a request that ran at an endpoint.
type Run struct {
	// Fingerprint is the request.
	Fingerprint Fingerprint
	// SentAt is when it was sent there.
	SentAt time.Time
}

// suspect is a request that ran at an end.
type suspect struct {
	ends []*end
	// answeredAt is when it last got a response, learnedAt when that was learned.
	answeredAt, learnedAt time.Time
}

// refused is a request that is refused.
type refused struct {
	since    time.Time
	evidence []*end // nil if another instance has decided
	trials   int
	trialAt  time.Time // when the next trial is due, zero if there is none
}

// Event is a change of what a detector believes.
type Event struct {
	// Kind is what has happened.
	Kind EventKind
	// Fingerprint is the request.
	Fingerprint Fingerprint
	// Endpoints are those that ended while it ran, as far as this instance knows.
	Endpoints []string
	// Trials is the number of trials so far.
	Trials int
}

// EventKind is a kind of event.
type EventKind string

// Kinds of events.
const (
	// EventRefused means that a request is refused from now on.
	EventRefused EventKind = "refused"
	// EventTold means the same, as decided by another instance.
	EventTold EventKind = "told"
	// EventTrial means that a refused request is sent to find out whether it still
	// crashes endpoints.
	EventTrial EventKind = "trial"
	// EventCleared means that a refused request got a response.
	EventCleared EventKind = "cleared"
)

// New returns a detector that suspects nothing. onEvent is called with each event
// and must not call the detector.
func New(r Rules, onEvent func(Event)) *Detector {
	return &Detector{
		rules:    r,
		onEvent:  onEvent,
		ends:     make(map[catalog.Incarnation]*end),
		suspects: make(map[Fingerprint]*suspect),
		refused:  make(map[Fingerprint]*refused),
		running:  make(map[Fingerprint]int),
	}
}

// SetFleet sets the names of this instance and of all live ones, including it.
func (d *Detector) SetFleet(self string, fleet []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self, d.fleet = self, fleet
}

// ObserveEnd records that an endpoint's process ended at a time at which requests
// of this instance ran there. It counts once another endpoint has been reached:
// an instance that is cut from all endpoints sees all of them end.
func (d *Detector) ObserveEnd(now, at time.Time, endpoint catalog.Incarnation, runs []Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addEnd(now, at, endpoint, runs, false)
	d.prune(now)
}

// ObserveAnswer records the response to a request that was sent to an endpoint at
// sentAt and ran there.
func (d *Detector) ObserveAnswer(now, sentAt time.Time, endpoint catalog.Incarnation, f Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers.add(now, f)
	d.setAnswered(now, now, f)
	d.setReached(now, sentAt, endpoint)
}

// ObserveReached records that an endpoint has responded to a request that was
// sent at sentAt, or accepted a connection then.
func (d *Detector) ObserveReached(now, sentAt time.Time, endpoint catalog.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setReached(now, sentAt, endpoint)
}

// setReached refutes the end of an endpoint that has responded since, and confirms
// the earlier ends of the others.
func (d *Detector) setReached(now, sentAt time.Time, endpoint catalog.Incarnation) {
	for _, e := range d.ends {
		switch {
		case e.endpoint == endpoint:
			if !e.refuted && sentAt.After(e.at) {
				e.refuted, e.learnedAt = true, now
			}
		case !e.confirmed && now.After(e.at) && now.Sub(e.at) <= maxUnconfirmed:
			e.confirmed, e.learnedAt = true, now
			d.evaluateAll(now, e)
		}
	}
}

// Unconfirmed reports whether the end of an endpoint waits for another endpoint to
// be reached.
func (d *Detector) Unconfirmed(endpoint catalog.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.ends[endpoint]
	return e != nil && !e.confirmed
}

// CausedBySuspect reports whether an endpoint ended while a request ran there that
// is refused or suspicious by now.
func (d *Detector) CausedBySuspect(now time.Time, endpoint catalog.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.ends[endpoint]
	if e == nil || e.refuted {
		return false
	}
	for f := range e.requests {
		if d.refused[f] != nil || d.suspicious(now, f) {
			return true
		}
	}
	return false
}

// addEnd adds an end, or what is new about one.
func (d *Detector) addEnd(now, at time.Time, endpoint catalog.Incarnation, runs []Run, confirmed bool) {
	e := d.ends[endpoint]
	if e == nil {
		e = &end{endpoint: endpoint, at: at, learnedAt: now, requests: make(map[Fingerprint]time.Time)}
		d.ends[endpoint] = e
	}
	if at.Before(e.at) {
		e.at = at
	}
	if confirmed && !e.confirmed {
		e.confirmed, e.learnedAt = true, now
	}
	for _, r := range runs {
		sentAt, known := e.requests[r.Fingerprint]
		switch {
		case !known && len(e.requests) < maxRequestsPerEnd:
			d.addRequest(now, e, r)
		case known && r.SentAt.After(sentAt):
			e.requests[r.Fingerprint] = r.SentAt
		}
	}
	if e.confirmed {
		d.evaluateAll(now, e)
	}
}

// addRequest adds a request to an end.
func (d *Detector) addRequest(now time.Time, e *end, r Run) {
	f := r.Fingerprint
	e.requests[f] = r.SentAt
	e.learnedAt = now
	s := d.suspects[f]
	if s == nil {
		s = &suspect{}
		d.suspects[f] = s
	}
	s.ends = append(s.ends, e)
	if at, ok := d.answers.at(f); ok {
		d.setAnswered(now, at, f)
	}
}

// endsAgainst returns the ends that speak against a request, the earliest first.
func (d *Detector) endsAgainst(now time.Time, f Fingerprint) []*end {
	s := d.suspects[f]
	if s == nil {
		return nil
	}
	var ends []*end
	for _, e := range s.ends {
		if e.confirmed && !e.refuted && e.at.After(s.answeredAt) && now.Sub(e.at) <= d.rules.Memory && !d.explained(e, f) {
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(a, b *end) int { return a.at.Compare(b.at) })
	return ends
}

// explained reports whether another request that is refused ran at an end. It
// explains the end unless f ran at all ends that it is refused for.
func (d *Detector) explained(e *end, f Fingerprint) bool {
	for g := range e.requests {
		r := d.refused[g]
		if g == f || r == nil || len(r.evidence) == 0 {
			continue
		}
		if slices.ContainsFunc(r.evidence, func(other *end) bool { return !other.ranThere(f) }) {
			return true
		}
	}
	return false
}

// ranThere reports whether a request ran at an end.
func (e *end) ranThere(f Fingerprint) bool {
	_, ok := e.requests[f]
	return ok
}

// evaluateAll refuses those requests that ran at an end against which enough speaks,
// all by what is known before any of them is refused.
func (d *Detector) evaluateAll(now time.Time, e *end) {
	toRefuse := make(map[Fingerprint][]*end)
	for f := range e.requests {
		if ends := d.endsAgainst(now, f); d.refused[f] == nil && d.mustBeRefused(now, f, ends) {
			toRefuse[f] = ends
		}
	}
	for f, ends := range toRefuse {
		d.refuseFor(now, f, ends)
	}
}

// evaluate refuses a request if enough speaks against it.
func (d *Detector) evaluate(now time.Time, f Fingerprint) {
	if d.refused[f] != nil {
		return
	}
	if ends := d.endsAgainst(now, f); d.mustBeRefused(now, f, ends) {
		d.refuseFor(now, f, ends)
	}
}

// refuseFor refuses a request for some ends.
func (d *Detector) refuseFor(now time.Time, f Fingerprint, ends []*end) {
	d.refuse(now, f, &refused{since: now, evidence: ends, trialAt: now.Add(d.rules.TrialDelays[0])}, EventRefused)
}

// mustBeRefused reports whether enough speaks against a request for it to be refused.
func (d *Detector) mustBeRefused(now time.Time, f Fingerprint, ends []*end) bool {
	if len(ends) < d.rules.Crashes {
		return false
	}
	inSequence := inSequence(ends, f) >= d.rules.Crashes
	if d.knownGood(f, ends) {
		return inSequence && ends[len(ends)-1].at.Sub(ends[0].at) >= d.rules.Grace
	}
	if inSequence && (now.Sub(ends[0].at) >= d.rules.Settle || !d.othersRanAtAll(f, ends)) {
		return true
	}
	return now.Sub(ends[d.rules.Crashes-1].at) >= d.rules.Grace
}

// othersRanAtAll reports whether another request ran at all of the ends and may
// have caused them as well.
func (d *Detector) othersRanAtAll(f Fingerprint, ends []*end) bool {
	for g := range ends[0].requests {
		if g == f || d.suspects[g].answeredAt.After(ends[0].at) {
			continue
		}
		if !slices.ContainsFunc(ends, func(e *end) bool { return !e.ranThere(g) }) {
			return true
		}
	}
	return false
}

// knownGood reports whether a request got a response shortly before the first of
// the ends.
func (d *Detector) knownGood(f Fingerprint, ends []*end) bool {
	return ends[0].at.Sub(d.suspects[f].answeredAt) <= d.rules.KnownGood
}

// suspicious reports whether a request may run at one endpoint at a time only.
func (d *Detector) suspicious(now time.Time, f Fingerprint) bool {
	ends := d.endsAgainst(now, f)
	return len(ends) >= d.rules.Suspicious && !d.knownGood(f, ends)
}

// inSequence returns the number of ends at which a request ran that was sent there
// after the previous one of them.
func inSequence(ends []*end, f Fingerprint) int {
	n := 0
	var last time.Time
	for _, e := range ends {
		if n == 0 || e.requests[f].After(last) {
			n++
			last = e.at
		}
	}
	return n
}

// refuse refuses a request from now on.
func (d *Detector) refuse(now time.Time, f Fingerprint, r *refused, kind EventKind) {
	d.refused[f] = r
	if len(d.refused) > maxRefused {
		oldest := f
		for other, known := range d.refused {
			if known.since.Before(d.refused[oldest].since) {
				oldest = other
			}
		}
		delete(d.refused, oldest)
	}
	event := Event{Kind: kind, Fingerprint: f}
	for _, e := range d.endsAgainst(now, f) {
		event.Endpoints = append(event.Endpoints, e.endpoint.ID)
	}
	d.onEvent(event)
}

// setAnswered records that a request got a response at a time, which clears it of
// all ends until then.
func (d *Detector) setAnswered(now, at time.Time, f Fingerprint) {
	s, r := d.suspects[f], d.refused[f]
	if s == nil && r != nil {
		s = &suspect{}
		d.suspects[f] = s
	}
	if s == nil || !at.After(s.answeredAt) {
		return
	}
	s.answeredAt, s.learnedAt = at, now
	if r != nil && (at.After(r.since) || d.refusedTooSoon(now, f, r)) {
		delete(d.refused, f)
		d.onEvent(Event{Kind: EventCleared, Fingerprint: f, Trials: r.trials})
	}
}

// refusedTooSoon reports whether a request would not have been refused, had an
// earlier response at another instance been known.
func (d *Detector) refusedTooSoon(now time.Time, f Fingerprint, r *refused) bool {
	ends := d.endsAgainst(now, f)
	return r.trials == 0 && len(ends) > 0 && !d.mustBeRefused(now, f, ends)
}

// prune drops what no longer counts and what exceeds the bounds.
func (d *Detector) prune(now time.Time) {
	var kept []*end
	for _, e := range d.ends {
		kept = append(kept, e)
	}
	slices.SortFunc(kept, func(a, b *end) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.endpoint.ID, b.endpoint.ID)) })
	for i, e := range kept {
		if i >= maxEnds || now.Sub(e.at) > d.rules.Memory || !e.confirmed && now.Sub(e.at) > maxUnconfirmed {
			d.dropEnd(e)
		}
	}
	for f, s := range d.suspects {
		if len(s.ends) == 0 && now.Sub(s.learnedAt) > reportPeriod {
			delete(d.suspects, f)
		}
	}
	for f, r := range d.refused {
		if r.trialAt.IsZero() && now.Sub(r.since) > d.rules.RefusedFor {
			delete(d.refused, f)
		}
	}
}

// dropEnd forgets an end.
func (d *Detector) dropEnd(e *end) {
	delete(d.ends, e.endpoint)
	for f := range e.requests {
		if s := d.suspects[f]; s != nil {
			s.ends = slices.DeleteFunc(s.ends, func(other *end) bool { return other == e })
		}
	}
}
