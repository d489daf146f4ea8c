package broker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// preferredBroker returns the member that should be a group's broker. Among the
// usable members in the group's region it is the one with the highest score
// (rendezvous hashing: Thaler and Ravishankar, 1998). Without a usable member
// in the region, members of other regions are considered. It returns "" when no
// member is usable.
func preferredBroker(g slots.Group, members []membership.Member, index *document.Index, leaving bool, self string) string {
	var best membership.Member
	var bestScore uint64
	found, bestInRegion := false, false
	for _, m := range members {
		if !m.Usable() || leaving && m.Name == self {
			continue
		}
		inRegion := index.Region(m.FailureDomain) == g.Region
		score := xxhash.Sum64String(g.String() + "\x00" + m.Name)
		if !found || inRegion && !bestInRegion || inRegion == bestInRegion && score > bestScore {
			best, bestScore, found, bestInRegion = m, score, true, inRegion
		}
	}
	return best.Name
}

// groupsOf returns the document's groups with their endpoints, sorted by
// address.
func groupsOf(index *document.Index) map[slots.Group][]slots.Endpoint {
	groups := make(map[slots.Group][]slots.Endpoint)
	for _, service := range index.Document().Services {
		for _, version := range service.Versions {
			for _, e := range version.Endpoints {
				g := slots.Group{Service: service.Name, Version: version.Name, Region: index.Region(e.FailureDomain)}
				groups[g] = append(groups[g], slots.Endpoint{Address: e.Address, Slots: e.Slots})
			}
		}
	}
	for _, list := range groups {
		slices.SortFunc(list, func(a, b slots.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
	}
	return groups
}

// longestTimeout returns the longest timeout of all routes.
func longestTimeout(index *document.Index) time.Duration {
	longest := time.Duration(0)
	for _, r := range index.Document().Routes {
		longest = max(longest, r.Timeout.Std())
	}
	return longest
}

// teamWeights returns the weight of each team in the queues, which is its rate.
// Requests on open routes together have the weight of an average team.
func teamWeights(index *document.Index) func(team string) float64 {
	teams := index.Document().Teams
	sum := 0.0
	for _, t := range teams {
		sum += float64(t.Rate)
	}
	mean := max(1, sum/float64(max(1, len(teams))))
	return func(name string) float64 {
		if t := index.TeamByName(name); t != nil && t.Rate > 0 {
			return float64(t.Rate)
		}
		return mean
	}
}
