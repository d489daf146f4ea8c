//go:build wireinject

package instance

import (
	"io"

	"github.com/google/wire"
	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/caller"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/limit"
)

// Build assembles an instance that logs to w.
func Build(s *Settings, w io.Writer) (*Instance, error) {
	wire.Build(
		New,
		newName,
		newLog,
		wire.Bind(new(logrus.FieldLogger), new(*logrus.Logger)),
		telemetry.NewMetrics,
		newCloser,
		storageSet,
		peerSet,
		configurationSet,
		callerSet,
		newShiftManager,
		sharingSet,
		newOperatorServer,
		newComponents,
	)
	return nil, nil
}

var storageSet = wire.NewSet(
	newStorageClient,
	wire.Bind(new(storage.Service), new(*storage.Client)),
	wire.Bind(new(configuration.Store), new(*storage.Client)),
)

var peerSet = wire.NewSet(newPeerTLS, newPeerTraffic, newPeerServer, newPeerClient)

var configurationSet = wire.NewSet(
	newConfigurationMeters,
	newWatcher,
	newKeyring,
	wire.Bind(new(configuration.Source), new(*configuration.Watcher)),
)

var sharingSet = wire.NewSet(
	limit.NewLimiter,
	newDirectory,
	newLoadSource,
	newMembershipKeeper,
	newSharesAgent,
	newLimits,
	newPlannedStop,
)

var dispatchSet = wire.NewSet(
	newLeaseExpiry,
	newBroker,
	newEndpointClient,
	newRelaySender,
	newRelayClient,
	newDispatcher,
	newRelayServer,
	newForward,
)

var callerSet = wire.NewSet(
	caller.NewKeys,
	caller.NewMetrics,
	caller.NewServer,
	newCallerSettings,
	dispatchSet,
	newAttemptRecorder,
	newRetries,
	newChain,
	newEntriesPage,
)
