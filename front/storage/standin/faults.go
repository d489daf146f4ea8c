package standin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
)

var (
	// ErrResponseLost is the cause of an error whose answer was lost: the write took
	// effect.
	ErrResponseLost = errors.New("answer lost")
	// ErrDown is the cause of an error of a store that is down.
	ErrDown = errors.New("connection broken")

	errInjectedRefusal = errors.New("refused by a fault that was set")
)

// Faults says how the store misbehaves; the zero value means not at all.
type Faults struct {
	// Delay is waited before a call is carried out, in nanoseconds in JSON.
	Delay time.Duration `json:"delay"`
	// Refuse answers every call with status 503 and carries out none.
	Refuse bool `json:"refuse"`
	// Down breaks the connection of every call and carries out none. The
	// client can't tell that none was carried out.
	Down bool `json:"down"`
	// Freeze leaves every call without an answer until its client gives up,
	// and carries out none.
	Freeze bool `json:"freeze"`
	// LoseAnswers is how many writes from now on take effect without their
	// answer reaching the client.
	LoseAnswers int `json:"loseAnswers"`
	// InstancesLag is how old the list of instances is, in nanoseconds in
	// JSON.
	InstancesLag time.Duration `json:"instancesLag"`
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults as they stand.
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

// inject waits and fails as the faults say. The effect is what a client knows
// of a call that got no answer.
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

// loseResponse uses up one lost answer, if one is left.
func (s *Store) loseResponse(op string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return &storage.Error{Op: op, Effect: storage.EffectUnknown, Err: ErrResponseLost}
}
