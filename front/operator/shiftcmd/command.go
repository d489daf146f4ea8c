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

// Access is a command's way to the platform and to the instances.
type Access struct {
	// Table is the platform's table.
	Table storage.Table
	// Environment names the environment.
	Environment string
	// Instances are the operator listeners known besides those in the table.
	Instances []string
	// HTTP asks the instances.
	HTTP *http.Client
	// JSON asks for output for machines.
	JSON bool
}

// Opener resolves the tool's settings; close is called at the end of the
// command.
type Opener func() (access *Access, closeAll func(), err error)

// TakenBackError says that a watched movement was taken back.
type TakenBackError struct {
	// Name names the shift or drain.
	Name string
	// Reason says why.
	Reason shift.Reason
}

// Error implements error.
func (e *TakenBackError) Error() string {
	return fmt.Sprintf("%s was taken back: %s", e.Name, e.Reason.Detail)
}

// UnknownError says that there is no movement of a name.
type UnknownError struct {
	// Name is the name that was asked for.
	Name string
}

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("there is no shift or drain %q", e.Name) }

const (
	// statusTimeout bounds one status.
	statusTimeout = 10 * time.Second
	// defaultInterval is the usual time between two looks of a watch.
	defaultInterval = 2 * time.Second
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
		RunE: func(cmd *cobra.Command, given []string) error {
			access, closeAll, err := open()
			if err != nil {
				return err
			}
			defer closeAll()
			r, err := access.gather(cmd.Context(), nameOf(given))
			if err != nil {
				return err
			}
			return r.print(cmd.OutOrStdout(), access.JSON)
		},
	}
}

// nameOf returns the name in the arguments; empty for all.
func nameOf(given []string) string {
	if len(given) == 0 {
		return ""
	}
	return given[0]
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
		RunE: func(cmd *cobra.Command, given []string) error {
			access, closeAll, err := open()
			if err != nil {
				return err
			}
			defer closeAll()
			return access.watch(cmd.Context(), cmd.OutOrStdout(), given[0], interval)
		},
	}
	cmd.Flags().DurationVar(&interval, "interval", defaultInterval, "time between two looks")
	return cmd
}

// watch prints the report of a movement whenever its step or its waits change.
func (a *Access) watch(ctx context.Context, w io.Writer, name string, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := ""
	for {
		r, err := a.gather(ctx, name)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			_, _ = fmt.Fprintf(w, "no answer: %v\n", err)
		case r.Movements[0].digest() != last:
			last = r.Movements[0].digest()
			if err := r.print(w, a.JSON); err != nil {
				return err
			}
		}
		if err == nil && r.Movements[0].over() {
			return r.Movements[0].outcome()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// print writes the report for people or for machines.
func (r *Report) print(w io.Writer, forMachines bool) error {
	if forMachines {
		return json.NewEncoder(w).Encode(r)
	}
	r.text(w)
	return nil
}

// roster returns the operator listeners of all instances.
func (a *Access) roster(ctx context.Context) ([]operator.Listed, error) {
	return operator.Roster(ctx, a.Table, a.Environment, a.Instances)
}
