package command

import (
	"errors"
	"os"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/operator"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

func checkCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document without talking to anyone",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			content, err := os.ReadFile(args[0])
			if err != nil {
				return &UsageError{Err: err}
			}
			doc, err := document.Decode(args[0], content)
			if err != nil {
				return err
			}
			report := CheckReport{File: args[0], Environment: doc.Environment, Digest: document.Digest(content)}
			return f.print(cmd.OutOrStdout(), report)
		},
	}
}

func showCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Write the document in force",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, s, closeAll, err := f.open(cmd.Context())
			if err != nil {
				return err
			}
			defer closeAll()
			promotion, content, err := s.promoter.Current(ctx, s.settings.Environment)
			if err != nil {
				return err
			}
			if promotion.Generation == 0 {
				return &operator.NoDocumentError{Environment: s.settings.Environment}
			}
			_, err = cmd.OutOrStdout().Write(content)
			return err
		},
	}
}

func promoteCommand(f *flags) *cobra.Command {
	var expect uint64
	cmd := &cobra.Command{
		Use:   "promote FILE --expect N",
		Short: "Put a document in force as the generation after N",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("expect") {
				return &UsageError{Err: errExpectMissing}
			}
			content, err := os.ReadFile(args[0])
			if err != nil {
				return &UsageError{Err: err}
			}
			return f.promote(cmd, args[0], content, expect)
		},
	}
	cmd.Flags().Uint64Var(&expect, "expect", 0, "generation in force now; 0 for none (required)")
	return cmd
}

var errExpectMissing = errors.New("--expect is missing; \"status\" names the generation in force")

func (f *flags) promote(cmd *cobra.Command, file string, content []byte, expect uint64) error {
	ctx, s, closeAll, err := f.open(cmd.Context())
	if err != nil {
		return err
	}
	defer closeAll()
	promotion, err := s.promoter.Promote(ctx, configuration.PromotionRequest{
		Environment:        s.settings.Environment,
		ExpectedGeneration: expect,
		File:               file,
		Content:            content,
		Operation:          uuid.NewString(),
		Operator:           s.settings.Operator,
	})
	if err != nil {
		return err
	}
	return f.rollOutAndPrint(ctx, cmd, s, operator.AcceptedChange{Promotion: promotion, Content: content}, "")
}

func statusCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the generation in force and how far each instance is",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, s, closeAll, err := f.open(cmd.Context())
			if err != nil {
				return err
			}
			defer closeAll()
			promotion, _, err := s.promoter.Current(ctx, s.settings.Environment)
			if err != nil {
				return err
			}
			instances, err := operator.ListInstances(ctx, s.table, s.settings.Environment, s.settings.Instances)
			if err != nil {
				return err
			}
			report := StatusReport{Promotion: promotion, Instances: s.queryStatuses(ctx, s.instances.Identify(ctx, instances), promotion.Generation)}
			return f.print(cmd.OutOrStdout(), report)
		},
	}
}
