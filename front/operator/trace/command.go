package trace

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// Command returns the command "trace", which reads log files.
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Follow one request through the logs of all instances",
		Long: "Follow one request through the logs of all instances: its tries in order and,\n" +
			"in a sentence, what became of it. docs/OPERATIONS.md leads on from the reason.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []Line
			for _, file := range args[1:] {
				matches, err := readFile(file, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, matches...)
			}
			Sort(lines)
			return printTrace(cmd.OutOrStdout(), lines)
		},
	}
}

// readFile returns the lines about a request in one file.
func readFile(file, request string) ([]Line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	lines, err := Read(f, file, request)
	_ = f.Close() // opened for reading only
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return lines, nil
}

// printTrace prints the lines and a summary.
func printTrace(w io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l.Describe()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, Summarize(lines))
	return err
}
