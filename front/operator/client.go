package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxResponseBytes limits the size of an instance's response.
const maxResponseBytes = 1 << 20

// Client calls the operator listeners of instances.
type Client struct {
	http *http.Client
}

// NewClient returns a client that sends its requests through c.
func NewClient(c *http.Client) *Client { return &Client{http: c} }

// RefusedError is returned if an instance refuses a request.
type RefusedError struct {
	// Addr is the address of the instance's operator listener.
	Addr string
	// Status is the HTTP status of the response.
	Status int
	// Message is the reason that the instance gave.
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("instance at %s: status %d: %s", e.Addr, e.Status, e.Message)
}

// Status returns the status of the instance that listens on addr. Errors:
// *RefusedError, or those of net/http.
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	return c.call(ctx, http.MethodGet, addr, PathStatus, nil)
}

// AnnounceHead sends an instance a head that the store accepted and returns the
// instance's status afterwards. Errors: as for Status.
func (c *Client) AnnounceHead(ctx context.Context, addr string, head Head) (Status, error) {
	body, err := json.Marshal(head)
	if err != nil {
		return Status{}, err
	}
	return c.call(ctx, http.MethodPost, addr, PathHead, body)
}

func (c *Client) call(ctx context.Context, method, addr, path string, body []byte) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return Status{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Status{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusOK {
		var refusal Refusal
		_ = decoder.Decode(&refusal)
		return Status{}, &RefusedError{Addr: addr, Status: resp.StatusCode, Message: refusal.Error}
	}
	var status Status
	if err := decoder.Decode(&status); err != nil {
		return Status{}, fmt.Errorf("status of instance at %s: %w", addr, err)
	}
	return status, nil
}
