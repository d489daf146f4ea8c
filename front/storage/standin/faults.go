package standin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
)

var (
	// ErrResponseLost is the cause of a storage.Error for a write that took
	// effect but whose response was lost.
	ErrResponseLost = errors.New("response lost")
	// ErrDown is the cause of a storage.Error while Faults.Down is set.
	ErrDown = errors.New("connection broken")

	errInjectedRefusal = errors.New("refused by a fault that was set")
)

// Faults are the faults that the store injects; the zero value injects none.
type Faults struct {
	// Delay is the time before a call is carried out, in nanoseconds in JSON.
	Delay time.Duration `json:"delay"`
	// Refuse rejects every call with status 503 without carrying it out.
	Refuse bool `json:"refuse"`
	// Down breaks the connection of every call without carrying it out. The
	// client can't know that the call had no effect.
	Down bool `json:"down"`
	// Freeze leaves every call without a response until the client gives up,
	// and carries out none.
	Freeze bool `json:"freeze"`
	// LoseResponses is the number of further writes that take effect but whose
	// response does not reach the client.
	LoseResponses int `json:"loseAnswers"`
	// InstancesLag is the age of the list of instances, in nanoseconds in
	// JSON.
	InstancesLag time.Duration `json:"instancesLag"`
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Store) beginRead(ctx context.Context, op string) error {
	s.mu.Lock()
	s.counts.Reads++
	f := s.faults
	s.mu.Unlock()
	return f.inject(ctx, op, storage.EffectNone)
}

func (s *Store) beginWrite(ctx context.Context, op string) error {
	s.mu.Lock()
	s.counts.Writes++
	f := s.faults
	s.mu.Unlock()
	return f.inject(ctx, op, storage.EffectUnknown)
}

// inject applies the faults to a call: it waits, fails, or both. noResponse is
// the effect in the error of a call that gets no response.
func (f Faults) inject(ctx context.Context, op string, noResponse storage.Effect) error {
	if f.Refuse {
		return &storage.Error{Op: op, Effect: storage.EffectNone, Status: http.StatusServiceUnavailable, Err: errInjectedRefusal}
	}
	if f.Down {
		return &storage.Error{Op: op, Effect: noResponse, Err: ErrDown}
	}
	if f.Freeze {
		<-ctx.Done()
		return &storage.Error{Op: op, Effect: noResponse, Err: ctx.Err()}
	}
	if f.Delay > 0 {
		return f.injectDelay(ctx, op, noResponse)
	}
	return nil
}

func (f Faults) injectDelay(ctx context.Context, op string, noResponse storage.Effect) error {
	timer := time.NewTimer(f.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &storage.Error{Op: op, Effect: noResponse, Err: ctx.Err()}
	}
}

// loseResponse returns an error and decrements LoseResponses if that is above 0.
func (s *Store) loseResponse(op string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses == 0 {
		return nil
	}
	s.faults.LoseResponses--
	return &storage.Error{Op: op, Effect: storage.EffectUnknown, Err: ErrResponseLost}
}
