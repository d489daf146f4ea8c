package split

import (
	"math"
	"sync"
	"time"
)

const (
	// Window is the time over which the users compare where requests run.
	Window = 2 * time.Second
	// minComparable is the number of a region's requests in a window below which chance
	// alone moves as many as the users allow, so that fractions mean nothing.
	minComparable = 70
	// rateMemory is the time over which the rate of requests is averaged.
	rateMemory = 10 * time.Second
	// slackShare is the part of the requests of a window that an instance may send to
	// the region that is best at the moment, beyond the fractions.
	slackShare = 0.015
	// forwardShare is the part of the requests of a window by which an instance may be
	// ahead of the region that is owed most. All instances prefer the same region.
	forwardShare = 0.05
	// due is what a region is owed by when it is its turn.
	due = 0.5
	// maxOwed is how many requests more than another one a region may be owed before
	// it gets a request for an object that belongs there less.
	maxOwed = 0.6
	// maxBalance bounds what is owed to a region or by it, beyond the slack, since
	// requests that had no choice need not be made up for in full.
	maxBalance = 0.8
)

// Balance is what an instance owes to each region: the fractions of the requests sent,
// less those that went there. Requests of all services share one balance, since the
// users count them together.
type Balance struct {
	mu        sync.Mutex
	owed      map[string]float64
	instances float64 // in this region
	expected  float64 // requests per second, before any are known
	count     float64 // decaying number of requests
	countedAt time.Time
	startedAt time.Time // of the first request
}

// NewBalance returns a balance in which nothing is owed.
func NewBalance() *Balance { return &Balance{owed: make(map[string]float64), instances: 1} }

// Expect sets the number of instances in this region, and the rate of requests per
// second that is assumed for each before any is known.
func (b *Balance) Expect(instances int, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances, b.expected = float64(max(1, instances)), rate
}

// Request is a request for which a region is picked.
type Request struct {
	// Object is the hash of its object, 0 if there is none. Requests for the same
	// object go to the same region as long as the fractions allow it.
	Object uint64
	// Best is the region that serves it best at the moment.
	Best string
	// May reports whether it may run in a region.
	May func(region string) bool
	// Can reports whether a region can serve it now.
	Can func(region string) bool
}

// Pick returns the region for a request. If the region whose turn it is can't serve
// the request, ok tells whether one that can is owed a request; if none is, the name is
// that of the region whose turn it is.
func (b *Balance) Pick(now time.Time, s *Split, r Request) (name string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack := b.slack(now)
	if math.IsInf(slack, 1) {
		return r.Best, true
	}
	if b.mayBringForward(now, s, r, slack) && r.Can(r.Best) {
		return r.Best, true
	}
	first := b.first(s, r, maxOwed+2*slack)
	if first == "" || r.Can(first) {
		return first, first != ""
	}
	b.owed[first] = min(b.owed[first], 0) // what it can't take is not made up for
	name, best := first, due-slack
	for _, other := range s.regions {
		if owed := b.owed[other.Name] + other.fraction; other.Name != first && owed >= best && r.Can(other.Name) {
			name, best, ok = other.Name, owed, true
		}
	}
	return name, ok
}

// mayBringForward reports whether the region that is best at the moment may get the
// request before those that are owed more. The caller holds mu.
func (b *Balance) mayBringForward(now time.Time, s *Split, request Request, slack float64) bool {
	most := math.Inf(-1)
	for _, r := range s.regions {
		if request.May(r.Name) {
			most = max(most, b.owed[r.Name]+r.fraction)
		}
	}
	owed := b.owed[request.Best] + s.Fraction(request.Best)
	return owed >= due-slack && most-owed <= forwardShare*b.perSecond(now)*Window.Seconds()
}

// first returns the region that the request's object belongs to, or the one that is
// owed most. The caller holds mu.
func (b *Balance) first(s *Split, request Request, maxOwed float64) string {
	var owedMost, belongs string
	most, lowest, owedThere := math.Inf(-1), math.Inf(1), 0.0
	for _, r := range s.regions {
		if !request.May(r.Name) {
			continue
		}
		owed := b.owed[r.Name] + r.fraction
		if owed > most {
			owedMost, most = r.Name, owed
		}
		if request.Object == 0 || r.fraction == 0 {
			continue
		}
		if rank := -math.Log(unit(request.Object, r.Name)) / r.fraction; rank < lowest {
			belongs, lowest, owedThere = r.Name, rank, owed
		}
	}
	if belongs != "" && most-owedThere <= maxOwed {
		return belongs
	}
	return owedMost
}

// slack returns how many requests beyond its fraction a region may get. The caller
// holds mu.
func (b *Balance) slack(now time.Time) float64 {
	perWindow := b.perSecond(now) * Window.Seconds()
	if perWindow*b.instances < minComparable {
		return math.Inf(1)
	}
	return slackShare * perWindow
}

// perSecond returns the rate of this instance's requests. At first it is the expected
// one. The caller holds mu.
func (b *Balance) perSecond(now time.Time) float64 {
	if b.startedAt.IsZero() {
		return b.expected
	}
	first := math.Exp(-now.Sub(b.startedAt).Seconds() / rateMemory.Seconds())
	count := b.count * math.Exp(-now.Sub(b.countedAt).Seconds()/rateMemory.Seconds())
	return count/rateMemory.Seconds() + b.expected*first
}

// Record records that a request was sent to a region.
func (b *Balance) Record(now time.Time, s *Split, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.startedAt.IsZero() {
		b.startedAt, b.countedAt = now, now
	}
	b.count = b.count*math.Exp(-now.Sub(b.countedAt).Seconds()/rateMemory.Seconds()) + 1
	b.countedAt = now
	if math.IsInf(b.slack(now), 1) || s.Urgent(now) {
		s.Follow(now, name)
		return
	}
	s.followedAt = now
	b.record(now, s, name, 1)
}

// Undo records that a request that was sent to a region has not run there.
func (b *Balance) Undo(now time.Time, s *Split, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(now, s, name, -1)
}

// record adds n requests that were sent to a region. The caller holds mu.
func (b *Balance) record(now time.Time, s *Split, name string, n float64) {
	limit := maxBalance
	if slack := b.slack(now); !math.IsInf(slack, 1) {
		limit += slack
	}
	b.owed[name] -= n
	for _, r := range s.regions {
		b.owed[r.Name] = min(limit, max(-limit, b.owed[r.Name]+n*r.fraction))
	}
}

// unit returns a number in (0, 1) that depends on an object and a region.
func unit(object uint64, region string) float64 {
	h := object ^ 0x9e3779b97f4a7c15
	for _, c := range []byte(region) {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return (float64(h>>11) + 0.5) / (1 << 53)
}
