// Package entry decides which instances a caller is told to use.
//
// The choice is a pure function of the configuration and the usable instances:
// instances with the same knowledge give the same answer. A team has few home
// instances in each region, so that a small team's rate lies whole in one or
// two places; a large team has more. Homes are chosen by weighted rendezvous
// hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker,
// "Weighted Distributed Hash Tables", 2005), so that one instance that comes or
// goes moves few teams.
package entry

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is an instance that takes new work. Leaving, silent and dead ones
// are left out by the caller.
type Instance struct {
	// Name names the member.
	Name string
	// URL is the base address for callers.
	URL string
	// Region and FailureDomain say where it runs.
	Region        string
	FailureDomain string
	// Load is the part of its capacity in use, 0 to 1.
	Load float64
}

// Team is what the choice depends on.
type Team struct {
	// Name names the team.
	Name string
	// Rate is the team's rate in requests a second.
	Rate float64
}

// Settings bound the number of homes.
type Settings struct {
	// Homes is the number of homes in a region of a small team.
	Homes int
	// RatePerHome is the rate in requests a second for which a large team gets
	// one home more.
	RatePerHome float64
	// RatePerPrimary is the rate in requests a second for which the callers of a
	// team are spread over one home more. Those of a small team all begin at
	// the same home.
	RatePerPrimary float64
	// Fallbacks is the number of further instances in an answer.
	Fallbacks int
}

// DefaultSettings returns the settings that instances use unless told
// otherwise.
func DefaultSettings() Settings {
	return Settings{Homes: 2, RatePerHome: 100, RatePerPrimary: 10, Fallbacks: 2}
}

// homeCount returns how many homes the team gets in a region.
func (s Settings) homeCount(t Team) int {
	return max(s.Homes, int(math.Ceil(t.Rate/s.RatePerHome)))
}

// primaryCount returns over how many of the homes the team's callers are spread.
func (s Settings) primaryCount(t Team, homes int) int {
	return min(homes, max(1, int(math.Ceil(t.Rate/s.RatePerPrimary))))
}

// Homes returns the team's homes in a region, best first, in as many failure
// domains as there are. A region without instances has none.
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

// Candidate is one instance of an answer.
type Candidate struct {
	Instance
	// Home says that the instance is one of the team's homes.
	Home bool
}

// Candidates returns the instances that a caller should try, in that order. The
// homes of its region come first; those over which the team's callers are
// spread begin at a place that depends on the caller. A few spares follow, the
// first of them in another region.
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

// rotate returns the homes with the first n of them turned by turn.
func rotate(homes []Instance, n int, offset uint64) []Instance {
	if n == 0 {
		return homes
	}
	start := int(offset % uint64(n))
	return slices.Concat(homes[start:n], homes[:start], homes[n:])
}

// fallbacks returns up to n instances that are not homes: the best of another
// region, then the best of the caller's region, then others.
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

// rank orders the instances for a key, best first.
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

// weightedScore is the weightedScore rendezvous score, -w/ln(u) with u uniform in (0,1).
func weightedScore(key string, i Instance) float64 {
	u := (float64(score(key, i.Name)>>11) + 0.5) / (1 << 53)
	return -loadWeight(i.Load) / math.Log(u)
}

// loadWeight makes loaded instances home to fewer teams. It has few levels, so that
// small changes of load move nothing.
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
