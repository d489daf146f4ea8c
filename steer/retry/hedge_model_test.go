package retry

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The model of docs/design/second-attempts.md: one idempotent request, without queues,
// at an endpoint with slow moments, and a second attempt at another endpoint after some
// time. The first response wins and ends the other attempt. Times are in milliseconds.

// Figures of docs/HARD-LOAD.md.
const (
	heavyShare  = 0.03 // of the requests
	heavyFactor = 7.0
	slowShare   = 0.15 // of an endpoint's time
	slowFactor  = 2.5
	slowMean    = 600.0
	warmFactor  = 1.0 / 3 // work on an object that is warm, in that on a cold one
	remoteTime  = 2.0     // round trips of an attempt
)

// hedgedKind is a kind of idempotent requests.
type hedgedKind struct {
	name              string
	work, goal, limit float64
	late              float64 // worth if late, in that if in time
}

var hedgedKinds = []hedgedKind{
	{"slot-lookup", 410, 400, 2500, 0.2},
	{"clinic-daylist", 1000, 800, 6000, 0.2},
}

// slowMoments is an endpoint that is slow from time to time.
type slowMoments struct {
	random *rand.Rand
	slow   bool
}

func newSlowMoments(r *rand.Rand) *slowMoments { return &slowMoments{r, r.Float64() < slowShare} }

// run returns how long some work takes from now on.
func (s *slowMoments) run(work float64) float64 {
	elapsed := 0.0
	for {
		mean, factor := slowMean*(1-slowShare)/slowShare, 1.0
		if s.slow {
			mean, factor = slowMean, slowFactor
		}
		period := s.random.ExpFloat64() * mean
		if work*factor <= period {
			return elapsed + work*factor
		}
		elapsed += period
		work -= period / factor
		s.slow = !s.slow
	}
}

// modelRequest is a request and how long its attempts take.
type modelRequest struct {
	expected      float64 // of the first attempt, when it is sent
	first, second float64
	avoided       float64 // first, if an endpoint is chosen that is not slow at that moment
}

// hedgedCase is what the page leaves open.
type hedgedCase struct {
	name             string
	spread           float64 // standard deviation of the logarithm of a request's work
	warm, secondWarm float64 // probability that the object is warm at each endpoint
	lost             float64 // probability that the first attempt gets no answer
}

// newModelRequest draws a request.
func newModelRequest(r *rand.Rand, k hedgedKind, c hedgedCase) modelRequest {
	factor := math.Exp(r.NormFloat64()*c.spread - c.spread*c.spread/2)
	if r.Float64() < heavyShare {
		factor *= heavyFactor
	}
	factor /= 1 + heavyShare*(heavyFactor-1) // the mean is that of the kind
	work := func(warm float64) float64 {
		if r.Float64() < warm {
			return k.work * warmFactor
		}
		return k.work
	}
	first := work(c.warm)
	m := modelRequest{
		expected: first + remoteTime,
		first:    newSlowMoments(r).run(first*factor) + remoteTime,
		second:   newSlowMoments(r).run(work(c.secondWarm)*factor) + remoteTime,
		avoided:  (&slowMoments{random: r}).run(first*factor) + remoteTime,
	}
	if r.Float64() < c.lost {
		m.first, m.avoided = math.Inf(1), math.Inf(1)
	}
	return m
}

// hedgeResult is what a rule for second attempts yields for each request.
type hedgeResult struct {
	worth, inTime float64
	hedges        float64
	slotTime      float64 // in all attempts
	won           float64 // share of the second attempts that responded first
}

// tryRule applies a rule, which returns after what time a second attempt begins.
func tryRule(k hedgedKind, requests []modelRequest, rule func(modelRequest) float64) hedgeResult {
	var sum hedgeResult
	for _, r := range requests {
		delay, end := rule(r), min(r.first, k.limit)
		if delay < end {
			sum.hedges++
			if delay+r.second < end {
				end = delay + r.second
				sum.won++
			}
			sum.slotTime += end - delay
		}
		sum.slotTime += end
		switch {
		case end <= k.goal:
			sum.worth++
			sum.inTime++
		case end < k.limit:
			sum.worth += k.late
		}
	}
	n := float64(len(requests))
	return hedgeResult{sum.worth / n, sum.inTime / n, sum.hedges / n, sum.slotTime / n, sum.won / max(sum.hedges, 1)}
}

// percentile returns a percentile of the first attempts' times.
func percentile(requests []modelRequest, p float64) float64 {
	var all []float64
	for _, r := range requests {
		all = append(all, r.first)
	}
	slices.Sort(all)
	return all[int(p*float64(len(all)))]
}

// hedgePays is the worth that a second of slot time must yield for a second attempt: as
// much as the first attempts do on average. Where slots are short, an attempt takes the
// place of another request's.
func hedgePays(rule, none hedgeResult) float64 {
	extra := rule.slotTime - none.slotTime
	if extra <= 0 {
		return math.Inf(1)
	}
	return (rule.worth - none.worth) / extra / (none.worth / none.slotTime)
}

// The figures on which docs/design/second-attempts.md rests. If a second attempt after
// the 95th percentile begins to pay, the note and the rule of front/gateway are to be
// reconsidered.
func TestSecondAttemptsAfterAPercentile(t *testing.T) {
	const n = 100_000
	for _, k := range hedgedKinds {
		for _, c := range []hedgedCase{
			{"warm at both", 0.25, 0.8, 0.8, 0},
			{"cold at the second", 0.25, 0.8, 0, 0},
			{"cold at both", 0.25, 0, 0, 0},
			{"wide spread, cold at the second", 0.6, 0.8, 0, 0},
			{"2 % lost, warm at both", 0.25, 0.8, 0.8, 0.02},
			{"2 % lost, cold at the second", 0.25, 0.8, 0, 0.02},
			{"2 % lost, cold at both", 0.25, 0, 0, 0.02},
		} {
			random := rand.New(rand.NewPCG(1, 2))
			requests, avoiding := make([]modelRequest, n), make([]modelRequest, n)
			for i := range requests {
				requests[i] = newModelRequest(random, k, c)
				avoiding[i] = requests[i]
				avoiding[i].first = requests[i].avoided
			}
			p95, p99 := percentile(requests, 0.95), percentile(requests, 0.99)
			never := func(modelRequest) float64 { return math.Inf(1) }
			none, avoided := tryRule(k, requests, never), tryRule(k, avoiding, never)
			t.Logf("%s, %s: worth %.4f, in time %.4f, %.0f ms of slots, p95 %.0f p99 %.0f", k.name, c.name, none.worth, none.inTime, none.slotTime, p95, p99)
			t.Logf("  %-8s worth %+.4f, in time %+.4f, slots %+.1f ms", "avoided", avoided.worth-none.worth, avoided.inTime-none.inTime, avoided.slotTime-none.slotTime)
			today := func(r modelRequest) float64 { return max(2.5*r.expected, 0.8*k.goal) }
			gains := make(map[string]float64)
			for _, rule := range []struct {
				name string
				rule func(modelRequest) float64
			}{
				{"today", today},
				{"p95", func(modelRequest) float64 { return p95 }},
				{"p99", func(modelRequest) float64 { return p99 }},
				{"late", func(r modelRequest) float64 { return max(today(r), min(8*r.expected, k.limit-2.5*k.work)) }},
			} {
				got := tryRule(k, requests, rule.rule)
				gains[rule.name] = got.worth - none.worth
				t.Logf("  %-8s worth %+.4f, in time %+.4f, second attempts %.3f (won %.2f), slots %+.1f ms, pays %.2f",
					rule.name, gains[rule.name], got.inTime-none.inTime, got.hedges, got.won, got.slotTime-none.slotTime, hedgePays(got, none))
			}
			if gains["p95"] > gains["today"]+0.001 {
				t.Errorf("%s, %s: after the 95th percentile worth %+.4f, today's rule %+.4f", k.name, c.name, gains["p95"], gains["today"])
			}
			if c.lost == 0 && gains["p95"] > 0.1*(avoided.worth-none.worth) {
				t.Errorf("%s, %s: after the 95th percentile worth %+.4f, avoiding slow moments %+.4f", k.name, c.name, gains["p95"], avoided.worth-none.worth)
			}
		}
	}
}
