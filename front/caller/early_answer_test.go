package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/platform/standin"
	"github.com/cardamomfront/cardamomfront/steer/health"
)

// countedOutcomes counts outcomes by kind.
type countedOutcomes chan health.Outcome

func (o countedOutcomes) Observe(_ string, outcome health.Outcome, _ time.Duration) { o <- outcome }

// faultyEndpoint returns a sender to an endpoint that reads the head of each request,
// answers with given bytes and resets the connection.
func faultyEndpoint(t *testing.T, answer string, outcomes countedOutcomes) senderFunc {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			time.Sleep(20 * time.Millisecond) // mostly enough for the head to have been read
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	client := endpoint.NewClient(endpoint.Settings{DisableProbes: true}, outcomes)
	t.Cleanup(client.Close)
	return func(ctx context.Context, r *endpoint.Request) (*endpoint.Response, error) {
		return client.Send(ctx, endpoint.Target{Address: l.Addr().String()}, r)
	}
}

// A caller must get a failure for an answer that was cut or has an invalid status code:
// an error status without a promise that the request has not run, or an aborted
// connection. Each counts as a failure of the endpoint.
func TestFaultyAnswerIsAFailure(t *testing.T) {
	answers := map[string]string{
		"unframed":          "HTTP/1.1 200 OK\r\n\r\npart",
		"connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"with a length":     "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"chunked":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	}
	for _, status := range []string{"000", "099", "600", "999", "+12", "-00", "101", "103", "199", "20", "2000", "2OO"} {
		const head = "HTTP/1.1 %s Status\r\n%sContent-Length: 5\r\n\r\nhello"
		answers[status] = fmt.Sprintf(head, status, "")
		answers[status+" with a verdict"] = fmt.Sprintf(head, status, "Cardamomfront-Verdict: not-run\r\n")
	}
	for name, answer := range answers {
		for _, size := range []int{10, 1000} { // the route's limit is 1 KiB
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				t.Parallel()
				outcomes := make(countedOutcomes, 10)
				source := &fakeSource{}
				source.setIndex(testIndex(t, true), false)
				s, _ := testServer(t, source, faultyEndpoint(t, answer, outcomes))
				server := httptest.NewServer(s)
				t.Cleanup(server.Close)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/upload", bytes.NewReader(make([]byte, size)))
				if err != nil {
					t.Fatal(err)
				}
				r.Header.Set("Authorization", "Bearer "+testKey)
				if response, err := server.Client().Do(r); err == nil {
					_, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
					if err == nil && (response.StatusCode != http.StatusBadGateway || response.Header.Get(HeaderVerdict) == "not-run") {
						t.Errorf("complete response with status %d, verdict %q", response.StatusCode, response.Header.Get(HeaderVerdict))
					}
				}
				failures := 0
				for len(outcomes) > 0 {
					if <-outcomes == health.OutcomeBroken {
						failures++
					}
				}
				if failures != 1 {
					t.Errorf("%d failures counted at the endpoint, want 1", failures)
				}
			})
		}
	}
}

// Guards against a body that reaches its endpoint with a hole, because the endpoint
// answers before it has read it.
func TestEarlyAnswerLeavesNoHoleInTheBody(t *testing.T) {
	const length = 1000
	want := standin.NumberedBody(length)
	received := make(chan standin.Upload, 1)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		body := make([]byte, 100)
		_, err := io.ReadFull(r.Body, body)
		if err = errors.Join(err, control.EnableFullDuplex()); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(w, "begin")
		_ = control.Flush()
		rest, err := io.ReadAll(r.Body)
		received <- standin.Upload{Body: append(body, rest...), Whole: err == nil}
	}))
	t.Cleanup(e.Close)
	client := endpoint.NewClient(endpoint.Settings{DisableProbes: true}, make(countedOutcomes, 10))
	t.Cleanup(client.Close)
	for name, declared := range map[string]int64{"with a length": length, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			source := &fakeSource{}
			source.setIndex(testIndex(t, true), false)
			s, _ := testServer(t, source, senderFunc(func(ctx context.Context, r *endpoint.Request) (*endpoint.Response, error) {
				return client.Send(ctx, endpoint.Target{Address: e.Listener.Addr().String()}, r)
			}))
			server := httptest.NewServer(s)
			t.Cleanup(server.Close)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/upload", standin.Paced(bytes.NewReader(want), 100, 5*time.Millisecond))
			if err != nil {
				t.Fatal(err)
			}
			r.ContentLength = declared
			r.Header.Set("Authorization", "Bearer "+testKey)
			if response, err := server.Client().Do(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			got := <-received
			if !bytes.Equal(got.Body, want) || !got.Whole {
				t.Errorf("the endpoint got %d bytes of %d, unchanged: %v, to the end: %v", len(got.Body), length, bytes.HasPrefix(want, got.Body), got.Whole)
			}
		})
	}
}

// A caller that speaks HTTP/1.0 must not take the end of a cut response for a planned
// one.
func TestCutResponseIsAFailureForHTTP10(t *testing.T) {
	source := &fakeSource{}
	source.setIndex(testIndex(t, true), false)
	answer := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	s, _ := testServer(t, source, faultyEndpoint(t, answer, make(countedOutcomes, 10)))
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintf(c, "GET /tracker/1 HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n", testKey); err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(c); err == nil {
		t.Errorf("%q looks complete", text)
	}
}
