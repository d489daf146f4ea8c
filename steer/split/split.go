package split

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxChange is the largest part of the requests by which the fractions change per
	// second. The users allow 0.15 in 2 s; the rest is a margin for chance and for
	// requests that differ in their fractions.
	MaxChange = 0.03
	// urgentChange is MaxChange while a region has lost slots.
	urgentChange = 0.5
	// urgentTime is how long a loss of slots lifts the bound. Within it, requests
	// find other regions and their load becomes known.
	urgentTime = 3 * time.Second
	// lostSlots is the part of a region's slots whose loss lifts the bound. Endpoints
	// that are replaced in turn are fewer.
	lostSlots = 0.25
	// slotsMemory is how long the largest number of slots of a region is remembered.
	slotsMemory = 10 * time.Second
	// costRange is the difference of costs, in times of work, from which the fractions
	// change at their full speed.
	costRange = 0.1
	// deadBand is the difference of costs below which no fraction changes. Objects
	// that change their region are not warm there.
	deadBand = 0.05
	// maxLoad is the load, in requests per slot, up to which queues are short-lived.
	maxLoad = 0.9
	// maxQueue bounds the queue per slot that counts: beyond it all regions are alike.
	maxQueue = 0.6
	// changeRate is the part of a region's requests that leaves it per second at the
	// full speed, if MaxChange does not limit it.
	changeRate = 0.25
	// loadMemory is the time over which the load of a region is averaged.
	loadMemory = time.Second
	// followMemory is the time over which requests that did not keep to the fractions
	// change them.
	followMemory = 2 * time.Second
	// loadTimeout is how long after the last request the load of a region is known.
	loadTimeout = 4 * time.Second
)

// Region is the state of one region.
type Region struct {
	// Name is the region's name.
	Name string
	// Slots is the number of requests that its usable endpoints can run at once.
	Slots int
	// FaultySlots is the part of Slots that endpoints' failures cost.
	FaultySlots float64
	// Endpoints is the number of its usable endpoints.
	Endpoints int
	// Demand is its part of the requests of all regions, as far as known in advance.
	Demand float64
	// RoundTrip is the time that a request and its response take on the way.
	RoundTrip time.Duration
}

// Split holds the fractions for the requests that enter in one region.
type Split struct {
	home        string
	work        float64   // mean time of work in seconds
	regions     []*region // by name
	updatedAt   time.Time
	followedAt  time.Time
	urgentUntil time.Time
}

// region is a region with its fraction.
type region struct {
	Region
	fraction  float64
	load      float64   // average load that requests met there
	loadAt    time.Time // of the last observation
	mostSlots int       // the largest number of slots of late
	mostAt    time.Time
}

// New returns the split of the requests that enter in a region.
func New(home string) *Split { return &Split{home: home} }

// Fraction returns the fraction of the requests that runs in a region.
func (s *Split) Fraction(name string) float64 {
	if r := s.region(name); r != nil {
		return r.fraction
	}
	return 0
}

// Load returns the average load that requests have met in a region.
func (s *Split) Load(name string) float64 {
	if r := s.region(name); r != nil {
		return r.load
	}
	return 0
}

// Settle lets requests go where they are served best until a time. The fractions follow
// them.
func (s *Split) Settle(until time.Time) { s.urgentUntil = until }

// Urgent reports whether a region has just lost slots or the fractions are not known yet,
// so that requests need not keep to them.
func (s *Split) Urgent(now time.Time) bool { return now.Before(s.urgentUntil) }

func (s *Split) region(name string) *region {
	for _, r := range s.regions {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// Observe records the load that a request met in a region: the requests at its
// endpoint per slot.
func (s *Split) Observe(now time.Time, name string, load float64) {
	r := s.region(name)
	if r == nil {
		return
	}
	if now.Sub(r.loadAt) > loadTimeout {
		r.load = load
	}
	r.load += (1 - math.Exp(-now.Sub(r.loadAt).Seconds()/loadMemory.Seconds())) * (load - r.load)
	r.loadAt = now
}

// Follow moves the fractions towards a region to which a request has gone that did not
// keep to them.
func (s *Split) Follow(now time.Time, name string) {
	weight := 1 - math.Exp(-now.Sub(s.followedAt).Seconds()/followMemory.Seconds())
	s.followedAt = now
	for _, r := range s.regions {
		sample := 0.0
		if r.Name == name {
			sample = 1
		}
		r.fraction += weight * (sample - r.fraction)
	}
}

// Update applies the mean time of work and the state of all regions that may serve the
// requests, and changes the fractions by the time since the last update.
func (s *Split) Update(now time.Time, work time.Duration, regions []Region) {
	s.work = max(work, time.Millisecond).Seconds()
	elapsed := now.Sub(s.updatedAt).Seconds()
	s.updatedAt = now
	s.setRegions(now, regions)
	if !slices.ContainsFunc(s.regions, func(r *region) bool { return r.fraction > 0 }) {
		s.start()
		return
	}
	limit := MaxChange
	if s.Urgent(now) {
		limit = urgentChange
	}
	s.change(now, min(elapsed, urgentTime.Seconds()), limit)
}

// setRegions replaces the regions. The fraction of one that is gone goes to the others.
func (s *Split) setRegions(now time.Time, regions []Region) {
	previous := s.regions
	s.regions = make([]*region, 0, len(regions))
	for _, state := range regions {
		i := slices.IndexFunc(previous, func(r *region) bool { return r.Name == state.Name })
		r := &region{}
		if i >= 0 {
			r = previous[i]
		}
		r.Region = state
		if r.Slots >= r.mostSlots || now.Sub(r.mostAt) > slotsMemory {
			r.mostSlots, r.mostAt = r.Slots, now
		}
		if float64(r.Slots)-r.FaultySlots < (1-lostSlots)*float64(r.mostSlots) {
			s.urgentUntil = now.Add(urgentTime)
		}
		s.regions = append(s.regions, r)
	}
	s.normalize()
}

// normalize makes the fractions sum up to 1.
func (s *Split) normalize() {
	sum := 0.0
	for _, r := range s.regions {
		sum += r.fraction
	}
	if sum > 0 {
		for _, r := range s.regions {
			r.fraction /= sum
		}
	}
}

// start sets the fractions before any request. Work on objects that no endpoint knows
// uses about all slots of the users' deployments, so a region keeps what its slots are
// of its demand, and the rest goes to the regions that have more slots than demand.
func (s *Split) start() {
	slots, demand := 0.0, 0.0
	for _, r := range s.regions {
		slots += float64(r.Slots)
		demand += r.Demand
	}
	if slots == 0 {
		return
	}
	spare, kept := 0.0, 0.0
	room := make([]float64, len(s.regions))
	for i, r := range s.regions {
		supply, asked := float64(r.Slots)/slots, 0.0
		if demand > 0 {
			asked = r.Demand / demand
		}
		if r.Name == s.home && asked > 0 {
			kept = min(1, supply/asked)
			r.fraction = kept
			continue
		}
		room[i] = max(0, supply-asked)
		spare += room[i]
	}
	for i, r := range s.regions {
		switch {
		case spare > 0:
			r.fraction += (1 - kept) * room[i] / spare
		case kept == 0:
			r.fraction = float64(r.Slots) / slots
		}
	}
	s.normalize()
}

// cost returns the expected time of a request in a region on top of its work, in times
// of work: the round trip and the wait for a slot.
func (s *Split) cost(now time.Time, r *region) float64 {
	if r.Slots == 0 {
		return math.Inf(1)
	}
	load := r.load
	if now.Sub(r.loadAt) > loadTimeout {
		load = 0
	}
	return r.RoundTrip.Seconds()/s.work + wait(load, float64(r.Slots)/float64(max(1, r.Endpoints)))
}

// wait returns the mean wait for one of the slots of an endpoint at a load, in times of
// work: Sakasegawa's approximation for the M/M/c queue. The load beyond maxLoad is a
// queue.
func wait(load, slots float64) float64 {
	queue := min(maxQueue, max(0, load-maxLoad))
	load = min(load, maxLoad)
	return queue + math.Pow(load, math.Sqrt(2*(slots+1))-1)/(slots*(1-load))
}

// change moves fractions from regions of a higher cost to those of a lower one, in
// total by no more than limit per second.
func (s *Split) change(now time.Time, elapsed, limit float64) {
	changes := make([]float64, len(s.regions))
	away := 0
	for _, r := range s.regions {
		if r.Name != s.home {
			away += r.Slots
		}
	}
	moved := 0.0
	for i, from := range s.regions {
		for j, to := range s.regions {
			if to.Slots == 0 || from.fraction == 0 {
				continue
			}
			excess := s.cost(now, from) - s.cost(now, to)
			if excess <= deadBand {
				continue
			}
			part := 1.0
			if to.Name != s.home {
				part = float64(to.Slots) / float64(away)
			}
			amount := changeRate * elapsed * from.fraction * part * min(1, (excess-deadBand)/costRange)
			changes[i] -= amount
			changes[j] += amount
			moved += amount
		}
	}
	factor := 1.0
	if moved > limit*elapsed {
		factor = limit * elapsed / moved
	}
	for i, r := range s.regions {
		r.fraction = max(0, r.fraction+factor*changes[i])
	}
	s.normalize()
}
