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
	// settingsEnv is the environment variable with the path of the settings
	// file. The --settings flag overrides it.
	settingsEnv = "CARDAMOMFRONT_SETTINGS"
	// memoryLimitBytes is the soft memory limit of the Go runtime. It makes the
	// garbage collector run more often well before the process reaches 184 MB,
	// the platform's memory limit on its smallest machines.
	memoryLimitBytes = 120 << 20
)

// gatewayCommand returns the command that runs an instance which uses the
// platform's store.
func gatewayCommand() *cobra.Command {
	var file string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run one entry instance that finds its endpoints, operators and peers through the platform's store",
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
	cmd.Flags().StringVar(&file, "settings", os.Getenv(settingsEnv), "settings file; defaults to the value of "+settingsEnv+" in the environment")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings file and exit")
	return cmd
}

// runGateway runs an instance until ctx ends and applies changes of its
// settings file while it runs.
func runGateway(ctx context.Context, s *gateway.Settings, file string) error {
	debug.SetMemoryLimit(memoryLimitBytes)
	g, err := gateway.New(s, platform.Adapters(s.Store), os.Stdout)
	if err != nil {
		return err
	}
	go g.WatchSettings(ctx, file, hangup.C)
	return g.Run(ctx)
}
