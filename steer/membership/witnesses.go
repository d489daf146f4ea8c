package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score is the rendezvous hash of a candidate for a key (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998).
func score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// ChooseWitnesses returns up to n witnesses for self from the usable members.
// Each is taken from the region with the fewest witnesses so far, so that the
// failure of one region does not take a majority with it. Within a region the
// choice is by rendezvous hashing, so that a change of one member changes few
// lists.
func ChooseWitnesses(self string, members []Member, n int) []string {
	var candidates []Member
	for _, m := range members {
		if m.Name != self && m.Usable() {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b Member) int { return cmp.Compare(score(self, b.Name), score(self, a.Name)) })
	chosen := make([]string, 0, n)
	perRegion := make(map[string]int)
	for len(chosen) < n && len(candidates) > 0 {
		best := 0
		for i, m := range candidates {
			if perRegion[m.Region] < perRegion[candidates[best].Region] {
				best = i
			}
		}
		chosen = append(chosen, candidates[best].Name)
		perRegion[candidates[best].Region]++
		candidates = slices.Delete(candidates, best, best+1)
	}
	slices.Sort(chosen)
	return chosen
}
