package placing

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// recorded writes each choice of a policy to a stream.
type recorded struct {
	*placed
	to io.Writer
}

func (p recorded) choose(m *model, r *modelRequest) (*modelEndpoint, time.Duration) {
	e, retry := p.placed.choose(m, r)
	if e == nil {
		fmt.Fprintln(p.to, m.now, "refused", retry)
		return e, retry
	}
	fmt.Fprintln(p.to, m.now, e.ID, int64(r.choice.Expected), int64(r.choice.Nominal), int64(r.choice.QueueWait))
	return e, retry
}

// Guards against the fourth figure changing anything for endpoints that do not send
// it. The sums are those of the choices before it was read (824bc03, amd64).
func TestChoicesWithoutTheFourthFigureAreUnchanged(t *testing.T) {
	for name, c := range map[string]struct {
		load load
		want string
	}{
		"kano, waves":       {withWaves(kano(80)), "7b964bcf94532bd8"},
		"ganguly, heaviest": {ganguly(400), "0235ed47d2fdebf2"},
		"kano, slow":        {withSlowMoments(kano(80)), "77b2124c8ab36503"},
	} {
		m, sum := newModel(c.load, 1), fnv.New64a()
		f := m.run(recorded{newPlaced(m), sum})
		if got := fmt.Sprintf("%016x", sum.Sum64()); got != c.want {
			t.Errorf("%s: sum of the choices %s, want %s; %v", name, got, c.want, f)
		}
	}
}

// withSlowMoments lets endpoints be slow at moments and some requests need more work.
func withSlowMoments(l load) load {
	l.slowFor, l.slowShare, l.slowFactor = 600*time.Millisecond, 0.15, 2.5
	l.tails, l.tailFactor = 0.03, 7
	return l
}

// donor is a deployment of the size of the users' largest.
func donor(rate float64) load {
	return withSlowMoments(load{
		regions: []modelRegion{{"midtjylland", 46, 14, 0.3}, {"fyn", 46, 59, 0.63}, {"jylland", 47, 59, 0.97}},
		slots:   4, queue: 12, memory: 21, cold: 450 * time.Millisecond, warm: 150 * time.Millisecond,
		goal: 400 * time.Millisecond, limit: 2500 * time.Millisecond, objects: 300, rate: rate, swing: 0.55, relayed: true, until: 30 * time.Second,
	})
}

// Guards against herding: instances that know the same reports would all send their
// requests to the endpoint whose figure is lowest by a hair.
func TestInstancesWithTheSameReportsSpread(t *testing.T) {
	const instances, endpoints, each = 60, 6, 3
	entries, sent := testEntries(endpoints), make(map[string]int)
	for i := range instances {
		name := fmt.Sprint("instance ", i)
		now := time.Unix(1000, 0)
		p := New(DefaultRules(), Locality{Self: name, Random: rand.NewPCG(hashOf(name), 0)})
		p.SetEndpoints(now, entries)
		var tried []catalog.Incarnation
		var choices []*Choice
		for range endpoints {
			q := restrictionQuery
			q.Tried = tried
			c, err := p.Choose(now, q)
			if err != nil {
				t.Fatal(err)
			}
			tried, choices = append(tried, c.Endpoint.Incarnation()), append(choices, c)
		}
		now = now.Add(300 * time.Millisecond)
		for _, c := range choices {
			figure := 1.0
			if c.Endpoint.ID == entries[endpoints/2].ID {
				figure = 0.99
			}
			p.DoneWith(now, c, OutcomeAnswered, 300*time.Millisecond, Report{Requests: 1, WorkTime: figure})
		}
		for range each {
			c, err := p.Choose(now, restrictionQuery)
			if err != nil {
				t.Fatal(err)
			}
			sent[c.Endpoint.ID]++
		}
	}
	t.Log(sent)
	for id, n := range sent {
		if n > 2*instances*each/endpoints {
			t.Errorf("%s gets %d of %d requests, a fair part is %d", id, n, instances*each, instances*each/endpoints)
		}
	}
}

// Guards against a half-life beyond the age at which a figure errs as much as the mean,
// and against one so short that figures are hardly used.
func TestHalfLifeFitsSlowMoments(t *testing.T) {
	halfLife := DefaultRules().WorkTimeHalfLife
	for _, c := range []struct {
		age   time.Duration
		serve bool // figures of that age serve better than the mean
	}{{halfLife, true}, {2 * halfLife, false}} {
		l := withSlowMoments(kano(0.001))
		l.until = 10 * time.Minute
		m := newModel(l, 1)
		var pairs [][2]float64
		m.after(0, func() { m.sample(c.age, &pairs) })
		m.run(newPlaced(m))
		mean, ofFigure, ofMean := 0.0, 0.0, 0.0
		for _, p := range pairs {
			mean += p[1] / float64(len(pairs))
		}
		for _, p := range pairs {
			ofFigure += (p[1] - p[0]) * (p[1] - p[0]) / float64(len(pairs))
			ofMean += (p[1] - mean) * (p[1] - mean) / float64(len(pairs))
		}
		t.Logf("age %v: mean square error of the figure %.3f, of the mean %.3f", c.age, ofFigure, ofMean)
		if (ofFigure < ofMean) != c.serve {
			t.Errorf("figures of age %v serve better than the mean: %t, want %t", c.age, !c.serve, c.serve)
		}
	}
}

// sample notes the work times of all endpoints once a second, each with the one after
// a time.
func (m *model) sample(age time.Duration, pairs *[][2]float64) {
	for _, e := range m.endpoints {
		before := m.workTime(e)
		m.after(age, func() { *pairs = append(*pairs, [2]float64{before, m.workTime(e)}) })
	}
	if m.now < m.until {
		m.after(time.Second, func() { m.sample(age, pairs) })
	}
}

// Guards against the reports being left out: callers get fewer answers in time beside
// endpoints with slow moments, without the fourth figure and without any.
func TestCallersBesideSlowMoments(t *testing.T) {
	for _, c := range []struct {
		name       string
		load       load
		seeds      uint64
		gain       float64 // answers in the goal, of 100, that the fourth figure brings at least
		gainOfRead float64 // and all four
		least      float64 // answers in the goal, of 100, with all four
	}{
		{"ganguly, 10 instances", withSlowMoments(ganguly(320)), 4, 4, 8, 70},
		{"donor, 139 instances", donor(1140), 1, -3, 10, 70},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			inGoal := make(map[int]float64)
			for _, read := range []int{0, 3, 4} {
				var all figures
				for seed := range c.seeds {
					m := newModel(c.load, seed)
					f := m.run(newPlacedWith(m, read, DefaultRules()))
					all.requests, all.inGoal, all.late, all.refused = all.requests+f.requests, all.inGoal+f.inGoal, all.late+f.late, all.refused+f.refused
				}
				of := func(n int) float64 { return 100 * float64(n) / float64(all.requests) }
				inGoal[read] = of(all.inGoal)
				t.Logf("%d figures read: of 100 %.1f in the goal, %.1f late, %.1f refused", read, of(all.inGoal), of(all.late), of(all.refused))
			}
			if gain := inGoal[4] - inGoal[3]; gain < c.gain {
				t.Errorf("the fourth figure brings %.1f of 100 into the goal, want %.1f", gain, c.gain)
			}
			if inGoal[4] < c.least {
				t.Errorf("%.1f of 100 in the goal, want %.1f", inGoal[4], c.least)
			}
			if gain := inGoal[4] - inGoal[0]; gain < c.gainOfRead {
				t.Errorf("the reports bring %.1f of 100 into the goal, want %.1f", gain, c.gainOfRead)
			}
		})
	}
}

// Guards against a slowdown that counts twice, as a report and as an observation, and
// against one that no report explains being lost.
func TestSlowdownsAreLearnedBeyondReports(t *testing.T) {
	for _, c := range []struct {
		atChoice, withAnswer, ratio float64 // ratio of observed to expected work
		want                        float64
	}{
		{1, 1, 1, 1},
		{1, 2.5, 2.5, 1},      // became slow
		{1, 2.5, 1.5, 1},      // became slow while the request ran
		{2.5, 1, 0.4, 1},      // is no longer slow
		{2.5, 2.5, 1, 1},      // is slow as expected
		{1, 2.5, 5, 2},        // is slower than it says
		{2.5, 1, 0.2, 0.5},    // is faster than it said
		{0.25, 0, 4, 4},       // says that it is fast
		{1, 1e4, 3, 1},        // says that it is very slow
		{30, 1e4, 0.01, 0.01}, // is not
	} {
		choice := Choice{workTime: c.atChoice}
		if got := c.ratio / choice.explained(c.ratio, c.withAnswer); got < 0.99*c.want || got > 1.01*c.want {
			t.Errorf("%+v: unexplained ratio %.2f", c, got)
		}
	}
}

// Guards against an endpoint that draws requests by reporting that it is fast.
func TestEndpointThatReportsTooLittleGetsFewRequests(t *testing.T) {
	now, sent := time.Unix(1000, 0), make(map[string]int)
	p := testPlacer(now, testEntries(2))
	const requests = 60
	for i := range 2 * requests { // the first half for learning the usual work
		q := restrictionQuery
		if i < requests {
			q.Tried = []catalog.Incarnation{{ID: fmt.Sprint("e", i%2), StartMS: 1}}
		}
		c, err := p.Choose(now, q)
		if err != nil {
			t.Fatal(err)
		}
		took, report := 300*time.Millisecond, Report{Requests: 1, WorkTime: 1}
		if i >= requests {
			sent[c.Endpoint.ID]++
			if c.Endpoint.ID == "e0" {
				took, report.WorkTime = 900*time.Millisecond, 0
			}
		}
		now = now.Add(took)
		p.DoneWith(now, c, OutcomeAnswered, took, report)
	}
	t.Log(sent)
	if sent["e0"] > requests/3 {
		t.Errorf("the slower endpoint gets %d of %d requests", sent["e0"], requests)
	}
}

// Guards against an extreme report stopping or drawing all requests, against reports
// that do not age, and against allocations for each endpoint.
func TestReportsAreBoundedAndAge(t *testing.T) {
	now, halfLife := time.Unix(1000, 0), DefaultRules().WorkTimeHalfLife
	for reported, want := range map[float64]float64{0: 0.25, 0.1: 0.25, 0.5: 0.5, 2.5: 2.5, 30: 30, 1e4: 30} {
		e := &endpoint{meanWorkTime: 1}
		e.setWorkTime(now, reported)
		if got := e.workTimeOf(now, halfLife); got != want {
			t.Errorf("a report of %v counts as %v, want %v", reported, got, want)
		}
		half := e.meanWorkTime + (want-e.meanWorkTime)/2
		if got := e.workTimeOf(now.Add(halfLife), halfLife); math.Abs(got-half) > 1e-9 {
			t.Errorf("a report of %v counts as %v after the half-life, want %v", reported, got, half)
		}
		if got := e.workTimeOf(now.Add(time.Minute), halfLife); got != e.meanWorkTime {
			t.Errorf("a report of %v counts as %v after a minute, want the mean %v", reported, got, e.meanWorkTime)
		}
	}
	allocations := func(workTime float64) float64 {
		p := New(DefaultRules(), Locality{Self: "i", Random: rand.NewPCG(1, 1)})
		p.SetEndpoints(now, testEntries(150))
		for _, e := range p.group("s").ordered {
			e.setWorkTime(now, workTime)
		}
		return testing.AllocsPerRun(100, func() {
			c, err := p.Choose(now, restrictionQuery)
			if err != nil {
				t.Fatal(err)
			}
			p.Done(now, c, OutcomeUnknown, 0, -1)
		})
	}
	if with, without := allocations(1), allocations(-1); with > without {
		t.Errorf("%v allocations with reports, %v without", with, without)
	}
}

// Guards against one extreme report keeping requests away for seconds.
func TestOneExtremeReportIsForgotten(t *testing.T) {
	now, rules := time.Unix(1000, 0), DefaultRules()
	e := &endpoint{slowdown: 1, meanWorkTime: 1, decayedAt: now}
	e.setWorkTime(now, 1e4)
	if got := e.workTimeOf(now, rules.WorkTimeHalfLife); got != maxSlowdown {
		t.Errorf("the report counts as %v at once, want %v", got, maxSlowdown)
	}
	now = now.Add(2 * time.Second)
	e.decay(now, rules.OutcomeHalfLife)
	if got := e.workTimeOf(now, rules.WorkTimeHalfLife); got > 1.5 {
		t.Errorf("the report counts as %v after 2 s, want at most 1.5", got)
	}
}
