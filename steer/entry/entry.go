// Package entry decides which instances a caller should use.
//
// The choice is a pure function of the configuration and the usable instances,
// so instances with the same state give the same answer. A team has few home
// instances in each region, so that a small team's whole rate arrives at one
// or two instances; a large team has more. Homes are chosen by weighted
// rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and
// Schomaker, "Weighted Distributed Hash Tables", 2005), so that one instance
// that joins or leaves moves few teams.
package entry

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is an instance that accepts new requests. The caller omits
// instances that are leaving or dead, or whose membership lease has expired.
type Instance struct {
	// Name is the member name.
	Name string
	// URL is the base URL for callers.
	URL string
	// Region and FailureDomain are the instance's location.
	Region        string
	FailureDomain string
	// Load is the used fraction of the instance's capacity, 0 to 1.
	Load float64
}

// Team holds the properties of a team on which the choice is based.
type Team struct {
	// Name names the team.
	Name string
	// Rate is the team's rate in requests per second.
	Rate float64
}

// Settings determines how many instances a caller is given.
type Settings struct {
	// Homes is the number of a small team's homes in a region.
	Homes int
	// RatePerHome is the rate in requests per second for which a large team
	// gets one more home.
	RatePerHome float64
	// RatePerPrimary is the rate in requests per second for which a team's
	// callers are spread over one more home. All callers of a small team start
	// at the same home.
	RatePerPrimary float64
	// Fallbacks is the number of instances that a caller is given in addition to
	// the homes.
	Fallbacks int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Homes: 2, RatePerHome: 100, RatePerPrimary: 10, Fallbacks: 2}
}

// homeCount returns the number of the team's homes in a region.
func (s Settings) homeCount(t Team) int {
	return max(s.Homes, int(math.Ceil(t.Rate/s.RatePerHome)))
}

// primaryCount returns the number of homes over which the team's callers are
// spread.
func (s Settings) primaryCount(t Team, homes int) int {
	return min(homes, max(1, int(math.Ceil(t.Rate/s.RatePerPrimary))))
}

// Homes returns the team's homes in a region, best first, spread over as many
// failure domains as possible. A region without instances has none.
func Homes(t Team, region string, instances []Instance, s Settings) []Instance {
	ranked := rank(t.Name, inRegion(instances, region))
	want := min(s.homeCount(t), len(ranked))
	homes := make([]Instance, 0, want)
	perDomain := make(map[string]int)
	for len(homes) < want {
		best := 0
		for i, c := range ranked {
			if perDomain[c.FailureDomain] < perDomain[ranked[best].FailureDomain] {
				best = i
			}
		}
		homes = append(homes, ranked[best])
		perDomain[ranked[best].FailureDomain]++
		ranked = slices.Delete(ranked, best, best+1)
	}
	return homes
}

// Candidate is one of the instances that a caller should try.
type Candidate struct {
	Instance
	// Home is set when the instance is one of the team's homes.
	Home bool
}

// Candidates returns the instances that a caller should try, in that order.
// The homes of the caller's region come first; the primary ones are rotated by
// a hash of the caller, which spreads the team's callers over them. The
// fallbacks follow, the first of them in another region.
func Candidates(t Team, region, caller string, instances []Instance, s Settings) []Candidate {
	homes := Homes(t, region, instances, s)
	candidates := make([]Candidate, 0, len(homes)+s.Fallbacks)
	for _, home := range rotate(homes, s.primaryCount(t, len(homes)), score(t.Name, caller)) {
		candidates = append(candidates, Candidate{Instance: home, Home: true})
	}
	for _, fallback := range fallbacks(t, region, instances, homes, s.Fallbacks) {
		candidates = append(candidates, Candidate{Instance: fallback})
	}
	return candidates
}

// rotate returns the homes with the first n of them rotated by offset.
func rotate(homes []Instance, n int, offset uint64) []Instance {
	if n == 0 {
		return homes
	}
	start := int(offset % uint64(n))
	return slices.Concat(homes[start:n], homes[:start], homes[n:])
}

// fallbacks returns up to n instances that are not homes: first the best of
// another region, then those of the caller's region, then the others.
func fallbacks(t Team, region string, instances, homes []Instance, n int) []Instance {
	local, remote := make([]Instance, 0, n), make([]Instance, 0, n)
	for _, c := range rank(t.Name, instances) {
		switch {
		case slices.ContainsFunc(homes, func(h Instance) bool { return h.Name == c.Name }):
		case c.Region == region:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	chosen := slices.Concat(remote[:min(1, len(remote))], local, remote[min(1, len(remote)):])
	return chosen[:min(n, len(chosen))]
}

func inRegion(instances []Instance, region string) []Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return i.Region != region })
}

// rank sorts the instances by their score for a key, best first.
func rank(key string, instances []Instance) []Instance {
	type scored struct {
		instance Instance
		value    float64
	}
	all := make([]scored, 0, len(instances))
	for _, i := range instances {
		all = append(all, scored{instance: i, value: weightedScore(key, i)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.instance.Name, b.instance.Name))
	})
	ranked := make([]Instance, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.instance)
	}
	return ranked
}

// weightedScore returns the weighted rendezvous score, -w/ln(u) with u uniform
// in (0,1).
func weightedScore(key string, i Instance) float64 {
	u := (float64(score(key, i.Name)>>11) + 0.5) / (1 << 53)
	return -loadWeight(i.Load) / math.Log(u)
}

// loadWeight returns the weight of an instance, so that loaded instances are
// home to fewer teams. It has few levels, so that small changes of load move
// no team.
func loadWeight(load float64) float64 {
	switch {
	case load < 0.7:
		return 1
	case load < 0.85:
		return 0.6
	default:
		return 0.3
	}
}

func score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
