package fleet

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// groupKey identifies the endpoints of one version in one failure domain.
type groupKey struct{ service, version, domain string }

// groupCounts are the totals of a group.
type groupCounts struct{ endpoints, draining, slots int }

// Write prints the snapshot as text.
func (s *Snapshot) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if s.Catalog == nil {
		printLine(w, "No catalog is in force.")
	} else {
		printLine(w, "Catalog %s, revision %d: %d routes, %d services, %d teams.",
			s.Catalog.Version, s.Catalog.Revision, len(s.Catalog.Routes), len(s.Catalog.Services), len(s.Catalog.Teams))
	}
	if len(s.DrainedDomains) > 0 {
		printLine(w, "Failure domains closed: %s.", strings.Join(s.DrainedDomains, ", "))
	}
	s.writeEndpoints(w)
	for _, rollout := range s.Rollouts {
		state := "not on record yet"
		if rollout.Recorded {
			state = rollout.Result.String()
		}
		printLine(w, "Move of %s to %s within %s (revision %d): %s.", rollout.Order.Service, rollout.Order.To, rollout.Order.Duration, rollout.Order.Revision, state)
	}
	printLine(w, "\nINSTANCE\tREGION\tPEERS")
	for _, i := range s.Instances {
		printLine(w, "%s\t%s\t%s", i.Name, i.Region, i.Peers)
	}
	for _, err := range s.DecodeErrors {
		printLine(w, "Fault: %v.", err)
	}
	return w.Flush()
}

// writeEndpoints prints the endpoints by service, version and failure domain.
func (s *Snapshot) writeEndpoints(w io.Writer) {
	counts := make(map[groupKey]*groupCounts)
	var order []groupKey // sorted, because endpoints are sorted
	for _, e := range s.Endpoints {
		g := groupKey{e.Service, e.Version, e.FailureDomain}
		if counts[g] == nil {
			counts[g] = &groupCounts{}
			order = append(order, g)
		}
		counts[g].endpoints++
		if e.Draining {
			counts[g].draining++
			continue
		}
		counts[g].slots += e.Slots
	}
	printLine(w, "\nSERVICE\tVERSION\tDOMAIN\tENDPOINTS\tLEAVING\tSLOTS")
	for _, g := range order {
		c := counts[g]
		printLine(w, "%s\t%s\t%s\t%d\t%d\t%d", g.service, g.version, g.domain, c.endpoints, c.draining, c.slots)
	}
}

// printLine prints one line. The tab writer returns the first error from Flush.
func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
