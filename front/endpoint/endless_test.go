package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// repeat sends start and then text again and again, with a pause between, until
// the client closes the connection. It then sends the number of bytes that the
// client has read to closed.
func repeat(start, text string, pause time.Duration, closed chan<- int) func(net.Conn) {
	return readRequestThen(func(c net.Conn) {
		sent := 0
		defer func() {
			_ = c.Close()
			select {
			case closed <- sent:
			default: // a probe's connection
			}
		}()
		n, err := io.WriteString(c, start)
		for sent += n; err == nil; sent += n {
			time.Sleep(pause)
			n, err = io.WriteString(c, text)
		}
	})
}

// maxUnusedBytes bounds what is read of a response that is not used: its head and
// the buffers of the connection.
const maxUnusedBytes = 3 * maxResponseHeaderBytes

// Bytes without end that are no response must not hold memory or a request for
// longer than its deadline, and the connection is closed.
func TestEndlessBytes(t *testing.T) {
	tests := []struct {
		name, start, text string
		pause             time.Duration
		verdict           verdict.Verdict
		early             bool // the exchange ends before its deadline
	}{
		{"no head", "", strings.Repeat("x", 1000), 0, verdict.MayHaveRun, true},
		{"head", "HTTP/1.1 200 OK\r\n", "A: " + strings.Repeat("x", 1000) + "\r\n", 0, verdict.MayHaveRun, true},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 1000), 0, verdict.MayHaveRun, true},
		{"trickled head", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 5 * time.Millisecond, verdict.MayHaveRun, false},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 0, verdict.MayHaveRun, true},
		{"body of a refusal", "HTTP/1.1 503 Busy\r\nCardamomfront-Verdict: not-run\r\nContent-Length: 1000000000\r\n\r\n", strings.Repeat("x", 1000), 0, verdict.NotRun, true},
		{"chunked body of a refusal", "HTTP/1.1 503 Busy\r\nCardamomfront-Verdict: not-run\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", 0, verdict.NotRun, true},
		{"trickled body of a refusal", "HTTP/1.1 503 Busy\r\nCardamomfront-Verdict: not-run\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 5 * time.Millisecond, verdict.NotRun, true},
		{"body without framing", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000), 0, verdict.MayHaveRun, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan int, 1)
			c, _, _ := newTestClient(t, repeat(tt.start, tt.text, tt.pause, closed))
			timeout := 20 * time.Second
			if !tt.early {
				timeout = 200 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err := c.Send(ctx, target, &Request{HTTP: callerRequest(http.MethodGet, "/", nil)})
			var e *Error
			if !errors.As(err, &e) || e.Verdict != tt.verdict {
				t.Fatalf("error %v, want verdict %s", err, tt.verdict)
			}
			if tt.early && ctx.Err() != nil {
				t.Error("the exchange lasted until its deadline")
			}
			select {
			case sent := <-closed:
				if sent > maxUnusedBytes {
					t.Errorf("%d bytes were read", sent)
				}
			case <-time.After(20 * time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}

// An endless body of a valid response is read no faster than its reader, and a
// reader that leaves closes the connection.
func TestEndlessBodyStopsWithItsReader(t *testing.T) {
	closed := make(chan int, 1)
	c, _, _ := newTestClient(t, repeat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", 0, closed))
	resp, err := c.Send(t.Context(), target, &Request{HTTP: callerRequest(http.MethodGet, "/", nil)})
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.CopyN(io.Discard, resp.Body, 100_000); err != nil {
		t.Fatalf("read %d bytes: %v", n, err)
	}
	_ = resp.Body.Close()
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		t.Error("the connection was not closed")
	}
}

// Bytes without end within or after the body of a response neither hold memory nor
// keep the connection.
func TestEndlessBytesAfterTheHead(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		start, text string
		whole       bool // the body is whole
	}{
		"trailers":              {chunked + "5\r\nhello\r\n0\r\n", "A: " + strings.Repeat("x", 1000) + "\r\n", false},
		"trailer line":          {chunked + "5\r\nhello\r\n0\r\nA: ", strings.Repeat("x", 1000), false},
		"chunk extension":       {chunked + "5;a=", strings.Repeat("x", 1000), false},
		"chunk extensions":      {chunked, "1;a=" + strings.Repeat("x", 1000) + "\r\nx\r\n", false},
		"chunk size":            {chunked, "0", false},
		"beyond its length":     {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", strings.Repeat("x", 1000), true},
		"responses without end": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan int, 1)
			client, _, _ := newTestClient(t, repeat(c.start, c.text, 0, closed))
			resp, err := client.Send(t.Context(), target, &Request{HTTP: callerRequest(http.MethodGet, "/", nil)})
			if err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
			if whole := err == nil; whole != c.whole {
				t.Errorf("%d bytes and error %v", len(text), err)
			}
			_ = resp.Body.Close()
			select {
			case sent := <-closed:
				if sent > maxUnusedBytes {
					t.Errorf("%d bytes were read", sent)
				}
			case <-time.After(20 * time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}

func TestRetryAfter(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	tests := []struct {
		value string
		want  time.Duration
	}{
		{"", 0},
		{"2", 2 * time.Second},
		{" 0.25 ", 250 * time.Millisecond},
		{"-1", 0},
		{"0", 0},
		{"NaN", 0},
		{"soon", 0},
		{"1e300", maxRetryAfter},
		{"Inf", maxRetryAfter},
		{now.Add(3 * time.Second).Format(http.TimeFormat), 3 * time.Second},
		{now.Add(-time.Second).Format(http.TimeFormat), 0},
		{now.Add(time.Hour).Format(http.TimeFormat), maxRetryAfter},
	}
	for _, tt := range tests {
		if got := retryAfter(http.Header{"Retry-After": {tt.value}}, now); got != tt.want {
			t.Errorf("%q: %s, want %s", tt.value, got, tt.want)
		}
	}
}

// A request that waited for its connection is not sent if the endpoint has asked
// for a pause meanwhile.
func TestRequestIsNotSentWithoutPermission(t *testing.T) {
	c, _, _ := newTestClient(t, func(conn net.Conn) {
		if n, _ := conn.Read(make([]byte, 1)); n > 0 {
			t.Error("the endpoint received a request")
		}
	})
	asked := 0
	permit := func() bool { asked++; return asked == 1 }
	_, err := c.Send(t.Context(), target, &Request{HTTP: callerRequest(http.MethodGet, "/", nil), Permit: permit})
	var e *Error
	if !errors.As(err, &e) || e.Reason != ReasonWithdrawn || e.Verdict != verdict.NotRun {
		t.Fatalf("error %v, want %s", err, ReasonWithdrawn)
	}
}
