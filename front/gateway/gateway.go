package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/negroni/v3"
	"golang.org/x/sync/errgroup"

	"github.com/cardamomfront/cardamomfront/front/duplex"
	"github.com/cardamomfront/cardamomfront/front/duties"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/linger"
	"github.com/cardamomfront/cardamomfront/front/pacing"
	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/pipeline"
	"github.com/cardamomfront/cardamomfront/front/reachability"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/front/relay"
	"github.com/cardamomfront/cardamomfront/front/relayclient"
	"github.com/cardamomfront/cardamomfront/front/rollouts"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
)

const (
	// operatorLongPoll is how long the store may hold a call for the operators'
	// table. A connection on which no response arrives is noticed that much
	// later.
	operatorLongPoll = 2 * time.Second
	// endpointsPollInterval is the time between two reads of the endpoints
	// table. A draining endpoint must get no new requests later than 2.5 s
	// after it announced the drain.
	endpointsPollInterval = 900 * time.Millisecond
	// endpointsRefreshInterval is the longest time between two evaluations of
	// the endpoints table, since entries may be ignored for some time.
	endpointsRefreshInterval = 5 * time.Second
	// endpointRemovalDelay is how long after a store outage the rows of
	// endpoints that expired during it may be written again.
	endpointRemovalDelay = 2200 * time.Millisecond
	// operatorRestoreDelay is how long after a restore of the store from an older
	// copy the operators' orders that it has lost stay in force.
	operatorRestoreDelay = 4 * time.Second
	// instancesPollInterval is the time between two reads of the instances
	// table. It may be long, because a new instance contacts the others itself.
	instancesPollInterval = 5 * time.Second
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open, which is longer
	// than callers keep theirs.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// peerDialTimeout bounds the dial of a connection to another instance.
	peerDialTimeout = 800 * time.Millisecond
	// endpointDialTimeout bounds the dial of a connection to an endpoint.
	endpointDialTimeout = 700 * time.Millisecond
)

// Store is a shared store whose address can be changed.
type Store interface {
	registry.Store
	// SetAddress replaces the store's host and port.
	SetAddress(address string)
}

// Adapters are an instance's connections to its environment: the store, and the
// protocols with callers and endpoints.
type Adapters struct {
	// Store is the shared store.
	Store Store
	// Codec encodes and decodes the store's rows.
	Codec Codec
	// Callers is the protocol with callers.
	Callers CallerProtocol
	// Endpoints is the protocol with endpoints.
	Endpoints endpoint.Protocol
	// Ingress serves readiness and the directory of instances.
	Ingress Ingress
	// Duties takes the calls of the duties.
	Duties duties.Platform
	// Dial opens connections to endpoints.
	Dial endpoint.DialFunc
}

// Gateway is one instance.
type Gateway struct {
	settings    *liveSettings
	adapters    Adapters
	handler     *handler
	view        *storeView
	rollouts    *rollouts.Rollouts
	mesh        *mesh
	tables      *relayedStore
	client      *endpoint.Client
	reach       *reachability.Watch
	relay       *relayclient.Client
	peers       *peer.Server
	pipeline    *pipeline.Server // nil unless pipelining is set
	duties      *duties.Runner
	closer      *linger.Closer // of all connections to the HTTP servers
	metricsPage http.Handler
	metrics     *metrics
	writer      *telemetry.BoundedWriter
	logger      *logrus.Logger
	log         logrus.FieldLogger
}

// New returns an instance that is not running. It logs to out.
func New(s *Settings, adapters Adapters, out io.Writer) (*Gateway, error) {
	t, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	if adapters.Store, err = countCalls(adapters.Store, t); err != nil {
		return nil, err
	}
	return assemble(s, adapters, t, out)
}

// Run serves until ctx ends and then shuts down gracefully. Errors: a listener
// that can't be opened, or the first failure of a component.
func (g *Gateway) Run(ctx context.Context) error {
	runCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	logCtx, endLogs := context.WithCancel(context.WithoutCancel(ctx))
	var logWriter errgroup.Group
	logWriter.Go(func() error { return g.writer.Run(logCtx) })
	defer func() {
		endLogs()
		_ = logWriter.Wait() // its Run returns no error
	}()
	servers, err := g.listen()
	if err != nil {
		return err
	}
	group, runCtx := errgroup.WithContext(runCtx)
	for _, s := range servers {
		group.Go(s.serve)
	}
	peers, err := g.peers.Listen(g.settings.Load().Listen.Peers)
	if err != nil {
		return err
	}
	components, err := g.components(runCtx)
	if err != nil {
		return err
	}
	group.Go(func() error { return g.peers.Serve(runCtx, peers) })
	for _, run := range components {
		group.Go(func() error { return run(runCtx) })
	}
	g.log.WithFields(logrus.Fields{"callers": g.settings.Load().Listen.Callers, "store": g.settings.Load().Store}).Info("Started.")
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		g.log.Error("A component failed, stopping.")
	}
	g.stop(runCtx, servers)
	end()
	err = group.Wait()
	g.log.Info("Stopped.")
	return err
}

// components returns the background tasks.
func (g *Gateway) components(ctx context.Context) ([]func(context.Context) error, error) {
	operator, endpoints, _ := g.adapters.Codec.Tables()
	status := new(registry.StoreStatus)
	g.rollouts.SetVersionReachedAt(status.ReachedAt)
	var watchers []*registry.Watcher
	watch := func(options registry.WatchOptions, onChange func(time.Time, map[string]registry.Row)) *registry.Watcher {
		options.Status, options.CallMargin = status, relayCallMargin
		w := registry.NewWatcher(options, g.tables, onChange, g.logger)
		watchers = append(watchers, w)
		g.tables.serve(w)
		return w
	}
	endpointsOptions := g.view.endpointsOptions(endpoints, g.mesh.endpointsPace)
	endpointsOptions.ReachableSince = g.mesh.storeReachableByPeersSince
	endpointsWatcher := watch(endpointsOptions, g.view.applyEndpointsTable)
	g.mesh.storeReachableSince = endpointsWatcher.ReachableSince
	components := []func(context.Context) error{
		g.mesh.afterMembersRead(watch(g.view.operatorOptions(operator, g.mesh.operatorPace), g.view.applyOperatorTable).Run),
		g.mesh.afterMembersRead(endpointsWatcher.Run),
		g.mesh.afterRegistration(watch(registry.WatchOptions{Table: TableInstances, Pace: registry.Pace{PollInterval: instancesPollInterval}}, g.mesh.applyInstancesTable(ctx)).Run, g.settings.Load().Bootstrap),
		g.mesh.Run,
		newCatalogFollower(g.mesh, g.view, g.logger).Run,
		g.rollouts.Run,
		g.client.Run,
		g.reach.Run,
		g.relay.Run,
		newRegionLog(g.view.placer, g.logger).Run,
	}
	if g.pipeline != nil {
		components = append(components, g.runPipelineLog)
		if err := g.pipeline.Register(g.metrics.meter); err != nil {
			return nil, err
		}
	}
	if g.duties != nil {
		components = append(components, g.duties.Run)
	}
	if g.settings.Load().EndpointPace {
		components = append(components, pacing.NewLog(g.view.placer, g.logger).Run)
		if err := pacing.RegisterGauge(g.metrics.meter, g.view.placer); err != nil {
			return nil, err
		}
	}
	return components, g.metrics.registerGauges(g, watchers)
}

// httpServer is an *http.Server or a *pipeline.Server.
type httpServer interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// server is an HTTP server with its listener.
type server struct {
	http     httpServer
	listener net.Listener
	// takesRequests is set if requests must end before it is closed.
	takesRequests bool
}

// serve serves until the server is closed.
func (s *server) serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// listen opens all HTTP listeners.
func (g *Gateway) listen() ([]*server, error) {
	l := g.settings.Load().Listen
	chain := negroni.New()
	chain.UseHandler(g.handler)
	callers := linger.Handler(duplex.Handler(chain))
	pages := []struct {
		address       string
		handler       http.Handler
		takesRequests bool
	}{
		{l.Callers, callers, true},
		{l.Relay, duplex.Handler(relay.NewHandler(g.handler.serveRelayed, g.logger)), true},
		{l.Ready, g.adapters.Ingress.Ready(g.ready), false},
		{l.Directory, g.adapters.Ingress.Directory(g.mesh.callerAddresses, func() time.Duration { return g.settings.Load().lifetime() }), false},
		{l.Metrics, g.metricsPage, false},
	}
	var servers []*server
	for _, p := range pages {
		if p.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", p.address)
		if err != nil {
			return nil, err
		}
		servers = append(servers, &server{listener: g.closer.Listener(listener), takesRequests: p.takesRequests, http: &http.Server{
			Handler: p.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnContext: linger.ConnContext,
		}})
	}
	if ahead := g.settings.Load().Pipelining.MaxAhead; ahead > 0 {
		g.pipeline = newPipeline(callers, g.handler.mayRunAhead, ahead)
		servers[0].http = g.pipeline
	}
	return servers, nil
}

// ready reports whether callers should use this instance.
func (g *Gateway) ready() bool { return g.view.ready() && !g.mesh.isLeaving() }

// Fractions of the grace time after which each step of a shutdown begins.
const (
	// closeAfterFraction is when responses begin to close their connections. By
	// then callers have had time to query the directory again.
	closeAfterFraction = 0.15
	// refuseAfterFraction is when new requests are refused, so that those
	// accepted earlier can finish in time.
	refuseAfterFraction = 0.5
	// answerAfterFraction is when requests that still run are given up, so that
	// their callers get an answer.
	answerAfterFraction = 0.95
	// cutAfterFraction is when the wait for their answers ends.
	cutAfterFraction = 0.98
	// syncAfterFraction is when the wait for the last sync ends.
	syncAfterFraction = 0.99
	// deliverAfterFraction is when the wait for callers that have not received
	// their answers ends.
	deliverAfterFraction = 0.99
)

// stop shuts down gracefully: callers are sent to other instances, and the
// requests in flight finish before the process ends.
func (g *Gateway) stop(ctx context.Context, servers []*server) {
	grace := g.settings.Load().grace()
	g.log.WithField("grace_ms", grace.Milliseconds()).Info("Stopping.")
	start := time.Now()
	until := func(fraction float64) time.Time { return start.Add(time.Duration(fraction * float64(grace))) }
	g.handler.sender.endAt(until(answerAfterFraction))
	g.mesh.announceLeaving()
	g.duties.Release()
	go g.mesh.unregister(ctx)
	sleepUntil(until(closeAfterFraction))
	g.handler.closeConnections.Store(true)
	sleepUntil(until(refuseAfterFraction))
	g.handler.refuseRequests.Store(true)
	g.handler.sender.room.Close()
	end, cancel := context.WithDeadline(context.WithoutCancel(ctx), until(cutAfterFraction))
	defer cancel()
	var ending errgroup.Group
	for _, s := range servers {
		if s.takesRequests {
			ending.Go(func() error { return s.http.Shutdown(end) })
		}
	}
	if err := ending.Wait(); err != nil {
		g.log.WithError(err).Error("Requests were cut at the end of the grace time.")
	}
	if g.duties != nil {
		g.duties.Leave()
		g.mesh.syncLast(until(syncAfterFraction))
	}
	for _, s := range servers {
		_ = s.http.Close() // nothing depends on the other servers' responses any more
	}
	delivered, cancelDelivered := context.WithDeadline(context.WithoutCancel(ctx), until(deliverAfterFraction))
	defer cancelDelivered()
	g.closer.Shutdown(delivered)
}

// runEvery calls f at each tick until ctx ends.
func runEvery(ctx context.Context, d time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }
