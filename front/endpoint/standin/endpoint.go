// Package standin is a small stand-in for a service's endpoint, for tests and
// for a first run on one machine. It tells the caller what it got, and can be
// told to misbehave.
package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Paths that are the stand-in's own; every other path is the service.
const (
	// PathFaults takes GET and PUT of Faults as JSON.
	PathFaults = "/standin/faults"
	// PathCounts takes GET of Counts as JSON.
	PathCounts = "/counts"
)

// Headers that the stand-in reads and writes.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID is the caller's name for a request, the same however
	// often it is sent.
	HeaderRequestID = "X-Request-Id"
	// HeaderEndpoint and HeaderVersion say who answers.
	HeaderEndpoint = "Cardamomfront-Standin-Endpoint"
	HeaderVersion  = "Cardamomfront-Standin-Version"
)

// Settings says who an endpoint is.
type Settings struct {
	// Name is the endpoint's name, told in its answers.
	Name string
	// Version is the version of the service that it runs.
	Version string
	// Slots is how many requests run at once; more are shed. 0 means no limit.
	Slots int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// Seed makes the shares in Faults repeatable.
	Seed uint64
}

// Endpoint is the stand-in. Use New.
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

// Handler serves the endpoint.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathCounts, e.serveCounts)
	mux.HandleFunc("GET "+PathFaults, e.serveFaults)
	mux.HandleFunc("PUT "+PathFaults, e.serveSetFaults)
	mux.HandleFunc("/", e.serve)
	return mux
}

// serve runs one request of the service, or misbehaves.
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

// begin decides what becomes of a request and counts it. A request that is
// not admitted has not run.
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

// draw draws whether something with a probability in percent draw.
func (e *Endpoint) draw(percent int) bool {
	return percent > 0 && e.random.IntN(100) < percent
}
