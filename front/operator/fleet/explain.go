package fleet

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// Explain prints how a request with the given host, path and key ("" for none)
// would be handled according to the snapshot. domains maps failure domains to
// regions, as in the instances' settings. Without it, home regions are listed
// but not applied to endpoints.
func (s *Snapshot) Explain(out io.Writer, host, path, key string, domains map[string]string) error {
	_, err := io.WriteString(out, strings.Join(s.explain(host, path, key, domains), "\n")+"\n")
	return err
}

func (s *Snapshot) explain(host, path, key string, domains map[string]string) []string {
	if s.Catalog == nil {
		return []string{"No catalog is in force: 503, not-ready."}
	}
	r := s.Catalog.Route(host, path)
	if r == nil {
		return []string{fmt.Sprintf("Catalog %s has no route for it: 404, no-route.", s.Catalog.Version)}
	}
	kind := "is sent once, and again only when it has surely not run"
	if r.Idempotent {
		kind = "may be sent again"
	}
	lines := []string{fmt.Sprintf("Route %s, prefix %s: goal %s, timeout %s, at most %d endpoints; a request %s.",
		r.Name, r.Prefix, r.Goal, r.Timeout, r.MaxEndpoints, kind)}
	var team *catalog.Team
	if s.Catalog.NeedsKeys() && !r.Open {
		if team = s.Catalog.TeamByKey(key); team == nil {
			return append(lines, "No team holds this key: 401, unknown-key.")
		}
		lines = append(lines, describeTeam(team))
	}
	homes, ok := catalog.HomeRegions(r, team)
	if !ok {
		return append(lines, "Route and team have no home region in common: 503, no-endpoint.")
	}
	if len(homes) > 0 {
		lines = append(lines, "It may run only in: "+strings.Join(homes, ", ")+".")
	}
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	for _, b := range r.Backends {
		lines = append(lines, s.describeBackend(b, total, homes, domains))
	}
	return lines
}

// describeTeam describes a team without its keys.
func describeTeam(t *catalog.Team) string {
	if t.Rate == 0 {
		return fmt.Sprintf("Team %s, without a limit.", t.Name)
	}
	return fmt.Sprintf("Team %s: %g requests a second and %g at once over all instances; beyond that 429, quota.", t.Name, t.Rate, t.Burst)
}

// describeBackend describes the share of requests that one service gets and the
// endpoints that may serve them.
func (s *Snapshot) describeBackend(b catalog.Backend, total float64, homes []string, domains map[string]string) string {
	usable, slots, inDrainedDomains, draining, inOtherRegions := 0, 0, 0, 0, 0
	for _, e := range s.Endpoints {
		region, hasRegion := domains[e.FailureDomain]
		switch {
		case e.Service != b.Service:
		case e.Draining:
			draining++
		case slices.Contains(s.DrainedDomains, e.FailureDomain):
			inDrainedDomains++
		case hasRegion && len(homes) > 0 && !slices.Contains(homes, region):
			inOtherRegions++
		default:
			usable++
			slots += e.Slots
		}
	}
	text := fmt.Sprintf("Service %s gets %.0f %%: %d endpoints with %d slots may serve", b.Service, 100*b.Weight/total, usable, slots)
	for _, excluded := range []struct {
		count  int
		reason string
	}{{draining, "leave"}, {inDrainedDomains, "are in closed failure domains"}, {inOtherRegions, "are in other regions"}} {
		if excluded.count > 0 {
			text += fmt.Sprintf(", %d %s", excluded.count, excluded.reason)
		}
	}
	if i := slices.IndexFunc(s.Rollouts, func(r Rollout) bool { return r.Order.Service == b.Service }); i >= 0 {
		rollout := s.Rollouts[i]
		text += fmt.Sprintf("; it moves to %s, %s", rollout.Order.To, rollout.Result)
	}
	return text + "."
}
