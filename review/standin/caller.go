package main

import (
	"bytes"
	"context"
	"encoding/json"
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
	for _, i := range rand.Perm(len(c.world.gateways))[:3] {
		if c.attempt(c.world.gateways[i]) {
			return
		}
	}
}

// attempt sends the request once and reports whether it was answered.
func (c *callers) attempt(g *gatewayProcess) bool {
	o := outcome{id: c.world.nextID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+g.callers+c.prefix+o.id, bytes.NewReader(c.body))
	if err != nil {
		c.world.note("request %s: %v", o.id, err)
		return true
	}
	req.Host = host
	req.Header.Set("Request-Id", o.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	c.world.record.addSent(o.id, g.name)
	resp, err := c.client.Do(req)
	if err != nil {
		c.world.note("request %s: %v", o.id, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.world.note("answer of %s: %v", o.id, err)
		return true
	}
	o.answered, o.status, o.endpoint = time.Now(), resp.StatusCode, endpointOf(body)
	c.world.record.addOutcome(o)
	return true
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
