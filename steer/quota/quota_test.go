package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The limit that the users set for each window: rate times the window plus the
// burst, a tenth of that as excess, and a fixed number of extra requests.
const (
	excess = 0.1
	slack  = 20
)

// reportDelay is the maximum age of a report.
const reportDelay = 600 * time.Millisecond

var start = time.Unix(5000, 0)

// fleet is a number of instances that report their demand to each other with a
// delay; some may be isolated from the others.
type fleet struct {
	members          []*Limiter
	isolated         map[int]bool
	admitted         []time.Time
	refused          int
	exchangeInterval time.Duration // between two exchanges of reports
	delay            time.Duration // maximum age of a report
	// regions are the regions of the members, nil if all report to each other.
	// Demand of other regions is received as sums, every regionInterval.
	regions []int
}

const (
	regionInterval = 2 * time.Second
	regionDelay    = 2200 * time.Millisecond
)

func newFleet(n int, q Quota) *fleet {
	f := &fleet{isolated: map[int]bool{}, exchangeInterval: 500 * time.Millisecond, delay: reportDelay}
	for range n {
		l := New()
		l.SetQuotas(start, map[string]Quota{"t": q})
		l.SetFleet(n, n-1)
		f.members = append(f.members, l)
	}
	return f
}

// newRegions returns a fleet with regions of the given sizes.
func newRegions(q Quota, sizes ...int) *fleet {
	n := 0
	for _, size := range sizes {
		n += size
	}
	f := newFleet(n, q)
	for region, size := range sizes {
		for range size {
			f.members[len(f.regions)].SetFleet(n, size-1+len(sizes)-1)
			f.regions = append(f.regions, region)
		}
	}
	return f
}

// exchange delivers demand reports between instances that can reach each other.
func (f *fleet) exchange(now time.Time) {
	sums := map[int]Demand{}
	for i, a := range f.members {
		d, sampledAt := a.ReportDemand(now)
		if f.regions != nil {
			if sums[f.regions[i]] == nil {
				sums[f.regions[i]] = Demand{}
			}
			sums[f.regions[i]].Add(d)
		}
		for j, b := range f.members {
			otherRegion := f.regions != nil && f.regions[i] != f.regions[j]
			if i != j && !otherRegion && !f.isolated[i] && !f.isolated[j] {
				b.SetPeerDemand(fmt.Sprint(i), PeerReport{Demand: d, MeasuredAt: sampledAt, HeardAt: now, Delay: f.delay}, now)
			}
		}
	}
	if now.Sub(start)%regionInterval != 0 {
		return
	}
	for region, sum := range sums {
		for j, b := range f.members {
			if f.regions[j] != region {
				b.SetRegionDemand(fmt.Sprint("region ", region), sum, now, regionDelay)
			}
		}
	}
}

func (f *fleet) request(i int, now time.Time) {
	if f.members[i].Take("t", now).Allowed {
		f.admitted = append(f.admitted, now)
		return
	}
	f.refused++
}

// maxExcess returns by how many requests the fullest window exceeds the users'
// limit; 0 or less is within it.
func (f *fleet) maxExcess(q Quota) float64 {
	bound := (q.Rate*Window.Seconds()+q.Burst)*(1+excess) + slack
	worst, first := -bound, 0
	for last, at := range f.admitted {
		for at.Sub(f.admitted[first]) >= Window {
			first++
		}
		worst = max(worst, float64(last-first+1)-bound)
	}
	return worst
}

// load simulates requests of one team at a rate per second, at the instances
// that pick returns.
func (f *fleet) load(r *rand.Rand, from, to time.Duration, rate float64, pick func() int) {
	exchangedAt := from
	for at := from; at < to; at += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
		for ; exchangedAt <= at; exchangedAt += f.exchangeInterval {
			f.exchange(start.Add(exchangedAt))
		}
		f.request(pick(), start.Add(at))
	}
}

func TestQuotaHoldsOverAllInstances(t *testing.T) {
	q := Quota{Rate: 30, Burst: 30}
	for seed := range uint64(30) {
		var r *rand.Rand // each case starts with the same random numbers
		any := func(n int) func() int { return func() int { return r.IntN(n) } }
		cases := map[string]func(f *fleet){
			"five times its rate": func(f *fleet) {
				f.load(r, 0, 8*time.Second, 18, any(8))
				f.load(r, 8*time.Second, 20*time.Second, 140, any(8))
			},
			"moves between instances": func(f *fleet) {
				f.load(r, 0, 6*time.Second, 100, any(2))
				f.load(r, 6*time.Second, 12*time.Second, 100, func() int { return 2 + r.IntN(6) })
			},
			"an instance is cut off": func(f *fleet) {
				f.load(r, 0, 6*time.Second, 120, any(8))
				f.isolated[3] = true
				f.load(r, 6*time.Second, 16*time.Second, 120, any(8))
			},
		}
		for name, play := range cases {
			r = rand.New(rand.NewPCG(seed, 1))
			f := newFleet(8, q)
			play(f)
			if w := f.maxExcess(q); w > 0 {
				t.Errorf("seed %d, %s: %.1f requests over the limit", seed, name, w)
			}
		}
	}
}

// A quota whose burst is small relative to its rate is enforced, too, from the
// fleet's first request on.
func TestSmallBurstHolds(t *testing.T) {
	q := Quota{Rate: 100, Burst: 10}
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 7))
		f := newFleet(8, q)
		f.load(r, 0, 8*time.Second, 500, func() int { return r.IntN(8) })
		f.load(r, 8*time.Second, 14*time.Second, 20, func() int { return r.IntN(8) })
		f.load(r, 14*time.Second, 24*time.Second, 500, func() int { return r.IntN(8) })
		if w := f.maxExcess(q); w > 0 {
			t.Errorf("seed %d: %.1f requests over the limit", seed, w)
		}
	}
}

// In a large fleet, instances receive other regions' demand as sums that are up
// to two seconds old. A team that suddenly sends eight times as much is still
// held to its quota.
func TestQuotaHoldsWithDelayedReports(t *testing.T) {
	const (
		instances      = 88
		regionInterval = 2 * time.Second
		regionDelay    = 2200 * time.Millisecond
	)
	q := Quota{Rate: 700, Burst: 120}
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 4))
		f := newFleet(instances, q)
		f.exchangeInterval, f.delay = regionInterval, regionDelay
		f.load(r, 0, 6*time.Second, 440, func() int { return r.IntN(instances) })
		f.load(r, 6*time.Second, 14*time.Second, 3500, func() int { return r.IntN(instances) })
		if w := f.maxExcess(q); w > 0 {
			t.Errorf("seed %d: %.1f requests over the limit", seed, w)
		}
	}
}

// A team within its quota is hardly ever refused, although an instance's share
// is less than one token per second.
func TestSmallTeamIsNotRefused(t *testing.T) {
	q := Quota{Rate: 5, Burst: 5}
	refused, total := 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(8, q)
		f.load(r, 0, 40*time.Second, q.Rate/1.6, func() int { return r.IntN(8) })
		refused += f.refused
		total += f.refused + len(f.admitted)
	}
	if share := float64(refused) / float64(total); share > 0.005 {
		t.Errorf("%d of %d requests within the quota were refused", refused, total)
	}
}

func TestLoweredQuotaIsEnforced(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 3))
	f := newFleet(8, Quota{Rate: 100, Burst: 100})
	f.load(r, 0, 6*time.Second, 80, func() int { return r.IntN(8) })
	low := Quota{Rate: 10, Burst: 10}
	for _, l := range f.members {
		l.SetQuotas(start.Add(6*time.Second), map[string]Quota{"t": low})
	}
	f.load(r, 6*time.Second, 11*time.Second, 80, func() int { return r.IntN(8) })
	f.admitted = nil
	f.load(r, 11*time.Second, 25*time.Second, 80, func() int { return r.IntN(8) })
	if w := f.maxExcess(low); w > 0 {
		t.Errorf("%.1f requests over the lowered limit", w)
	}
}

func TestTeamWithoutQuotaIsNeverRefused(t *testing.T) {
	l := New()
	for range 1000 {
		if !l.Take("t", start).Allowed {
			t.Fatal("a request of a team without a quota was refused")
		}
	}
}

// Steps count from the first request, not from the time of day, because the
// clock may be set while the process runs.
func TestTallyExpiresAfterTheWindow(t *testing.T) {
	var c tally
	for i := range 10 {
		c.add(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	if n := c.sum(start.Add(Window - time.Second)); n != 10 {
		t.Errorf("%d within the window, want 10", n)
	}
	if n := c.sum(start.Add(Window + time.Second)); n != 0 {
		t.Errorf("%d after the window, want 0", n)
	}
}

// hotTeam is the quota of a team that suddenly sends eight times as much, twice
// the quota's rate and more.
var hotTeam = Quota{Rate: 700, Burst: 120}

// A team is held to its quota over regions, although each instance learns of
// demand in its own region earlier than in the others.
func TestQuotaHoldsOverRegions(t *testing.T) {
	any := func(r *rand.Rand, _ time.Duration) int { return r.IntN(87) }
	for name, c := range map[string]struct {
		sizes []int
		pick  func(r *rand.Rand, at time.Duration) int
	}{
		"three regions":            {[]int{29, 29, 29}, any},
		"one instance in a region": {[]int{1, 43, 43}, any},
		"all callers move to one instance": {[]int{1, 43, 43}, func(r *rand.Rand, at time.Duration) int {
			if at < 6500*time.Millisecond {
				return r.IntN(87)
			}
			return 0
		}},
		"callers move to another region": {[]int{29, 29, 29}, func(r *rand.Rand, at time.Duration) int {
			return int(at/(4*time.Second))%3*29 + r.IntN(29)
		}},
	} {
		for seed := range uint64(5) {
			r := rand.New(rand.NewPCG(seed, 5))
			f := newRegions(hotTeam, c.sizes...)
			at := time.Duration(0)
			pick := func() int { return c.pick(r, at) }
			for ; at < 16*time.Second; at += 500 * time.Millisecond {
				rate := 440.0
				if at >= 6500*time.Millisecond {
					rate = 3500
				}
				f.load(r, at, at+500*time.Millisecond, rate, pick)
			}
			if w := f.maxExcess(hotTeam); w > 0 {
				t.Errorf("%s, seed %d: %.1f requests over the limit", name, seed, w)
			}
		}
	}
}

// A team with callers in several regions is admitted up to its quota and not
// beyond it, also when refused requests come back in waves.
func TestFullQuotaIsAdmittedOverRegions(t *testing.T) {
	steady := func(rate float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return rate }
	}
	for name, c := range map[string]struct {
		rate  func(at time.Duration) float64
		sent  float64 // mean rate
		least float64 // minimum share of the sent requests, or of the quota, that is admitted
	}{
		"inside its quota":    {steady(hotTeam.Rate / 1.6), hotTeam.Rate / 1.6, 0.995},
		"five times its rate": {steady(hotTeam.Rate * 5), hotTeam.Rate * 5, 0.9},
		"in waves": {func(at time.Duration) float64 {
			return hotTeam.Rate * (5 + 4*math.Sin(2*math.Pi*at.Seconds()/1.7))
		}, hotTeam.Rate * 5, 0.9},
	} {
		r := rand.New(rand.NewPCG(1, 6))
		f := newRegions(hotTeam, 29, 29, 29)
		const step = 500 * time.Millisecond
		for at := time.Duration(0); at < 40*time.Second; at += step {
			f.load(r, at, at+step, c.rate(at), func() int { return r.IntN(87) })
		}
		late := 0
		for _, at := range f.admitted {
			if at.Sub(start) >= 10*time.Second {
				late++
			}
		}
		share := float64(late) / 30 / min(c.sent, hotTeam.Rate)
		t.Logf("%s: admitted share %.3f", name, share)
		if w := f.maxExcess(hotTeam); share < c.least || w > 0 {
			t.Errorf("%s: admitted share %.3f, want %.3f; %.1f requests over the limit", name, share, c.least, w)
		}
	}
}
