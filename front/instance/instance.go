// Package instance assembles one entry instance from the other packages. It
// reads the settings file, opens the listeners for callers, peers, operators
// and relayed requests, runs the background components, and carries out the
// planned stop. The constructors are wired together by Google Wire.
package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/cardamomfront/cardamomfront/front/caller"
	"github.com/cardamomfront/cardamomfront/front/dispatch"
	"github.com/cardamomfront/cardamomfront/front/linger"
	"github.com/cardamomfront/cardamomfront/front/peer"
)

// announceTimeout bounds the announcement of a planned stop to the fleet.
const announceTimeout = 5 * time.Second

// Component is background work that runs as long as the instance does.
type Component interface {
	// Run runs until ctx ends and then returns nil.
	Run(ctx context.Context) error
}

// Instance is one entry instance.
type Instance struct {
	settings    *Settings
	callers     *caller.Server
	peers       *peer.Server
	operators   *http.Server
	relays      *dispatch.RelayServer
	closer      *linger.Closer // of all connections to the HTTP servers
	components  []Component
	plannedStop *plannedStop
	log         logrus.FieldLogger
}

// New returns an instance that is not running.
func New(s *Settings, callers *caller.Server, peers *peer.Server, operators *http.Server, relays *dispatch.RelayServer, closer *linger.Closer, components []Component, stop *plannedStop, log *logrus.Logger) *Instance {
	return &Instance{
		settings:    s,
		callers:     callers,
		peers:       peers,
		operators:   operators,
		relays:      relays,
		closer:      closer,
		components:  components,
		plannedStop: stop,
		log:         log.WithField("prefix", "instance"),
	}
}

// listeners are the open listeners of an instance.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
	relays    net.Listener // nil when no requests are relayed
}

// Run serves until ctx ends or a component fails, and then carries out a
// planned stop: it announces the stop to the fleet, keeps serving while callers
// move to other instances, drains the requests in flight, and ends the
// background components. Errors: a listener that can't be opened, or the first
// error of a server or component.
func (i *Instance) Run(ctx context.Context) error {
	ls, err := i.listen()
	if err != nil {
		return err
	}
	runCtx, cancelRun := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRun()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return i.peers.Serve(runCtx, ls.peers) })
	group.Go(func() error { return serveHTTP(i.operators, ls.operators) })
	group.Go(func() error { return i.callers.Serve(ls.callers) })
	if ls.relays != nil {
		group.Go(func() error { return i.relays.Serve(ls.relays) })
	}
	for _, c := range i.components {
		group.Go(func() error { return c.Run(runCtx) })
	}
	i.log.WithField("callers", ls.callers.Addr().String()).Info("Started.")
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		i.log.Error("A component failed, stopping.")
	}
	i.stop(runCtx)
	cancelRun()
	err = group.Wait()
	i.log.Info("Stopped.")
	return err
}

// listen opens all listeners. If one can't be opened, it closes the others.
func (i *Instance) listen() (ls listeners, err error) {
	defer func() {
		if err != nil {
			ls.close()
		}
	}()
	if ls.callers, err = listenCallers(i.settings.Callers, i.closer); err != nil {
		return ls, err
	}
	if ls.peers, err = i.peers.Listen(i.settings.Peers.Listen); err != nil {
		return ls, err
	}
	if i.settings.Peers.Relay != "" {
		if ls.relays, err = i.peers.ListenWrapped(i.settings.Peers.Relay, i.closer.Listener); err != nil {
			return ls, err
		}
	}
	ls.operators, err = listen(i.settings.Operators.Listen, i.closer)
	return ls, err
}

// close closes the listeners that were opened.
func (ls *listeners) close() {
	for _, l := range []net.Listener{ls.callers, ls.peers, ls.operators, ls.relays} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// stop carries out a planned stop. Requests in flight are not interrupted
// before the drain timeout has passed.
func (i *Instance) stop(ctx context.Context) {
	i.log.Info("Leaving.")
	announceCtx, cancelAnnounce := context.WithTimeout(ctx, i.settings.Stop.Announce.Std())
	defer cancelAnnounce()
	i.announce(ctx)
	<-announceCtx.Done()
	i.callers.DisableKeepAlives()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), i.settings.Stop.Drain.Std())
	defer cancel()
	err := errors.Join(i.callers.Shutdown(drainCtx), i.relays.Shutdown(drainCtx))
	if err != nil {
		i.log.WithError(err).Error("Requests were cut at the end of the drain time.")
	}
	i.plannedStop.removeRow(ctx)
	_ = i.operators.Close() // nothing depends on its responses any more
	i.closer.Shutdown(drainCtx)
}

// announce announces the planned stop to the fleet. It has its own timeout,
// because the time to keep serving after the announcement may be set very
// short.
func (i *Instance) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	i.plannedStop.announce(ctx)
}

// serveHTTP serves until the server is closed.
func serveHTTP(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
