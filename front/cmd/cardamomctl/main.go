// Command cardamomctl is the operators' command-line tool of the traffic
// steering system.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/cmd/internal/cli"
	"github.com/cardamomfront/cardamomfront/front/operator/capacity"
	"github.com/cardamomfront/cardamomfront/front/operator/command"
	"github.com/cardamomfront/cardamomfront/front/operator/explain"
	"github.com/cardamomfront/cardamomfront/front/operator/fleet"
	"github.com/cardamomfront/cardamomfront/front/operator/request"
	"github.com/cardamomfront/cardamomfront/front/operator/serve"
	"github.com/cardamomfront/cardamomfront/front/operator/trace"
	"github.com/cardamomfront/cardamomfront/platform"
	"github.com/cardamomfront/cardamomfront/platform/standin"
)

func main() { os.Exit(cli.Execute(root(), command.ExitCode)) }

// root returns the root command with all its subcommands.
func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "cardamomctl",
		Short:         "Operate the traffic steering system",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.Add(cmd)
	serveCmd := serve.Command()
	serveCmd.AddCommand(standin.Command())
	cmd.AddCommand(request.Command(), serveCmd, capacity.Command(), explain.Command(), trace.Command())
	cmd.AddCommand(fleet.Command(func(store string) fleet.Source {
		return fleet.Source{Store: platform.NewStore(store), Codec: platform.Codec{}}
	}))
	return cmd
}
