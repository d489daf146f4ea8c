package placing

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// Outcome is how one attempt ended.
type Outcome uint8

const (
	// OutcomeAnswered means that the endpoint answered successfully.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the endpoint answered with a failure of its own
	// or broke off its response.
	OutcomeFailed
	// OutcomeShed means that the endpoint refused the request without running
	// it.
	OutcomeShed
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
	// OutcomeTimedOut means that no response arrived in time.
	OutcomeTimedOut
	// OutcomeReplaced means that another process has the address.
	OutcomeReplaced
	// OutcomeUnknown says nothing about the endpoint, because the caller
	// disconnected.
	OutcomeUnknown
)

// Report is what an endpoint reported about itself with a response.
type Report struct {
	// Requests is the number of its requests; -1 if it reported none.
	Requests int
	// WorkTime is how long work takes there at the moment, relative to the usual
	// time; -1 if it reported none.
	WorkTime float64
}

// Done records how an attempt ended at an endpoint that does not report how long
// work takes there; see DoneWith. load is the number of requests that it reported,
// or -1.
func (p *Placer) Done(now time.Time, c *Choice, o Outcome, elapsed time.Duration, load int) {
	p.DoneWith(now, c, o, elapsed, Report{Requests: load, WorkTime: -1})
}

// DoneWith records how an attempt ended and what the endpoint reported. elapsed is
// the time until the response was complete.
func (p *Placer) DoneWith(now time.Time, c *Choice, o Outcome, elapsed time.Duration, r Report) {
	load := r.Requests
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	e := c.state
	e.requestEnded(c.start)
	if load > 0 && (o == OutcomeAnswered || o == OutcomeFailed) {
		load-- // the endpoint counts the request that it answers
	}
	e.setReportedRequests(now, load, e.ownReported(now, c.roundTrip, r))
	p.observeSplit(now, c, o, load)
	e.decay(now, p.rules.OutcomeHalfLife)
	e.setWorkTime(now, r.WorkTime)
	switch o {
	case OutcomeAnswered:
		e.markReachable()
		c.learn(elapsed, r.WorkTime)
	case OutcomeFailed:
		e.markReachable()
		e.failures += failureWeight * (1 - e.failures)
		e.fault()
	case OutcomeShed:
		e.markReachable()
		if load >= 0 && load < e.Slots {
			e.fault()
		}
		e.failures += failureWeight / 2 * (1 - e.failures)
		e.backoffUntil = now.Add(p.rules.ShedBackoff)
	case OutcomeTimedOut:
		e.failures += failureWeight * (1 - e.failures)
		e.slowdown = max(e.slowdown, 2)
	case OutcomeUnreachable, OutcomeReplaced:
		e.backOff(now, p.rules)
	case OutcomeUnknown:
	}
	p.observePace(now, c, o, elapsed, r)
}

// Fault records that the response to an attempt, which counted as an answer, was
// faulty.
func (p *Placer) Fault(now time.Time, c *Choice) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.state.decay(now, p.rules.OutcomeHalfLife)
	c.state.failures += failureWeight * (1 - c.state.failures)
	c.state.fault()
}

// markReachable resets the connection failures and reduces the shares of
// failures and faults.
func (e *endpoint) markReachable() {
	e.connectFailures = 0
	e.probing = false
	e.failures -= failureWeight / 2 * e.failures
	e.faults -= failureWeight / 2 * e.faults
}

// backOff stops requests to an endpoint that cannot be reached. Afterwards one
// request probes whether it is back.
func (e *endpoint) backOff(now time.Time, r Rules) {
	d := min(r.InitialBackoff<<min(e.connectFailures, 8), r.MaxBackoff)
	e.connectFailures++
	e.probing = true
	e.backoffUntil = now.Add(d)
}

// ForgetFailures forgets what the failed attempts of this instance said about
// endpoints. They were its own fault if it was cut off from all of them.
func (p *Placer) ForgetFailures() {
	p.eachGroup(func(_ string, g *group) {
		for _, e := range g.ordered {
			e.connectFailures, e.probing, e.backoffUntil = 0, false, time.Time{}
			e.failures, e.faults, e.slowdown = 0, 0, 1
			e.pacing.limit.End()
		}
	})
}

// learn updates the work times from an answered attempt. reported is the work time
// that the endpoint reported with its answer, negative if none. What the reports
// explain is part of neither the slowdown nor the mean work, because the next report
// multiplies both.
func (c *Choice) learn(elapsed time.Duration, reported float64) {
	w := c.group.work[c.route]
	workTime := max(0, elapsed.Seconds()-c.roundTrip)
	expected := max(c.Expected.Seconds()-c.roundTrip, 1e-3)
	ratio := workTime / expected
	usual := workTime
	if reported >= 0 {
		explained := c.explained(ratio, reported)
		ratio = min(ratio/explained, observationCap)
		// An endpoint that says that it is fast, and is not, must not raise the
		// mean above what was observed.
		usual /= max(1, explained*c.workTime)
	}
	if workTime/expected >= minWorkRatio {
		c.state.slowdown += slowdownWeight * (ratio*c.state.slowdown - c.state.slowdown)
		c.state.slowdown = min(max(c.state.slowdown, 0.5), maxSlowdown)
	}
	if c.unloaded && c.state.slowdown < 2 {
		w.learn(c.warmth, usual)
	}
	c.group.meanWork += learnWeight * (w.mean[c.warmth] - c.group.meanWork)
}

// explained returns the part of a ratio of observed to expected work that the
// endpoint's reports explain: any work time between the one that was expected and
// the one that was reported with the answer, since it changes while a request runs.
func (c *Choice) explained(ratio, reported float64) float64 {
	change := clampWorkTime(reported) / c.workTime
	return min(max(ratio, min(1, change)), max(1, change))
}

// Load is the number of this instance's requests at an endpoint.
type Load struct {
	// Endpoint is the incarnation of the endpoint.
	Endpoint catalog.Incarnation
	// Running is the number of running requests.
	Running int
}

// LocalLoads returns the endpoints at which this instance has requests.
func (p *Placer) LocalLoads() []Load {
	var loads []Load
	p.eachGroup(func(_ string, g *group) {
		for in, e := range g.endpoints {
			if len(e.starts) > 0 {
				loads = append(loads, Load{Endpoint: in, Running: len(e.starts)})
			}
		}
	})
	return loads
}

// SetPeerLoads replaces the loads of a peer; nil removes them.
func (p *Placer) SetPeerLoads(instance string, loads []Load) {
	running := runningByEndpoint(loads)
	p.eachGroup(func(_ string, g *group) {
		delete(g.peerSums, instance)
		for in, e := range g.endpoints {
			e.setPeerRequests(instance, running[in])
		}
	})
}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeFailed:
		return "failed"
	case OutcomeShed:
		return "shed"
	case OutcomeUnreachable:
		return "unreachable"
	case OutcomeTimedOut:
		return "silent"
	case OutcomeReplaced:
		return "gone"
	default:
		return "unknown"
	}
}
