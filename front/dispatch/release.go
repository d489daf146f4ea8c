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
	// cancelGrace is how long an endpoint may take to stop a request after its
	// connection was closed.
	cancelGrace = 250 * time.Millisecond
	// progressTimeoutDivisor divides the remaining time of an idempotent
	// request. A connection without progress for the resulting time is
	// abandoned.
	progressTimeoutDivisor = 3
	// minProgressTimeout is the minimum of that time.
	minProgressTimeout = 250 * time.Millisecond
)

// progressTimeout returns how long an idempotent request waits on a connection
// without progress, so that time remains for another attempt.
func progressTimeout(remaining time.Duration) time.Duration {
	return max(minProgressTimeout, remaining/progressTimeoutDivisor)
}

// releaseInfoFor returns how to release the slot of a failed request. The slot
// is freed immediately only if the error proves that the endpoint is not
// running the request.
func releaseInfoFor(err error) broker.ReleaseInfo {
	var endpointErr *endpoint.Error
	if !errors.As(err, &endpointErr) {
		return broker.ReleaseInfo{KeepUntilExpiry: true}
	}
	switch {
	case endpointErr.Reason == endpoint.ReasonShed:
		return broker.ReleaseInfo{Answered: true}
	case endpointErr.Verdict == verdict.NotRun:
		return broker.ReleaseInfo{}
	case endpointErr.Reason == endpoint.ReasonTimedOut, endpointErr.Reason == endpoint.ReasonDeadline:
		return broker.ReleaseInfo{KeepUntilExpiry: true} // the cancellation may also be lost
	default:
		return broker.ReleaseInfo{BusyFor: cancelGrace}
	}
}

// slotBody is a response body that releases the slot when it ends.
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
		b.release(broker.ReleaseInfo{Answered: true})
	case err != nil:
		b.release(releaseInfoFor(err))
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.release(broker.ReleaseInfo{BusyFor: cancelGrace})
	return err
}

func (b *slotBody) release(info broker.ReleaseInfo) {
	b.once.Do(func() {
		b.cancel()
		b.slot.Release(info)
	})
}
