package caller

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/limit"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// fakeAdmitter returns the configured decisions.
type fakeAdmitter struct {
	decision limit.Decision
	confirm  limit.Reason
	admits   int
}

func (f *fakeAdmitter) Admit(context.Context, string) limit.Decision {
	f.admits++
	return f.decision
}

func (f *fakeAdmitter) Confirm(limit.Decision) limit.Reason { return f.confirm }

func TestLimits(t *testing.T) {
	tests := []struct {
		desc   string
		team   string
		admit  fakeAdmitter
		status int
		reason Reason
		retry  time.Duration
	}{
		{desc: "admitted", team: "ward-01"},
		{desc: "no team on an open route", admit: fakeAdmitter{decision: limit.Decision{Reason: limit.ReasonRate}, confirm: limit.ReasonLeaseChanged}},
		{desc: "over rate", team: "ward-01", admit: fakeAdmitter{decision: limit.Decision{Reason: limit.ReasonRate, RetryAfter: 3 * time.Second}}, status: 429, reason: ReasonOverRate, retry: 3 * time.Second},
		{desc: "no share", team: "ward-01", admit: fakeAdmitter{decision: limit.Decision{Reason: limit.ReasonNoShare}}, status: 429, reason: ReasonNoShare, retry: time.Second},
		{desc: "no lease", team: "ward-01", admit: fakeAdmitter{decision: limit.Decision{Reason: limit.ReasonNoLease}}, status: 503, reason: ReasonNoLease, retry: time.Second},
		{desc: "team not known yet", team: "ward-01", admit: fakeAdmitter{decision: limit.Decision{Reason: limit.ReasonUnknownTeam}}, status: 503, reason: ReasonLimitsNotReady, retry: time.Second},
		{desc: "lease lost before the send", team: "ward-01", admit: fakeAdmitter{confirm: limit.ReasonLeaseChanged}, status: 503, reason: ReasonLeaseChanged, retry: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			sent := 0
			limits := NewLimits(&tt.admit)
			last := HandlerFunc(func(*Exchange) error {
				sent++
				if limits.Load() <= 0 {
					t.Error("no load while a request is in flight")
				}
				return nil
			})
			err := Chain(last, limits, limits.Confirmation()).ServeExchange(&Exchange{Team: tt.team, Request: httptest.NewRequest(http.MethodGet, "/", nil)})
			if tt.reason == "" {
				if err != nil || sent != 1 {
					t.Fatalf("sent %d times, error %v", sent, err)
				}
				return
			}
			var refusal *Refusal
			if !errors.As(err, &refusal) || sent != 0 {
				t.Fatalf("sent %d times, error %v", sent, err)
			}
			if refusal.Status != tt.status || refusal.Reason != tt.reason || refusal.RetryAfter != tt.retry || refusal.Verdict != verdict.NotRun {
				t.Errorf("refused as %+v", refusal)
			}
		})
	}
}
