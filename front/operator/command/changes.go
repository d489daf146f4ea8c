package command

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/operator"
)

func keyCommand(f *flags) *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Give and withdraw keys"}
	cmd.AddCommand(keyAddCommand(f), keyWithdrawCommand(f))
	return cmd
}

func keyAddCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use:   "add TEAM ID",
		Short: "Give a team a new key and show it once",
		Args:  usageArgs(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			key := operator.NewKey()
			return f.editDocument(cmd, operator.AddKey(args[0], args[1], key), key)
		},
	}
}

func keyWithdrawCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw ID",
		Short: "Withdraw a key and wait until no instance serves it",
		Long: "Withdraw a key. The command returns when every listed instance has confirmed the\n" +
			"new generation or must have gone stale, or names those that have not.",
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.editDocument(cmd, operator.WithdrawKey(args[0]), "")
		},
	}
}

// drainFlags are the flags of "drain".
type drainFlags struct {
	from     string
	deadline string
	cancel   bool
}

func drainCommand(f *flags) *cobra.Command {
	var d drainFlags
	cmd := &cobra.Command{
		Use:   "drain REGION --deadline TIME | drain REGION --cancel",
		Short: "Take a region out of service, or put it back",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			edit, err := d.edit(args[0], time.Now())
			if err != nil {
				return &UsageError{Err: err}
			}
			return f.editDocument(cmd, edit, "")
		},
	}
	cmd.Flags().StringVar(&d.from, "from", "", "start, as in 2026-12-04T10:00:00Z (default now)")
	cmd.Flags().StringVar(&d.deadline, "deadline", "", "when the region must be empty: a time, or a span from the start such as 30m")
	cmd.Flags().BoolVar(&d.cancel, "cancel", false, "put the region back into service")
	return cmd
}

var (
	errDeadlineMissing = errors.New("--deadline or --cancel is missing")
	errCancelWithTimes = errors.New("--cancel goes with neither --from nor --deadline")
)

// edit returns the edit that the flags specify. now is the default start.
func (d drainFlags) edit(region string, now time.Time) (operator.Edit, error) {
	if d.cancel {
		if d.from != "" || d.deadline != "" {
			return nil, errCancelWithTimes
		}
		return operator.CancelDrain(region), nil
	}
	if d.deadline == "" {
		return nil, errDeadlineMissing
	}
	from := now.UTC().Truncate(time.Second)
	if d.from != "" {
		var err error
		if from, err = time.Parse(time.RFC3339, d.from); err != nil {
			return nil, err
		}
	}
	if span, err := time.ParseDuration(d.deadline); err == nil {
		return operator.DrainRegion(region, from, from.Add(span)), nil
	}
	deadline, err := time.Parse(time.RFC3339, d.deadline)
	if err != nil {
		return nil, err
	}
	return operator.DrainRegion(region, from, deadline), nil
}
