// Package request sends requests as a caller does. It queries an instance for
// the instances to use and sends the request to the first of them. It moves on
// to the next instance only after a response that proves that the request has
// not run.
package request

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cardamomfront/cardamomfront/front/caller"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 1 << 20

// Client is a caller. It is not safe for concurrent use.
type Client struct {
	// HTTP sends the requests. Required.
	HTTP *http.Client
	// Seeds are base addresses of instances to query for the instances to use.
	// At least one is required.
	Seeds []string
	// Key is the caller's key. It is empty on routes that are open to all.
	Key string

	entries []caller.Entry
}

// Request is a caller's request.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the path including the query.
	Path string
	// Body is the complete body.
	Body []byte
	// IdempotencyKey is the idempotency key, or empty.
	IdempotencyKey string
}

// Response is the response to a caller's request.
type Response struct {
	// Instance is the base address of the instance that responded.
	Instance string `json:"instance"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Verdict reports whether the request has run, according to the instance.
	Verdict string `json:"verdict"`
	// Reason is the reason of a refusal, or empty.
	Reason string `json:"reason,omitempty"`
	// RequestID identifies the request in logs.
	RequestID string `json:"requestId"`
	// Body is the response body.
	Body string `json:"body"`
}

// NoEntriesError is returned if no seed responds with the instances to use.
type NoEntriesError struct {
	// Last is the error of the last seed.
	Last error
}

// Error implements error.
func (e *NoEntriesError) Error() string {
	return fmt.Sprintf("no instance told which ones to use: %v", e.Last)
}

// Unwrap returns the error of the last seed.
func (e *NoEntriesError) Unwrap() error { return e.Last }

// StatusError is returned if a seed responds with an error status.
type StatusError struct {
	// Status is the HTTP status line.
	Status string
}

// Error implements error.
func (e *StatusError) Error() string { return "answered " + e.Status }

// Entries queries the seeds for the instances to use. Errors: *NoEntriesError.
func (c *Client) Entries(ctx context.Context) ([]caller.Entry, error) {
	var last error
	for _, seed := range c.Seeds {
		entries, err := c.fetchEntries(ctx, seed)
		if err == nil {
			c.entries = entries
			return entries, nil
		}
		last = err
	}
	return nil, &NoEntriesError{Last: last}
}

// fetchEntries queries one instance for the instances to use.
func (c *Client) fetchEntries(ctx context.Context, baseURL string) ([]caller.Entry, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+caller.EntriesPath, nil)
	if err != nil {
		return nil, err
	}
	c.authorize(req)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.Status}
	}
	var response caller.EntriesResponse
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&response)
	return response.Entries, err
}

// Send sends r to the first of the instances to use. It moves on to the next one
// only after a response with a 5xx status and the verdict that r has not run.
func (c *Client) Send(ctx context.Context, r Request) (Response, error) {
	if len(c.entries) == 0 {
		if _, err := c.Entries(ctx); err != nil {
			return Response{}, err
		}
	}
	var response Response
	var err error
	for _, e := range c.entries {
		response, err = c.sendTo(ctx, e.URL, r)
		if err != nil || response.Verdict != verdict.NotRun.String() || response.Status < http.StatusInternalServerError {
			return response, err
		}
	}
	return response, err
}

// sendTo sends r to one instance.
func (c *Client) sendTo(ctx context.Context, baseURL string, r Request) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, baseURL+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, err
	}
	c.authorize(req)
	if r.IdempotencyKey != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return Response{
		Instance:  baseURL,
		Status:    resp.StatusCode,
		Verdict:   resp.Header.Get(caller.HeaderVerdict),
		Reason:    resp.Header.Get(caller.HeaderReason),
		RequestID: resp.Header.Get(caller.HeaderRequestID),
		Body:      string(body),
	}, err
}

// authorize adds the caller's key to a request.
func (c *Client) authorize(r *http.Request) {
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
}
