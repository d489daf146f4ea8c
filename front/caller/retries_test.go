package caller

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/urfave/negroni/v3"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/retry"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// TestRetries sends one request to endpoints that fail in the given order.
func TestRetries(t *testing.T) {
	shed := respondFailure(endpoint.ReasonShed, verdict.NotRun)
	unknown := respondFailure(endpoint.ReasonTimedOut, verdict.MayHaveRun)
	ok := respondText("booked")
	done := wantResponse{201, verdict.Ran, "", "booked"}
	long := strings.Repeat("x", maxReplayBytes+1)
	tests := []struct {
		desc      string
		method    string
		path      string
		body      string
		responses []senderFunc
		want      wantResponse
		sent      int
	}{
		{"idempotent, outcome unknown", "PUT", "/put", "mats", []senderFunc{unknown, ok}, done, 2},
		{"idempotent, shed", "PUT", "/put", "mats", []senderFunc{shed, ok}, done, 2},
		{"not idempotent, shed", "POST", "/book", "mats", []senderFunc{shed, ok}, done, 2},
		{
			"not idempotent, outcome unknown", "POST", "/book", "mats",
			[]senderFunc{unknown, ok},
			wantResponse{502, verdict.MayHaveRun, "endpoint-silent", ""},
			1,
		},
		{
			"unknown once, then shed", "PUT", "/put", "mats",
			[]senderFunc{unknown, shed},
			wantResponse{502, verdict.MayHaveRun, "endpoint-shed", ""},
			retry.DefaultMaxAttempts,
		},
		{
			"shed with a body too long to buffer", "PUT", "/put", long,
			[]senderFunc{shed, ok},
			wantResponse{502, verdict.NotRun, "endpoint-shed", ""},
			1,
		},
		{"no body", "GET", "/put", "", []senderFunc{unknown, ok}, done, 2},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, stop := newBookingServer(t, tt.responses...)
				defer stop()
				tt.want.check(t, "response", b.call(context.Background(), tt.method, tt.path, "", tt.body))
				if b.sent != tt.sent {
					t.Errorf("sent %d times, want %d", b.sent, tt.sent)
				}
				for _, body := range b.bodies {
					if body != tt.body {
						t.Errorf("sent a body of %d bytes, want %d", len(body), len(tt.body))
					}
				}
			})
		})
	}
}

// TestRetriesAreCounted checks the counters on the metrics page.
func TestRetriesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newBookingServer(t, respondFailure(endpoint.ReasonShed, verdict.NotRun), respondFailure(endpoint.ReasonBroken, verdict.MayHaveRun))
		defer stop()
		b.call(context.Background(), "POST", "/book", "k", "mats")
		b.call(context.Background(), "POST", "/book", "k", "mats")
		w := httptest.NewRecorder()
		b.page.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		for _, want := range []string{
			`cardamomfront_caller_retries_total{.*reason="endpoint-shed".*} 1`,
			`cardamomfront_caller_retry_denials_total{.*reason="outcome-unknown".*} 1`,
			`cardamomfront_attempts_claims_total{.*result="granted"} 1`,
			`cardamomfront_attempts_claims_total{.*result="taken"} 1`,
			`cardamomfront_caller_refusals_total{.*reason="idempotency-key-running".*} 1`,
		} {
			if !regexp.MustCompile(want).Match(w.Body.Bytes()) {
				t.Errorf("no %s on the metrics page", want)
			}
		}
	})
}

// TestLaterRefusalKeepsTheVerdict lets the first attempt end with an unknown
// outcome, and the second be refused before it is sent or fail with an internal
// error. The verdict must still say that the request may have run.
func TestLaterRefusalKeepsTheVerdict(t *testing.T) {
	fault := errors.New("fault")
	for _, second := range []error{refuseNotRun(http.StatusServiceUnavailable, ReasonNoEndpoint), fault} {
		metrics, err := telemetry.NewMetrics()
		if err != nil {
			t.Fatal(err)
		}
		retries, err := NewRetries(retry.DefaultPolicy(), retry.BudgetSettings{Ratio: retry.DefaultRatio, Burst: 1}, metrics)
		if err != nil {
			t.Fatal(err)
		}
		results := []error{sendRefusal(&Exchange{}, &endpoint.Error{Reason: endpoint.ReasonTimedOut}), second}
		next := HandlerFunc(func(x *Exchange) error {
			result := results[0]
			results = results[1:]
			return result
		})
		index := bookingIndex(t)
		x := &Exchange{
			Request:  httptest.NewRequest("GET", "/put", nil),
			Writer:   &responseRecorder{ResponseWriter: negroni.NewResponseWriter(httptest.NewRecorder()).(ResponseWriter)},
			Route:    index.Route("GET", "/put"),
			Deadline: time.Now().Add(time.Hour),
			Verdict:  verdict.NotRun,
		}
		err = retries.Wrap(next).ServeExchange(x)
		if len(results) != 0 || !errors.Is(err, second) {
			t.Fatalf("ServeExchange = %v with %d results left, want %v", err, len(results), second)
		}
		var refusal *Refusal
		if x.Verdict != verdict.MayHaveRun || errors.As(err, &refusal) && refusal.Verdict != verdict.MayHaveRun {
			t.Errorf("verdict %v, error %v, want may-have-run", x.Verdict, err)
		}
	}
}

// TestRetriesAreBounded lets every attempt of many requests fail. The number of
// retries must stay within the budget.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newBookingServer(t, respondFailure(endpoint.ReasonUnreachable, verdict.NotRun))
		defer stop()
		const requests = 300
		for range requests {
			b.call(context.Background(), "GET", "/put", "", "")
		}
		if added := b.sent - requests; added == 0 || added >= requests/10 {
			t.Errorf("%d retries for %d requests, want some and under 10 %%", added, requests)
		}
	})
}
