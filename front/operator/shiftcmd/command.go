package shiftcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/operator"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// Session holds the settings and clients of one command.
type Session struct {
	// Table is the platform's table.
	Table storage.Table
	// Environment names the environment.
	Environment string
	// Instances are additional operator listeners, besides those in the table.
	Instances []string
	// HTTP calls the instances.
	HTTP *http.Client
	// JSON selects JSON output.
	JSON bool
}

// Opener resolves the tool's settings and creates the clients. The command
// calls closeAll when it ends.
type Opener func() (session *Session, closeAll func(), err error)

// RolledBackError is returned if a watched movement was rolled back.
type RolledBackError struct {
	// Name is the name of the shift or drain.
	Name string
	// Reason is the reason of the rollback.
	Reason shift.Reason
}

// Error implements error.
func (e *RolledBackError) Error() string {
	return fmt.Sprintf("%s was taken back: %s", e.Name, e.Reason.Detail)
}

// NotFoundError is returned if there is no movement of the given name.
type NotFoundError struct {
	// Name is the requested name.
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("there is no shift or drain %q", e.Name) }

const (
	// reportTimeout limits building one report.
	reportTimeout = 10 * time.Second
	// defaultWatchInterval is the default interval between two reports of
	// "shift watch".
	defaultWatchInterval = 2 * time.Second
)

// Command returns the command "shift" with its subcommands.
func Command(open Opener) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "shift",
		Short: "Tell how shifts and drains stand",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(statusCommand(open), watchCommand(open))
	return cmd
}

// statusCommand returns the command "shift status".
func statusCommand(open Opener) *cobra.Command {
	return &cobra.Command{
		Use:   "status [NAME]",
		Short: "Tell stage, share, evidence, what is waited for and what happened",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			session, closeAll, err := open()
			if err != nil {
				return err
			}
			defer closeAll()
			r, err := session.buildReport(cmd.Context(), optionalName(args))
			if err != nil {
				return err
			}
			return r.print(cmd.OutOrStdout(), session.JSON)
		},
	}
}

// optionalName returns the name in the arguments, or "" for all movements.
func optionalName(args []string) string {
	if len(args) == 0 {
		return ""
	}
	return args[0]
}

// watchCommand returns the command "shift watch".
func watchCommand(open Opener) *cobra.Command {
	var interval time.Duration
	cmd := &cobra.Command{
		Use:   "watch NAME",
		Short: "Tell each change until the shift or drain is done or taken back",
		Long: "Tell each change until the shift or drain is done or taken back.\n" +
			"Ends with an error if it was taken back.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			session, closeAll, err := open()
			if err != nil {
				return err
			}
			defer closeAll()
			return session.watch(cmd.Context(), cmd.OutOrStdout(), args[0], interval)
		},
	}
	cmd.Flags().DurationVar(&interval, "interval", defaultWatchInterval, "time between two looks")
	return cmd
}

// watch prints the report of a movement whenever its step or the kinds of its
// waits change, until it is done or rolled back.
func (s *Session) watch(ctx context.Context, w io.Writer, name string, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := ""
	for {
		r, err := s.buildReport(ctx, name)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			_, _ = fmt.Fprintf(w, "no answer: %v\n", err)
		case r.Movements[0].changeKey() != last:
			last = r.Movements[0].changeKey()
			if err := r.print(w, s.JSON); err != nil {
				return err
			}
		}
		if err == nil && r.Movements[0].ended() {
			return r.Movements[0].rollbackError()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// print writes the report as text or JSON.
func (r *Report) print(w io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	r.text(w)
	return nil
}

// listInstances returns all known instances.
func (s *Session) listInstances(ctx context.Context) ([]operator.ListedInstance, error) {
	return operator.ListInstances(ctx, s.Table, s.Environment, s.Instances)
}
