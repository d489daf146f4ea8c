//go:build wireinject

package gateway

import (
	"io"

	"github.com/google/wire"

	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/quota"
)

// New returns an instance that is not running. It logs to out.
func New(s *Settings, p Parts, out io.Writer) (*Gateway, error) {
	wire.Build(
		newLiveSettings,
		newWriter,
		newLog,
		telemetry.NewMetrics,
		newMetrics,
		newClient,
		newPlacer,
		quota.New,
		newMoves,
		newBeliefs,
		newMesh,
		newPeerServer,
		newBudgets,
		newLineBudget,
		newSender,
		newHandler,
		newGateway,
	)
	return nil, nil
}
