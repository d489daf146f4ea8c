package instance

import (
	"crypto/tls"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/caller"
	"github.com/cardamomfront/cardamomfront/front/dispatch"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/linger"
	"github.com/cardamomfront/cardamomfront/front/operator"
	"github.com/cardamomfront/cardamomfront/front/operator/explain"
	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/attempts"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/storage/membership"
	"github.com/cardamomfront/cardamomfront/front/storage/shares"
	"github.com/cardamomfront/cardamomfront/front/storage/shifts"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/generation"
	"github.com/cardamomfront/cardamomfront/steer/retry"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// operatorHeaderTimeout bounds the reading of an operator's request header.
const operatorHeaderTimeout = 5 * time.Second

// Name is the unique name of an instance. Each process gets a new one.
type Name string

// newName returns a unique name that starts with the failure domain.
func newName(s *Settings) Name {
	return Name(s.FailureDomain + "-" + uuid.NewString())
}

func newLog(s *Settings, w io.Writer) (*logrus.Logger, error) {
	return telemetry.NewLog(s.Log, w)
}

func newCloser(m *telemetry.Metrics, log *logrus.Logger) (*linger.Closer, error) {
	return linger.New(linger.DefaultLimits(), m.Meter, log)
}

func newStorageClient(s *Settings, m *telemetry.Metrics) (*storage.Client, error) {
	traffic, err := telemetry.NewTraffic(m, "platform")
	if err != nil {
		return nil, err
	}
	return storage.NewClient(storage.Settings{
		URL:     s.Platform.URL,
		Timeout: s.Platform.Timeout.Std(),
		Dial:    traffic.Dial,
	}), nil
}

// peerTraffic counts the bytes sent and received between instances.
type peerTraffic *telemetry.Traffic

func newPeerTraffic(m *telemetry.Metrics) (peerTraffic, error) {
	return telemetry.NewTraffic(m, "instance")
}

// peerTLS is the configuration of mutual TLS between instances. Nil means plain
// TCP.
type peerTLS *tls.Config

func newPeerTLS(s *Settings) (peerTLS, error) {
	return peer.LoadTLS(peer.TLSFiles{
		Certificate: s.Peers.Certificate,
		PrivateKey:  s.Peers.PrivateKey,
		Authority:   s.Peers.Authority,
	})
}

func newPeerServer(c peerTLS, t peerTraffic, log *logrus.Logger) *peer.Server {
	srv := peer.NewServer(c, log)
	srv.Traffic = t
	return srv
}

func newPeerClient(s *Settings, c peerTLS, t peerTraffic) *peer.Client {
	client := peer.NewClient(c, s.Peers.DialTimeout.Std())
	client.Traffic = t
	return client
}

func newCallerSettings(s *Settings) caller.ServerSettings {
	return caller.ServerSettings{
		HeaderTimeout:  s.Callers.HeaderTimeout.Std(),
		MaxHeaderBytes: int(s.Callers.MaxHeader.Bytes()),
	}
}

// location returns the instance's name, region and failure domain.
func location(s *Settings, n Name) generation.Location {
	return generation.Location{Instance: string(n), Region: s.Region, FailureDomain: s.FailureDomain}
}

func newConfigurationMeters(m *telemetry.Metrics) (*configuration.Meters, error) {
	return configuration.NewMeters(m.Meter)
}

func newWatcher(s *Settings, n Name, store configuration.Store, c *peer.Client, srv *peer.Server, d *directory, log *logrus.Logger, m *configuration.Meters) *configuration.Watcher {
	settings := configuration.DefaultSettings(s.Environment, location(s, n), s.Peers.Listen, s.Platform.Region)
	w := configuration.NewWatcher(settings, store, c, configuration.WithSeeds(d, s.Peers.Listen, s.Peers.Seeds), log, m)
	w.Register(srv)
	return w
}

func newKeyring(s *Settings, source configuration.Source) *configuration.Keyring {
	return configuration.NewKeyring(source, s.StaleKeys)
}

// newChain returns the handler that passes a request through the stages, the
// first one outermost, and then forwards it.
func newChain(f *caller.Forward, source configuration.Source, keys *caller.Keys, records *attempts.Recorder, retries *caller.Retries, versions *shifts.Manager, limits *caller.Limits) caller.Handler {
	return caller.Chain(f,
		&caller.Routes{Source: source},
		keys,
		limits,
		&caller.Attempts{Claimer: records},
		&caller.Versions{Chooser: versions},
		retries,
		limits.Confirmation(),
		&caller.Outcomes{Recorder: versions},
	)
}

// newShiftManager returns the manager of the shifts and drains in the document.
func newShiftManager(s *Settings, n Name, table storage.Service, source configuration.Source, c *peer.Client, srv *peer.Server, d *directory, log *logrus.Logger, m *telemetry.Metrics) (*shifts.Manager, error) {
	meters, err := shifts.NewMeters(m.Meter)
	if err != nil {
		return nil, err
	}
	settings := shifts.Settings{
		Environment:        s.Environment,
		Instance:           string(n),
		Region:             s.Region,
		LinkBytesPerSecond: shifts.DefaultLinkBytesPerSecond,
		Tuning:             shift.DefaultTuning(),
	}
	manager := shifts.NewManager(settings, shifts.Dependencies{
		Table:     table,
		Source:    source,
		Peers:     c,
		Directory: d,
		Log:       log,
		Meters:    meters,
	})
	manager.Register(srv)
	return manager, nil
}

func newAttemptRecorder(s *Settings, n Name, table storage.Service, m *telemetry.Metrics, log *logrus.Logger) (*attempts.Recorder, error) {
	return attempts.New(attempts.DefaultSettings(), table, s.Environment, string(n), m.Meter, log)
}

func newRetries(m *telemetry.Metrics) (*caller.Retries, error) {
	budget := retry.BudgetSettings{Ratio: retry.DefaultRatio, Burst: retry.DefaultBurst}
	return caller.NewRetries(retry.DefaultPolicy(), budget, m)
}

func newEntriesPage(source configuration.Source, a *shares.Agent) http.Handler {
	return &caller.EntriesPage{Snapshots: source, Source: entrySource{a}}
}

// newComponents lists the background components of the instance.
func newComponents(w *configuration.Watcher, k *caller.Keys, c *endpoint.Client, records *attempts.Recorder, versions *shifts.Manager,
	keeper *membership.Keeper, agent *shares.Agent, b *broker.Service, r *dispatch.RelayClient, s relaySender,
) []Component {
	return []Component{w, k, c, records, versions, keeper, agent, b, r, s.Client}
}

// newOperatorServer returns the HTTP server for operators.
func newOperatorServer(m *telemetry.Metrics, w *configuration.Watcher, versions *shifts.Manager, agent *shares.Agent, b *broker.Service, cm *caller.Metrics) *http.Server {
	mux := http.NewServeMux()
	operator.Register(mux, w)
	mux.Handle("GET /metrics", m.Page)
	mux.Handle("GET "+explain.Path, &explain.Handler{Snapshots: w, Recent: cm.Recent, Slots: b})
	mux.Handle("GET "+shifts.StatusPath, versions)
	mux.HandleFunc("GET /ready", func(rw http.ResponseWriter, _ *http.Request) {
		if !w.Current().Ready || !versions.Ready() || !agent.Ready() || !b.Ready() {
			http.Error(rw, "not ready", http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: operatorHeaderTimeout}
}
