package gateway

import (
	"context"
	"net/http"

	"github.com/cardamomfront/cardamomfront/front/linger"
	"github.com/cardamomfront/cardamomfront/front/pipeline"
)

// newPipeline returns the server of a callers' listener that runs up to maxAhead
// requests of a connection before their turn.
func newPipeline(h http.Handler, mayRunAhead func(*http.Request) bool, maxAhead int) *pipeline.Server {
	return &pipeline.Server{
		Handler: h, MayRunAhead: mayRunAhead, MaxAhead: maxAhead,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: linger.ConnContext,
	}
}

// mayRunAhead reports whether a request may run before its turn. None may once
// responses close their connections, since the caller sends again what is behind
// such a response.
func (h *handler) mayRunAhead(r *http.Request) bool {
	c := h.view.catalog.Load()
	if c == nil || h.closeConnections.Load() {
		return false
	}
	route := routeOf(c, r)
	return route != nil && route.Idempotent
}

// runPipelineLog logs the pipelined requests until ctx ends.
func (g *Gateway) runPipelineLog(ctx context.Context) error {
	return g.pipeline.RunLog(ctx, g.logger.WithField("prefix", "pipeline"))
}
