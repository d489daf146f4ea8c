// Package standin provides a simulated endpoint of a service, for tests and for
// a trial on one machine. It echoes each request in its response and can be
// configured to fail in several ways.
package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Paths of the stand-in's own API. All other paths belong to the simulated
// service.
const (
	// PathFaults serves GET and PUT of Faults as JSON.
	PathFaults = "/standin/faults"
	// PathCounts serves GET of Counts as JSON.
	PathCounts = "/counts"
)

// Headers that the stand-in reads and writes.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID is the caller's identifier of a request. It is the same
	// in all attempts.
	HeaderRequestID = "X-Request-Id"
	// HeaderEndpoint and HeaderVersion identify the endpoint that responds.
	HeaderEndpoint = "Cardamomfront-Standin-Endpoint"
	HeaderVersion  = "Cardamomfront-Standin-Version"
)

// Settings are the settings of an endpoint.
type Settings struct {
	// Name is the endpoint's name, sent in its responses.
	Name string
	// Version is the version of the simulated service.
	Version string
	// Slots is the maximum number of concurrent requests; more are shed. 0
	// means no limit.
	Slots int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// Seed seeds the random choice of the requests that fail.
	Seed uint64
}

// Endpoint is a simulated endpoint. Use New to create one.
type Endpoint struct {
	settings Settings
	started  time.Time

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	counts counts
}

// New returns an endpoint without faults.
func New(settings Settings) *Endpoint {
	return &Endpoint{
		settings: settings,
		started:  time.Now(),
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		counts:   newCounts(),
	}
}

// Handler returns the endpoint's HTTP handler.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathCounts, e.serveCounts)
	mux.HandleFunc("GET "+PathFaults, e.serveFaults)
	mux.HandleFunc("PUT "+PathFaults, e.serveSetFaults)
	mux.HandleFunc("/", e.serve)
	return mux
}

// serve runs one request of the simulated service and applies the faults.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderEndpoint, e.settings.Name)
	w.Header().Set(HeaderVersion, e.settings.Version)
	w.Header().Set(endpoint.HeaderExchange, r.Header.Get(endpoint.HeaderExchange))
	plan, admitted := e.begin(r)
	if !admitted {
		w.Header().Set(endpoint.HeaderVerdict, verdict.NotRun.String())
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	body, err := digestBody(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !plan.wait(r.Context(), e.settings.ServiceTime) {
		panic(http.ErrAbortHandler)
	}
	e.writeResponse(w, r, plan, body)
}

// begin admits or sheds a request, counts it and returns its plan. A request
// that is not admitted has not run.
func (e *Endpoint) begin(r *http.Request) (plan, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.settings.Slots > 0 && e.counts.Running >= e.settings.Slots
	if full || e.draw(e.faults.ShedPercent) {
		e.counts.Shed++
		return plan{}, false
	}
	e.counts.recordExecution(r)
	return e.plan(), true
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Running--
}

// draw reports true with the given probability in percent.
func (e *Endpoint) draw(percent int) bool {
	return percent > 0 && e.random.IntN(100) < percent
}
