package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Command returns the command "capacity", which runs all measures.
func Command() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure what the parts of the system cost on this machine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			slopes, err := runMeasures(Measures())
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(slopes)
			}
			return printTable(cmd.OutOrStdout(), slopes)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON with every point")
	return cmd
}

// Measures returns the measures of all parts of the system.
func Measures() []Measure {
	var all []Measure
	all = append(all, entryMeasures()...)
	all = append(all, configurationMeasures()...)
	all = append(all, membershipMeasures()...)
	all = append(all, shareMeasures()...)
	all = append(all, attemptMeasures()...)
	all = append(all, shiftMeasures()...)
	all = append(all, peerMeasures()...)
	return all
}

// runMeasures runs the measures one after another.
func runMeasures(measures []Measure) ([]Slope, error) {
	slopes := make([]Slope, 0, len(measures))
	for _, m := range measures {
		s, err := m.Run()
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// printTable prints one line per slope.
func printTable(w io.Writer, slopes []Slope) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "measure\tunit\tgrows with\tper one\tfixed\tfit\tpoints")
	for _, s := range slopes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g\t%.3f\t", s.Name, s.Unit, s.Size, s.PerSize, s.Fixed, s.Fit)
		for _, p := range s.Points {
			_, _ = fmt.Fprintf(t, "%d:%.4g ", p.Size, p.Cost)
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}
