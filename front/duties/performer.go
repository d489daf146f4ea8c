package duties

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/duty"
)

const (
	// tableDuties has a row for each duty, by its kind.
	tableDuties = "cardamomfront-duties"
	// stepInterval is the time between two steps of a duty.
	stepInterval = 200 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 2 * time.Second
	// callTimeout bounds a call to the platform. A report is due 5 s after it is
	// recorded, which leaves time for a second call.
	callTimeout = 2 * time.Second
	// minCallBackoff and maxCallBackoff bound the time until a call after one that
	// is not known to be delivered.
	minCallBackoff = 500 * time.Millisecond
	maxCallBackoff = 2 * time.Second
)

// performer performs one duty at one instance.
type performer struct {
	duty     Duty
	settings duty.Settings
	address  string
	store    Store
	rank     func() int
	limit    *callLimit
	metrics  *metrics
	log      logrus.FieldLogger

	mu       sync.Mutex // guards the fields below and the methods of duty
	state    *duty.State
	held     bool
	token    uint64
	attempts map[int64]int // calls made, by ID
	sending  bool
	leaving  bool
	backoff  time.Duration
	sendAt   time.Time
	lastAt   time.Time // when a call was last delivered
}

// run performs the duty until ctx ends.
func (p *performer) run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.step(ctx)
		if call, f, until, ok := p.nextCall(time.Now()); ok {
			calls.Go(func() { p.send(ctx, call, f, until) })
		}
	}
}

// step makes the store call that is needed, if any.
func (p *performer) step(ctx context.Context) {
	rank := p.rank()
	p.mu.Lock()
	now := duty.Now(time.Now())
	if p.leaving && !p.sending {
		p.state.Leave()
	}
	a := p.state.Next(now, rank)
	if a.Kind == duty.Act {
		state, due, changed := p.duty.Prepare(now.Wall, a.Write, p.state.RestoredAt())
		if !changed {
			p.mu.Unlock()
			return
		}
		a.Write.State, a.Write.Due = state, due.UnixMilli()
	}
	p.mu.Unlock()
	switch a.Kind {
	case duty.None:
	case duty.Read:
		p.read(ctx)
	case duty.Claim, duty.Act, duty.Renew, duty.Release:
		p.write(ctx, a)
	}
}

// read reads the row.
func (p *performer) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	batch, err := p.store.Read(ctx, tableDuties)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := duty.Now(time.Now())
	if err != nil {
		p.log.WithError(err).Warn("Failed to read the row of the duty.")
		p.observeEra(now, err)
		p.state.ReadFailed(now)
		return
	}
	row := duty.Row{Era: batch.Era}
	if stored, ok := batch.ByKey()[string(p.duty.Kind())]; ok {
		if row, err = duty.Decode(stored.Value, stored.Revision, batch.Era); err != nil {
			p.log.WithError(err).Error("Failed to decode the row of the duty, it counts as one without a holder.")
		}
	}
	p.state.Observe(now, row)
	p.confirmed(now)
}

// write writes the row on the condition that it is unchanged.
func (p *performer) write(ctx context.Context, a duty.Action) {
	value, err := a.Write.Encode()
	if err != nil {
		p.log.WithError(err).Error("Failed to encode the row of the duty.")
		return
	}
	name := registry.RowName{Table: tableDuties, Key: string(p.duty.Kind())}
	p.mu.Lock()
	p.state.Begin(duty.Now(time.Now()), a.Write)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := p.store.Write(ctx, registry.Change{
		Era:        a.Write.Era,
		Conditions: []registry.Condition{{RowName: name, Revision: a.Write.Revision}},
		Rows:       []registry.NewRow{{RowName: name, Value: value}},
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	now := duty.Now(time.Now())
	result := duty.Result{Outcome: outcomeOf(err)}
	if result.Outcome == duty.Applied && revision > a.Write.Revision {
		result.Revision = revision // otherwise a read finds it out
	}
	if err != nil {
		p.log.WithError(err).WithFields(logrus.Fields{"action": a.Kind.String(), "token": a.Write.Token, "outcome": outcomeName(result.Outcome)}).Warn("Failed to write the row of the duty.")
	}
	p.observeEra(now, err)
	p.state.Written(now, result)
	if result.Outcome == duty.Applied {
		p.confirmed(now)
		return
	}
	p.observeHolding(now)
}

// outcomeOf returns the outcome of a write.
func outcomeOf(err error) duty.Outcome {
	var conflict *registry.ConflictError
	var unavailable *registry.UnavailableError
	switch {
	case err == nil:
		return duty.Applied
	case errors.As(err, &conflict):
		return duty.Conflict
	case errors.As(err, &unavailable):
		return duty.Rejected
	}
	return duty.Unknown
}

func outcomeName(o duty.Outcome) string {
	return map[duty.Outcome]string{duty.Unknown: "unknown", duty.Applied: "applied", duty.Conflict: "conflict", duty.Rejected: "rejected"}[o]
}

// observeEra applies the era that a failed call has shown. The caller holds mu.
func (p *performer) observeEra(now duty.Clock, err error) {
	var era *registry.EraError
	if errors.As(err, &era) {
		p.state.ObserveEra(era.Actual)
	}
}

// confirmed applies the row that the store has confirmed. The caller holds mu.
func (p *performer) confirmed(now duty.Clock) {
	row, ok := p.state.Row()
	if !ok {
		return
	}
	if err := p.duty.Confirmed(now.Wall, row, p.state.RestoredAt()); err != nil {
		p.log.WithError(err).Error("Failed to decode the state of the duty.")
	}
	p.observeHolding(now)
}

// observeHolding logs when the instance begins or ceases to hold the duty. The caller
// holds mu.
func (p *performer) observeHolding(now duty.Clock) {
	row, _ := p.state.Row()
	held := p.state.Holding()
	if held == p.held && (!held || row.Token == p.token) {
		return
	}
	lost := p.token
	p.held, p.token = held, row.Token
	fields := logrus.Fields{"holder": row.Holder, "token": row.Token, "row_age_ms": p.rowAge(now).Milliseconds()}
	if held {
		p.log.WithFields(fields).Info("Duty claimed.")
		return
	}
	if row.Released {
		p.log.WithFields(fields).Info("Duty released.")
		return
	}
	fields["lost_token"] = lost
	p.log.WithFields(fields).Warn("Duty lost.")
}

// rowAge returns how long ago the latest version of the row became known, 0 if none is.
// The caller holds mu.
func (p *performer) rowAge(now duty.Clock) time.Duration {
	if _, known := p.state.Notice(); !known {
		return 0
	}
	return p.state.RowAge(now)
}

// nextCall returns the call to the platform to make now, and when it must have ended.
func (p *performer) nextCall(now time.Time) (call Call, f Fence, until time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, known := p.state.Row()
	if p.sending || !known || !p.state.Holding() {
		return Call{}, Fence{}, time.Time{}, false
	}
	pending := p.duty.Pending(row, p.state.RestoredAt())
	p.state.SetPending(len(pending) > 0)
	permit, permitted := p.state.Permit(duty.Now(now))
	if len(pending) == 0 || !permitted || now.Before(p.sendAt) || !p.limit.take(now) {
		return Call{}, Fence{}, time.Time{}, false
	}
	call = pending[0]
	attempts := make(map[int64]int, len(pending))
	for _, c := range pending {
		attempts[c.ID] = p.attempts[c.ID]
		if attempts[c.ID] < attempts[call.ID] {
			call = c // a call that always fails does not hold up the others
		}
	}
	p.attempts = attempts
	p.attempts[call.ID]++
	p.sending = true
	until = now.Add(callTimeout)
	if !permit.Until.IsZero() && permit.Until.Before(until) {
		until = permit.Until
	}
	return call, Fence{Address: p.address, Holder: p.settings.Holder, Token: permit.Token}, until, true
}

// mayStillSend reports whether a call is still permitted. The process may have been
// frozen since the call was chosen, and the deadline's clock with it.
func (p *performer) mayStillSend(f Fence) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	permit, ok := p.state.Permit(duty.Now(time.Now()))
	if ok && permit.Token == f.Token {
		return true
	}
	p.sending = false
	p.log.WithFields(logrus.Fields{"holder": f.Holder, "token": f.Token}).Warn("A call is not made, its permit has ended.")
	return false
}

// send makes a call to the platform and applies its result.
func (p *performer) send(ctx context.Context, call Call, f Fence, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if !p.mayStillSend(f) {
		return
	}
	err := call.Send(ctx, f)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sending = false
	log := p.log.WithFields(logrus.Fields{"call": call.ID, "holder": f.Holder, "token": f.Token, "row_age_ms": p.rowAge(duty.Now(now)).Milliseconds()})
	if !p.state.Holding() || p.token != f.Token {
		log.WithError(err).Warn("Result of a call arrived after the duty was lost.")
	}
	p.metrics.call(p.duty.Kind(), err)
	var fenced *FencedError
	switch {
	case err == nil:
		p.backoff, p.lastAt = 0, now
		call.Delivered(f)
		return
	case errors.As(err, &fenced):
		log.Warn("The platform refused a call, it has seen a higher fencing token.")
		p.state.Refused(duty.Now(now), f.Token)
		p.observeHolding(duty.Now(now))
		return
	}
	p.backoff = min(max(2*p.backoff, minCallBackoff), maxCallBackoff)
	p.sendAt = now.Add(p.backoff)
	log.WithError(err).WithField("again_ms", p.backoff.Milliseconds()).Warn("A call is not known to be delivered, it is made again.")
}

// leave gives up the duty once the call in progress has ended.
func (p *performer) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// notice returns the latest version of the row that is known.
func (p *performer) notice() (duty.Notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Notice()
}

// receive applies what another instance tells of the duty.
func (p *performer) receive(now time.Time, in part) error {
	if in.Notice != nil {
		p.mu.Lock()
		p.state.Hear(duty.Now(now), *in.Notice)
		p.duty.Heard(time.UnixMilli(in.Notice.Due))
		p.observeHolding(duty.Now(now))
		p.mu.Unlock()
	}
	sharer, ok := p.duty.(Sharer)
	if !ok || in.Data == nil {
		return nil
	}
	if err := sharer.Merge(now.Round(0), in.Data); err != nil {
		return fmt.Errorf("duty %s: %w", p.duty.Kind(), err)
	}
	return nil
}

// status returns what the metrics tell of the duty.
func (p *performer) status() (held bool, token uint64, lastAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, _ := p.state.Row()
	return p.state.Holding(), row.Token, p.lastAt
}

// callLimit limits the calls to the platform of all duties of the instance. Two
// holders may call in one second, when the holder changes, so each uses half of what
// the platform accepts.
type callLimit struct {
	interval time.Duration

	mu     sync.Mutex
	nextAt time.Time
}

func newCallLimit(perSecond float64) *callLimit {
	return &callLimit{interval: time.Duration(2 / perSecond * float64(time.Second))}
}

// take reports whether a call may be made now.
func (l *callLimit) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextAt) {
		return false
	}
	l.nextAt = now.Add(l.interval)
	return true
}
