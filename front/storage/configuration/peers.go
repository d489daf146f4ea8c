package configuration

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// Methods that instances call on each other.
const (
	methodReport   = "configuration.statement"
	methodAnnounce = "configuration.offer"
	methodDocument = "configuration.document"
)

// Peer is another instance.
type Peer struct {
	// Name is the instance's name.
	Name string
	// Addr is the address of its peer listener.
	Addr string
	// FailureDomain is the failure domain that it runs in; empty if only its
	// address is known.
	FailureDomain string
}

// Directory lists the peers of this instance.
type Directory interface {
	// Peers returns all known instances except this one.
	Peers() []Peer
}

// HeadAnnouncement announces the head that the sender follows.
type HeadAnnouncement struct {
	// Head is the announced head.
	Head generation.Head `json:"head"`
	// Sender is the sender's address, from which the document can be fetched.
	Sender string `json:"sender"`
}

// DocumentRequest requests a document by its digest.
type DocumentRequest struct {
	// Digest names the document.
	Digest string `json:"digest"`
}

// DocumentResponse is the response to a DocumentRequest.
type DocumentResponse struct {
	// Content is the document.
	Content []byte `json:"content"`
}

// DigestError is returned when content does not match the digest that names it.
type DigestError struct {
	// Want is the requested digest.
	Want string
	// Got is the digest of the received content.
	Got string
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("document has digest %s, not %s", e.Got, e.Want)
}

// NoDocumentError is returned by an instance that does not hold a requested
// document.
type NoDocumentError struct {
	// Digest names the document.
	Digest string
}

// Error implements error.
func (e *NoDocumentError) Error() string { return fmt.Sprintf("no document %s here", e.Digest) }

// Register registers the methods that peers call with server.
func (w *Watcher) Register(server *peer.Server) {
	server.Handle(methodReport, w.serveReport)
	server.Handle(methodAnnounce, w.serveAnnouncement)
	server.Handle(methodDocument, w.serveDocument)
}

func (w *Watcher) serveReport(context.Context, json.RawMessage) (any, error) {
	return w.Report(), nil
}

func (w *Watcher) serveAnnouncement(_ context.Context, params json.RawMessage) (any, error) {
	var announcement HeadAnnouncement
	if err := json.Unmarshal(params, &announcement); err != nil {
		return nil, err
	}
	w.enqueueAnnouncement(announcement)
	return nil, nil
}

func (w *Watcher) serveDocument(_ context.Context, params json.RawMessage) (any, error) {
	var request DocumentRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	current := w.Current()
	if current.Head.Digest != request.Digest {
		return nil, &NoDocumentError{Digest: request.Digest}
	}
	return DocumentResponse{Content: current.content}, nil
}

// fetchFromPeer fetches a document from a peer and checks its digest.
func (w *Watcher) fetchFromPeer(ctx context.Context, addr, digest string) ([]byte, error) {
	var response DocumentResponse
	request := DocumentRequest{Digest: digest}
	if err := w.peers.Call(ctx, addr, methodDocument, request, &response); err != nil {
		return nil, err
	}
	return response.Content, checkDigest(digest, response.Content)
}

func checkDigest(want string, content []byte) error {
	if got := document.Digest(content); got != want {
		return &DigestError{Want: want, Got: got}
	}
	return nil
}
