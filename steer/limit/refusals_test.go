package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// warmUp is the time that the shares need to follow the demand.
const warmUp = 60 * time.Second

// evictAfter returns the longest time from a crash until the units have moved: one
// round of reads, the lease with its guard as the other members count it, and
// three calls to the table after it.
func evictAfter() time.Duration {
	s := membership.DefaultSettings()
	const calls = 3 * 60 * time.Millisecond
	return s.Lease + s.Guard + s.Heartbeat + calls
}

// measure runs the simulation for d and returns the counts for that period.
func (m *simulation) measure(t *testing.T, desc string, d time.Duration) tally {
	t.Helper()
	for _, r := range m.tallies {
		*r = tally{}
	}
	m.writes, m.loanRequests = 0, 0
	m.run(m.now + d)
	var sum tally
	for _, tm := range m.teams {
		r := m.tallies[tm.name]
		r.endWindow()
		sum.offered += r.offered
		sum.wrongful += r.wrongful
		sum.staticWrongful += r.staticWrongful
		t.Logf("%s: %-9s wrongful %.2f%%, static split %.2f%%, of %d", desc, tm.name, r.wrongfulPercent(), r.staticPercent(), r.offered)
	}
	t.Logf("%s: all       wrongful %.3f%%, static split %.2f%%, of %d; row writes %.2f/s, loans requested %.2f/s", desc,
		sum.wrongfulPercent(), sum.staticPercent(), sum.offered, float64(m.writes)/d.Seconds(), float64(m.loanRequests)/d.Seconds())
	return sum
}

func TestStillDemandIsNeverRefused(t *testing.T) {
	for _, n := range []int{8, 10} {
		m := newSimulation(n, 1, eightTeams())
		m.run(warmUp)
		if sum := m.measure(t, fmt.Sprint(n), 5*time.Minute); sum.wrongful > 0 {
			t.Errorf("%d instances: %d wrongful refusals, want none", n, sum.wrongful)
		}
	}
}

func TestSmallestTeamIsServedLikeTheLargest(t *testing.T) {
	for _, n := range []int{8, 10} {
		m := newSimulation(n, 1, burstyTeams())
		m.run(warmUp)
		m.measure(t, fmt.Sprint(n), 5*time.Minute)
		smallest, largest := m.tallies["smallest"].wrongfulPercent(), m.tallies["large-1"].wrongfulPercent()
		if smallest > largest+1 {
			t.Errorf("%d instances: smallest %.2f%%, largest %.2f%%, want at most one point more", n, smallest, largest)
		}
	}
}

func TestRefusalsAfterADeath(t *testing.T) {
	for _, n := range []int{8, 10} {
		for dead := range n {
			m := newSimulation(n, 1, eightTeams())
			m.run(warmUp)
			m.crash(m.instances[dead], evictAfter())
			if sum := m.measure(t, fmt.Sprintf("%d, %s dies", n, m.instances[dead].Name), 30*time.Second); sum.wrongfulPercent() > 2 {
				t.Errorf("%d instances, %s dies: %.2f%%, want at most 2%%", n, m.instances[dead].Name, sum.wrongfulPercent())
			}
		}
	}
}

func TestPlannedStopCausesNoRefusals(t *testing.T) {
	m := newSimulation(10, 1, eightTeams())
	m.run(warmUp)
	for i := range 6 {
		m.after(time.Duration(i)*10*time.Second, func() { m.drain(m.instances[i]) })
	}
	if sum := m.measure(t, "six leave", 90*time.Second); sum.wrongful > 0 {
		t.Errorf("%d wrongful refusals, want none", sum.wrongful)
	}
}

func TestAnHourWithoutTheTable(t *testing.T) {
	m := newSimulation(10, 1, eightTeams())
	m.run(warmUp)
	m.tableDown = true
	if sum := m.measure(t, "table down", time.Hour); sum.wrongfulPercent() > 1 {
		t.Errorf("%.2f%%, want at most 1%%", sum.wrongfulPercent())
	}
}

func TestHomesAgainstAnyInstance(t *testing.T) {
	var sums [2]tally
	var loanRequests [2]int
	for i, anyInstance := range []bool{false, true} {
		m := newSimulation(10, 1, burstyTeams())
		m.anyInstance = anyInstance
		m.run(warmUp)
		sums[i] = m.measure(t, fmt.Sprintf("any instance: %v", anyInstance), 5*time.Minute)
		loanRequests[i] = m.loanRequests
	}
	if sums[0].wrongful > sums[1].wrongful || loanRequests[0] >= loanRequests[1] {
		t.Errorf("homes: %d wrongful, %d loans; any instance: %d, %d", sums[0].wrongful, loanRequests[0], sums[1].wrongful, loanRequests[1])
	}
	if sums[1].wrongful >= sums[1].staticWrongful {
		t.Errorf("shares: %d wrongful, static split: %d", sums[1].wrongful, sums[1].staticWrongful)
	}
}
