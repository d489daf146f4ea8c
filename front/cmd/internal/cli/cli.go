// Package cli runs the root command of a binary and cancels it on SIGINT and
// SIGTERM.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Execute runs cmd with a context that is canceled by SIGINT or SIGTERM. It
// prints the command's error to standard error and returns exitCode of it.
func Execute(cmd *cobra.Command, exitCode func(error) int) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := cmd.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return exitCode(err)
}
