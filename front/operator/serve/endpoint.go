package serve

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/cardamomfront/cardamomfront/front/endpoint/standin"
)

func endpointCommand() *cobra.Command {
	var (
		address  string
		settings standin.Settings
		faults   standin.Faults
	)
	command := &cobra.Command{
		Use:   "endpoint",
		Short: "Serve an endpoint that tells what it got",
		Long: "Serve an endpoint that tells what it got.\n" +
			"Faults are set by PUT " + standin.PathFaults + ", counts are read by GET " + standin.PathCounts + ".",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			endpoint := standin.New(settings)
			endpoint.SetFaults(faults)
			return serveUntilSignal(c.Context(), "endpoint "+settings.Name, address, endpoint.Handler())
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "listen", "127.0.0.1:9001", "address to listen on")
	flags.StringVar(&settings.Name, "name", "endpoint", "name told in answers")
	flags.StringVar(&settings.Version, "version", "v1", "version of the service told in answers")
	flags.IntVar(&settings.Slots, "slots", 0, "requests at once; more are shed; 0 means no limit")
	flags.DurationVar(&settings.ServiceTime, "service", 5*time.Millisecond, "how long a request runs")
	flags.Uint64Var(&settings.Seed, "seed", 1, "seed of the faults' shares")
	flags.IntVar(&faults.FailPercent, "fail-percent", 0, "percentage of requests that fail with status 500")
	flags.DurationVar(&faults.FailAfter, "fail-after", 0, "fail every request after this time; 0 means never")
	flags.DurationVar(&faults.Slow, "slow", 0, "time added to each request")
	return command
}
