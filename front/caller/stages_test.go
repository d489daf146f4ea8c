package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/dispatch"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/generation"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// keyCancelLimit is the time left to cancel a request once its key data is
// stale, out of the five seconds allowed in total.
const keyCancelLimit = 5*time.Second - generation.DefaultStaleAfter

const testKey = "ward-team-key-0000000001"

// fakeSource returns a snapshot that tests can replace.
type fakeSource struct {
	current atomic.Pointer[configuration.Snapshot]
}

func (f *fakeSource) Current() *configuration.Snapshot { return f.current.Load() }

// setIndex puts a document in force, with key data that is fresh or stale.
func (f *fakeSource) setIndex(index *document.Index, stale bool) {
	s := &configuration.Snapshot{Index: index, Ready: true}
	if !stale {
		s.FreshUntil = time.Now().Add(time.Hour)
	}
	f.current.Store(s)
}

// testIndex returns a document with one team, for which testKey is valid if
// withKey is set.
func testIndex(t testing.TB, withKey bool) *document.Index {
	t.Helper()
	digest := document.KeyDigest("another-key-000000001")
	if withKey {
		digest = document.KeyDigest(testKey)
	}
	doc, err := document.Decode("test.yaml", []byte(`environment: test
teams:
  - {name: ward-01, rate: 10/s, burst: 10, keys: [{id: a, digest: "`+digest+`"}]}
regions: [{name: kano, failureDomains: [kano-a]}]
services:
  - name: tracker
    serving: v1
    versions: [{name: v1, endpoints: [{address: "127.0.0.1:9001", failureDomain: kano-a, slots: 3}]}]
routes:
  - {name: read, path: /tracker/, methods: [GET], service: tracker, idempotent: true, timeout: 2s}
  - {name: upload, path: /upload, methods: [PUT], service: tracker, timeout: 60s, maxBody: 1KiB}
  - {name: hours, path: /hours, methods: [GET], service: tracker, open: true}
`))
	if err != nil {
		t.Fatal(err)
	}
	return document.Compile(doc)
}

// senderFunc adapts a function to a Sender.
type senderFunc func(ctx context.Context, r *endpoint.Request) (*endpoint.Response, error)

func (f senderFunc) Send(ctx context.Context, _ dispatch.Target, r *endpoint.Request) (*endpoint.Response, error) {
	return f(ctx, r)
}

// respondOK responds immediately with a short body.
func respondOK(context.Context, *endpoint.Request) (*endpoint.Response, error) {
	body := io.NopCloser(strings.NewReader("mats"))
	return &endpoint.Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: 4, Body: body}, nil
}

// testServer returns a server with a fake configuration and sender.
func testServer(t testing.TB, c *fakeSource, send senderFunc) (*Server, *Keys) {
	t.Helper()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewMetrics(metrics)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	keys := NewKeys(configuration.NewKeyring(c, configuration.RefuseStale))
	chain := Chain(&Forward{Sender: send}, &Routes{Source: c}, keys)
	return NewServer(ServerSettings{}, chain, http.NotFoundHandler(), m, log), keys
}

func TestStages(t *testing.T) {
	good := http.Header{"Authorization": {"Bearer " + testKey}}
	with := func(name, value string) http.Header {
		h := good.Clone()
		h.Set(name, value)
		return h
	}
	tests := []struct {
		desc   string
		method string
		path   string
		header http.Header
		body   string
		stale  bool
		status int
		reason Reason
	}{
		{desc: "served", method: "GET", path: "/tracker/1", header: good, status: 200},
		{desc: "open route without a key", method: "GET", path: "/hours", status: 200},
		{desc: "open route with stale keys", method: "GET", path: "/hours", stale: true, status: 200},
		{desc: "no key", method: "GET", path: "/tracker/1", status: 401, reason: ReasonNoKey},
		{desc: "another scheme", method: "GET", path: "/tracker/1", header: http.Header{"Authorization": {"Basic " + testKey}}, status: 401, reason: ReasonNoKey},
		{desc: "unknown key", method: "GET", path: "/tracker/1", header: http.Header{"Authorization": {"Bearer x"}}, status: 401, reason: ReasonUnknownKey},
		{desc: "key in the query", method: "GET", path: "/tracker/1?key=" + testKey, header: good, status: 400, reason: ReasonKeyInURL},
		{desc: "stale keys", method: "GET", path: "/tracker/1", header: good, stale: true, status: 503, reason: ReasonStaleKeys},
		{desc: "no route", method: "GET", path: "/other", header: good, status: 404, reason: ReasonNoRoute},
		{desc: "no such method", method: "POST", path: "/tracker/1", header: good, status: 404, reason: ReasonNoRoute},
		{desc: "timeout is not a number", method: "GET", path: "/tracker/1", header: with(HeaderTimeoutMs, "soon"), status: 400, reason: ReasonBadHeader},
		{desc: "timeout of zero", method: "GET", path: "/tracker/1", header: with(HeaderTimeoutMs, "0"), status: 400, reason: ReasonBadHeader},
		{desc: "long idempotency key", method: "GET", path: "/tracker/1", header: with(HeaderIdempotencyKey, strings.Repeat("k", 256)), status: 400, reason: ReasonBadHeader},
		{desc: "large body", method: "PUT", path: "/upload", header: good, body: strings.Repeat("x", 1025), status: 413, reason: ReasonBodyTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := &fakeSource{}
			c.setIndex(testIndex(t, true), tt.stale)
			s, _ := testServer(t, c, respondOK)
			r := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
			r.Header = tt.header.Clone()
			if r.Header == nil {
				r.Header = http.Header{}
			}
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			if w.Code != tt.status || w.Header().Get(HeaderReason) != string(tt.reason) {
				t.Fatalf("got status %d, reason %q, want %d, %q", w.Code, w.Header().Get(HeaderReason), tt.status, tt.reason)
			}
			want := verdict.Ran
			if tt.reason != "" {
				want = verdict.NotRun
			}
			if got := w.Header().Get(HeaderVerdict); got != want.String() {
				t.Errorf("verdict %q, want %q", got, want)
			}
		})
	}
}

func TestNoConfigurationIsRefused(t *testing.T) {
	c := &fakeSource{}
	c.current.Store(&configuration.Snapshot{})
	s, _ := testServer(t, c, respondOK)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/tracker/1", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(HeaderReason) != string(ReasonNoConfiguration) {
		t.Fatalf("got status %d, reason %s", w.Code, w.Header().Get(HeaderReason))
	}
}

// TestWithdrawnKeyEndsRunningRequest withdraws a key, or lets the key data
// become stale, while a request with that key waits for its endpoint.
func TestWithdrawnKeyEndsRunningRequest(t *testing.T) {
	tests := []struct {
		desc     string
		withdraw func(t *testing.T, c *fakeSource)
		status   int
		reason   Reason
	}{
		{"withdrawn", func(t *testing.T, c *fakeSource) { c.setIndex(testIndex(t, false), false) }, http.StatusUnauthorized, ReasonKeyWithdrawn},
		{"stale", func(t *testing.T, c *fakeSource) { c.setIndex(testIndex(t, true), true) }, http.StatusServiceUnavailable, ReasonStaleKeys},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &fakeSource{}
				c.setIndex(testIndex(t, true), false)
				sentAt := time.Time{}
				s, keys := testServer(t, c, func(ctx context.Context, _ *endpoint.Request) (*endpoint.Response, error) {
					sentAt = time.Now()
					<-ctx.Done()
					return nil, &endpoint.Error{Verdict: verdict.MayHaveRun, Reason: endpoint.ReasonCanceled, Err: ctx.Err()}
				})
				ctx, cancel := context.WithCancel(context.Background())
				go func() { _ = keys.Run(ctx) }()
				time.AfterFunc(10*time.Second, func() { tt.withdraw(t, c) })
				r := httptest.NewRequest("PUT", "/upload", strings.NewReader("photo"))
				r.Header.Set("Authorization", "Bearer "+testKey)
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				cancel()
				if w.Code != tt.status || w.Header().Get(HeaderReason) != string(tt.reason) {
					t.Errorf("got status %d, reason %s", w.Code, w.Header().Get(HeaderReason))
				}
				if got := w.Header().Get(HeaderVerdict); got != verdict.MayHaveRun.String() {
					t.Errorf("verdict %q, want may-have-run", got)
				}
				if took := time.Since(sentAt); took > 10*time.Second+keyCancelLimit {
					t.Errorf("request ended %v after it was sent, want within %v of the withdrawal at 10s", took, keyCancelLimit)
				}
			})
		})
	}
}

// TestPausedProcessKeepsItsRequests lets the key data be stale at a single
// check only, as happens in a process that was paused. The request must not be
// canceled.
func TestPausedProcessKeepsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeSource{}
		c.setIndex(testIndex(t, true), false)
		s, keys := testServer(t, c, func(ctx context.Context, r *endpoint.Request) (*endpoint.Response, error) {
			select {
			case <-ctx.Done():
				return nil, &endpoint.Error{Verdict: verdict.MayHaveRun, Reason: endpoint.ReasonCanceled, Err: ctx.Err()}
			case <-time.After(5 * time.Second):
				return respondOK(ctx, r)
			}
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = keys.Run(ctx) }()
		time.AfterFunc(2*time.Second-10*time.Millisecond, func() { c.setIndex(testIndex(t, true), true) })
		time.AfterFunc(2*time.Second+100*time.Millisecond, func() { c.setIndex(testIndex(t, true), false) })
		r := httptest.NewRequest("PUT", "/upload", strings.NewReader("photo"))
		r.Header.Set("Authorization", "Bearer "+testKey)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		cancel()
		if w.Code != http.StatusOK {
			t.Errorf("got status %d, reason %s, want 200", w.Code, w.Header().Get(HeaderReason))
		}
	})
}

// TestDeadlineIsAnsweredAtOnce checks that a request ends exactly at its
// deadline.
func TestDeadlineIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeSource{}
		c.setIndex(testIndex(t, true), false)
		s, _ := testServer(t, c, func(ctx context.Context, _ *endpoint.Request) (*endpoint.Response, error) {
			<-ctx.Done()
			return nil, &endpoint.Error{Verdict: verdict.MayHaveRun, Reason: endpoint.ReasonDeadline, Err: ctx.Err()}
		})
		r := httptest.NewRequest("GET", "/tracker/1", nil)
		r.Header.Set("Authorization", "Bearer "+testKey)
		r.Header.Set(HeaderTimeoutMs, "300")
		w := httptest.NewRecorder()
		start := time.Now()
		s.ServeHTTP(w, r)
		if took := time.Since(start); took != 300*time.Millisecond {
			t.Errorf("responded after %v, want 300ms", took)
		}
		if w.Code != http.StatusGatewayTimeout || w.Header().Get(HeaderReason) != string(ReasonDeadline) {
			t.Errorf("got status %d, reason %s", w.Code, w.Header().Get(HeaderReason))
		}
	})
}

// truncatedBody is a response body that ends early.
type truncatedBody struct{ sent bool }

func (b *truncatedBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, &endpoint.Error{Verdict: verdict.MayHaveRun, Reason: endpoint.ReasonTruncated, Err: io.ErrUnexpectedEOF}
	}
	b.sent = true
	return copy(p, "mats"), nil
}

func (b *truncatedBody) Close() error { return nil }

// TestShortAnswerIsNeverWhole checks that the caller can detect a truncated
// response, whether its length is known or not.
func TestShortAnswerIsNeverWhole(t *testing.T) {
	for _, length := range []int64{100, -1} {
		c := &fakeSource{}
		c.setIndex(testIndex(t, true), false)
		s, _ := testServer(t, c, func(context.Context, *endpoint.Request) (*endpoint.Response, error) {
			return &endpoint.Response{Status: 200, Header: http.Header{}, ContentLength: length, Body: &truncatedBody{}}, nil
		})
		server := httptest.NewServer(s)
		resp, err := http.Get(server.URL + "/hours")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		server.Close()
		if err == nil {
			t.Errorf("length %d: truncated response %q looked complete", length, body)
		}
	}
}

// TestPanicIsAnswered checks that a panic in a stage fails only its own
// request, with status 500.
func TestPanicIsAnswered(t *testing.T) {
	c := &fakeSource{}
	c.setIndex(testIndex(t, true), false)
	s, _ := testServer(t, c, func(context.Context, *endpoint.Request) (*endpoint.Response, error) {
		panic(errors.New("fault"))
	})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/hours", bytes.NewReader(nil)))
	if w.Code != http.StatusInternalServerError || w.Header().Get(HeaderVerdict) != verdict.MayHaveRun.String() {
		t.Errorf("got status %d, verdict %s", w.Code, w.Header().Get(HeaderVerdict))
	}
}
