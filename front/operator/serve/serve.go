// Package serve contains the commands that serve stand-ins for the platform and
// for an endpoint, for tests and for a first run on one machine.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 10 * time.Second
)

// Command returns the command "serve" with a subcommand for each stand-in.
func Command() *cobra.Command {
	command := &cobra.Command{
		Use:   "serve",
		Short: "Serve a stand-in for tests and first runs; it keeps nothing",
	}
	command.AddCommand(platformCommand(), endpointCommand())
	return command
}

// serveUntilSignal serves a handler until SIGINT or SIGTERM and then shuts down
// gracefully.
func serveUntilSignal(parent context.Context, name, address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(parent, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("serve %s: %w", name, err)
	}
	log := logrus.WithField("prefix", "stand-in "+name)
	log.WithField("address", listener.Addr().String()).Info("Listening.")
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve %s: %w", name, err)
	case <-ctx.Done():
	}
	log.Info("Stopping.")
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: stop: %w", name, err)
	}
	return nil
}
