// Command cardamomctl is the operators' tool of the traffic steering system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/operator/capacity"
	"github.com/cardamomfront/cardamomfront/front/operator/command"
	"github.com/cardamomfront/cardamomfront/front/operator/explain"
	"github.com/cardamomfront/cardamomfront/front/operator/request"
	"github.com/cardamomfront/cardamomfront/front/operator/serve"
)

func main() { os.Exit(execute()) }

// execute runs the command line until it ends or a signal asks it to, and
// returns the exit code.
func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return command.ExitCode(err)
	}
	return command.ExitDone
}

// root returns the command with all its subcommands.
func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "cardamomctl",
		Short:         "Operate the traffic steering system",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.Add(cmd)
	cmd.AddCommand(request.Command(), serve.Command(), capacity.Command(), explain.Command())
	return cmd
}
