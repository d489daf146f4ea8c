package priority

import (
	"math"
	"slices"
	"time"
)

// Rules are the limits of a controller.
type Rules struct {
	// BusyFrom is the utilization of the slots from which they are scarce.
	BusyFrom float64
	// BusyTo is the utilization above which more slots are spared, since requests
	// queue at the endpoints.
	BusyTo float64
	// QueueShare is the longest queue inside an endpoint, as a fraction of its
	// slots, for the highest rank that arrives.
	QueueShare float64
	// MinNeed is the fraction of the slots in use from which the demand of a rank
	// counts. A few stray requests reserve no slot at each endpoint.
	MinNeed float64
	// DemandWindow is the time constant of the observed demand. An instance sees a
	// few requests of each rank per second.
	DemandWindow time.Duration
	// Floor is the fraction of the mean served share that each rank and team gets.
	Floor float64
	// ServedWeight is the weight of one request in the mean served share.
	ServedWeight float64
}

// DefaultRules returns the rules used when none are set.
func DefaultRules() Rules {
	return Rules{
		BusyFrom:     0.5,
		BusyTo:       0.9,
		QueueShare:   0.34,
		MinNeed:      0.01,
		DemandWindow: 4 * time.Second,
		Floor:        0.35, // the requirement is 0.25; admitted requests may still fail
		ServedWeight: 0.02,
	}
}

const (
	// overload is how many further slots of an endpoint are spared for each 1 by
	// which the utilization exceeds BusyTo. In the model of steer/placing at 2.2
	// times the usual load, 0.60 of rank 0 are in time with 4 and 0.52 with 0.
	overload = 4
	// contentionFrom and contentionTo are the waits for a slot, relative to the work of
	// the request that waits, between which headroom begins and is complete. In the
	// model of steer/placing, headroom for requests that wait 0.2 of their work costs
	// the lower rank 0.14 of its answers in time and gains the higher rank nothing.
	contentionFrom, contentionTo = 0.35, 0.75
	// tiny is a decayed demand that counts as none.
	tiny = 1e-6
	// minCredit bounds how far a rank or team that was served well is in debt, so
	// that its floor takes effect after a few requests.
	minCredit = -1
	// maxCredit bounds the requests that a starved rank or team gets at once.
	maxCredit = 3
	// maxTeams bounds the accounts of teams. It exceeds the number of teams of all
	// known deployments; beyond it, further teams have no floor.
	maxTeams = 1024
)

// Controller decides how many requests may be at an endpoint for a request of a
// rank to be sent there. There is one for each service whose ranks differ.
type Controller struct {
	rules       Rules
	ranks       []int     // ascending, so the highest comes first
	work        []float64 // decayed slot seconds demanded, by rank
	count       []float64 // decayed number of requests, by rank
	credit      []float64 // of each rank
	teams       map[string]float64
	served      float64 // mean share of the requests that are served
	utilization float64
	decayedAt   time.Time

	// Of each rank: the slots that higher ranks need, as a fraction of all; the mean
	// work of this and lower ranks relative to that of higher ones; and the mean work
	// of lower ranks relative to that of this and higher ones.
	above, delay, behind []float64
}

// NewController returns a controller for the ranks of a service.
func NewController(r Rules, ranks []int) *Controller {
	ranks = slices.Compact(slices.Sorted(slices.Values(ranks)))
	return &Controller{
		rules: r, ranks: ranks, work: make([]float64, len(ranks)), count: make([]float64, len(ranks)), credit: make([]float64, len(ranks)),
		above: make([]float64, len(ranks)), delay: make([]float64, len(ranks)), behind: make([]float64, len(ranks)), teams: make(map[string]float64), served: 1,
	}
}

// Ranks returns the ranks in ascending order. The result must not be changed.
func (c *Controller) Ranks() []int { return c.ranks }

// index returns the position of a rank. An unknown one counts as the next lower
// one that is known, or as the lowest.
func (c *Controller) index(rank int) int {
	for i, known := range c.ranks {
		if rank <= known {
			return i
		}
	}
	return len(c.ranks) - 1
}

// SetUtilization sets the fraction of the slots in use; it exceeds 1 if requests
// are queued.
func (c *Controller) SetUtilization(now time.Time, utilization float64) {
	c.utilization = utilization
	c.decay(now)
	c.update()
}

// Observe records the arrival of a request and its expected work.
func (c *Controller) Observe(now time.Time, rank int, work time.Duration) {
	c.decay(now)
	i := c.index(rank)
	c.work[i] += max(0, work.Seconds())
	c.count[i]++
	c.update()
}

// decay reduces the observed demand by the time since the last call.
func (c *Controller) decay(now time.Time) {
	elapsed := now.Sub(c.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / c.rules.DemandWindow.Seconds())
	for i := range c.work {
		c.work[i] *= factor
		c.count[i] *= factor
	}
	c.decayedAt = now
}

// update computes what Limit needs of the demand.
func (c *Controller) update() {
	total, n := 0.0, 0.0
	for i := range c.work {
		total += c.work[i]
		n += c.count[i]
	}
	higher, ahead := 0.0, 0.0
	for i, w := range c.work {
		c.above[i] = 0
		if total > 0 {
			c.above[i] = higher / total * min(1, c.utilization)
		}
		c.delay[i] = relativeWork(total-higher, n-ahead, higher, ahead)
		higher += w
		ahead += c.count[i]
		c.behind[i] = relativeWork(total-higher, n-ahead, higher, ahead)
	}
}

// relativeWork returns the mean work of n requests relative to that of m others, 0
// without either.
func relativeWork(workN, n, workM, m float64) float64 {
	if workN < tiny || n < tiny || workM < tiny || m < tiny {
		return 0
	}
	return workN / n / (workM / m)
}

// contention returns how much an endpoint's requests delay more urgent ones, from 0 to
// 1. With all slots in use, a slot becomes free after about the work of one request
// divided by the slots. That matters if it is long relative to the work of the urgent
// request: goals are about twice the work.
func contention(relativeWork float64, slots int) float64 {
	wait := relativeWork / float64(max(1, slots))
	return min(1, max(0, (wait-contentionFrom)/(contentionTo-contentionFrom)))
}

// Limit returns the number of requests at an endpoint with some slots up to which
// a request of a rank may be sent there. It is unlimited where requests of lower ranks
// are too short to delay those of higher ranks.
func (c *Controller) Limit(now time.Time, rank, slots int) int {
	if now.After(c.decayedAt) {
		c.decay(now)
		c.update()
	}
	i := c.index(rank)
	if c.above[i] < c.rules.MinNeed {
		if contention(c.behind[i], slots) == 0 {
			return math.MaxInt
		}
		return slots + int(math.Ceil(float64(slots)*c.rules.QueueShare))
	}
	factor := contention(c.delay[i], slots)
	switch {
	case factor == 0:
		return math.MaxInt
	case c.utilization < c.rules.BusyFrom:
		return slots
	}
	spare := c.above[i]*float64(slots) + 1 + overload*max(0, c.utilization-c.rules.BusyTo)
	return max(1, slots-max(1, int(math.Round(factor*spare))))
}

// Admit records an arriving request of a rank and a team in the accounts of the
// floor.
func (c *Controller) Admit(rank int, team string) {
	c.served *= 1 - c.rules.ServedWeight
	add := c.rules.Floor * c.served
	i := c.index(rank)
	c.credit[i] = min(maxCredit, c.credit[i]+add)
	if _, ok := c.teams[team]; team != "" && (ok || len(c.teams) < maxTeams) {
		c.teams[team] = min(maxCredit, c.teams[team]+add)
	}
}

// Served records that a request is sent to an endpoint.
func (c *Controller) Served(rank int, team string) {
	c.served += c.rules.ServedWeight
	i := c.index(rank)
	c.credit[i] = max(minCredit, c.credit[i]-1)
	if credit, ok := c.teams[team]; ok {
		c.teams[team] = max(minCredit, credit-1)
	}
}

// Effective returns the rank by which a request is admitted: the highest one while
// its rank or its team is below its floor, or else its own.
func (c *Controller) Effective(rank int, team string) int {
	if c.credit[c.index(rank)] >= 1 || c.teams[team] >= 1 {
		return c.ranks[0]
	}
	return rank
}
