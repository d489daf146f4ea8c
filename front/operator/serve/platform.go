package serve

import (
	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/storage/standin"
)

func platformCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Serve an in-memory table, object store and instance list",
		Long: "Serve an in-memory table, object store and instance list.\n" +
			"Faults are set by PUT " + standin.PathFaults + ", counts are read by GET " + standin.PathCounts + ".",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serveUntilSignal(c.Context(), "platform", address, standin.NewStore().Handler())
		},
	}
	command.Flags().StringVar(&address, "listen", "127.0.0.1:7000", "address to listen on")
	return command
}
