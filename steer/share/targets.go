package share

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Claimant is an instance that may hold a part of a resource.
type Claimant struct {
	// Instance names the member.
	Instance string
	// Region is where it runs.
	Region string
	// Demand is the demand it sees, in requests a second.
	Demand float64
	// Home says whether callers of its region are sent to it.
	Home bool
}

// Resource is what a division divides.
type Resource struct {
	// Rate is in requests a second.
	Rate float64
	// MaxHolders is how many instances may hold a part at most.
	MaxHolders int
}

// stickiness is how much more weight an instance has that holds a part, when
// there are more claimants than holders.
const stickiness = 1.5

// Targets returns how many units each claimant should hold, in the order of
// the claimants. Demand is met first; what is left goes half by demand and
// half to the homes of the regions that the demand comes from, so that a
// second home can step in. When that makes too many holders, those with the
// least go without.
func Targets(r Resource, current Division, claimants []Claimant) []Units {
	weights := make([]float64, len(claimants))
	total := 0.0
	for _, c := range claimants {
		total += c.Demand
	}
	met := 1.0
	if total > r.Rate {
		met = r.Rate / total
	}
	left := r.Rate - total*met
	for i, c := range claimants {
		weights[i] = c.Demand * met
		if total > 0 {
			weights[i] += left / 2 * c.Demand / total
		}
	}
	spread := left / 2
	if total == 0 {
		spread = left
	}
	addHomes(weights, claimants, spread, total)
	keepLargest(weights, r.MaxHolders, current, claimants)
	return round(weights)
}

// keepLargest sets all weights but the largest to 0.
func keepLargest(weights []float64, holders int, current Division, claimants []Claimant) {
	order := make([]int, len(weights))
	value := make([]float64, len(weights))
	for i := range weights {
		order[i] = i
		value[i] = weights[i]
		if current.UnitsOf(claimants[i].Instance) > 0 {
			value[i] *= stickiness
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(value[b], value[a]), strings.Compare(claimants[a].Instance, claimants[b].Instance))
	})
	for _, i := range order[min(max(holders, 1), len(order)):] {
		weights[i] = 0
	}
}

// addHomes spreads extra over the homes, by the demand of their regions.
func addHomes(weights []float64, claimants []Claimant, extra, total float64) {
	demand := make(map[string]float64)
	homes := make(map[string]int)
	for _, c := range claimants {
		demand[c.Region] += c.Demand
		if c.Home {
			homes[c.Region]++
		}
	}
	for i, c := range claimants {
		if !c.Home {
			continue
		}
		part := 1 / float64(len(homes))
		if total > 0 {
			part = demand[c.Region] / total
		}
		weights[i] += extra * part / float64(homes[c.Region])
	}
}

// round turns weights into units that sum to Whole, or to 0 without weights.
func round(weights []float64) []Units {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	units := make([]Units, len(weights))
	if sum <= 0 {
		return units
	}
	left := TotalUnits
	largest := 0
	for i, w := range weights {
		units[i] = Units(math.Floor(w / sum * float64(TotalUnits)))
		left -= units[i]
		if w > weights[largest] {
			largest = i
		}
	}
	units[largest] += left
	return units
}

// Distribute returns the moves that spread units of one holder over those that are
// furthest below their targets. The holder itself gets none.
func Distribute(d Division, from string, units Units, claimants []Claimant, targets []Units) []Move {
	type lack struct {
		instance string
		units    Units
	}
	var lacks []lack
	var total Units
	for i, c := range claimants {
		if n := targets[i] - d.UnitsOf(c.Instance); n > 0 && c.Instance != from {
			lacks = append(lacks, lack{instance: c.Instance, units: n})
			total += n
		}
	}
	slices.SortFunc(lacks, func(a, b lack) int {
		return cmp.Or(cmp.Compare(b.units, a.units), strings.Compare(a.instance, b.instance))
	})
	var moves []Move
	for _, l := range lacks {
		n := l.units
		if total > units {
			n = l.units * units / total
		}
		if n > 0 {
			moves = append(moves, Move{From: from, To: l.instance, Units: n})
		}
	}
	return moves
}

// MinTransfer is the difference from its target, in units, that a holder leaves
// alone.
const MinTransfer Units = 800

// TransferSurplus returns the moves by which a holder gives away what it has above its
// target. Differences below slack units are left alone, so that noise in the
// demand moves nothing.
func TransferSurplus(d Division, self string, claimants []Claimant, targets []Units, slack Units) []Move {
	for i, c := range claimants {
		if c.Instance != self {
			continue
		}
		surplus := d.UnitsOf(self) - targets[i]
		if surplus < slack {
			return nil
		}
		return Distribute(d, self, surplus, claimants, targets)
	}
	return nil
}
