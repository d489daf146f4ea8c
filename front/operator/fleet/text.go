package fleet

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// group counts the endpoints of one version in one failure domain.
type group struct{ service, version, domain string }

// tally is what a group has.
type tally struct{ endpoints, leaving, slots int }

// Write prints the state for people.
func (s *Snapshot) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if s.Catalog == nil {
		line(w, "No catalog is in force.")
	} else {
		line(w, "Catalog %s, revision %d: %d routes, %d services, %d teams.",
			s.Catalog.Version, s.Catalog.Revision, len(s.Catalog.Routes), len(s.Catalog.Services), len(s.Catalog.Teams))
	}
	if len(s.DrainedDomains) > 0 {
		line(w, "Failure domains closed: %s.", strings.Join(s.DrainedDomains, ", "))
	}
	s.writeEndpoints(w)
	for _, m := range s.Rollouts {
		state := "not on record yet"
		if m.Recorded {
			state = m.Result.String()
		}
		line(w, "Move of %s to %s within %s (revision %d): %s.", m.Order.Service, m.Order.To, m.Order.Duration, m.Order.Revision, state)
	}
	line(w, "\nINSTANCE\tREGION\tPEERS")
	for _, i := range s.Instances {
		line(w, "%s\t%s\t%s", i.Name, i.Region, i.Peers)
	}
	for _, err := range s.DecodeErrors {
		line(w, "Fault: %v.", err)
	}
	return w.Flush()
}

// writeEndpoints prints the endpoints by service, version and failure domain.
func (s *Snapshot) writeEndpoints(w io.Writer) {
	counts := make(map[group]*tally)
	var order []group // endpoints are sorted
	for _, e := range s.Endpoints {
		g := group{e.Service, e.Version, e.FailureDomain}
		if counts[g] == nil {
			counts[g] = &tally{}
			order = append(order, g)
		}
		counts[g].endpoints++
		if e.Draining {
			counts[g].leaving++
			continue
		}
		counts[g].slots += e.Slots
	}
	line(w, "\nSERVICE\tVERSION\tDOMAIN\tENDPOINTS\tLEAVING\tSLOTS")
	for _, g := range order {
		c := counts[g]
		line(w, "%s\t%s\t%s\t%d\t%d\t%d", g.service, g.version, g.domain, c.endpoints, c.leaving, c.slots)
	}
}

// line prints one line. The tab writer keeps the first error for its Flush.
func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
