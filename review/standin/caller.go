package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// connectWait is how long a caller waits for a connection.
const connectWait = time.Second

// callers sends the requests of one team.
type callers struct {
	world          *world
	method, prefix string
	body           []byte
	deadline       time.Duration
	client         *http.Client
	directory      *directory
	pending        sync.WaitGroup
}

func newCallers(w *world, method, prefix string, bodyBytes int, deadline time.Duration) *callers {
	return &callers{
		world: w, directory: newDirectory(w), method: method, prefix: prefix, body: make([]byte, bodyBytes), deadline: deadline,
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: connectWait}).DialContext, DisableKeepAlives: true,
		}},
	}
}

// send sends requests at a mean rate per second until a time.
func (c *callers) send(perSecond float64, until time.Time) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		if next.After(until) {
			time.Sleep(time.Until(until))
			return
		}
		time.Sleep(time.Until(next))
		c.pending.Go(c.request)
	}
}

// maxAttempts is how often a caller sends a request: it retries once, as the users'
// clients do on this site.
const maxAttempts = 2

// request sends one request from a random failure domain. It retries once within its
// time limit, with a new ID and on a new connection: after any failure if the route is
// safe, else only where the request has surely not run. It honors Retry-After up to a
// third of the time that it has left.
func (c *callers) request() {
	addresses := c.directory.resolve(rand.IntN(len(gatewayZones)))
	deadline := time.Now().Add(c.deadline)
	for range maxAttempts {
		if len(addresses) == 0 || time.Until(deadline) <= 0 {
			return
		}
		i := rand.IntN(len(addresses))
		retry, after := c.attempt(addresses[i], deadline)
		if !retry {
			return
		}
		addresses = slices.Delete(slices.Clone(addresses), i, i+1)
		if len(addresses) == 0 {
			addresses = c.directory.resolve(rand.IntN(len(gatewayZones)))
		}
		time.Sleep(min(after, time.Until(deadline)/3))
	}
}

// attempt sends the request once. It reports whether the request may be sent again, and
// after which time.
func (c *callers) attempt(address string, deadline time.Time) (retry bool, after time.Duration) {
	o := outcome{id: c.world.nextID(), sent: time.Now()}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.prefix+o.id, bytes.NewReader(c.body))
	if err != nil {
		c.world.note("request %s: %v", o.id, err)
		return false, 0
	}
	safe := c.method == http.MethodGet
	req.Host = host
	req.Header.Set("Request-Id", o.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(max(1, time.Until(deadline).Milliseconds())))
	req.Header.Set("Authorization", "Token "+key)
	c.world.record.addSent(o.id, address)
	resp, err := c.client.Do(req)
	if err != nil {
		c.world.note("request %s: %v", o.id, err)
		var dial *net.OpError
		return safe || errors.As(err, &dial) && dial.Op == "dial", 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.world.note("answer of %s: %v", o.id, err)
		return safe, 0
	}
	o.answered, o.status, o.endpoint = time.Now(), resp.StatusCode, endpointOf(body)
	c.world.record.addOutcome(o)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // without one, at once
	after = time.Duration(seconds * float64(time.Second))
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true, after
	}
	return safe && o.status >= http.StatusInternalServerError, after
}

// endpointOf returns the endpoint that an answer names in its body. Refusals of the
// gateways name none.
func endpointOf(body []byte) string {
	var answer struct {
		Endpoint string `json:"endpoint"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return ""
	}
	return answer.Endpoint
}
