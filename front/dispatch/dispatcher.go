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
	// distanceInside is the one-way latency inside a region.
	distanceInside = time.Millisecond
	// distanceAcross is the one-way latency assumed between regions.
	distanceAcross = 20 * time.Millisecond
	// reasonNoEndpoint is the reason of a request that no region serves.
	reasonNoEndpoint = "no-endpoint"
	// noEndpointWait is when a caller may come back while a service has no
	// endpoint.
	noEndpointWait = time.Second
)

// Slot is a slot in use; *broker.Slot implements it.
type Slot interface {
	// Endpoint is the endpoint's address.
	Endpoint() string
	// Bound is when the request must have ended.
	Bound() time.Time
	// Release gives the slot back. It must be called once.
	Release(broker.ReleaseInfo)
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
	Send(ctx context.Context, t endpoint.Target, r *endpoint.Request) (*endpoint.Response, error)
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
	Relay(ctx context.Context, g slots.Group, maxWait time.Duration, r *endpoint.Request) (a *endpoint.Response, known bool, err error)
}

// Send sends r to an endpoint of the target and returns the answer. Errors:
// *endpoint.Error with its verdict; *admission.Refusal, *broker.UnavailableError
// or the context's when the request has certainly not run.
func (d *Dispatcher) Send(ctx context.Context, t Target, r *endpoint.Request) (*endpoint.Response, error) {
	regions := d.regions(t, r.ID)
	if len(regions) == 0 {
		return nil, &broker.UnavailableError{Group: t.group(""), Reason: reasonNoEndpoint, RetryAfter: noEndpointWait}
	}
	body := watchBody(r)
	search := routing.NewSearch(regions)
	var last error
	for {
		i, maxWait, ok := search.Next()
		if !ok {
			return nil, last
		}
		answer, err := d.sendIn(ctx, t, regions[i].Name, maxWait, r)
		wait, open := refusedFor(err)
		if err == nil || wait < 0 || ctx.Err() != nil || body.touched() {
			return answer, err
		}
		last = err
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

// refusedFor returns the wait that a region gave as its reason to refuse, and
// whether it gives slots at all; -1 means that the error is no such refusal.
func refusedFor(err error) (wait time.Duration, open bool) {
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

// regions returns the regions that serve the target, nearest first. Regions
// that are drained are left out for the share of requests that has moved.
func (d *Dispatcher) regions(t Target, id string) []routing.Region {
	var list []routing.Region
	known := make(map[string]bool)
	for _, e := range t.Index.Version(t.Service, t.Version).Endpoints {
		name := t.Index.Region(e.FailureDomain)
		if known[name] {
			continue
		}
		known[name] = true
		if d.Drains != nil && routing.InShare(id, d.Drains.Moved(name)) {
			continue
		}
		distance := distanceAcross
		if name == d.Region {
			distance = distanceInside
		}
		list = append(list, routing.Region{Name: name, Latency: distance})
	}
	routing.SortByLatency(list)
	return list
}

// sendIn sends in one region.
func (d *Dispatcher) sendIn(ctx context.Context, t Target, region string, maxWait time.Duration, r *endpoint.Request) (*endpoint.Response, error) {
	if region != d.Region {
		if answer, known, err := d.Relays.Relay(ctx, t.group(region), maxWait, r); known {
			d.Meters.relayed(t.Service, region)
			return answer, err
		}
	}
	return d.SendAt(ctx, broker.Request{
		Group: t.group(region), Team: r.Team, Deadline: t.Deadline, MaxWait: maxWait, Avoid: t.Avoid,
	}, r)
}

// SendAt waits for a slot of one group and sends on it.
func (d *Dispatcher) SendAt(ctx context.Context, q broker.Request, r *endpoint.Request) (*endpoint.Response, error) {
	asked := time.Now()
	slot, err := d.Slots.Acquire(ctx, q)
	d.Meters.asked(q, time.Since(asked), err)
	if err != nil {
		return nil, err
	}
	bound, cancel := context.WithDeadline(ctx, slot.Bound())
	sent := *r
	if sent.Idempotent && sent.ProgressTimeout == 0 {
		sent.ProgressTimeout = silenceFor(time.Until(slot.Bound()))
	}
	answer, err := d.Endpoints.Send(bound, endpoint.Target{Address: slot.Endpoint()}, &sent)
	if err != nil {
		cancel()
		slot.Release(endingOf(err))
		return nil, err
	}
	answer.Body = &slotBody{ReadCloser: answer.Body, slot: slot, cancel: cancel}
	return answer, nil
}

// watchedBody notes whether anything of a request's body was read.
type watchedBody struct {
	io.ReadCloser
	read atomic.Bool
}

// watchBody puts a watch on a request's body.
func watchBody(r *endpoint.Request) *watchedBody {
	b := &watchedBody{ReadCloser: r.HTTP.Body}
	if r.HTTP.Body == nil || r.HTTP.Body == http.NoBody {
		return b
	}
	watched := *r.HTTP
	watched.Body = b
	r.HTTP = &watched
	return b
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.ReadCloser.Read(p)
}

func (b *watchedBody) touched() bool { return b.read.Load() }
