// Package request sends requests the way a caller does: it asks any instance
// which ones to use, and goes on to the next when one proves that the request
// has not run.
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

// maxResponseBytes bounds the answer that is kept, in bytes.
const maxResponseBytes = 1 << 20

// Client is one caller. It is not safe for concurrent use.
type Client struct {
	// HTTP sends the requests. Required.
	HTTP *http.Client
	// Seeds are base addresses of instances to ask first. At least one.
	Seeds []string
	// Key is the caller's key, empty on routes open to all.
	Key string

	entries []caller.Entry
}

// Request is one request of a caller.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the path with its query.
	Path string
	// Body is the whole body.
	Body []byte
	// IdempotencyKey names the request, empty for none.
	IdempotencyKey string
}

// Response is what the caller got.
type Response struct {
	// Instance is the base address of the instance that answered.
	Instance string `json:"instance"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Verdict is the system's word on whether the request ran.
	Verdict string `json:"verdict"`
	// Reason is the reason of a refusal, empty otherwise.
	Reason string `json:"reason,omitempty"`
	// RequestID names the request in logs.
	RequestID string `json:"requestId"`
	// Body is the body.
	Body string `json:"body"`
}

// NoEntriesError says that no seed told which instances to use.
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

// StatusError is an answer that is not the wanted page.
type StatusError struct {
	// Status is the HTTP status line.
	Status string
}

// Error implements error.
func (e *StatusError) Error() string { return "answered " + e.Status }

// Entries asks the seeds which instances to use. Errors: *NoEntriesError.
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

// fetchEntries gets the entries page of one instance.
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

// Send sends r to the instances in the order of the entries until one does not
// prove that it has not run.
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

// authorize adds the key to a request.
func (c *Client) authorize(r *http.Request) {
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
}
