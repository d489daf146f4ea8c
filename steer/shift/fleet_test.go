package shift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const simExchange = time.Second

var (
	simRoutes  = []string{"read", "book", "pay", "photo"}
	simDomains = []string{"kano-a", "kano-b", "kaduna-a", "kaduna-b", "sokoto-a", "sokoto-b"}
)

// request describes a request to a fault.
type request struct {
	at            time.Duration // time since the start of the shift
	route, domain string
	// load is the share of requests that the new version got in the last step.
	load float64
	// sinceRise is the time since that share last rose to a new maximum.
	sinceRise time.Duration
}

// fault returns the new version's failure probability and the factor on its
// latency.
type fault func(r request) (failing, slowness float64)

// strategy is a way of shifting traffic: this package or a baseline.
type strategy interface {
	choose(instance int, now time.Time) bool
	record(instance int, o Outcome)
	step(now time.Time)
	outcome() Phase
}

// traffic sends seeded requests through a strategy.
type traffic struct {
	seed           uint64
	step           time.Duration
	instances      int
	perSecond      float64 // requests per second over the fleet
	baseRate       float64 // failure rate of a good version
	shared         func(at time.Duration) float64
	fault          fault
	refuses        bool          // failures are refusals for lack of capacity
	outcomeDelay   time.Duration // delay of an outcome
	outcomesStopAt time.Duration // when outcomes of the new version stop; 0 means never
	length         time.Duration
}

// exposure counts the requests that hit a fault of the new version.
type exposure struct {
	faulty       uint64
	highestShare float64 // the new version's highest share in a step
}

type lateOutcome struct {
	at       time.Time
	instance int
	outcome  Outcome
}

// run sends requests through the strategy until the time or the shift ends.
func (tr *traffic) run(cfg *Config, s strategy) exposure {
	rng := rand.New(rand.NewPCG(tr.seed, 1))
	var seen exposure
	var late []lateOutcome
	var risenAt time.Time
	r := request{}
	meanArrivals := tr.perSecond * tr.step.Seconds() / float64(tr.instances*len(simRoutes))
	for now := epoch; now.Sub(epoch) < tr.length && s.outcome() < Done; now = now.Add(tr.step) {
		sent, total := 0.0, 0.0
		r.at = now.Sub(cfg.Start)
		r.sinceRise = now.Sub(risenAt)
		for i := range tr.instances {
			for _, r.route = range simRoutes {
				for range poisson(rng, meanArrivals) {
					r.domain = simDomains[rng.IntN(len(simDomains))]
					o := tr.serve(rng, s.choose(i, now), r, &seen)
					o.Sent = now
					total++
					if o.New {
						sent++
					}
					late = append(late, lateOutcome{now.Add(tr.outcomeDelay), i, o})
				}
			}
		}
		r.load = sent / max(total, 1)
		if r.load > 2*seen.highestShare {
			risenAt = now
		}
		seen.highestShare = max(seen.highestShare, r.load)
		late = tr.report(cfg, s, now, late)
		s.step(now)
	}
	return seen
}

// report records the outcomes that are due.
func (tr *traffic) report(cfg *Config, s strategy, now time.Time, late []lateOutcome) []lateOutcome {
	outcomesStopped := tr.outcomesStopAt > 0 && now.Sub(cfg.Start) >= tr.outcomesStopAt
	for len(late) > 0 && !late[0].at.After(now) {
		if !late[0].outcome.New || !outcomesStopped {
			s.record(late[0].instance, late[0].outcome)
		}
		late = late[1:]
	}
	return late
}

// serve simulates a request and returns its outcome.
func (tr *traffic) serve(rng *rand.Rand, isNew bool, r request, seen *exposure) Outcome {
	o := Outcome{Route: r.route, Domain: r.domain, New: isNew}
	failing, slowness := tr.baseRate, 1.0
	if tr.shared != nil {
		failing = max(failing, tr.shared(r.at))
	}
	if isNew && tr.fault != nil {
		f, slow := tr.fault(r)
		if f > 0 || slow > 1 {
			seen.faulty++
		}
		failing, slowness = max(failing, f), slow
	}
	o.Failed = rng.Float64() < failing
	if tr.refuses && o.Failed {
		o.Domain = ""
	}
	o.Latency = time.Duration(float64(20*time.Millisecond) * slowness * math.Exp(0.35*rng.NormFloat64()))
	return o
}

// poisson draws a number of arrivals from a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		p *= rng.Float64()
		n++
	}
	return n
}

// fleet runs the package's controllers with a common row and exchanged reports.
type fleet struct {
	controllers []*Controller
	row         Record
	version     uint64
	exchangedAt time.Time
}

func newFleet(cfg Config, instances int) *fleet {
	f := &fleet{}
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	for _, name := range names {
		c, err := New(cfg, name, epoch)
		if err != nil {
			panic(err)
		}
		c.SetLiveInstances(names)
		f.controllers = append(f.controllers, c)
	}
	return f
}

func (f *fleet) choose(i int, now time.Time) bool { return f.controllers[i].ChooseNew(now) }
func (f *fleet) record(i int, o Outcome)          { f.controllers[i].RecordOutcome(o) }
func (f *fleet) outcome() Phase                   { return f.row.Phase }

func (f *fleet) step(now time.Time) {
	exchange := now.Sub(f.exchangedAt) >= simExchange
	for _, c := range f.controllers {
		if c.Tick(now) {
			f.sendReport(now, c)
		}
	}
	for _, c := range f.controllers {
		if exchange {
			c.ObserveRecord(now, f.row, f.version)
			f.sendReport(now, c)
		}
		if p, ok := c.Propose(now); ok {
			f.commit(now, c, p)
		}
	}
	if exchange {
		f.exchangedAt = now
	}
}

func (f *fleet) commit(now time.Time, c *Controller, p Proposal) bool {
	if p.ExpectedVersion != f.version {
		return false
	}
	f.row = p.Record
	f.version++
	c.ObserveRecord(now, f.row, f.version)
	return true
}

func (f *fleet) sendReport(now time.Time, from *Controller) {
	s := from.Report(now)
	for _, c := range f.controllers {
		c.ReceiveReport(now, s)
	}
}
