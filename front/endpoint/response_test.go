package endpoint

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

func TestShortAnswerIsCutVisibly(t *testing.T) {
	tests := []struct{ desc, text string }{
		{"by length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello"},
		{"by chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c, _, _ := newTestClient(t, respondWith(tt.text))
			resp, err := c.Send(t.Context(), target, &Request{HTTP: callerRequest(http.MethodGet, "/", nil)})
			if err != nil {
				t.Fatal(err)
			}
			body, err := readAll(resp)
			var e *Error
			if !errors.As(err, &e) || e.Reason != ReasonTruncated || e.Verdict != verdict.MayHaveRun {
				t.Errorf("body %q, error %v, want %s", body, err, ReasonTruncated)
			}
		})
	}
}

func TestHeaders(t *testing.T) {
	got := make(chan http.Header, 1)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "1")
		w.Header().Set(HeaderVerdict, "not-run")
	})
	c, _, _ := newTestClient(t, serveHTTP(h))
	r := callerRequest(http.MethodGet, "/", nil)
	r.Header = http.Header{
		"Authorization":      {"Bearer secret-key-1"},
		"X-Copy-Of-Key":      {"secret-key-1"},
		"Connection":         {"close, X-Private"},
		"X-Private":          {"1"},
		"Te":                 {"trailers"},
		"Upgrade":            {"websocket"},
		"Accept":             {"text/plain"},
		"cardamomfront-team": {"forged"},
	}
	resp, err := c.Send(t.Context(), target, &Request{HTTP: r, Team: "ward-01"})
	if err != nil {
		t.Fatal(err)
	}
	seen := <-got
	for _, name := range []string{"Authorization", "X-Copy-Of-Key", "Connection", "X-Private", "Te", "Upgrade", "User-Agent"} {
		if v, ok := seen[name]; ok {
			t.Errorf("the endpoint saw %s: %v", name, v)
		}
	}
	if team := seen.Values(HeaderTeam); len(team) != 1 || team[0] != "ward-01" {
		t.Errorf("the endpoint saw team %v", team)
	}
	if seen.Get("Accept") != "text/plain" {
		t.Error("an end-to-end header is missing")
	}
	if resp.Header.Get("X-Hop") != "" || resp.Header.Get(HeaderVerdict) != "" || resp.Header.Get("X-End") != "1" {
		t.Errorf("the caller would see %v", resp.Header)
	}
}

func TestLeavingEndpointIsObserved(t *testing.T) {
	c, _, o := newTestClient(t, respondWith("HTTP/1.1 200 OK\r\nCardamomfront-Leaving: yes\r\nContent-Length: 0\r\n\r\n"))
	if _, err := c.Send(t.Context(), target, &Request{HTTP: callerRequest(http.MethodGet, "/", nil)}); err != nil {
		t.Fatal(err)
	}
	if o.count(health.OutcomeLeaving) != 1 {
		t.Errorf("outcomes = %v, want one leaving endpoint", o.counts)
	}
}

func TestKeyInTargetIsNotSent(t *testing.T) {
	c, n, _ := newTestClient(t, serveHTTP(http.NotFoundHandler()))
	r := callerRequest(http.MethodGet, "/?key=secret-key-1", nil)
	r.Header.Set("Authorization", "Bearer secret-key-1")
	_, err := c.Send(t.Context(), target, &Request{HTTP: r})
	var e *Error
	if !errors.As(err, &e) || e.Reason != ReasonUnsendable || e.Verdict != verdict.NotRun || n.dialed() != 0 {
		t.Errorf("Send error = %v after %d dials", err, n.dialed())
	}
}

// TestBodiesStream sends 16 MiB whose second half is written only after most of
// the first half has come back. It fails if a side buffers the whole body.
func TestBodiesStream(t *testing.T) {
	const half = 8 << 20
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
	c, _, _ := newTestClient(t, serveHTTP(h))
	in, out := io.Pipe()
	sum := sha256.New()
	firstBack := make(chan struct{})
	go func() {
		w := io.MultiWriter(out, sum)
		_, _ = io.CopyN(w, zeroes{}, half)
		<-firstBack
		_, _ = io.Copy(w, strings.NewReader(strings.Repeat("y", half)))
		_ = out.Close()
	}()
	resp, err := c.Send(t.Context(), target, &Request{HTTP: callerRequest(http.MethodPut, "/", in)})
	if err != nil {
		t.Fatal(err)
	}
	back := sha256.New()
	// The endpoint may still buffer the last chunk.
	if _, err := io.CopyN(back, resp.Body, half-(64<<10)); err != nil {
		t.Fatal(err)
	}
	close(firstBack)
	if _, err := io.Copy(back, resp.Body); err != nil {
		t.Fatal(err)
	}
	if string(back.Sum(nil)) != string(sum.Sum(nil)) {
		t.Error("the response differs from what was sent")
	}
}

// zeroes is an endless body.
type zeroes struct{}

func (zeroes) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
