package broker

import (
	"context"
	"errors"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// unavailableWait is when a caller may come back while a group has no broker.
const unavailableWait = time.Second

const (
	// acquireTries and acquirePause cover the moment in which a group changes
	// its broker.
	acquireTries = 4
	acquirePause = 40 * time.Millisecond
)

// Request is a request for a slot.
type Request struct {
	// Group names the slots.
	Group slots.Group
	// Team is the team that the request runs for.
	Team string
	// Deadline is when the request must have ended.
	Deadline time.Time
	// MaxWait bounds the expected wait; 0 means that only Deadline does.
	MaxWait time.Duration
	// Avoid lists addresses that an earlier attempt failed at.
	Avoid []string
}

// Slot is a slot in use. It must be released once.
type Slot struct {
	// Address is the endpoint's.
	Address string
	// ExpiresAt is when the request must have ended, whatever its deadline.
	ExpiresAt time.Time

	service *Service
	id      slots.ID
	group   slots.Group
	broker  string // peer address of the broker, "" for this instance
	deputy  string // peer address of the instance that noted the grant, or ""
}

// Acquire returns a slot as soon as one is granted. Errors:
// *admission.Refusal, *UnavailableError, or the context's; the request has
// certainly not run.
func (s *Service) Acquire(ctx context.Context, r Request) (*Slot, error) {
	for try := 1; ; try++ {
		slot, err := s.acquireOnce(ctx, r)
		var unavailable *UnavailableError
		if err == nil || try == acquireTries || !errors.As(err, &unavailable) || unavailable.Reason == reasonRecovering {
			return slot, err
		}
		s.look()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(acquirePause):
		}
	}
}

// acquireOnce asks the group's broker as it is known now.
func (s *Service) acquireOnce(ctx context.Context, r Request) (*Slot, error) {
	asked := time.Now()
	row, address, err := s.broker(r.Group)
	if err != nil {
		return nil, err
	}
	id := s.begin(r)
	a := slots.Request{
		ID: id, Group: r.Group, Team: r.Team, Remaining: r.Deadline.Sub(asked), MaxWait: r.MaxWait, Avoid: r.Avoid,
	}
	own := row.Holder == s.fleet.Name()
	slot := &Slot{service: s, id: id, group: r.Group}
	var result askResult
	if own {
		result = s.askHere(ctx, a)
	} else {
		slot.broker = address
		if err := s.peers.Call(ctx, address, methodAsk, a, &result); err != nil {
			slot.abandon()
			return nil, callError(ctx, r.Group, err)
		}
	}
	if result.Grant == nil {
		s.end(id)
		return nil, refusalError(ctx, r.Group, result.Refusal)
	}
	return s.use(ctx, slot, result, asked)
}

// broker returns a group's broker.
func (s *Service) broker(g slots.Group) (row struct{ Holder string }, address string, err error) {
	o := s.owners.Load()
	found, ok := o.rows[g]
	address, listed := o.addresses[found.Holder]
	if !ok || !listed {
		return row, "", &UnavailableError{Group: g, Reason: reasonNoBroker, RetryAfter: unavailableWait}
	}
	row.Holder = found.Holder
	return row, address, nil
}

// callError says why a broker could not be asked.
func callError(ctx context.Context, g slots.Group, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &UnavailableError{Group: g, Reason: reasonNoBroker, RetryAfter: unavailableWait, Err: err}
}

// refusalError turns a broker's refusal into an error.
func refusalError(ctx context.Context, g slots.Group, r *askRefusal) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if r == nil {
		return &UnavailableError{Group: g, Reason: reasonNoBroker, RetryAfter: unavailableWait}
	}
	return r.errorOf(g)
}

// use takes a grant into use. A grant of this instance's own broker is noted
// with another instance first, so that a successor can learn of it.
func (s *Service) use(ctx context.Context, slot *Slot, result askResult, asked time.Time) (*Slot, error) {
	slot.Address = result.Grant.Address
	slot.ExpiresAt = asked.Add(result.Bound)
	if slot.broker == "" {
		if err := s.note(ctx, slot, *result.Grant); err != nil {
			slot.abandon()
			return nil, err
		}
	}
	s.holderMu.Lock()
	accepted := time.Now().Before(slot.ExpiresAt) && s.holder.Accept(*result.Grant, time.Now())
	s.holderMu.Unlock()
	if !accepted {
		slot.abandon()
		return nil, &UnavailableError{Group: slot.group, Reason: reasonEnded, RetryAfter: unavailableWait}
	}
	return slot, nil
}

// note has another instance note a grant. An instance that knows no other goes
// without, if the group's row says so.
func (s *Service) note(ctx context.Context, slot *Slot, g slots.Grant) error {
	var last error
	l := s.lead(slot.group)
	for _, m := range s.fleet.Members() {
		if m.Name == s.fleet.Name() || l == nil || !l.serves(m.Name) {
			continue // a successor asks only those in the row
		}
		params := noteParams{Grant: g, Remaining: time.Until(slot.ExpiresAt)}
		noteCtx, cancel := context.WithTimeout(ctx, callTimeout)
		last = s.peers.Call(noteCtx, m.PeerAddress, methodNote, params, nil)
		cancel()
		if last == nil {
			slot.deputy = m.PeerAddress
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if last == nil && l != nil && l.mayUseUnnoted(slot.ExpiresAt) {
		return nil
	}
	return &UnavailableError{Group: slot.group, Reason: reasonNoBroker, RetryAfter: unavailableWait, Err: last}
}

func (s *Service) begin(r Request) slots.ID {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.SetInstance(s.fleet.Name())
	return s.holder.Begin(r.Group, r.Deadline)
}

func (s *Service) end(id slots.ID) {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.End(id)
}

// Endpoint returns the endpoint's address.
func (s *Slot) Endpoint() string { return s.Address }

// Bound returns when the request must have ended.
func (s *Slot) Bound() time.Time { return s.ExpiresAt }

func (s *Service) settle(id slots.ID, until time.Time) {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.EndBusyUntil(id, until)
}

// ReleaseInfo says how a request that had a slot ended.
type ReleaseInfo struct {
	// Answered says that the endpoint's whole answer came.
	Answered bool
	// BusyFor is how long the endpoint may still be busy with the request.
	BusyFor time.Duration
	// KeepUntilExpiry says that nothing tells the endpoint to stop: the slot stays in use
	// until its bound.
	KeepUntilExpiry bool
}

// Release gives the slot back after the request has ended.
func (s *Slot) Release(e ReleaseInfo) {
	switch {
	case e.KeepUntilExpiry:
		s.service.settle(s.id, s.ExpiresAt)
		return
	case e.BusyFor > 0:
		s.service.settle(s.id, time.Now().Add(e.BusyFor))
	default:
		s.service.end(s.id)
		if s.deputy != "" {
			s.service.send(s.deputy, methodEndNote, endNoteParams{ID: s.id})
		}
	}
	s.giveBack(releaseParams{
		Release: slots.Release{ID: s.id, Group: s.group, BusyFor: e.BusyFor},
		Address: s.Address, Answered: e.Answered,
	})
}

// abandon gives back a slot that was never used, or a request for one.
func (s *Slot) abandon() { s.Release(ReleaseInfo{}) }

// giveBack tells the broker.
func (s *Slot) giveBack(r releaseParams) {
	if s.broker != "" {
		s.service.send(s.broker, methodRelease, r)
		return
	}
	if l := s.service.lead(s.group); l != nil {
		l.release(r)
	}
}

// Observe implements endpoint.Observer: it tells the endpoint's broker of what
// speaks against an endpoint, and of what clears it.
func (s *Service) Observe(address string, o health.Outcome, _ time.Duration) {
	switch o {
	case health.OutcomeAnswered, health.OutcomeFailed, health.OutcomeShed:
		return // told when the slot is released
	case health.OutcomeLeaving, health.OutcomeSilentConnection, health.OutcomeTimedOut, health.OutcomeUnreachable,
		health.OutcomeBroken, health.OutcomeProbed:
	}
	index := s.document()
	if index == nil {
		return
	}
	for g, endpoints := range groupsOf(index) {
		for _, e := range endpoints {
			if e.Address == address {
				s.tell(g, address, o)
			}
		}
	}
}

// tell carries an outcome to a group's broker.
func (s *Service) tell(g slots.Group, address string, o health.Outcome) {
	row, brokerAddress, err := s.broker(g)
	if err != nil {
		return
	}
	if row.Holder == s.fleet.Name() {
		if l := s.lead(g); l != nil {
			l.observe(address, o)
		}
		return
	}
	s.send(brokerAddress, methodObserve, observeParams{Group: g, Address: address, Outcome: o})
}
