package caller

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/storage/shifts"
	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// alwaysNew chooses the new version for every request.
type alwaysNew struct{}

func (alwaysNew) ChooseVersion(*document.Index, string, time.Time) string { return "v2" }

// outcomeList records outcomes.
type outcomeList struct{ all []shifts.Outcome }

func (l *outcomeList) RecordOutcome(o shifts.Outcome) { l.all = append(l.all, o) }

// statusWriter is a ResponseWriter that reports a status.
type statusWriter struct {
	ResponseWriter
	status int
}

func (w statusWriter) Status() int { return w.status }
func (w statusWriter) Size() int   { return 0 }

func TestOutcomeOfAnAttempt(t *testing.T) {
	tests := []struct {
		desc          string
		err           error
		status        int
		failed, known bool
	}{
		{"answered", nil, http.StatusOK, false, true},
		{"client error", nil, http.StatusNotFound, false, true},
		{"server error", nil, http.StatusInternalServerError, true, true},
		{"broken", &endpoint.Error{Reason: endpoint.ReasonBroken}, 0, true, true},
		{"too late", &endpoint.Error{Reason: endpoint.ReasonDeadline}, 0, true, true},
		{"shed", &endpoint.Error{Reason: endpoint.ReasonShed}, 0, false, false},
		{"caller disconnected", &endpoint.Error{Reason: endpoint.ReasonCanceled}, 0, false, false},
		{"response cut", &Refusal{Reason: ReasonResponseCut}, http.StatusOK, true, true},
		{"other", errors.New("fault"), 0, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			request, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "/tracker/", nil)
			x := &Exchange{Request: request, Writer: statusWriter{status: tt.status}}
			if failed, known := endpointFailed(x, tt.err); failed != tt.failed || known != tt.known {
				t.Errorf("failed %v, known %v; want %v, %v", failed, known, tt.failed, tt.known)
			}
		})
	}
}

// TestNoRoomIsAFailure sends a request to a version that has no slot for it.
// This must count as a failure of the version.
func TestNoRoomIsAFailure(t *testing.T) {
	index := testIndex(t, true)
	list := &outcomeList{}
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "/tracker/", nil)
	x := &Exchange{Request: request, Writer: statusWriter{}, Index: index, Route: index.Route(http.MethodGet, "/tracker/"), Version: "v2"}
	full := HandlerFunc(func(*Exchange) error { return &Refusal{Err: &admission.Refusal{Reason: admission.ReasonWait}} })
	_ = Chain(full, &Outcomes{Recorder: list}).ServeExchange(x)
	if len(list.all) != 1 || !list.all[0].Failed || list.all[0].FailureDomain != "" || x.Version != "v1" {
		t.Errorf("outcomes %+v, further attempts to %s; want one failure without domain and v1", list.all, x.Version)
	}
}

// TestFailedAttemptIsRetriedOnTheOldVersion lets two attempts of one request
// fail. The second must go to the serving version.
func TestFailedAttemptIsRetriedOnTheOldVersion(t *testing.T) {
	index := testIndex(t, true)
	list := &outcomeList{}
	failAtEndpoint := HandlerFunc(func(x *Exchange) error {
		x.Endpoint = &document.Endpoint{FailureDomain: "kano-a"}
		return &endpoint.Error{Reason: endpoint.ReasonBroken}
	})
	sendTwice := HandlerFunc(func(x *Exchange) error {
		attempt := Chain(failAtEndpoint, &Outcomes{Recorder: list})
		return errors.Join(attempt.ServeExchange(x), attempt.ServeExchange(x))
	})
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "/tracker/", nil)
	x := &Exchange{Request: request, Writer: statusWriter{}, Index: index, Route: index.Route(http.MethodGet, "/tracker/")}
	if err := Chain(sendTwice, &Versions{Chooser: alwaysNew{}}).ServeExchange(x); err == nil {
		t.Fatal("the request succeeded")
	}
	if len(list.all) != 2 || list.all[0].Version != "v2" || list.all[1].Version != "v1" {
		t.Errorf("outcomes %+v, want one of v2 and then one of v1", list.all)
	}
}
