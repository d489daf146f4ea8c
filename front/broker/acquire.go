package broker

import (
	"context"
	"errors"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// unavailableRetryAfter is the retry delay given to a caller while a group has
// no broker.
const unavailableRetryAfter = time.Second

const (
	// acquireAttempts and acquireRetryDelay cover the time in which a group
	// changes its broker.
	acquireAttempts   = 4
	acquireRetryDelay = 40 * time.Millisecond
)

// Request is a request for a slot.
type Request struct {
	// Group identifies the slots.
	Group slots.Group
	// Team is the team on whose behalf the request runs.
	Team string
	// Deadline is when the request must have ended.
	Deadline time.Time
	// MaxWait bounds the expected wait in the queue. With 0 only Deadline does.
	MaxWait time.Duration
	// Avoid lists the addresses at which earlier attempts failed.
	Avoid []string
}

// Slot is a granted slot. It must be released exactly once.
type Slot struct {
	// Address is the endpoint's network address.
	Address string
	// ExpiresAt is when the request must have ended. It can lie before the
	// request's deadline.
	ExpiresAt time.Time

	service       *Service
	id            slots.ID
	group         slots.Group
	broker        string // peer address of the broker, "" if this instance is the broker
	recordingPeer string // peer address of the instance that recorded the grant, or ""
}

// Acquire returns a slot as soon as one is granted. Errors: *admission.Refusal,
// *UnavailableError or the context's error. After an error the request has
// certainly not run.
func (s *Service) Acquire(ctx context.Context, r Request) (*Slot, error) {
	for attempt := 1; ; attempt++ {
		slot, err := s.acquireOnce(ctx, r)
		var unavailable *UnavailableError
		if err == nil || attempt == acquireAttempts || !errors.As(err, &unavailable) || unavailable.Reason == reasonRecovering {
			return slot, err
		}
		s.requestScan()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(acquireRetryDelay):
		}
	}
}

// acquireOnce requests a slot from the broker that is currently known for the
// group.
func (s *Service) acquireOnce(ctx context.Context, r Request) (*Slot, error) {
	requestedAt := time.Now()
	row, address, err := s.brokerOf(r.Group)
	if err != nil {
		return nil, err
	}
	id := s.beginRequest(r)
	req := slots.Request{
		ID: id, Group: r.Group, Team: r.Team, Remaining: r.Deadline.Sub(requestedAt), MaxWait: r.MaxWait, Avoid: r.Avoid,
	}
	local := row.Holder == s.fleet.Name()
	slot := &Slot{service: s, id: id, group: r.Group}
	var result requestResult
	if local {
		result = s.requestLocal(ctx, req)
	} else {
		slot.broker = address
		if err := s.peers.Call(ctx, address, methodRequest, req, &result); err != nil {
			slot.abandon()
			return nil, callError(ctx, r.Group, err)
		}
	}
	if result.Grant == nil {
		s.endRequest(id)
		return nil, refusalError(ctx, r.Group, result.Refusal)
	}
	return s.acceptGrant(ctx, slot, result, requestedAt)
}

// brokerOf returns the instance that is a group's broker, and its peer address.
func (s *Service) brokerOf(g slots.Group) (row struct{ Holder string }, address string, err error) {
	owners := s.owners.Load()
	found, ok := owners.rows[g]
	address, listed := owners.addresses[found.Holder]
	if !ok || !listed {
		return row, "", &UnavailableError{Group: g, Reason: reasonNoBroker, RetryAfter: unavailableRetryAfter}
	}
	row.Holder = found.Holder
	return row, address, nil
}

// callError returns the error for a call to a broker that failed with err.
func callError(ctx context.Context, g slots.Group, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &UnavailableError{Group: g, Reason: reasonNoBroker, RetryAfter: unavailableRetryAfter, Err: err}
}

// refusalError converts a broker's refusal to an error.
func refusalError(ctx context.Context, g slots.Group, r *refusalMessage) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if r == nil {
		return &UnavailableError{Group: g, Reason: reasonNoBroker, RetryAfter: unavailableRetryAfter}
	}
	return r.toError(g)
}

// acceptGrant takes a grant into use. A grant by the local broker is first
// recorded by a peer, so that a successor of this broker can learn of it.
func (s *Service) acceptGrant(ctx context.Context, slot *Slot, result requestResult, requestedAt time.Time) (*Slot, error) {
	slot.Address = result.Grant.Address
	slot.ExpiresAt = requestedAt.Add(result.Lifetime)
	if slot.broker == "" {
		if err := s.recordWithPeer(ctx, slot, *result.Grant); err != nil {
			slot.abandon()
			return nil, err
		}
	}
	s.holderMu.Lock()
	accepted := time.Now().Before(slot.ExpiresAt) && s.holder.Accept(*result.Grant, time.Now())
	s.holderMu.Unlock()
	if !accepted {
		slot.abandon()
		return nil, &UnavailableError{Group: slot.group, Reason: reasonEnded, RetryAfter: unavailableRetryAfter}
	}
	return slot, nil
}

// recordWithPeer has a peer record a grant. Without a peer that may do so, the
// grant may be used unrecorded only if the group's row permits it.
func (s *Service) recordWithPeer(ctx context.Context, slot *Slot, g slots.Grant) error {
	var lastErr error
	t := s.tenure(slot.group)
	for _, m := range s.fleet.Members() {
		if m.Name == s.fleet.Name() || t == nil || !t.mayGrantTo(m.Name) {
			continue // a successor requests reports only from instances in the row
		}
		params := recordGrantParams{Grant: g, Remaining: time.Until(slot.ExpiresAt)}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		lastErr = s.peers.Call(callCtx, m.PeerAddress, methodRecordGrant, params, nil)
		cancel()
		if lastErr == nil {
			slot.recordingPeer = m.PeerAddress
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if lastErr == nil && t != nil && t.allowUnrecorded(slot.ExpiresAt) {
		return nil
	}
	return &UnavailableError{Group: slot.group, Reason: reasonNoBroker, RetryAfter: unavailableRetryAfter, Err: lastErr}
}

func (s *Service) beginRequest(r Request) slots.ID {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.SetInstance(s.fleet.Name())
	return s.holder.Begin(r.Group, r.Deadline)
}

func (s *Service) endRequest(id slots.ID) {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.End(id)
}

// Endpoint returns the endpoint's address.
func (s *Slot) Endpoint() string { return s.Address }

// Deadline returns when the request must have ended.
func (s *Slot) Deadline() time.Time { return s.ExpiresAt }

func (s *Service) endBusyUntil(id slots.ID, until time.Time) {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.EndBusyUntil(id, until)
}

// ReleaseInfo describes how a request that held a slot ended.
type ReleaseInfo struct {
	// Answered reports whether the endpoint's complete response arrived.
	Answered bool
	// BusyFor is how long the endpoint may still be busy with the request.
	BusyFor time.Duration
	// KeepUntilExpiry is set when the endpoint may not learn that the request
	// was canceled. The slot then stays in use until it expires.
	KeepUntilExpiry bool
}

// Release releases the slot after the request has ended.
func (s *Slot) Release(info ReleaseInfo) {
	switch {
	case info.KeepUntilExpiry:
		s.service.endBusyUntil(s.id, s.ExpiresAt)
		return
	case info.BusyFor > 0:
		s.service.endBusyUntil(s.id, time.Now().Add(info.BusyFor))
	default:
		s.service.endRequest(s.id)
		if s.recordingPeer != "" {
			s.service.sendAsync(s.recordingPeer, methodForgetGrant, forgetGrantParams{ID: s.id})
		}
	}
	s.releaseAtBroker(releaseParams{
		Release: slots.Release{ID: s.id, Group: s.group, BusyFor: info.BusyFor},
		Address: s.Address, Answered: info.Answered,
	})
}

// abandon releases a slot that was never used, or cancels a request for one.
func (s *Slot) abandon() { s.Release(ReleaseInfo{}) }

// releaseAtBroker sends the release to the slot's broker.
func (s *Slot) releaseAtBroker(r releaseParams) {
	if s.broker != "" {
		s.service.sendAsync(s.broker, methodRelease, r)
		return
	}
	if t := s.service.tenure(s.group); t != nil {
		t.release(r)
	}
}

// Observe implements endpoint.Observer. It passes outcomes that affect an
// endpoint's health to the endpoint's broker.
func (s *Service) Observe(address string, o health.Outcome, _ time.Duration) {
	switch o {
	case health.OutcomeAnswered, health.OutcomeFailed, health.OutcomeShed:
		return // reported when the slot is released
	case health.OutcomeLeaving, health.OutcomeStaleConnection, health.OutcomeTimedOut, health.OutcomeUnreachable,
		health.OutcomeBroken, health.OutcomeProbed:
	}
	index := s.document()
	if index == nil {
		return
	}
	for g, endpoints := range groupsOf(index) {
		for _, e := range endpoints {
			if e.Address == address {
				s.sendOutcome(g, address, o)
			}
		}
	}
}

// sendOutcome passes an outcome at an endpoint to a group's broker.
func (s *Service) sendOutcome(g slots.Group, address string, o health.Outcome) {
	row, brokerAddress, err := s.brokerOf(g)
	if err != nil {
		return
	}
	if row.Holder == s.fleet.Name() {
		if t := s.tenure(g); t != nil {
			t.observe(address, o)
		}
		return
	}
	s.sendAsync(brokerAddress, methodObserve, observeParams{Group: g, Address: address, Outcome: o})
}
