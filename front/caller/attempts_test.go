package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/negroni/v3"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/storage/attempts"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/retry"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// bookingIndex returns a document with idempotent and non-idempotent routes.
func bookingIndex(t testing.TB) *document.Index {
	t.Helper()
	doc, err := document.Decode("test.yaml", []byte(`environment: test
teams:
  - {name: ward-01, rate: 10/s, burst: 10, keys: [{id: a, digest: "`+document.KeyDigest(testKey)+`"}]}
regions: [{name: kano, failureDomains: [kano-a]}]
services:
  - name: ledger
    serving: v1
    versions: [{name: v1, endpoints: [{address: "127.0.0.1:9001", failureDomain: kano-a, slots: 3}]}]
routes:
  - {name: book, path: /book, methods: [POST], service: ledger, timeout: 5s}
  - {name: put, path: /put, methods: [GET, PUT], service: ledger, idempotent: true, timeout: 5s}
`))
	if err != nil {
		t.Fatal(err)
	}
	return document.Compile(doc)
}

// bookingServer is a server with the Attempts and Retries stages and a stand-in
// store.
type bookingServer struct {
	server *Server
	page   http.Handler
	store  *standin.Store
	sent   int
	// responses are the responses to successive sends; the last one repeats.
	responses []senderFunc
	// bodies are the request bodies that were sent.
	bodies []string
}

func (b *bookingServer) send(ctx context.Context, r *endpoint.Request) (*endpoint.Response, error) {
	b.sent++
	if r.HTTP.Body != nil {
		body, _ := io.ReadAll(r.HTTP.Body)
		b.bodies = append(b.bodies, string(body))
	}
	response := b.responses[0]
	if len(b.responses) > 1 {
		b.responses = b.responses[1:]
	}
	return response(ctx, r)
}

// newBookingServer starts a server with the responses to successive sends. The
// returned function stops it.
func newBookingServer(t *testing.T, responses ...senderFunc) (*bookingServer, func()) {
	t.Helper()
	b := &bookingServer{store: standin.NewStore(), responses: responses}
	log := logrus.New()
	log.SetOutput(io.Discard)
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	b.page = metrics.Page
	recorder, err := attempts.New(attempts.DefaultSettings(), b.store, "kano", "kano-1", metrics.Meter, log)
	if err != nil {
		t.Fatal(err)
	}
	retries, err := NewRetries(retry.DefaultPolicy(), retry.BudgetSettings{Ratio: retry.DefaultRatio, Burst: retry.DefaultBurst}, metrics)
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewMetrics(metrics)
	if err != nil {
		t.Fatal(err)
	}
	source := &fakeSource{}
	source.setIndex(bookingIndex(t), false)
	keys := NewKeys(configuration.NewKeyring(source, configuration.RefuseStale))
	chain := Chain(&Forward{Sender: senderFunc(b.send)}, &Routes{Source: source}, keys, &Attempts{Claimer: recorder}, retries)
	b.server = NewServer(ServerSettings{}, chain, http.NotFoundHandler(), m, log)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = recorder.Run(ctx)
		close(ended)
	}()
	time.Sleep(time.Second) // wait until the recorder has read its epoch
	return b, func() {
		cancel()
		<-ended
	}
}

// call sends one request, with an idempotency key unless key is empty.
func (b *bookingServer) call(ctx context.Context, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		r.Header.Set(HeaderIdempotencyKey, key)
	}
	w := httptest.NewRecorder()
	b.server.ServeHTTP(w, r)
	time.Sleep(2 * time.Second) // wait until the outcome is written
	return w
}

func respondText(text string) senderFunc {
	return func(context.Context, *endpoint.Request) (*endpoint.Response, error) {
		header := http.Header{"Content-Type": {"text/plain"}}
		body := io.NopCloser(bytes.NewReader([]byte(text)))
		return &endpoint.Response{Status: http.StatusCreated, Header: header, ContentLength: int64(len(text)), Body: body}, nil
	}
}

func respondFailure(reason endpoint.Reason, v verdict.Verdict) senderFunc {
	return func(context.Context, *endpoint.Request) (*endpoint.Response, error) {
		return nil, &endpoint.Error{Reason: reason, Verdict: v}
	}
}

// wantResponse is the response expected by the caller.
type wantResponse struct {
	status  int
	verdict verdict.Verdict
	reason  Reason
	body    string
}

func (want wantResponse) check(t *testing.T, which string, w *httptest.ResponseRecorder) {
	t.Helper()
	got := wantResponse{status: w.Code, reason: Reason(w.Header().Get(HeaderReason))}
	if got.reason == "" {
		got.body = w.Body.String()
	}
	gotVerdict := w.Header().Get(HeaderVerdict)
	if got.status != want.status || got.reason != want.reason || got.body != want.body || gotVerdict != want.verdict.String() {
		t.Errorf("%s: status %d, verdict %s, reason %q, body %.20q, want %+v", which, got.status, gotVerdict, got.reason, got.body, want)
	}
}

// TestRepeatedBooking sends the same booking twice.
func TestRepeatedBooking(t *testing.T) {
	large := strings.Repeat("x", attempt.MaxOutcomeBodyBytes+1)
	unknown := respondFailure(endpoint.ReasonBroken, verdict.MayHaveRun)
	done := wantResponse{201, verdict.Ran, "", "booked"}
	tests := []struct {
		desc      string
		key       string
		responses []senderFunc
		first     wantResponse
		second    wantResponse
		sent      int
	}{
		{"answered", "k", []senderFunc{respondText("booked")}, done, done, 1},
		{"answered, without a key", "", []senderFunc{respondText("booked")}, done, done, 2},
		{
			"response too long to record", "k",
			[]senderFunc{respondText(large)},
			wantResponse{201, verdict.Ran, "", large},
			wantResponse{409, verdict.Ran, ReasonResponseNotRecorded, ""},
			1,
		},
		{
			"outcome unknown", "k",
			[]senderFunc{unknown, respondText("booked")},
			wantResponse{502, verdict.MayHaveRun, "connection-broken", ""},
			wantResponse{409, verdict.MayHaveRun, ReasonKeyRunning, ""},
			1,
		},
		{
			"unreachable three times", "k",
			[]senderFunc{
				respondFailure(endpoint.ReasonUnreachable, verdict.NotRun), respondFailure(endpoint.ReasonUnreachable, verdict.NotRun),
				respondFailure(endpoint.ReasonUnreachable, verdict.NotRun), respondText("booked"),
			},
			wantResponse{502, verdict.NotRun, "endpoint-unreachable", ""},
			done, 4,
		},
		{"shed once", "k", []senderFunc{respondFailure(endpoint.ReasonShed, verdict.NotRun), respondText("booked")}, done, done, 2},
		{
			"shed once, then unknown", "k",
			[]senderFunc{respondFailure(endpoint.ReasonShed, verdict.NotRun), unknown, respondText("booked")},
			wantResponse{502, verdict.MayHaveRun, "connection-broken", ""},
			wantResponse{409, verdict.MayHaveRun, ReasonKeyRunning, ""},
			2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, stop := newBookingServer(t, tt.responses...)
				defer stop()
				tt.first.check(t, "first", b.call(context.Background(), "POST", "/book", tt.key, "mats"))
				tt.second.check(t, "second", b.call(context.Background(), "POST", "/book", tt.key, "mats"))
				if b.sent != tt.sent {
					t.Errorf("sent %d times, want %d", b.sent, tt.sent)
				}
			})
		})
	}
}

// TestKeyOfAnotherBooking uses one idempotency key for two different bookings.
func TestKeyOfAnotherBooking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newBookingServer(t, respondText("booked"))
		defer stop()
		b.call(context.Background(), "POST", "/book?mats=1", "k", "")
		w := b.call(context.Background(), "POST", "/book?mats=2", "k", "")
		wantResponse{422, verdict.NotRun, ReasonKeyReused, ""}.check(t, "another query", w)
		b.call(context.Background(), "POST", "/book", "l", "mat 1")
		w = b.call(context.Background(), "POST", "/book", "l", "mat 2")
		wantResponse{422, verdict.NotRun, ReasonKeyReused, ""}.check(t, "another body", w)
	})
}

// TestCallerThatLeavesInItsBody lets a caller disconnect in the middle of a
// short body and then repeat the complete booking.
func TestCallerThatLeavesInItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newBookingServer(t, respondText("booked"))
		defer stop()
		r := httptest.NewRequest("POST", "/book", iotest.ErrReader(io.ErrUnexpectedEOF))
		r.ContentLength = 4
		r.Header.Set("Authorization", "Bearer "+testKey)
		r.Header.Set(HeaderIdempotencyKey, "k")
		w := httptest.NewRecorder()
		b.server.ServeHTTP(w, r)
		wantResponse{400, verdict.NotRun, Reason(endpoint.ReasonCallerBody), ""}.check(t, "first", w)
		w = b.call(context.Background(), "POST", "/book", "k", "mats")
		wantResponse{201, verdict.Ran, "", "booked"}.check(t, "repeat", w)
		if b.sent != 1 {
			t.Errorf("sent %d times, want once", b.sent)
		}
	})
}

// TestSlowBodyEndsWithTheDeadline lets a caller send half of a short body over
// a real connection and then stall.
func TestSlowBodyEndsWithTheDeadline(t *testing.T) {
	results := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		exchange := &Exchange{
			Request:  r,
			Writer:   negroni.NewResponseWriter(w).(ResponseWriter),
			Deadline: time.Now().Add(50 * time.Millisecond),
		}
		_, err := bufferBody(exchange)
		results <- err
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /book HTTP/1.1\r\nHost: front\r\nContent-Length: 4\r\n\r\nma")
	var refusal *Refusal
	if err := <-results; !errors.As(err, &refusal) || refusal.Reason != ReasonDeadline || refusal.Verdict != verdict.NotRun {
		t.Fatalf("holdBody = %v, want a refusal for the deadline", err)
	}
}

// TestSilentStoreRefusesOnlyKeyedBookings freezes the store. Only bookings that
// need an idempotency key may be refused.
func TestSilentStoreRefusesOnlyKeyedBookings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newBookingServer(t, respondText("booked"))
		defer stop()
		b.store.SetFaults(standin.Faults{Freeze: true})
		w := b.call(context.Background(), "POST", "/book", "k", "mats")
		wantResponse{503, verdict.NotRun, Reason(attempts.ReasonStoreUnavailable), ""}.check(t, "with a key", w)
		w = b.call(context.Background(), "PUT", "/put", "k", "mats")
		wantResponse{201, verdict.Ran, "", "booked"}.check(t, "idempotent", w)
		if b.sent != 1 {
			t.Errorf("sent %d times, want once", b.sent)
		}
	})
}

// TestCallerThatLeftLearnsTheOutcome lets a caller disconnect while its booking
// runs and then repeat it. The repeated request must get the recorded outcome.
func TestCallerThatLeftLearnsTheOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newBookingServer(t, func(ctx context.Context, r *endpoint.Request) (*endpoint.Response, error) {
			select {
			case <-time.After(time.Second):
				return respondText("booked")(ctx, r)
			case <-ctx.Done():
				return nil, &endpoint.Error{Reason: endpoint.ReasonCanceled, Verdict: verdict.MayHaveRun, Err: ctx.Err()}
			}
		})
		defer stop()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		b.call(ctx, "POST", "/book", "k", "mats")
		w := b.call(context.Background(), "POST", "/book", "k", "mats")
		wantResponse{201, verdict.Ran, "", "booked"}.check(t, "repeat", w)
		if w.Header().Get(HeaderReplayed) != "true" || b.sent != 1 {
			t.Errorf("sent %d times, want once", b.sent)
		}
	})
}
