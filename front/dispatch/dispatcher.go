// Package dispatch sends a request to an endpoint of its service: it chooses a
// region, waits for a slot there, sends the request, and releases the slot when
// the response has ended.
//
// A request for another region is relayed by an instance there, which waits for
// the slot on its behalf. No slot is therefore held while the request travels
// between regions.
package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/routing"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

const (
	// intraRegionLatency is the assumed one-way latency within a region.
	intraRegionLatency = time.Millisecond
	// interRegionLatency is the assumed one-way latency between regions.
	interRegionLatency = 20 * time.Millisecond
	// reasonNoEndpoint is the reason for a request that no region serves.
	reasonNoEndpoint = "no-endpoint"
	// noEndpointRetryAfter is the Retry-After for a request that no region
	// serves or whose relay is unreachable.
	noEndpointRetryAfter = time.Second
)

// Slot is a granted slot; *broker.Slot implements it.
type Slot interface {
	// Endpoint returns the address of the endpoint.
	Endpoint() string
	// Deadline returns the time by which the request must have ended.
	Deadline() time.Time
	// Release releases the slot. It must be called exactly once.
	Release(broker.ReleaseInfo)
}

// Slots grants slots.
type Slots interface {
	// Acquire returns a slot as soon as one is granted. Errors:
	// *admission.Refusal, *broker.UnavailableError, or the context's.
	Acquire(ctx context.Context, r broker.Request) (Slot, error)
}

// BrokerSlots implements Slots with a broker service.
type BrokerSlots struct {
	// Service requests slots from the brokers.
	Service *broker.Service
}

// Acquire implements Slots.
func (s BrokerSlots) Acquire(ctx context.Context, r broker.Request) (Slot, error) {
	slot, err := s.Service.Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return slot, nil
}

// Sender sends one request to one endpoint; *endpoint.Client implements it.
type Sender interface {
	Send(ctx context.Context, t endpoint.Target, r *endpoint.Request) (*endpoint.Response, error)
}

// Target describes the endpoints that a request is for.
type Target struct {
	// Index is the configuration under which the request is served.
	Index *document.Index
	// Service and Version identify the endpoints.
	Service, Version string
	// Deadline is the time by which the request must have ended.
	Deadline time.Time
	// Avoid lists addresses at which earlier attempts failed.
	Avoid []string
}

// Dispatcher sends requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	// Region is the local region.
	Region string
	// Slots grants slots.
	Slots Slots
	// Endpoints sends requests to endpoints.
	Endpoints Sender
	// Relays sends requests through instances in other regions.
	Relays Relays
	// Drains returns the drained share of a region; nil means that no region is
	// drained.
	Drains Drains
	// Meters holds the instruments; nil disables them.
	Meters *Meters
}

// Drains returns the drained share of regions; *shifts.Manager implements it.
type Drains interface {
	// DrainedShare returns the share of the region's requests, from 0 to 1,
	// that goes to other regions.
	DrainedShare(region string) float64
}

// Relays sends requests through instances in other regions.
type Relays interface {
	// Relay sends a request through an instance in the region of g. known is
	// false if no instance is known there. Errors: *endpoint.Error,
	// *admission.Refusal, *broker.UnavailableError.
	Relay(ctx context.Context, g slots.Group, maxWait time.Duration, r *endpoint.Request) (response *endpoint.Response, known bool, err error)
}

// Send sends r to an endpoint of the target and returns the response. Errors:
// *endpoint.Error with its verdict, or, if the request has certainly not run,
// *admission.Refusal, *broker.UnavailableError or the context's error.
func (d *Dispatcher) Send(ctx context.Context, t Target, r *endpoint.Request) (*endpoint.Response, error) {
	regions := d.regions(t, r.ID)
	if len(regions) == 0 {
		return nil, &broker.UnavailableError{Group: t.group(""), Reason: reasonNoEndpoint, RetryAfter: noEndpointRetryAfter}
	}
	body := trackBody(r)
	search := routing.NewSearch(regions)
	var lastErr error
	for {
		i, maxWait, ok := search.Next()
		if !ok {
			return nil, lastErr
		}
		response, err := d.sendInRegion(ctx, t, regions[i].Name, maxWait, r)
		wait, open := refusalWait(err)
		if err == nil || wait < 0 || ctx.Err() != nil || body.readStarted() {
			return response, err
		}
		lastErr = err
		if open {
			search.RecordBusy(wait)
		} else {
			search.RecordClosed()
		}
	}
}

// group returns the slot group of the target in a region.
func (t Target) group(region string) slots.Group {
	return slots.Group{Service: t.Service, Version: t.Version, Region: region}
}

// refusalWait returns the wait that a region gave when it refused a slot, and
// whether the region grants slots at all. wait is -1 if err is not such a
// refusal.
func refusalWait(err error) (wait time.Duration, open bool) {
	var refusal *admission.Refusal
	var unavailable *broker.UnavailableError
	switch {
	case errors.As(err, &refusal):
		return refusal.Wait, true
	case errors.As(err, &unavailable):
		return unavailable.RetryAfter, false
	}
	return -1, false
}

// regions returns the regions that serve the target, in order of latency. A
// region that is being drained is left out for the drained share of requests.
func (d *Dispatcher) regions(t Target, id string) []routing.Region {
	var list []routing.Region
	seen := make(map[string]bool)
	for _, e := range t.Index.Version(t.Service, t.Version).Endpoints {
		name := t.Index.Region(e.FailureDomain)
		if seen[name] {
			continue
		}
		seen[name] = true
		if d.Drains != nil && routing.InShare(id, d.Drains.DrainedShare(name)) {
			continue
		}
		latency := interRegionLatency
		if name == d.Region {
			latency = intraRegionLatency
		}
		list = append(list, routing.Region{Name: name, Latency: latency})
	}
	routing.SortByLatency(list)
	return list
}

// sendInRegion sends r to an endpoint in one region, through a relay there if
// one is known.
func (d *Dispatcher) sendInRegion(ctx context.Context, t Target, region string, maxWait time.Duration, r *endpoint.Request) (*endpoint.Response, error) {
	if region != d.Region {
		if response, known, err := d.Relays.Relay(ctx, t.group(region), maxWait, r); known {
			d.Meters.recordRelay(t.Service, region)
			return response, err
		}
	}
	return d.SendAt(ctx, broker.Request{
		Group: t.group(region), Team: r.Team, Deadline: t.Deadline, MaxWait: maxWait, Avoid: t.Avoid,
	}, r)
}

// SendAt waits for a slot of one group and sends r to its endpoint.
func (d *Dispatcher) SendAt(ctx context.Context, req broker.Request, r *endpoint.Request) (*endpoint.Response, error) {
	requestedAt := time.Now()
	slot, err := d.Slots.Acquire(ctx, req)
	d.Meters.recordAcquire(req, time.Since(requestedAt), err)
	if err != nil {
		return nil, err
	}
	slotCtx, cancel := context.WithDeadline(ctx, slot.Deadline())
	sent := *r
	if sent.Idempotent && sent.ProgressTimeout == 0 {
		sent.ProgressTimeout = progressTimeout(time.Until(slot.Deadline()))
	}
	response, err := d.Endpoints.Send(slotCtx, endpoint.Target{Address: slot.Endpoint()}, &sent)
	if err != nil {
		cancel()
		slot.Release(releaseInfoFor(err))
		return nil, err
	}
	response.Body = &slotBody{ReadCloser: response.Body, slot: slot, cancel: cancel}
	return response, nil
}

// trackedBody records whether any of a request body was read.
type trackedBody struct {
	io.ReadCloser
	read atomic.Bool
}

// trackBody replaces the body of r with a tracked one.
func trackBody(r *endpoint.Request) *trackedBody {
	b := &trackedBody{ReadCloser: r.HTTP.Body}
	if r.HTTP.Body == nil || r.HTTP.Body == http.NoBody {
		return b
	}
	tracked := *r.HTTP
	tracked.Body = b
	r.HTTP = &tracked
	return b
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.ReadCloser.Read(p)
}

func (b *trackedBody) readStarted() bool { return b.read.Load() }
