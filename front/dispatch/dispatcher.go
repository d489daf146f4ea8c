// Package dispatch brings a request to an endpoint of its service: it finds a
// region, waits for a slot there, sends, and gives the slot back when the
// answer has ended.
//
// A request for another region is relayed by an instance there, which waits for
// the slot in its place, so that no slot is held while the request is under way
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
	// intraRegionLatency is the one-way latency inside a region.
	intraRegionLatency = time.Millisecond
	// interRegionLatency is the one-way latency assumed between regions.
	interRegionLatency = 20 * time.Millisecond
	// reasonNoEndpoint is the reason of a request that no region serves.
	reasonNoEndpoint = "no-endpoint"
	// noEndpointRetryAfter is when a caller may come back while a service has no
	// endpoint.
	noEndpointRetryAfter = time.Second
)

// Slot is a slot in use; *broker.Slot implements it.
type Slot interface {
	// Endpoint is the endpoint's address.
	Endpoint() string
	// Bound is when the request must have ended.
	Bound() time.Time
	// Release gives the slot back. It must be called once.
	Release(broker.Ending)
}

// Slots hands out slots.
type Slots interface {
	// Acquire returns a slot as soon as one is granted. Errors:
	// *admission.Refusal, *broker.UnavailableError, or the context's.
	Acquire(ctx context.Context, r broker.Request) (Slot, error)
}

// BrokerSlots hands out the slots of a broker service.
type BrokerSlots struct {
	// Service asks the brokers.
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
	Send(ctx context.Context, t endpoint.Target, r *endpoint.Request) (*endpoint.Answer, error)
}

// Target is what a request is for.
type Target struct {
	// Index is the configuration that the request is served under.
	Index *document.Index
	// Service and Version name the endpoints.
	Service, Version string
	// Deadline is when the request must have ended.
	Deadline time.Time
	// Avoid lists addresses that an earlier attempt failed at.
	Avoid []string
}

// Dispatcher sends requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	// Region is the instance's own region.
	Region string
	// Slots hands out slots.
	Slots Slots
	// Endpoints sends to endpoints.
	Endpoints Sender
	// Relays sends through other instances.
	Relays Relays
	// Drains says how far regions are drained; nil means that none is.
	Drains Drains
	// Meters count; nil counts nothing.
	Meters *Meters
}

// Drains says how far regions are drained; *shifts.Manager implements it.
type Drains interface {
	// Moved returns the part of the region's requests, 0 to 1, that goes to
	// other regions.
	Moved(region string) float64
}

// Relays sends requests through instances in other regions.
type Relays interface {
	// Relay sends through an instance in the region. It reports false when
	// none is known there. Errors: *endpoint.Error, *admission.Refusal,
	// *broker.UnavailableError.
	Relay(ctx context.Context, g slots.Group, maxWait time.Duration, r *endpoint.Request) (a *endpoint.Answer, known bool, err error)
}

// Send sends r to an endpoint of the target and returns the answer. Errors:
// *endpoint.Error with its verdict; *admission.Refusal, *broker.UnavailableError
// or the context's when the request has certainly not run.
func (d *Dispatcher) Send(ctx context.Context, t Target, r *endpoint.Request) (*endpoint.Answer, error) {
	regions := d.regions(t, r.ID)
	if len(regions) == 0 {
		return nil, &broker.UnavailableError{Group: t.group(""), Reason: reasonNoEndpoint, Wait: noEndpointRetryAfter}
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

// group names the target's slots in a region.
func (t Target) group(region string) slots.Group {
	return slots.Group{Service: t.Service, Version: t.Version, Region: region}
}

// refusalWait returns the wait that a region gave as its reason to refuse, and
// whether it gives slots at all; -1 means that the error is no such refusal.
func refusalWait(err error) (wait time.Duration, open bool) {
	var refusal *admission.Refusal
	var unavailable *broker.UnavailableError
	switch {
	case errors.As(err, &refusal):
		return refusal.Wait, true
	case errors.As(err, &unavailable):
		return unavailable.Wait, false
	}
	return -1, false
}

// regions returns the regions that serve the target, nearest first. Regions
// that are drained are left out for the share of requests that has moved.
func (d *Dispatcher) regions(t Target, id string) []routing.Region {
	var list []routing.Region
	seen := make(map[string]bool)
	for _, e := range t.Index.Version(t.Service, t.Version).Endpoints {
		name := t.Index.Region(e.FailureDomain)
		if seen[name] {
			continue
		}
		seen[name] = true
		if d.Drains != nil && routing.InShare(id, d.Drains.Moved(name)) {
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

// sendInRegion sends in one region.
func (d *Dispatcher) sendInRegion(ctx context.Context, t Target, region string, maxWait time.Duration, r *endpoint.Request) (*endpoint.Answer, error) {
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

// SendAt waits for a slot of one group and sends on it.
func (d *Dispatcher) SendAt(ctx context.Context, q broker.Request, r *endpoint.Request) (*endpoint.Answer, error) {
	requestedAt := time.Now()
	slot, err := d.Slots.Acquire(ctx, q)
	d.Meters.recordAcquire(q, time.Since(requestedAt), err)
	if err != nil {
		return nil, err
	}
	slotCtx, cancel := context.WithDeadline(ctx, slot.Bound())
	sent := *r
	if sent.Idempotent && sent.Silence == 0 {
		sent.Silence = progressTimeout(time.Until(slot.Bound()))
	}
	response, err := d.Endpoints.Send(slotCtx, endpoint.Target{Address: slot.Endpoint()}, &sent)
	if err != nil {
		cancel()
		slot.Release(endingOf(err))
		return nil, err
	}
	response.Body = &slotBody{ReadCloser: response.Body, slot: slot, cancel: cancel}
	return response, nil
}

// trackedBody notes whether anything of a request's body was read.
type trackedBody struct {
	io.ReadCloser
	read atomic.Bool
}

// trackBody puts a watch on a request's body.
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
