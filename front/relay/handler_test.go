package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// ignoredOutcomes ignores the outcomes of exchanges.
type ignoredOutcomes struct{}

func (ignoredOutcomes) Observe(string, health.Outcome, time.Duration) {}

// send sends a relayed request to an instance and reads its response.
func send(t *testing.T, address string, body io.Reader) (int, string, error) {
	t.Helper()
	client := endpoint.NewClient(endpoint.Settings{DisableProbes: true}, ignoredOutcomes{})
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://front/book", body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Send(ctx, endpoint.Target{Address: address}, &endpoint.Request{HTTP: r, RelayHeader: http.Header{}})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.Status, string(text), err
}

// checkFailed checks that a failure leaves open whether the request ran.
func checkFailed(t *testing.T, status int, text string, err error) {
	t.Helper()
	var e *endpoint.Error
	if !errors.As(err, &e) || e.Verdict != verdict.MayHaveRun {
		t.Errorf("status %d, %d bytes, error %v; want an error that leaves open whether the request ran", status, len(text), err)
	}
}

type cutBody struct{}

func (cutBody) Read([]byte) (int, error) {
	return 0, &endpoint.Error{Reason: endpoint.ReasonTruncated}
}

// A response that is cut at the relaying instance must not look complete at the one
// that sent the request, and a status code that cannot be relayed must not either.
func TestFaultyResponseIsRelayedAsAFailure(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for name, tt := range map[string]struct {
		status int
		part   string
		length int64
		header http.Header
	}{
		"short":             {200, "part", -1, nil},
		"empty":             {200, "", -1, nil},
		"long":              {200, strings.Repeat("x", 300<<10), -1, nil},
		"with a length":     {200, "part", 100, nil},
		"connection: close": {200, "part", -1, http.Header{"Connection": {"close"}}},
		"status 0":          {0, "part", -1, nil},
		"status 600":        {600, "part", -1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			serve := func(*http.Request) (*endpoint.Response, *Failure) {
				body := io.MultiReader(strings.NewReader(tt.part), cutBody{})
				return &endpoint.Response{Status: tt.status, Header: tt.header, ContentLength: tt.length, Body: io.NopCloser(body)}, nil
			}
			s := httptest.NewUnstartedServer(NewHandler(serve, log))
			s.Config.ErrorLog = nil
			s.Start()
			t.Cleanup(s.Close)
			for _, size := range []int{10, 1 << 20} {
				status, text, err := send(t, s.Listener.Addr().String(), strings.NewReader(strings.Repeat("x", size)))
				checkFailed(t, status, text, err)
			}
		})
	}
}

// An instance that answers as a faulty endpoint does is not believed either. Builds from
// before the check of status codes pass such codes on.
func TestFaultyInstanceIsAFailure(t *testing.T) {
	for name, answer := range map[string]string{
		"unframed":                   "HTTP/1.1 200 OK\r\n\r\npart",
		"000":                        "HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nhello",
		"600":                        "HTTP/1.1 600 None\r\nContent-Length: 5\r\n\r\nhello",
		"600 with a relayed failure": "HTTP/1.1 600 None\r\nCardamomfront-Relay-Failed: x\r\nCardamomfront-Verdict: not-run\r\nContent-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
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
			}()
			status, text, err := send(t, l.Addr().String(), strings.NewReader(strings.Repeat("x", 8<<20)))
			checkFailed(t, status, text, err)
		})
	}
}
