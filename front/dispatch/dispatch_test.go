package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/slots"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

const testDocument = `
environment: test
teams: [{name: ward-01, rate: 6/s, burst: 24}]
regions:
  - {name: kano, failureDomains: [kano-a]}
  - {name: kaduna, failureDomains: [kaduna-a]}
services:
  - name: tracker
    versions:
      - name: v1
        endpoints:
          - {address: "127.0.0.1:9001", failureDomain: kano-a, slots: 1}
          - {address: "127.0.0.1:9002", failureDomain: kaduna-a, slots: 1}
    serving: v1
routes: [{name: read, path: /, methods: [GET], service: tracker, open: true, timeout: 5s}]
drains: [{region: kano, from: 2026-12-04T10:00:00Z, deadline: 2026-12-04T11:00:00Z}]
`

func testIndex(t *testing.T) *document.Index {
	t.Helper()
	doc, err := document.Decode("test.yaml", []byte(testDocument))
	if err != nil {
		t.Fatal(err)
	}
	return document.Compile(doc)
}

// fakeSlot records how it was released.
type fakeSlot struct {
	address  string
	deadline time.Time

	mu       sync.Mutex
	releases []broker.ReleaseInfo
}

func (s *fakeSlot) Endpoint() string    { return s.address }
func (s *fakeSlot) Deadline() time.Time { return s.deadline }
func (s *fakeSlot) Release(info broker.ReleaseInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases = append(s.releases, info)
}

func (s *fakeSlot) released() []broker.ReleaseInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.releases
}

// fakeSlots grants or refuses slots by region.
type fakeSlots struct {
	slot      *fakeSlot
	refuse    map[string]error
	requested []string
}

func (s *fakeSlots) Acquire(_ context.Context, r broker.Request) (Slot, error) {
	s.requested = append(s.requested, r.Group.Region)
	if err := s.refuse[r.Group.Region]; err != nil {
		return nil, err
	}
	return s.slot, nil
}

// noRelays knows no other instances.
type noRelays struct{}

func (noRelays) Relay(context.Context, slots.Group, time.Duration, *endpoint.Request) (*endpoint.Response, bool, error) {
	return nil, false, nil
}

type senderFunc func(r *endpoint.Request) (*endpoint.Response, error)

func (f senderFunc) Send(_ context.Context, _ endpoint.Target, r *endpoint.Request) (*endpoint.Response, error) {
	return f(r)
}

func respondWith(text string) senderFunc {
	return func(*endpoint.Request) (*endpoint.Response, error) {
		return &endpoint.Response{Status: http.StatusOK, ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}, nil
	}
}

func failWith(reason endpoint.Reason, v verdict.Verdict) senderFunc {
	return func(*endpoint.Request) (*endpoint.Response, error) {
		return nil, &endpoint.Error{Reason: reason, Verdict: v}
	}
}

func testRequest(body io.Reader) *endpoint.Request {
	return &endpoint.Request{HTTP: httptest.NewRequest(http.MethodPost, "/book", body), ID: "r1", Team: "ward-01"}
}

func TestSlotReleaseInfo(t *testing.T) {
	tests := []struct {
		desc    string
		send    senderFunc
		consume func(response *endpoint.Response)
		want    broker.ReleaseInfo
	}{
		{"complete response", respondWith("mats"), func(a *endpoint.Response) { _, _ = io.ReadAll(a.Body) }, broker.ReleaseInfo{Answered: true}},
		{"response abandoned", respondWith("mats"), func(a *endpoint.Response) { _ = a.Body.Close() }, broker.ReleaseInfo{BusyFor: cancelGrace}},
		{"shed", failWith(endpoint.ReasonShed, verdict.NotRun), nil, broker.ReleaseInfo{Answered: true}},
		{"nothing written", failWith(endpoint.ReasonUnreachable, verdict.NotRun), nil, broker.ReleaseInfo{}},
		{"connection broke", failWith(endpoint.ReasonBroken, verdict.MayHaveRun), nil, broker.ReleaseInfo{BusyFor: cancelGrace}},
		{"caller disconnected", failWith(endpoint.ReasonCanceled, verdict.MayHaveRun), nil, broker.ReleaseInfo{BusyFor: cancelGrace}},
		{"connection silent", failWith(endpoint.ReasonTimedOut, verdict.MayHaveRun), nil, broker.ReleaseInfo{KeepUntilExpiry: true}},
		{"deadline passed", failWith(endpoint.ReasonDeadline, verdict.MayHaveRun), nil, broker.ReleaseInfo{KeepUntilExpiry: true}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			slot := &fakeSlot{deadline: time.Now().Add(time.Minute)}
			d := &Dispatcher{Region: "kano", Slots: &fakeSlots{slot: slot}, Endpoints: tt.send, Relays: noRelays{}}
			response, err := d.SendAt(t.Context(), broker.Request{}, testRequest(nil))
			if tt.consume != nil {
				if err != nil {
					t.Fatal(err)
				}
				tt.consume(response)
				_ = response.Body.Close()
			}
			if got := slot.released(); len(got) != 1 || got[0] != tt.want {
				t.Errorf("released %+v, want once %+v", got, tt.want)
			}
		})
	}
}

func TestSearchOverRegions(t *testing.T) {
	busy := &admission.Refusal{Reason: admission.ReasonWait, Wait: time.Second}
	closed := &broker.UnavailableError{Reason: "no-slot-broker"}
	tests := []struct {
		desc      string
		refuse    map[string]error
		send      senderFunc
		requested string
		failed    bool
	}{
		{desc: "local region has a slot", send: respondWith("mats"), requested: "[kano]"},
		{desc: "local region busy", refuse: map[string]error{"kano": busy}, send: respondWith("mats"), requested: "[kano kaduna]"},
		{desc: "local region without a broker", refuse: map[string]error{"kano": closed}, send: respondWith("mats"), requested: "[kano kaduna]"},
		{
			desc: "all regions busy: waits where the queue is shortest", refuse: map[string]error{"kano": busy, "kaduna": busy},
			send: respondWith("mats"), requested: "[kano kaduna kano]", failed: true,
		},
		{desc: "an endpoint's failure ends the search", send: failWith(endpoint.ReasonBroken, verdict.MayHaveRun), requested: "[kano]", failed: true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := &fakeSlots{slot: &fakeSlot{deadline: time.Now().Add(time.Minute)}, refuse: tt.refuse}
			d := &Dispatcher{Region: "kano", Slots: s, Endpoints: tt.send, Relays: noRelays{}}
			_, err := d.Send(t.Context(), Target{Index: testIndex(t), Service: "tracker", Version: "v1"}, testRequest(nil))
			if got := fmt.Sprint(s.requested); got != tt.requested || (err != nil) != tt.failed {
				t.Errorf("requested %s, error %v; want %s", got, err, tt.requested)
			}
		})
	}
}

// partlyDrained is the drained share of the region kano; no other region is
// drained.
type partlyDrained float64

func (p partlyDrained) DrainedShare(region string) float64 {
	if region != "kano" {
		return 0
	}
	return float64(p)
}

// TestDrainMovesRequests checks that the share of requests that leave a region
// grows with the drain, and that a request that has left never returns.
func TestDrainMovesRequests(t *testing.T) {
	target := Target{Index: testIndex(t), Service: "tracker", Version: "v1"}
	tests := []struct {
		moved    float64
		min, max int // bounds on the requests of 1000 that stay
	}{
		{0, 1000, 1000},
		{0.25, 650, 850},
		{0.5, 400, 600},
		{1, 0, 0},
	}
	movedIDs := make(map[string]bool)
	for _, tt := range tests {
		d := &Dispatcher{Region: "kano", Drains: partlyDrained(tt.moved)}
		stay := 0
		for i := range 1000 {
			id := fmt.Sprint(i)
			if d.regions(target, id)[0].Name != "kano" {
				movedIDs[id] = true
				continue
			}
			stay++
			if movedIDs[id] {
				t.Errorf("request %s returned at %v", id, tt.moved)
			}
		}
		if stay < tt.min || stay > tt.max {
			t.Errorf("at %v %d of 1000 stay, want %d to %d", tt.moved, stay, tt.min, tt.max)
		}
	}
}

// ignoreOutcomes is an observer that discards outcomes.
type ignoreOutcomes struct{}

func (ignoreOutcomes) Observe(string, health.Outcome, time.Duration) {}

// relayPair returns a dispatcher in kano that relays to remote in kaduna.
func relayPair(t *testing.T, remote *Dispatcher) *Dispatcher {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	srv := httptest.NewServer(NewRelayServer(remote, log).http.Handler)
	client := endpoint.NewClient(endpoint.Settings{}, ignoreOutcomes{})
	t.Cleanup(func() {
		client.Close()
		srv.Close()
	})
	relays := NewRelayClient(client, nil, nil, nil)
	relays.byRegion["kaduna"] = []string{srv.Listener.Addr().String()}
	full := map[string]error{"kano": &broker.UnavailableError{Reason: "no-slot-broker"}}
	return &Dispatcher{Region: "kano", Slots: &fakeSlots{refuse: full}, Relays: relays}
}

func TestRelay(t *testing.T) {
	busy := &admission.Refusal{Reason: admission.ReasonWait, Wait: 300 * time.Millisecond}
	tests := []struct {
		desc    string
		refuse  error
		send    senderFunc
		verdict verdict.Verdict
		busy    bool
		body    string
	}{
		{desc: "answered", send: respondWith("mats"), body: "mats"},
		{desc: "no slot in the remote region", refuse: busy, busy: true},
		{desc: "endpoint unreachable", send: failWith(endpoint.ReasonUnreachable, verdict.NotRun), verdict: verdict.NotRun},
		{desc: "connection to the endpoint broke", send: failWith(endpoint.ReasonBroken, verdict.MayHaveRun), verdict: verdict.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			slot := &fakeSlot{deadline: time.Now().Add(time.Minute)}
			remote := &Dispatcher{Region: "kaduna", Endpoints: tt.send, Slots: &fakeSlots{slot: slot, refuse: map[string]error{"kaduna": tt.refuse}}}
			d := relayPair(t, remote)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			target := Target{Index: testIndex(t), Service: "tracker", Version: "v1", Deadline: time.Now().Add(time.Minute)}
			response, err := d.Send(ctx, target, testRequest(nil))
			var refusal *admission.Refusal
			var failed *endpoint.Error
			switch {
			case tt.body != "":
				if err != nil {
					t.Fatal(err)
				}
				if got, err := io.ReadAll(response.Body); err != nil || string(got) != tt.body {
					t.Errorf("response %q, %v", got, err)
				}
			case tt.busy:
				if !errors.As(err, &refusal) || refusal.Wait != busy.Wait {
					t.Errorf("error %v, want the refusal of the relaying instance", err)
				}
			case !errors.As(err, &failed) || failed.Verdict != tt.verdict:
				t.Errorf("error %v, want verdict %s", err, tt.verdict)
			}
		})
	}
}

// TestRelayedAnswerCut truncates the endpoint's response at the relaying
// instance. The error must reach the sending instance.
func TestRelayedAnswerCut(t *testing.T) {
	cut := func(*endpoint.Request) (*endpoint.Response, error) {
		body := io.MultiReader(strings.NewReader("ma"), &brokenReader{})
		return &endpoint.Response{Status: http.StatusOK, ContentLength: -1, Body: io.NopCloser(body)}, nil
	}
	slot := &fakeSlot{deadline: time.Now().Add(time.Minute)}
	d := relayPair(t, &Dispatcher{Region: "kaduna", Endpoints: senderFunc(cut), Slots: &fakeSlots{slot: slot}})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	target := Target{Index: testIndex(t), Service: "tracker", Version: "v1", Deadline: time.Now().Add(time.Minute)}
	response, err := d.Send(ctx, target, testRequest(nil))
	if err != nil {
		t.Fatal(err)
	}
	var failed *endpoint.Error
	if _, err := io.ReadAll(response.Body); !errors.As(err, &failed) || failed.Reason != endpoint.ReasonTruncated {
		t.Errorf("body ended with %v, want a detectable truncation", err)
	}
}

type brokenReader struct{}

func (*brokenReader) Read([]byte) (int, error) {
	return 0, &endpoint.Error{Reason: endpoint.ReasonTruncated}
}
