package explain

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// maxResponseBytes limits the size of an instance's response.
const maxResponseBytes = 8 << 20

// StatusError is returned if an instance responds with an error status.
type StatusError struct {
	// Status is the HTTP status line.
	Status string
	// Message is the response body.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("instance answered %s: %s", e.Status, e.Message)
}

// Command returns the command "explain", which queries one instance.
func Command() *cobra.Command {
	var team, route string
	var asJSON bool
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "explain ADDRESS",
		Short: "Say why requests are refused at an instance, and where they go",
		Long: "Say why requests are refused at an instance, and where they go. ADDRESS is the\n" +
			"instance's operator listener. docs/OPERATIONS.md says what to do for each reason.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			explanation, err := fetchExplanation(ctx, args[0], team, route)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(explanation)
			}
			return explanation.print(cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	f.StringVar(&team, "team", "", "explain a team's requests")
	f.StringVar(&route, "route", "", "explain a route's requests")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	f.DurationVar(&timeout, "timeout", 5*time.Second, "how long to wait for the answer")
	return cmd
}

// fetchExplanation queries one instance. Errors: *StatusError, or those of
// net/http.
func fetchExplanation(ctx context.Context, address, team, route string) (*Explanation, error) {
	query := url.Values{}
	if team != "" {
		query.Set("team", team)
	}
	if route != "" {
		query.Set("route", route)
	}
	target := url.URL{Scheme: "http", Host: address, Path: Path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.Status, Message: string(body)}
	}
	var explanation Explanation
	err = json.Unmarshal(body, &explanation)
	return &explanation, err
}

// print writes the explanation as text.
func (e *Explanation) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "generation\t%d\n", e.Generation)
	if e.Team != nil {
		_, _ = fmt.Fprintf(t, "team\t%s: rate %s, burst %d, %d keys\n", e.Team.Name, e.Team.Rate, e.Team.Burst, e.Team.Keys)
	}
	if e.Route != nil {
		e.Route.print(t)
	}
	_, _ = fmt.Fprintf(t, "\noutcomes of the last %d s\n", e.WindowSeconds)
	for _, o := range e.Outcomes {
		reason := string(o.Reason)
		if reason == "" {
			reason = "answered"
		}
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\tlast %s\n", o.Count, reason, o.Team, o.Route, o.Last.Format(time.TimeOnly))
	}
	return t.Flush()
}

// print writes where requests on the route go.
func (r *Route) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "route\t%s: service %s, version %s\n", r.Name, r.Service, r.Serving)
	if r.Shift != "" {
		_, _ = fmt.Fprintf(w, "shift\t%s\n", r.Shift)
	}
	for _, e := range r.Endpoints {
		_, _ = fmt.Fprintf(w, "endpoint\t%s %s in %s: %d slots, %s\n", e.Address, e.Version, e.FailureDomain, e.Slots, e.State)
	}
}
