package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/operator"
	"github.com/cardamomfront/cardamomfront/front/operator/shiftcmd"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// Add adds the commands and their shared flags to the tool's root command.
func Add(root *cobra.Command) {
	f := &flags{}
	f.addTo(root)
	root.Args = cobra.ArbitraryArgs
	root.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) > 0 {
			return &UsageError{Err: fmt.Errorf("unknown command %q", args[0])}
		}
		return cmd.Help()
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Err: err} })
	root.AddCommand(checkCommand(f), showCommand(f), promoteCommand(f), statusCommand(f), keyCommand(f), drainCommand(f), shiftcmd.Command(f.openShifts))
}

// usageArgs wraps the errors of an argument check in UsageError.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &UsageError{Err: err}
		}
		return nil
	}
}

// session holds the settings and clients of one command.
type session struct {
	settings  Settings
	table     *storage.Client
	promoter  *configuration.Promoter
	instances *operator.Client
}

// open resolves the settings and creates the clients. The caller closes them
// with the returned function.
func (f *flags) open(parent context.Context) (context.Context, *session, func(), error) {
	settings, err := f.resolve()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(parent, f.timeout)
	client := storage.NewClient(storage.Settings{URL: settings.Platform})
	transport := &http.Transport{}
	s := &session{
		settings:  settings,
		table:     client,
		promoter:  configuration.NewPromoter(client),
		instances: operator.NewClient(&http.Client{Transport: transport}),
	}
	closeAll := func() {
		cancel()
		client.Close()
		transport.CloseIdleConnections()
	}
	return ctx, s, closeAll, nil
}

// rollOut announces an accepted change and waits for the instances to confirm
// it.
func (s *session) rollOut(ctx context.Context, changed operator.AcceptedChange) (ChangeReport, error) {
	report := ChangeReport{Promotion: changed.Promotion}
	instances, err := operator.ListInstances(ctx, s.table, s.settings.Environment, s.settings.Instances)
	if err != nil {
		return report, errors.Join(&StragglersError{Generation: changed.Generation, Instances: []string{"all: the list can't be read"}}, err)
	}
	rollout := operator.Rollout{
		Client:      s.instances,
		Store:       s.table,
		Environment: s.settings.Environment,
		Instances:   instances,
		StaleAfter:  generation.DefaultStaleAfter,
	}
	rollout.AnnounceAndIdentify(ctx, changed.Head, changed.Content)
	report.Instances = rollout.Wait(ctx, changed.Head, changed.Content)
	return report, stragglers(changed.Generation, report.Instances)
}

// stragglers returns a StragglersError for the stragglers among results, or
// nil.
func stragglers(generation uint64, results []operator.InstanceResult) error {
	var names []string
	for _, r := range results {
		if r.Outcome == operator.Straggler {
			names = append(names, r.Name+" "+r.Addr)
		}
	}
	if names == nil {
		return nil
	}
	return &StragglersError{Generation: generation, Instances: names}
}

// rollOutAndPrint rolls out a change and prints the result for each instance.
func (f *flags) rollOutAndPrint(ctx context.Context, cmd *cobra.Command, s *session, changed operator.AcceptedChange, key string) error {
	report, err := s.rollOut(ctx, changed)
	report.Key = key
	if printErr := f.print(cmd.OutOrStdout(), report); printErr != nil {
		return printErr
	}
	return err
}

// editDocument edits the document in force and rolls out the result.
func (f *flags) editDocument(cmd *cobra.Command, edit operator.Edit, key string) error {
	ctx, s, closeAll, err := f.open(cmd.Context())
	if err != nil {
		return err
	}
	defer closeAll()
	changed, err := operator.Change(ctx, s.promoter, s.settings.Environment, s.settings.Operator, edit)
	if err != nil {
		return err
	}
	return f.rollOutAndPrint(ctx, cmd, s, changed, key)
}

// statusTimeout limits a status request to one instance.
const statusTimeout = 2 * time.Second

// queryStatuses requests the statuses of all instances in parallel.
func (s *session) queryStatuses(ctx context.Context, instances []operator.ListedInstance, inForce uint64) []InstanceStatus {
	statuses := make([]InstanceStatus, len(instances))
	var wg sync.WaitGroup
	for i, instance := range instances {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			statuses[i] = InstanceStatus{ListedInstance: instance, Straggler: true}
			if instance.Addr == "" {
				statuses[i].Error = (&operator.NoAddressError{Instance: instance.Name}).Error()
				statuses[i].Straggler = instance.RowGeneration < inForce
				return
			}
			status, err := s.instances.Status(ctx, instance.Addr)
			if err != nil {
				statuses[i].Error = err.Error()
				return
			}
			statuses[i].Status = &status
			statuses[i].Straggler = status.Generation < inForce
		})
	}
	wg.Wait()
	return statuses
}
