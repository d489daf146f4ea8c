package capacity

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
	"github.com/cardamomfront/cardamomfront/steer/entry"
	"github.com/cardamomfront/cardamomfront/steer/limit"
	"github.com/cardamomfront/cardamomfront/steer/locate"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/share"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// Units of cost.
const (
	unitNanos = "ns of processor time"
	unitBytes = "bytes"
)

// seed makes every run measure the same data.
const seed = 20261204

// sites is the number of sites that client blocks are distributed over.
const sites = 1100

// entryMeasures measure the choice of instances for callers.
func entryMeasures() []Measure {
	blocks := []int{275_000, 550_000, 825_000, 1_100_000}
	instances := []int{10, 20, 40, 80}
	return []Measure{
		{Name: "entries.answer", Unit: unitNanos, Size: "instances that callers may be sent to", Sizes: instances, CostAt: candidatesCost},
		{Name: "locate.memory", Unit: unitBytes, Size: "client blocks", Sizes: blocks, CostAt: func(n int) (float64, error) {
			changes := clientBlocks(n)
			return heapBytes(func() any { return locate.New(changes) }), nil
		}},
		{Name: "locate.lookup", Unit: unitNanos, Size: "client blocks", Sizes: blocks, CostAt: lookupCost},
		{Name: "locate.change", Unit: unitNanos, Size: "client blocks", Sizes: blocks, CostAt: applyCost},
	}
}

// clientBlocks returns n distinct client blocks. One in ten is an IPv6 /48. Of
// the others, three in four are an IPv4 /24 and the rest are shorter prefixes.
func clientBlocks(n int) []locate.Change {
	rng := rand.New(rand.NewPCG(seed, 0))
	seen := make(map[netip.Prefix]bool, n)
	changes := make([]locate.Change, 0, n)
	for len(changes) < n {
		block := clientBlock(rng)
		if seen[block] {
			continue
		}
		seen[block] = true
		changes = append(changes, locate.Change{Block: block, Site: locate.Site(rng.IntN(sites))})
	}
	return changes
}

// clientBlock returns one random block.
func clientBlock(rng *rand.Rand) netip.Prefix {
	const version6, version4 = 48, 24
	if rng.IntN(10) == 0 {
		var a [16]byte
		binary.BigEndian.PutUint64(a[:], 0x2001<<48|rng.Uint64()>>16)
		return netip.PrefixFrom(netip.AddrFrom16(a), version6).Masked()
	}
	bits := version4
	if rng.IntN(4) == 0 {
		bits -= 1 + rng.IntN(8)
	}
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], rng.Uint32())
	return netip.PrefixFrom(netip.AddrFrom4(a), bits).Masked()
}

func candidatesCost(n int) (float64, error) {
	instances := make([]entry.Instance, n)
	for i := range instances {
		instances[i] = entry.Instance{
			Name:          fmt.Sprintf("instance-%d", i),
			Region:        fmt.Sprintf("region-%d", i%10),
			FailureDomain: fmt.Sprintf("domain-%d", i%22),
		}
	}
	team := entry.Team{Name: "ward-01", Rate: 40}
	settings := entry.DefaultSettings()
	return nanosPerCall(func() { entry.Candidates(team, "region-1", "192.0.2.1", instances, settings) })
}

func lookupCost(n int) (float64, error) {
	changes := clientBlocks(n)
	table := locate.New(changes)
	rng := rand.New(rand.NewPCG(seed, 1))
	return nanosPerCall(func() { table.Locate(changes[rng.IntN(n)].Block.Addr()) })
}

func applyCost(n int) (float64, error) {
	changes := clientBlocks(n)
	table := locate.New(changes)
	rng := rand.New(rand.NewPCG(seed, 2))
	return nanosPerCall(func() {
		c := changes[rng.IntN(n)]
		c.Site = locate.Site(rng.IntN(sites))
		table = table.Apply([]locate.Change{c})
	})
}

// membershipMeasures measure the rows of instances and reading them.
func membershipMeasures() []Measure {
	return []Measure{
		{Name: "membership.row", Unit: unitBytes, Size: "teams with requests at the instance", Sizes: []int{2, 8, 16, 32}, CostAt: func(n int) (float64, error) {
			content, err := memberRecord(0, n).Encode()
			return float64(len(content)), err
		}},
		{Name: "membership.observe", Unit: unitNanos, Size: "instances", Sizes: []int{10, 20, 40, 80}, CostAt: observeCost},
	}
}

// memberRecord returns the record of an instance that serves requests of the
// given number of teams.
func memberRecord(i, teams int) membership.Record {
	r := membership.Record{
		Name:          fmt.Sprintf("kano-a-%036d", i),
		PeerAddress:   "127.0.0.11:7081",
		CallerURL:     "http://127.0.0.11:7080",
		Region:        "kano",
		FailureDomain: "kano-a",
		State:         membership.StateLive,
		Generation:    1,
		Witnesses:     []string{fmt.Sprintf("kano-b-%036d", i), fmt.Sprintf("kaduna-a-%036d", i)},
	}
	for t := range teams {
		r.Demand = append(r.Demand, membership.TeamDemand{Team: fmt.Sprintf("ward-%02d", t), Rate: 12.345})
	}
	return r
}

func observeCost(n int) (float64, error) {
	rows := make([]membership.Row, n)
	for i := range rows {
		rows[i] = membership.Row{Record: memberRecord(i, 8), Version: 1}
	}
	watch := membership.NewWatch(membership.DefaultSettings())
	now := time.Now()
	return nanosPerCall(func() {
		now = now.Add(time.Second)
		for i := range rows {
			rows[i].Version++
		}
		watch.Observe(now, rows)
	})
}

// shareMeasures measure the enforcement of team quotas.
func shareMeasures() []Measure {
	return []Measure{
		{Name: "share.row", Unit: unitBytes, Size: "holders of a team's rate", Sizes: []int{2, 4, 8, 16}, CostAt: func(n int) (float64, error) {
			var d share.Division
			for i := range n {
				d.Holdings = append(d.Holdings, share.Holding{Instance: fmt.Sprintf("kano-a-%036d", i), Units: share.TotalUnits / share.Units(n)})
			}
			content, err := d.Encode()
			return float64(len(content)), err
		}},
		{Name: "limit.allow", Unit: unitNanos, Size: "teams", Sizes: []int{8, 64, 512, 4096}, CostAt: allowCost},
		{Name: "limit.memory", Unit: unitBytes, Size: "teams", Sizes: []int{64, 512, 4096}, CostAt: func(n int) (float64, error) {
			return heapBytes(func() any { return newLimiter(n, time.Now()) }), nil
		}},
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%05d", i) }

// newLimiter returns a limiter that holds a share of each of n teams.
func newLimiter(n int, now time.Time) *limit.Limiter {
	l := limit.NewLimiter()
	quotas := make(map[string]limit.Quota, n)
	for i := range n {
		quotas[teamName(i)] = limit.Quota{Rate: 1e6, Burst: 1e6}
	}
	l.SetQuotas(now, quotas)
	l.SetLease(now.Add(time.Hour), 1)
	for i := range n {
		l.Observe(now, 1, teamName(i), 1, share.TotalUnits)
	}
	return l
}

func allowCost(n int) (float64, error) {
	now := time.Now()
	l := newLimiter(n, now)
	names := make([]string, n)
	for i := range names {
		names[i] = teamName(i)
	}
	i := 0
	return nanosPerCall(func() {
		now = now.Add(time.Microsecond)
		l.Allow(now, names[i%n])
		i++
	})
}

// attemptMeasures measure the records of requests that run at most once.
func attemptMeasures() []Measure {
	record := attempt.Record{ID: fmt.Sprintf("%036d", 1), Holder: fmt.Sprintf("kano-a-%036d", 1), State: attempt.StateDone, RequestDigest: fmt.Sprintf("%064d", 1)}
	return []Measure{
		{Name: "attempts.row", Unit: unitBytes, Size: "bytes of the kept answer", Sizes: []int{0, 512, 1024, 2048}, CostAt: func(n int) (float64, error) {
			record.Outcome = &attempt.Outcome{Status: 201, ContentType: "application/json", Body: make([]byte, n), Complete: true}
			content, err := record.Encode()
			return float64(len(content)), err
		}},
	}
}

// shiftMeasures measure the evaluation of a shift.
func shiftMeasures() []Measure {
	return []Measure{
		{Name: "shift.record", Unit: unitNanos, Size: "routes of the service", Sizes: []int{1, 4, 16}, CostAt: recordCost},
		{Name: "shift.tick", Unit: unitNanos, Size: "routes of the service", Sizes: []int{1, 4, 16}, CostAt: tickCost},
	}
}

// newController returns the controller of a shift in progress.
func newController(now time.Time) (*shift.Controller, error) {
	return shift.New(shift.Config{
		Name: "tracker-v2", Service: "tracker", From: "v1", To: "v2",
		Start:       now.Add(-time.Minute),
		Deadline:    now.Add(time.Hour),
		Stages:      []shift.Stage{{Cap: shift.Percent}, {Cap: shift.FullShare}},
		WatchPeriod: time.Minute,
		Tuning:      shift.DefaultTuning(),
	}, "instance-1", now)
}

// outcome returns the n-th of a series of outcomes over the given number of
// routes and two failure domains.
func outcome(n, routes int) shift.Outcome {
	return shift.Outcome{
		Route:   fmt.Sprintf("route-%d", n%routes),
		Domain:  fmt.Sprintf("kano-%c", 'a'+n%2),
		New:     n%10 == 0,
		Latency: time.Duration(5+n%7) * time.Millisecond,
	}
}

func recordCost(routes int) (float64, error) {
	c, err := newController(time.Now())
	if err != nil {
		return 0, err
	}
	outcomes := make([]shift.Outcome, 1024)
	for i := range outcomes {
		outcomes[i] = outcome(i, routes)
	}
	i := 0
	return nanosPerCall(func() {
		c.RecordOutcome(outcomes[i%len(outcomes)])
		i++
	})
}

func tickCost(routes int) (float64, error) {
	now := time.Now()
	c, err := newController(now)
	if err != nil {
		return 0, err
	}
	return nanosPerCall(func() {
		now = now.Add(100 * time.Millisecond)
		for i := range 100 {
			c.RecordOutcome(outcome(i, routes))
		}
		c.Tick(now)
	})
}
