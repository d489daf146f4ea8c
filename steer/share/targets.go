package share

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Claimant is an instance that may hold a share of a resource.
type Claimant struct {
	// Instance is the member name.
	Instance string
	// Region is the instance's region.
	Region string
	// Demand is the demand at the instance, in requests per second.
	Demand float64
	// Home reports whether callers of the instance's region are sent to it.
	Home bool
}

// Resource is a quota to be divided.
type Resource struct {
	// Rate is in requests per second.
	Rate float64
	// MaxHolders bounds how many instances hold a share.
	MaxHolders int
}

// stickiness is the factor by which the weight of a current holder is raised when
// there are more claimants than MaxHolders.
const stickiness = 1.5

// Targets returns the number of units that each claimant should hold, in the
// order of the claimants. Demand is met first, as far as the rate allows. Half of
// the remaining rate is distributed by demand, and half over the homes of the
// regions where the demand arises, so that a second home can take over. If there
// would be more holders than MaxHolders, those with the least weight get nothing.
func Targets(r Resource, current Division, claimants []Claimant) []Units {
	weights := make([]float64, len(claimants))
	total := 0.0
	for _, c := range claimants {
		total += c.Demand
	}
	scale := 1.0
	if total > r.Rate {
		scale = r.Rate / total
	}
	remaining := r.Rate - total*scale
	for i, c := range claimants {
		weights[i] = c.Demand * scale
		if total > 0 {
			weights[i] += remaining / 2 * c.Demand / total
		}
	}
	forHomes := remaining / 2
	if total == 0 {
		forHomes = remaining
	}
	addHomeWeights(weights, claimants, forHomes, total)
	zeroAllButLargest(weights, r.MaxHolders, current, claimants)
	return roundToUnits(weights)
}

// zeroAllButLargest sets all weights to 0 except the maxHolders largest ones. For
// the comparison the weights of current holders are multiplied by stickiness.
func zeroAllButLargest(weights []float64, maxHolders int, current Division, claimants []Claimant) {
	order := make([]int, len(weights))
	ranks := make([]float64, len(weights))
	for i := range weights {
		order[i] = i
		ranks[i] = weights[i]
		if current.UnitsOf(claimants[i].Instance) > 0 {
			ranks[i] *= stickiness
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), strings.Compare(claimants[a].Instance, claimants[b].Instance))
	})
	for _, i := range order[min(max(maxHolders, 1), len(order)):] {
		weights[i] = 0
	}
}

// addHomeWeights distributes extra over the homes, by the demand of their
// regions.
func addHomeWeights(weights []float64, claimants []Claimant, extra, total float64) {
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
		fraction := 1 / float64(len(homes))
		if total > 0 {
			fraction = demand[c.Region] / total
		}
		weights[i] += extra * fraction / float64(homes[c.Region])
	}
}

// roundToUnits converts weights to units that sum to TotalUnits, or to 0 if all
// weights are 0.
func roundToUnits(weights []float64) []Units {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	units := make([]Units, len(weights))
	if sum <= 0 {
		return units
	}
	remainder := TotalUnits
	largest := 0
	for i, w := range weights {
		units[i] = Units(math.Floor(w / sum * float64(TotalUnits)))
		remainder -= units[i]
		if w > weights[largest] {
			largest = i
		}
	}
	units[largest] += remainder
	return units
}

// Distribute returns the moves that distribute units of one holder over the
// claimants below their targets, in proportion to their deficits if there are not
// enough units for all. The holder itself gets none.
func Distribute(d Division, from string, units Units, claimants []Claimant, targets []Units) []Move {
	type deficit struct {
		instance string
		units    Units
	}
	var deficits []deficit
	var total Units
	for i, c := range claimants {
		if n := targets[i] - d.UnitsOf(c.Instance); n > 0 && c.Instance != from {
			deficits = append(deficits, deficit{instance: c.Instance, units: n})
			total += n
		}
	}
	slices.SortFunc(deficits, func(a, b deficit) int {
		return cmp.Or(cmp.Compare(b.units, a.units), strings.Compare(a.instance, b.instance))
	})
	var moves []Move
	for _, l := range deficits {
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

// MinTransfer is the surplus over its target, in units, below which a holder
// transfers nothing.
const MinTransfer Units = 800

// TransferSurplus returns the moves by which a holder gives away its surplus over
// its target. A surplus below minUnits is kept, so that noise in the demand
// causes no moves.
func TransferSurplus(d Division, self string, claimants []Claimant, targets []Units, minUnits Units) []Move {
	for i, c := range claimants {
		if c.Instance != self {
			continue
		}
		surplus := d.UnitsOf(self) - targets[i]
		if surplus < minUnits {
			return nil
		}
		return Distribute(d, self, surplus, claimants, targets)
	}
	return nil
}
