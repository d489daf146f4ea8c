package gateway

import (
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/crashes"
	"github.com/cardamomfront/cardamomfront/front/duties"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/linger"
	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/reachability"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/front/relayclient"
	"github.com/cardamomfront/cardamomfront/front/rollouts"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/front/waiting"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/reach"
)

// endpointIdleTimeout is how long an idle connection to an endpoint is reused.
// The users' endpoints close idle connections after ten seconds.
const endpointIdleTimeout = 8 * time.Second

// liveSettings holds the settings in force, which a reload replaces.
type liveSettings struct{ atomic.Pointer[Settings] }

func newLiveSettings(s *Settings) *liveSettings {
	live := &liveSettings{}
	live.Store(s)
	return live
}

func newWriter(out io.Writer) *telemetry.BoundedWriter { return telemetry.NewBoundedWriter(out) }

func newLog(s *Settings, w *telemetry.BoundedWriter) (*logrus.Logger, error) {
	return telemetry.NewLog(s.Log, w)
}

// ignoreOutcomes ignores the outcomes that the client observes: the placer is
// given them directly.
type ignoreOutcomes struct{}

// Observe implements endpoint.Observer.
func (ignoreOutcomes) Observe(string, health.Outcome, time.Duration) {}

func newReachMonitor() *reach.Monitor { return reach.New(reach.DefaultRules()) }

func newClient(adapters Adapters, m *reach.Monitor, t *telemetry.Metrics) (*endpoint.Client, error) {
	observer, err := endpoint.CountOutcomes(ignoreOutcomes{}, t.Meter)
	if err != nil {
		return nil, err
	}
	invalidLoads, err := endpoint.NewInvalidLoads(t.Meter)
	if err != nil {
		return nil, err
	}
	return endpoint.NewClient(endpoint.Settings{
		InvalidLoads:  invalidLoads,
		DialTimeout:   endpointDialTimeout,
		Dial:          reachability.ObserveDials(adapters.Dial, m),
		Protocol:      adapters.Endpoints,
		DisableProbes: true,
		Connections:   health.ConnectionRules{FreshFor: health.DefaultFreshFor, ReusableFor: endpointIdleTimeout},
	}, observer), nil
}

func newPlacer(s *Settings) *placing.Placer {
	rules := placing.DefaultRules()
	rules.Pace = s.EndpointPace
	return placing.New(rules, placing.Locality{
		Self: s.Name, Region: s.Region, FailureDomain: s.FailureDomain, Regions: s.FailureDomains, Joins: !s.Bootstrap,
		Random: rand.NewPCG(xxhash.Sum64String(s.Name), 0),
	})
}

func newRelayClient() *relayclient.Client { return relayclient.New(ignoreOutcomes{}) }

func newCrashWatch(c *endpoint.Client, p *placing.Placer, reached *reachability.Watch, log *logrus.Logger) *crashes.Watch {
	return crashes.New(c, p, reached, endpointDialTimeout, log)
}

// newRollouts returns rollouts without orders. newMesh connects them with the other
// instances, and newRelayedStore replaces their store.
func newRollouts(adapters Adapters, log *logrus.Logger) *rollouts.Rollouts {
	return rollouts.New(adapters.Store, adapters.Codec, log)
}

func newPeerServer(m *mesh, v *storeView, log *logrus.Logger) *peer.Server {
	s := peer.NewServer(nil, log)
	s.AllowPlainTCP = true
	s.Handle(methodSync, m.handleSync)
	s.Handle(methodCatalog, v.handleCatalog)
	return s
}

func newSender(c *endpoint.Client, p *placing.Placer, r *rollouts.Rollouts, m *metrics, b *retryBudgets, w *crashes.Watch, reached *reach.Monitor, relayed *relayclient.Client, l *logLimiter, d *duties.Runner, room *waiting.Room) *sender {
	return &sender{duties: d, client: c, placer: p, rollouts: r, metrics: m, budgets: b, crashes: w, reach: reached, relay: relayed, room: room, logLimiter: l, ended: make(chan struct{})}
}

func newRoom(t *telemetry.Metrics, log *logrus.Logger) (*waiting.Room, error) {
	return waiting.New(t.Meter, log)
}

func newCloser(t *telemetry.Metrics, log *logrus.Logger) (*linger.Closer, error) {
	return linger.New(linger.DefaultLimits(), t.Meter, log)
}

func newLogLimiter(log *logrus.Logger) *logLimiter {
	return &logLimiter{log: log.WithField("prefix", "request")}
}

func newHandler(adapters Adapters, v *storeView, s *sender, m *metrics, l *logLimiter, log *logrus.Logger) *handler {
	return &handler{protocol: adapters.Callers, view: v, sender: s, metrics: m, logLimiter: l, log: log.WithField("prefix", "request")}
}

// countedStore counts the calls to a store, and passes on changes of its
// address.
type countedStore struct {
	registry.Store
	address func(string)
}

// SetAddress implements Store.
func (s countedStore) SetAddress(address string) { s.address(address) }

// countCalls wraps a store so that its calls are counted.
func countCalls(s Store, t *telemetry.Metrics) (Store, error) {
	counted, err := registry.CountCalls(s, t.Meter)
	if err != nil {
		return nil, err
	}
	return countedStore{Store: counted, address: s.SetAddress}, nil
}

// newGateway assembles an instance.
func newGateway(s *liveSettings, adapters Adapters, h *handler, v *storeView, r *rollouts.Rollouts, m *mesh, tables *relayedStore, c *endpoint.Client, reached *reachability.Watch, relayed *relayclient.Client, peers *peer.Server, d *duties.Runner, closer *linger.Closer, t *telemetry.Metrics, counts *metrics, w *telemetry.BoundedWriter, log *logrus.Logger) *Gateway {
	return &Gateway{
		settings:    s,
		adapters:    adapters,
		handler:     h,
		view:        v,
		rollouts:    r,
		mesh:        m,
		tables:      tables,
		client:      c,
		reach:       reached,
		relay:       relayed,
		peers:       peers,
		duties:      d,
		closer:      closer,
		metricsPage: t.Page,
		metrics:     counts,
		writer:      w,
		logger:      log,
		log:         log.WithFields(logrus.Fields{"prefix": "gateway", "instance": s.Load().Name}),
	}
}
