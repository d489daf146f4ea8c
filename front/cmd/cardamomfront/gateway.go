package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/cmd/internal/hangup"
	"github.com/cardamomfront/cardamomfront/front/gateway"
	"github.com/cardamomfront/cardamomfront/platform"
)

const (
	// settingsEnv names the settings file where no flag does.
	settingsEnv = "CARDAMOMFRONT_SETTINGS"
	// memoryLimitBytes makes the collector work harder long before the platform's
	// bound of 184 MB on its smallest machines.
	memoryLimitBytes = 120 << 20
)

// gatewayCommand returns the command that runs an instance on the platform.
func gatewayCommand() *cobra.Command {
	var file string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run one instance whose endpoints, operators and peers meet in the platform's store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := gateway.ReadSettings(file)
			if err != nil {
				return err
			}
			if checkOnly {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
				return err
			}
			return runGateway(cmd.Context(), settings, file)
		},
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(settingsEnv), "settings file; by default the one that "+settingsEnv+" names")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings file and exit")
	return cmd
}

// runGateway runs an instance until ctx ends, and follows its settings file.
func runGateway(ctx context.Context, s *gateway.Settings, file string) error {
	debug.SetMemoryLimit(memoryLimitBytes)
	g, err := gateway.New(s, platform.Parts(s.Store), os.Stdout)
	if err != nil {
		return err
	}
	go g.WatchSettings(ctx, file, hangup.C)
	return g.Run(ctx)
}
