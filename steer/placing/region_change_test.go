package placing

import (
	"fmt"
	"testing"
	"time"
)

const (
	// maxRegionChange is the part of a region's requests that may run in another region
	// than before, from one window of windowLength to the next.
	maxRegionChange = 0.15
	// minComparedRequests is the number of requests in a window from which it counts.
	// Of fewer, chance alone moves as much.
	minComparedRequests = 100
	// windowOffset is the distance of the windows that are compared with those that
	// follow them.
	windowOffset = windowLength / 4
)

// Deployments whose first region has a fifth of the others' endpoints for the same
// demand.
func kano64(rate float64) load {
	return load{
		regions: []modelRegion{{"kaduna", 23, 10, 0.53}, {"kano", 21, 54, 0.2}, {"sokoto", 20, 44, 0.87}},
		slots:   3, queue: 9, memory: 13, cold: 880 * time.Millisecond, warm: 264 * time.Millisecond,
		goal: 600 * time.Millisecond, limit: 4 * time.Second, objects: 116, rate: rate, swing: 0.55, relayed: true, until: 30 * time.Second,
	}
}

func ganguly88(rate float64) load {
	return load{
		regions: []modelRegion{{"kolkata", 28, 30, 0.3}, {"siliguri", 28, 120, 0.63}, {"bardhaman", 32, 144, 0.97}},
		slots:   6, queue: 18, memory: 21, cold: 1160 * time.Millisecond, warm: 348 * time.Millisecond,
		goal: 800 * time.Millisecond, limit: 6 * time.Second, objects: 332, rate: rate, swing: 0.55, relayed: true, until: 30 * time.Second,
	}
}

func ganguly10(rate float64) load {
	l := ganguly(rate)
	l.regions = []modelRegion{{"kolkata", 4, 2, 0.3}, {"siliguri", 3, 8, 0.63}, {"bardhaman", 3, 8, 0.97}}
	l.swing = 0.55
	return l
}

// withCallersAway lets half of the first region's callers leave for two seconds.
func withCallersAway(l load) load {
	l.move = span{15 * time.Second, 17 * time.Second}
	return l
}

// withBurst doubles the demand for three seconds.
func withBurst(l load) load {
	l.burst = span{12 * time.Second, 15 * time.Second}
	return l
}

// shares returns the share of each region in the requests of a window, and their
// number.
func shares(runs []runAt, from time.Duration) (map[string]float64, int) {
	count, n := make(map[string]float64), 0
	for _, r := range runs {
		if r.sentAt >= from && r.sentAt < from+windowLength {
			count[r.region]++
			n++
		}
	}
	for region := range count {
		count[region] /= float64(n)
	}
	return count, n
}

// regionChange is how much of a region's requests runs elsewhere than in the window before.
type regionChange struct {
	origin string
	at     time.Duration
	part   float64
}

func (s regionChange) String() string {
	return fmt.Sprintf("%.2f of %s's requests at %.1f s", s.part, s.origin, s.at.Seconds())
}

// largestRegionChange returns the largest change of all regions at any time.
func (m *model) largestRegionChange() regionChange {
	var largest regionChange
	for i, runs := range m.runs {
		for at := windowLength; at+windowLength <= m.until; at += windowOffset {
			before, n1 := shares(runs, at-windowLength)
			after, n2 := shares(runs, at)
			if n1 < minComparedRequests || n2 < minComparedRequests {
				continue
			}
			part := 0.0
			for region, share := range after {
				part += max(0, share-before[region])
			}
			if part > largest.part {
				largest = regionChange{m.regions[i].name, at, part}
			}
		}
	}
	return largest
}

// Whatever its callers do, a region's requests move to other regions slowly.
func TestDemandMovesRequestsBetweenRegionsSlowly(t *testing.T) {
	for _, c := range []struct {
		name string
		load load
	}{
		{"kano, 64 instances, quiet", withCallersAway(kano64(273))},
		{"kano, 64 instances, usual", withCallersAway(kano64(464))},
		{"kano, 64 instances, burst", withBurst(kano64(273))},
		{"ganguly, 88 instances, quiet", withCallersAway(ganguly88(852))},
		{"ganguly, 88 instances, usual", withCallersAway(ganguly88(1329))},
		{"ganguly, 10 instances, usual", withCallersAway(ganguly10(214))},
		{"ganguly, 10 instances, burst", withBurst(ganguly10(214))},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				checkRegionChange(t, c.load, seed)
			}
		})
	}
}

// Windows with hardly more requests than minComparedRequests, in which what single
// instances owe weighs most.
func TestRequestsOfSmallWindowsMoveSlowly(t *testing.T) {
	for _, seed := range []uint64{9, 15} {
		checkRegionChange(t, withCallersAway(kano64(273)), seed)
	}
	checkRegionChange(t, withCallersAway(ganguly10(214)), 26)
}

// checkRegionChange runs a load and checks the bound at any time.
func checkRegionChange(t *testing.T, l load, seed uint64) {
	t.Helper()
	m := newModel(l, seed)
	f := m.run(newPlaced(m))
	s := m.largestRegionChange()
	t.Logf("seed %d: %v; %v", seed, s, f)
	if s.part > maxRegionChange {
		t.Errorf("seed %d: %v move, %.2f allowed", seed, s, maxRegionChange)
	}
}
