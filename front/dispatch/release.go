package dispatch

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

const (
	// settleTime is how long an endpoint may take to end a request whose
	// connection was closed.
	settleTime = 250 * time.Millisecond
	// silenceParts is the part of an idempotent request's time, as a divisor,
	// after which a silent connection is given up.
	silenceParts = 3
	// leastSilence bounds that time from below.
	leastSilence = 250 * time.Millisecond
)

// silenceFor returns how long an idempotent request waits on a silent
// connection, so that time is left for another attempt.
func silenceFor(left time.Duration) time.Duration {
	return max(leastSilence, left/silenceParts)
}

// endingOf says how a failed request leaves its slot. Only what proves that the
// endpoint is not busy with it frees the slot at once.
func endingOf(err error) broker.ReleaseInfo {
	var failed *endpoint.Error
	if !errors.As(err, &failed) {
		return broker.ReleaseInfo{KeepUntilExpiry: true}
	}
	switch {
	case failed.Reason == endpoint.ReasonShed:
		return broker.ReleaseInfo{Answered: true}
	case failed.Verdict == verdict.NotRun:
		return broker.ReleaseInfo{}
	case failed.Reason == endpoint.ReasonTimedOut, failed.Reason == endpoint.ReasonDeadline:
		return broker.ReleaseInfo{KeepUntilExpiry: true} // the cancellation may be lost too
	default:
		return broker.ReleaseInfo{BusyFor: settleTime}
	}
}

// slotBody is an answer's body that gives the slot back at its end.
type slotBody struct {
	io.ReadCloser
	slot   Slot
	cancel context.CancelFunc
	once   sync.Once
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.end(broker.ReleaseInfo{Answered: true})
	case err != nil:
		b.end(endingOf(err))
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(broker.ReleaseInfo{BusyFor: settleTime})
	return err
}

func (b *slotBody) end(e broker.ReleaseInfo) {
	b.once.Do(func() {
		b.cancel()
		b.slot.Release(e)
	})
}
