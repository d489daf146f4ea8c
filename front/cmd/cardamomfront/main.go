// Command cardamomfront runs an entry instance of the traffic steering system.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/cmd/internal/cli"
	"github.com/cardamomfront/cardamomfront/front/instance"
)

func main() { os.Exit(cli.Execute(command(), exitCode)) }

// exitCode returns 1 for any error.
func exitCode(err error) int {
	if err != nil {
		return 1
	}
	return 0
}

// command returns the root command, which runs an instance or checks its
// settings file.
func command() *cobra.Command {
	var file string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:           "cardamomfront --settings FILE",
		Short:         "Run one entry instance",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := instance.ReadSettings(file)
			if err != nil {
				return err
			}
			if checkOnly {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
				return err
			}
			return run(cmd.Context(), settings)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (required)")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings file and exit")
	_ = cmd.MarkFlagRequired("settings")
	cmd.AddCommand(gatewayCommand())
	return cmd
}

// run runs an instance until ctx ends.
func run(ctx context.Context, s *instance.Settings) error {
	i, err := instance.Build(s, os.Stderr)
	if err != nil {
		return err
	}
	return i.Run(ctx)
}
