package fleet

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/gateway"
	"github.com/cardamomfront/cardamomfront/front/operator/command"
)

// snapshotTimeout limits reading a snapshot: four calls to a store that
// responds within milliseconds, or within 0.2 s when it is slow.
const snapshotTimeout = 5 * time.Second

var errNoStore = errors.New("no store: give --store HOST:PORT or --settings FILE")

// flags are the flags of the subcommands.
type flags struct {
	store    string
	settings string
	key      string
}

// Command returns the command "fleet". open returns the source for a store's
// address.
func Command(open func(store string) Source) *cobra.Command {
	f := &flags{}
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Show what the instances share in the platform's store",
	}
	cmd.PersistentFlags().StringVar(&f.store, "store", "", "host and port of the store")
	cmd.PersistentFlags().StringVar(&f.settings, "settings", "", "settings file of an instance; names the store and the regions")
	cmd.AddCommand(statusCommand(f, open), explainCommand(f, open))
	return cmd
}

func statusCommand(f *flags, open func(string) Source) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the catalog in force, endpoints, moves and instances",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, _, err := f.readSnapshot(cmd.Context(), open)
			if err != nil {
				return err
			}
			return s.Write(cmd.OutOrStdout())
		},
	}
}

func explainCommand(f *flags, open func(string) Source) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "explain HOST/PATH",
		Short: "Say what becomes of a request, by what the store holds",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			host, path, ok := strings.Cut(args[0], "/")
			if !ok || host == "" {
				return &command.UsageError{Err: fmt.Errorf("%q names no host and path, as in app.example/status/7", args[0])}
			}
			s, domains, err := f.readSnapshot(cmd.Context(), open)
			if err != nil {
				return err
			}
			return s.Explain(cmd.OutOrStdout(), host, "/"+path, f.key, domains)
		},
	}
	cmd.Flags().StringVar(&f.key, "key", "", "key that comes with the request")
	return cmd
}

// readSnapshot returns a snapshot and the regions of the failure domains. The
// regions are known only if a settings file is given.
func (f *flags) readSnapshot(ctx context.Context, open func(string) Source) (*Snapshot, map[string]string, error) {
	store := f.store
	var domains map[string]string
	if f.settings != "" {
		s, err := gateway.ReadSettings(f.settings)
		if err != nil {
			return nil, nil, err
		}
		domains = s.FailureDomains
		if store == "" {
			store = s.Store
		}
	}
	if store == "" {
		return nil, nil, &command.UsageError{Err: errNoStore}
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	s, err := Read(ctx, open(store))
	return s, domains, err
}
