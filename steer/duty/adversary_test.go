package duty_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomfront/cardamomfront/steer/duty"
	"github.com/cardamomfront/cardamomfront/steer/usage"
)

const (
	lease  = 3 * time.Second
	window = 5 * time.Second
	tick   = 100 * time.Millisecond
)

var epoch = time.Unix(1_700_000_003, 0)

// call is a call to the platform.
type call struct {
	holder  string
	started int64
	token   uint64
	window  int64
	count   int64
	sentAt  time.Duration
}

// process is one instance with its current process.
type process struct {
	name        string
	started     int64
	state       *duty.State
	plan        *usage.Plan
	downUntil   time.Duration
	frozenUntil time.Duration
	cutUntil    time.Duration // from the store and from the other instances
	wallOffset  time.Duration
	suspended   time.Duration // by which the monotonic clock is behind
	busyUntil   time.Duration // a store call is in flight
	answer      func()
	sendAfter   time.Duration
}

// sim plays one duty in virtual time against a store and a platform with faults.
type sim struct {
	t          *rapid.T
	r          *rand.Rand
	now        time.Duration
	fence      bool
	faultRate  float64 // of store calls and platform calls
	wild       bool    // wall clocks that are off by up to an hour
	checksEra  bool    // the store checks the era of a write, too
	restores   int
	storeDown  time.Duration
	row        []byte
	revision   uint64
	era        uint64
	copies     [][]byte
	revisions  []uint64
	later      []func() // checked at each step; nil once done
	processes  []*process
	storeCalls map[string]int
	writes     map[duty.Kind]int

	calls     []call
	executed  []call
	seenToken uint64
	deadToken map[string]uint64 // highest refused token by process
}

func newSim(t *rapid.T, n int, fence bool, seed uint64) *sim {
	s := &sim{
		t: t, r: rand.New(rand.NewPCG(seed, 1)), fence: fence, storeCalls: map[string]int{},
		writes: map[duty.Kind]int{}, deadToken: map[string]uint64{},
	}
	for i := range n {
		p := &process{name: fmt.Sprint("i", i)}
		s.processes = append(s.processes, p)
		s.start(p)
	}
	return s
}

func (s *sim) start(p *process) {
	p.started++
	p.state = duty.New(s.clock(p), duty.Settings{Holder: p.name, Started: p.started, RequireFence: s.fence, Lease: lease, Interval: window})
	p.plan, p.answer, p.busyUntil = usage.NewPlan(window), nil, 0
}

func (s *sim) clock(p *process) duty.Clock {
	return duty.Clock{Mono: epoch.Add(s.now - p.suspended), Wall: epoch.Add(s.now + p.wallOffset)}
}

func (s *sim) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.r.Int64N(int64(b-a)))
}

func (s *sim) faulty() bool { return s.r.Float64() < s.faultRate }

// schedule calls f after some time.
func (s *sim) schedule(after time.Duration, f func()) {
	at := s.now + after
	s.later = append(s.later, func() {
		if s.now < at {
			s.schedule(at-s.now, f)
			return
		}
		f()
	})
}

var faults = []string{"kill", "freeze", "suspend", "cut", "clock", "outage", "restore", "leave"}

// holder returns an instance that holds the duty as far as it knows, or other.
func (s *sim) holder(other *process) *process {
	for _, p := range s.processes {
		if p.state.Holding() {
			return p
		}
	}
	return other
}

func (s *sim) fault(kind string, p *process, d time.Duration) {
	switch kind {
	case "kill":
		p.downUntil = s.now + d/8
		s.start(p)
	case "leave": // and stop some time later
		p.state.Leave()
		started := p.started
		s.schedule(s.between(0, 4*time.Second), func() {
			if p.started == started {
				s.fault("kill", p, s.between(0, 8*time.Second))
			}
		})
	case "freeze":
		p.frozenUntil = s.now + d
	case "suspend":
		p.frozenUntil = s.now + d
		p.suspended += d
	case "cut":
		p.cutUntil = s.now + d
	case "clock":
		p.wallOffset = s.between(-400*time.Millisecond, 400*time.Millisecond)
		if s.wild {
			p.wallOffset *= []time.Duration{25, 9000}[s.r.IntN(2)]
		}
	case "outage":
		s.storeDown = s.now + d
	case "restore":
		s.era++
		s.restores++
		if i := len(s.copies); i > 0 {
			i -= 1 + s.r.IntN(min(i, 4))
			s.row, s.revision = s.copies[i], s.revisions[i]
			s.copies, s.revisions = s.copies[:i+1], s.revisions[:i+1]
		}
	}
}

func (s *sim) apply(value []byte, revision, era uint64) bool {
	if revision != s.revision || s.checksEra && era != s.era {
		return false
	}
	s.revision++
	s.row = value
	s.copies, s.revisions = append(s.copies, value), append(s.revisions, s.revision)
	return true
}

func (s *sim) writeRow(p *process, kind duty.Kind, row duty.Row) {
	value, err := row.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	s.writes[kind]++
	p.state.Begin(s.clock(p), row)
	result := duty.Result{Outcome: duty.Unknown}
	switch {
	case s.now < s.storeDown || s.now < p.cutUntil:
		if s.r.IntN(2) == 0 {
			result.Outcome = duty.Rejected
		}
	case s.faulty(): // lost, or applied late, or its answer lost
		switch s.r.IntN(3) {
		case 0:
			s.schedule(s.between(tick, 12*time.Second), func() { s.apply(value, row.Revision, row.Era) })
		case 1:
			s.apply(value, row.Revision, row.Era)
		}
	case s.apply(value, row.Revision, row.Era):
		if s.era == row.Era {
			result = duty.Result{Outcome: duty.Applied, Revision: s.revision}
		}
	default:
		result.Outcome = duty.Conflict
	}
	s.answerAfterCall(p, func() {
		p.state.Written(s.clock(p), result)
		if result.Outcome == duty.Applied {
			s.confirmed(p)
		}
	})
}

func (s *sim) confirmed(p *process) {
	row, _ := p.state.Row()
	st, err := usage.DecodeState(row.State)
	if err != nil {
		s.t.Fatal(err)
	}
	p.plan.Confirmed(s.clock(p).Wall, st, p.state.RestoredAt())
}

func (s *sim) answerAfterCall(p *process, f func()) {
	s.storeCalls[p.name]++
	p.answer, p.busyUntil = f, s.now+s.between(0, 300*time.Millisecond)
	if s.faulty() {
		p.busyUntil += s.between(0, 3*time.Second)
	}
}

func (s *sim) readRow(p *process) {
	if s.now < s.storeDown || s.now < p.cutUntil || s.faulty() {
		s.answerAfterCall(p, func() { p.state.ReadFailed(s.clock(p)) })
		return
	}
	row := duty.Row{Era: s.era}
	if s.row != nil {
		var err error
		if row, err = duty.Decode(s.row, s.revision, s.era); err != nil {
			s.t.Fatal(err)
		}
	}
	s.answerAfterCall(p, func() {
		p.state.Observe(s.clock(p), row)
		s.confirmed(p)
	})
}

// step plays one instance for one tick.
func (s *sim) step(i int, p *process) {
	if s.now < p.downUntil || s.now < p.frozenUntil {
		return
	}
	if p.answer != nil && s.now >= p.busyUntil {
		answer := p.answer
		p.answer = nil
		answer()
	}
	if n, ok := p.state.Notice(); ok && s.now >= p.cutUntil && (s.now/tick+time.Duration(i))%10 == 0 {
		for _, other := range s.processes {
			s.schedule(s.between(0, 500*time.Millisecond), func() {
				if s.now >= other.cutUntil && s.now >= other.downUntil && other != p {
					other.state.Hear(s.clock(other), n)
				}
			})
		}
	}
	if p.answer == nil {
		s.next(p, i)
	}
	s.send(p)
}

func (s *sim) next(p *process, rank int) {
	now := s.clock(p)
	a := p.state.Next(now, rank)
	switch a.Kind {
	case duty.Read:
		s.readRow(p)
	case duty.Act:
		st, err := usage.DecodeState(a.Write.State)
		if err != nil {
			s.t.Fatal(err)
		}
		// The counts differ between any two calls.
		st, changed := p.plan.Prepare(now.Wall, st, p.state.RestoredAt(), func(int64) usage.Counts {
			return usage.Counts{"t": 1 + s.r.Int64N(1<<40)}
		})
		if !changed {
			return
		}
		a.Write.State, _ = st.Encode()
		a.Write.Due = p.plan.Due(st).UnixMilli()
		s.writeRow(p, a.Kind, a.Write)
	case duty.Claim, duty.Renew, duty.Release:
		s.writeRow(p, a.Kind, a.Write)
	}
}

// send sends what is pending.
func (s *sim) send(p *process) {
	row, ok := p.state.Row()
	if !ok || s.now < p.sendAfter {
		return
	}
	st, err := usage.DecodeState(row.State)
	if err != nil {
		s.t.Fatal(err)
	}
	pending := p.plan.Pending(st, p.state.RestoredAt())
	p.state.SetPending(len(pending) > 0)
	permit, ok := p.state.Permit(s.clock(p))
	if !ok || len(pending) == 0 {
		return
	}
	c := call{p.name, p.started, permit.Token, pending[0].Window, pending[0].Counts["t"], s.now}
	if c.token <= s.deadToken[fmt.Sprint(p.name, p.started)] {
		s.t.Fatalf("%v: sent again under a refused token", c)
	}
	s.calls = append(s.calls, c)
	state, plan, started := p.state, p.plan, p.started
	p.sendAfter = s.now + time.Second
	if s.faulty() { // no answer, executed late
		s.schedule(s.between(2*time.Second, 12*time.Second), func() { s.execute(c) })
		return
	}
	accepted := s.execute(c)
	p.sendAfter = s.now + tick
	s.schedule(tick, func() {
		if p.started != started {
			return
		}
		if accepted {
			plan.Delivered(c.window)
			return
		}
		s.deadToken[fmt.Sprint(p.name, started)] = c.token
		state.Refused(s.clock(p), c.token)
	})
}

// execute is the platform. It reports false for a 409.
func (s *sim) execute(c call) bool {
	if s.fence && c.token < s.seenToken {
		return false
	}
	s.seenToken = max(s.seenToken, c.token)
	s.executed = append(s.executed, c)
	return true
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tick {
		due := s.later
		s.later = nil
		for _, f := range due {
			f()
		}
		for i, p := range s.processes {
			s.step(i, p)
		}
	}
}

// check checks the invariants over all calls that reached the platform.
func (s *sim) check() {
	holders, counts := map[uint64]string{}, map[int64]int64{}
	last := uint64(0)
	for _, c := range s.calls {
		who := fmt.Sprint(c.holder, "/", c.started)
		if known, ok := holders[c.token]; ok && known != who {
			s.t.Fatalf("token %d sent by %s and %s", c.token, known, who)
		}
		holders[c.token] = who
		if !s.fence && c.token < last {
			s.t.Fatalf("%v sent after token %d", c, last)
		}
		last = max(last, c.token)
		if known, ok := counts[c.window]; ok && known != c.count && (!s.wild || s.restores == 0) {
			s.t.Fatalf("window %d sent with %d and %d", c.window, known, c.count)
		}
		counts[c.window] = c.count
	}
	// Without fencing, a call that is executed late comes after newer ones whatever
	// the holders do, so the order of sending is checked there.
	ordered := s.executed
	if !s.fence {
		ordered = s.calls
	}
	for i, a := range ordered {
		between := false
		for _, c := range ordered[i+1:] {
			if c.sentAt-a.sentAt >= lease {
				continue
			}
			if c.holder != a.holder && c.sentAt >= a.sentAt {
				between = true
			} else if c.holder == a.holder && between {
				s.t.Fatalf("%v and %v of one holder with another between them", a, c)
			}
		}
	}
}

// Guards against two holders with one token, holders that alternate, calls after a
// refusal, and windows with two counts, under all faults at once.
func TestOneHolderUnderFaults(t *testing.T) {
	for _, fence := range []bool{true, false} {
		t.Run(fmt.Sprint("fence=", fence), func(t *testing.T) {
			sent, writes := 0, map[duty.Kind]int{}
			rapid.Check(t, func(t *rapid.T) {
				s := newSim(t, 4, fence, rapid.Uint64().Draw(t, "seed"))
				s.faultRate = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "faultRate")
				s.wild = rapid.Bool().Draw(t, "wild")
				s.checksEra = rapid.Bool().Draw(t, "checksEra")
				kinds := rapid.SliceOfN(rapid.SampledFrom(faults), 1, 3).Draw(t, "kinds")
				for range rapid.IntRange(8, 30).Draw(t, "faults") {
					s.run(s.between(100*time.Millisecond, 8*time.Second))
					p := s.processes[s.r.IntN(len(s.processes))]
					if s.r.IntN(2) == 0 {
						p = s.holder(p)
					}
					s.fault(kinds[s.r.IntN(len(kinds))], p, s.between(100*time.Millisecond, 16*time.Second))
				}
				s.run(30 * time.Second)
				s.check()
				sent += len(s.executed)
				for k, n := range s.writes {
					writes[k] += n
				}
			})
			t.Logf("%d calls executed, writes %v", sent, writes)
			if sent == 0 {
				t.Fatal("nothing was sent")
			}
		})
	}
}

// Guards against store calls of instances that don't hold the duty, renewals, and
// late reports after the holder's end.
func TestOneWriteAWindowAndSuccession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 8, rapid.Bool().Draw(t, "fence"), rapid.Uint64().Draw(t, "seed"))
		s.run(20 * time.Second)
		calls, writes := maps.Clone(s.storeCalls), maps.Clone(s.writes)
		s.run(60 * time.Second)
		if acts := s.writes[duty.Act] - writes[duty.Act]; acts != 12 || s.writes[duty.Renew] != 0 || s.writes[duty.Claim] != 1 {
			t.Fatalf("%d writes in 60 s, in all %v, want 12 and no renewal", acts, s.writes)
		}
		for _, p := range s.processes {
			if n := s.storeCalls[p.name] - calls[p.name]; n != 0 && !p.state.Holding() {
				t.Fatalf("%d store calls of %s", n, p.name)
			}
		}
		for _, p := range s.processes {
			if p.state.Holding() {
				p.downUntil = 1 << 60
			}
		}
		s.run(20 * time.Second)
		sentAt := map[int64]time.Duration{}
		for _, c := range s.executed {
			if _, repeated := sentAt[c.window]; !repeated {
				sentAt[c.window] = c.sentAt
			}
		}
		for w := usage.Window(epoch.Add(20*time.Second), window); usage.End(w, window).Before(epoch.Add(s.now - 10*time.Second)); w++ {
			if late := epoch.Add(sentAt[w]).Sub(usage.End(w, window)); late < 5*time.Second || late > 10*time.Second {
				t.Fatalf("window %d reported %s after its end", w, late)
			}
		}
	})
}
