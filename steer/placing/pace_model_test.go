package placing

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// churn is when endpoints of the model join or come back.
type churn struct {
	every  int  // which endpoints of each region churn: every n-th
	absent span // when they take no connections
	// restart is whether they come back as new processes, cold and without objects in
	// memory. Otherwise they only take no connections for some time.
	restart bool
}

// Times of the model's churn.
const (
	modelColdFor = 3 * time.Second
	// modelListDelay is the age of the list of endpoints that instances have.
	modelListDelay = 900 * time.Millisecond
	// churnWindow is the time after the return in which callers and loads are watched.
	churnWindow = 10 * time.Second
)

// churned is the state of an endpoint that joins or comes back.
type churned struct {
	watched, down bool
	life          int // counts its processes
	coldUntil     time.Duration
	most          int // the largest number of requests there since it is back
	arrivals      []time.Duration
	answers       []time.Duration
}

// fail ends a request whose connection was refused or broke.
func (m *model) fail(r *modelRequest) {
	r.load, r.workTime = -1, -1
	m.after(r.roundTrip/2, func() {
		r.at.sent--
		m.policy.done(m, r, OutcomeUnreachable)
		m.refuse(r, 0)
	})
}

// recordArrival records a request that reaches the endpoint.
func (e *modelEndpoint) recordArrival(m *model) {
	if c := &e.churned; c.watched && m.now >= m.churn.absent.to {
		c.most = max(c.most, e.running+len(e.waiting)+1)
		if m.now < c.coldUntil {
			c.arrivals = append(c.arrivals, m.now)
		}
	}
}

// recordAnswer records an answer of the endpoint.
func (e *modelEndpoint) recordAnswer(m *model) { e.churned.answers = append(e.churned.answers, m.now) }

// scheduleChurn lets the endpoints of a load go and come back.
func (m *model) scheduleChurn(p *placed) {
	n := map[string]int{}
	var churning []*modelEndpoint
	for _, e := range m.endpoints {
		if n[e.region]++; n[e.region]%m.churn.every == 0 {
			e.churned.watched = true
			churning = append(churning, e)
		}
	}
	m.after(m.churn.absent.from, func() {
		for _, e := range churning {
			e.churned.down = true
			if m.churn.restart {
				e.churned.life++
				waiting := e.waiting
				e.running, e.waiting, e.known = 0, nil, nil
				for _, r := range waiting {
					m.fail(r)
				}
			}
		}
	})
	m.after(m.churn.absent.to, func() {
		for _, e := range churning {
			e.churned.down = false
			if m.churn.restart {
				e.StartMS++
				e.churned.coldUntil = m.now + modelColdFor
				e.ColdUntil = m.clock().Add(modelColdFor)
			}
		}
	})
	list := func() {
		var all []catalog.Endpoint
		for _, e := range m.endpoints {
			if !m.churn.restart || !e.churned.down {
				all = append(all, e.Endpoint)
			}
		}
		for _, placer := range p.placers {
			placer.SetEndpoints(m.clock(), all)
		}
	}
	m.after(m.churn.absent.from+modelListDelay, list)
	m.after(m.churn.absent.to+modelListDelay, list)
}

// churnFigures are the results of a run with churn.
type churnFigures struct {
	inGoal, late, refused, requests int
	mostAt                          int           // requests at one endpoint that came back
	mostColdInSecond                int           // requests that one got in a second while cold
	share                           time.Duration // mean time until one carries four fifths of its share
}

func (f churnFigures) String() string {
	return fmt.Sprintf("in goal %d, late %d, refused %d of %d; carries its share after %.1f s, most requests there %d, most in a second while cold %d",
		f.inGoal, f.late, f.refused, f.requests, f.share.Seconds(), f.mostAt, f.mostColdInSecond)
}

// runChurn runs a load with churn and with or without pace.
func runChurn(l load, seed uint64, paced bool) churnFigures {
	rules := DefaultRules()
	rules.Pace = paced
	m := newModel(l, seed)
	p := newPlacedWith(m, 4, rules)
	m.scheduleChurn(p)
	m.run(p)
	var f churnFigures
	for i, w := range m.windows {
		if at := time.Duration(i) * windowLength; at >= l.churn.absent.from && at < l.churn.absent.to+churnWindow {
			f.inGoal, f.late, f.refused, f.requests = f.inGoal+w.inGoal, f.late+w.late, f.refused+w.refused, f.requests+w.requests
		}
	}
	n := 0
	for _, e := range m.endpoints {
		c := e.churned
		if !c.watched {
			continue
		}
		n++
		f.mostAt = max(f.mostAt, c.most)
		for i := range c.arrivals {
			inSecond, _ := slices.BinarySearch(c.arrivals[i:], c.arrivals[i]+time.Second)
			f.mostColdInSecond = max(f.mostColdInSecond, inSecond)
		}
		f.share += m.timeToShare(e)
	}
	f.share /= time.Duration(n)
	return f
}

// timeToShare returns how long after its return an endpoint first answers, within a
// second, four fifths of what the others of its region answer in that second.
func (m *model) timeToShare(e *modelEndpoint) time.Duration {
	const step = 100 * time.Millisecond
	in := func(answers []time.Duration, from time.Duration) int {
		a, _ := slices.BinarySearch(answers, from)
		b, _ := slices.BinarySearch(answers, from+time.Second)
		return b - a
	}
	for at := m.churn.absent.to; at < m.until-time.Second; at += step {
		others, n := 0, 0
		for _, other := range m.endpoints {
			if other.region == e.region && !other.churned.watched {
				others, n = others+in(other.churned.answers, at), n+1
			}
		}
		if float64(in(e.churned.answers, at)) >= 0.8*float64(others)/float64(n) {
			return at + time.Second - m.churn.absent.to
		}
	}
	return m.until - m.churn.absent.to
}

// withChurn lets every n-th endpoint go and come back.
func withChurn(l load, n int, restart bool) load {
	l.churn = churn{every: n, absent: span{14 * time.Second, 18 * time.Second}, restart: restart}
	l.until = 32 * time.Second
	return l
}

func TestTrialChurn(t *testing.T) {
	for name, l := range map[string]load{
		"kano 61 restart":     withChurn(kano(61), 3, true),
		"kano 61 cut":         withChurn(kano(61), 3, false),
		"ganguly 214 restart": withChurn(ganguly(214), 4, true),
		"donor 700 restart":   withChurn(donor(700), 7, true),
		"donor 700 cut":       withChurn(donor(700), 7, false),
		"donor 1140 restart":  withChurn(donor(1140), 7, true),
		"donor 1140 cut":      withChurn(donor(1140), 7, false),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, paced := range []bool{false, true} {
				t.Logf("%-20s pace %-5v: %v", name, paced, runChurn(l, 1, paced))
			}
		})
	}
}

var _ = fnv.New64a
