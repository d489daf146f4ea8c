package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	pending        sync.WaitGroup
}

func newCallers(w *world, method, prefix string, bodyBytes int, deadline time.Duration) *callers {
	return &callers{
		world: w, method: method, prefix: prefix, body: make([]byte, bodyBytes), deadline: deadline,
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

// request sends one request to a gateway picked at random. If no connection can be
// made, it tries two others, each time with a new ID.
func (c *callers) request() {
	object := rand.IntN(24)
	for _, i := range rand.Perm(len(c.world.gateways))[:3] {
		if c.attempt(c.world.gateways[i], object) {
			return
		}
	}
}

// attempt sends the request once and reports whether it was answered.
func (c *callers) attempt(g *gatewayProcess, object int) bool {
	id := c.world.nextID()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, fmt.Sprintf("http://%s%s%d", g.callers, c.prefix, object), bytes.NewReader(c.body))
	if err != nil {
		c.world.note("request %s: %v", id, err)
		return true
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Affinity-Key", fmt.Sprint(object))
	req.Header.Set("Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	c.world.record.addSent(id, g.name)
	resp, err := c.client.Do(req)
	if err != nil {
		c.world.note("request %s: %v", id, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	c.world.note("answered %s: %d", id, resp.StatusCode)
	return true
}
