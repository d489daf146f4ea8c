// Package cli runs the root command of a binary.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Execute runs cmd until it ends or a signal asks it to, prints its error, and
// returns the exit code that exitCode gives for it.
func Execute(cmd *cobra.Command, exitCode func(error) int) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := cmd.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return exitCode(err)
}
