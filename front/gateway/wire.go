//go:build wireinject

package gateway

import (
	"io"

	"github.com/google/wire"

	"github.com/cardamomfront/cardamomfront/front/reachability"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/quota"
)

// assemble builds an instance from its providers.
func assemble(s *Settings, adapters Adapters, t *telemetry.Metrics, out io.Writer) (*Gateway, error) {
	wire.Build(
		newLiveSettings,
		newWriter,
		newLog,
		newMetrics,
		newReachMonitor,
		reachability.New,
		newRelayClient,
		newClient,
		newPlacer,
		quota.New,
		newRollouts,
		newStoreView,
		newMesh,
		newDuties,
		newPeerServer,
		newRelayedStore,
		newRetryBudgets,
		newLogLimiter,
		newRoom,
		newCloser,
		newCrashWatch,
		newSender,
		newHandler,
		newGateway,
	)
	return nil, nil
}
