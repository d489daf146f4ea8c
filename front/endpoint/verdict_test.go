package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// readRequestThen reads the headers of one request and then calls then.
func readRequestThen(then func(net.Conn)) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		then(c)
	}
}

// respondWith writes text and closes the connection.
func respondWith(text string) func(net.Conn) {
	return readRequestThen(func(c net.Conn) {
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	})
}

func TestVerdicts(t *testing.T) {
	tests := []struct {
		desc    string
		serve   func(net.Conn)
		refused bool
		body    io.Reader
		reason  Reason
		verdict verdict.Verdict
	}{
		{desc: "connection refused", refused: true, reason: ReasonUnreachable, verdict: verdict.NotRun},
		{desc: "closed after the request was written", serve: respondWith(""), reason: ReasonBroken, verdict: verdict.MayHaveRun},
		{
			desc: "closed after part of the body", serve: respondWith(""), body: strings.NewReader(strings.Repeat("x", 1<<20)),
			reason: ReasonBroken, verdict: verdict.MayHaveRun,
		},
		{desc: "response truncated in its headers", serve: respondWith("HTTP/1.1 200 OK\r\nContent-Le"), reason: ReasonBroken, verdict: verdict.MayHaveRun},
		{
			desc:   "endpoint sheds with a verdict",
			serve:  respondWith("HTTP/1.1 503 Busy\r\nCardamomfront-Verdict: not-run\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"),
			reason: ReasonShed, verdict: verdict.NotRun,
		},
		{
			desc:   "verdict for another exchange is ignored",
			serve:  respondWith("HTTP/1.1 503 Busy\r\nCardamomfront-Verdict: not-run\r\nCardamomfront-Exchange: other\r\nContent-Length: 0\r\n\r\n"),
			reason: ReasonExchangeMismatch, verdict: verdict.MayHaveRun,
		},
		{desc: "answer without an end", serve: respondWith("HTTP/1.1 200 OK\r\n\r\nhello"), reason: ReasonUnframed, verdict: verdict.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c, n, _ := newTestClient(t, tt.serve)
			n.refuseDials = tt.refused
			r := &Request{HTTP: callerRequest(http.MethodPost, "/book", tt.body)}
			_, err := c.Send(t.Context(), target, r)
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("Send error = %v, want *Error", err)
			}
			if e.Reason != tt.reason || e.Verdict != tt.verdict {
				t.Errorf("Send = %s, %s; want %s, %s (%v)", e.Reason, e.Verdict, tt.reason, tt.verdict, e)
			}
		})
	}
}

func TestUnavailableWithoutVerdictIsAResponse(t *testing.T) {
	c, _, _ := newTestClient(t, respondWith("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"))
	resp, err := c.Send(t.Context(), target, &Request{HTTP: callerRequest(http.MethodPost, "/", nil)})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := readAll(resp); err != nil || body != "busy" || resp.Status != http.StatusServiceUnavailable {
		t.Errorf("response = %d %q, %v", resp.Status, body, err)
	}
}

// TestNoReplay sends a POST with an idempotency key to a server that closes the
// connection after the first request. net/http's own transport would send the
// request again.
func TestNoReplay(t *testing.T) {
	var seen atomic.Int32
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if seen.Add(1) == 1 {
			return
		}
		panic(http.ErrAbortHandler)
	})
	c, _, _ := newTestClient(t, serveHTTP(h))
	send := func() (*Response, error) {
		r := callerRequest(http.MethodPost, "/pay", nil)
		r.Header.Set("Idempotency-Key", "k")
		return c.Send(t.Context(), target, &Request{HTTP: r, Idempotent: true})
	}
	if resp, err := send(); err != nil || resp.Body.Close() != nil {
		t.Fatal(err)
	}
	var e *Error
	if _, err := send(); !errors.As(err, &e) || e.Verdict != verdict.MayHaveRun {
		t.Fatalf("second Send error = %v, want may-have-run", err)
	}
	if got := seen.Load(); got != 2 {
		t.Errorf("the endpoint saw %d requests, want 2", got)
	}
}

// TestStaleConnectionIsReplaced closes the idle connection before the next
// request. Nothing is written on it, so the client must use a new connection
// and the request must run once.
func TestStaleConnectionIsReplaced(t *testing.T) {
	var seen atomic.Int32
	h := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen.Add(1) })
	c, n, _ := newTestClient(t, serveHTTP(h))
	for i := range 3 {
		resp, err := c.Send(t.Context(), target, &Request{HTTP: callerRequest(http.MethodPost, "/", nil)})
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_ = resp.Body.Close()
		_ = n.conns[len(n.conns)-1].Close()
	}
	if got := seen.Load(); got != 3 {
		t.Errorf("the endpoint saw %d requests, want 3", got)
	}
}

func TestCanceledBeforeSending(t *testing.T) {
	c, _, _ := newTestClient(t, serveHTTP(http.NotFoundHandler()))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Send(ctx, target, &Request{HTTP: callerRequest(http.MethodPost, "/", nil)})
	var e *Error
	if !errors.As(err, &e) || e.Reason != ReasonCanceled {
		t.Fatalf("Send error = %v, want canceled", err)
	}
}

// TestSealedConnectionWritesNothing checks that no write succeeds after seal
// has reported that nothing was written.
func TestSealedConnectionWritesNothing(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	p := &trackedConn{Conn: client}
	p.beginExchange(time.Now())
	if p.seal() {
		t.Fatal("seal reports a write before any")
	}
	if n, err := p.Write([]byte("late")); n != 0 || !errors.Is(err, errSealed) {
		t.Errorf("Write after seal = %d, %v", n, err)
	}
}
