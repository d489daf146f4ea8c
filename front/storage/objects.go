package storage

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
)

const digestPrefix = "sha256:"

var errDigestMismatch = errors.New("content does not match its digest")

// Digest returns the name of content in the object store, "sha256:<hex>".
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return digestPrefix + hex.EncodeToString(sum[:])
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, content []byte) (string, error) {
	if int64(len(content)) > c.settings.MaxObject {
		return "", &Error{Op: "put object", Effect: EffectNone, Err: errRequestTooLarge}
	}
	digest := Digest(content)
	q := call{
		op:       "put object",
		method:   http.MethodPut,
		path:     PathObjects + digest,
		header:   http.Header{headerContentType: {mediaTypeBytes}},
		body:     content,
		mutating: true,
		maxBody:  maxErrorBody,
	}
	r, err := c.do(ctx, q)
	if err != nil {
		return "", err
	}
	if r.status != http.StatusOK && r.status != http.StatusCreated && r.status != http.StatusNoContent {
		return "", q.statusError(r)
	}
	return digest, nil
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, digest string) ([]byte, error) {
	q := call{
		op:      "get object",
		method:  http.MethodGet,
		path:    PathObjects + digest,
		maxBody: c.settings.MaxObject,
	}
	r, err := c.do(ctx, q)
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, q.statusError(r)
	}
	if Digest(r.body) != digest {
		return nil, &Error{Op: q.op, Effect: EffectNone, Status: r.status, Err: errDigestMismatch}
	}
	return r.body, nil
}
