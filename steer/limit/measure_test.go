package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/entry"
	"github.com/cardamomfront/cardamomfront/steer/share"
)

// The measurement replays the same requests against the shares, a static 1/N
// split and one all-knowing bucket. Wrongful refusals are those above the
// all-knowing bucket's, counted for each team in windows of ten seconds, so
// that a window with fewer pays for none with more.

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type teamLoad struct {
	name  string
	quota Quota
	home  string  // region of most callers
	level float64 // demand as a part of the rate
	burst bool    // demand comes in bursts of several times the rate
	rng   *rand.Rand
}

// tally counts requests of one team.
type tally struct {
	offered, refused, static        int // refused and static are wrongful
	inWindow, splitWindow, idealWin int // refusals of the present window
}

func (t *tally) endWindow() {
	t.refused += max(0, t.inWindow-t.idealWin)
	t.static += max(0, t.splitWindow-t.idealWin)
	t.inWindow, t.splitWindow, t.idealWin = 0, 0, 0
}

func (t *tally) wrongful() float64 { return percent(t.refused, t.offered) }
func (t *tally) split() float64    { return percent(t.static, t.offered) }

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

type front struct {
	entry.Instance
	limiter *Limiter
	static  map[string]*Bucket
	dead    bool
	asking  map[string][]waiter
	rest    map[string]time.Duration // no borrowing before
	demand  map[string]float64       // as published in its row
}

type model struct {
	queue    events
	now      time.Duration
	fronts   []*front
	teams    []teamLoad
	rows     map[string]*rowState
	ideal    map[string]*Bucket
	result   map[string]*tally
	answers  map[string]*front
	anyFront bool // callers pick any instance instead of homes
	noStore  bool
	noLoans  bool
	writes   int
	asks     int
}

type rowState struct {
	division share.Division
	version  uint64
}

func (m *model) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.queue, event{at: m.now + d, do: do})
}

func (m *model) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	m.now = until
}

func (m *model) live() []entry.Instance {
	var live []entry.Instance
	for _, f := range m.fronts {
		if !f.dead {
			live = append(live, f.Instance)
		}
	}
	return live
}

func (m *model) front(name string) *front {
	return m.fronts[slices.IndexFunc(m.fronts, func(f *front) bool { return f.Name == name })]
}

func rtt(a, b *front) time.Duration {
	if a.Region == b.Region {
		return 2 * time.Millisecond
	}
	return 40 * time.Millisecond
}

// eightTeams returns two large teams and six smaller ones whose demand sits
// still at three quarters of the rate.
func eightTeams() []teamLoad {
	q := func(rate float64) Quota { return Quota{Rate: rate, Burst: 3 * rate} }
	return []teamLoad{
		{"large-1", q(120), "kano", 0.75, false, nil},
		{"large-2", q(80), "kaduna", 0.75, false, nil},
		{"middle-1", q(30), "sokoto", 0.75, false, nil},
		{"middle-2", q(20), "kano", 0.75, false, nil},
		{"small-1", q(8), "kaduna", 0.75, false, nil},
		{"small-2", q(5), "kano", 0.75, false, nil},
		{"small-3", q(4), "sokoto", 0.75, false, nil},
		{"smallest", q(3), "kano", 0.75, false, nil},
	}
}

// burstyTeams is eightTeams with the two smallest bursting to three times their
// rate for 1.2 s in every 10 s.
func burstyTeams() []teamLoad {
	teams := eightTeams()
	teams[6].burst = true
	teams[7].burst = true
	return teams
}

func newModel(instances int, seed uint64, teams []teamLoad) *model {
	m := &model{
		rows: map[string]*rowState{}, ideal: map[string]*Bucket{},
		result: map[string]*tally{}, answers: map[string]*front{}, teams: teams,
	}
	quotas := make(map[string]Quota)
	for i := range m.teams {
		m.teams[i].rng = rand.New(rand.NewPCG(seed, uint64(i)))
		t := m.teams[i]
		quotas[t.name] = t.quota
		m.rows[t.name] = &rowState{version: 1}
		m.ideal[t.name] = wholeBucket(t.quota, m.clock(), share.Whole)
		m.result[t.name] = &tally{}
	}
	regions := []string{"kano", "kaduna", "sokoto"}
	for i := range instances {
		f := &front{limiter: NewLimiter(), static: map[string]*Bucket{}, asking: map[string][]waiter{}, rest: map[string]time.Duration{}, demand: map[string]float64{}}
		f.Instance = entry.Instance{Name: fmt.Sprintf("i%d", i), Region: regions[i%3], FailureDomain: fmt.Sprintf("%s-%d", regions[i%3], i/3%2)}
		f.limiter.SetQuotas(m.clock(), quotas)
		f.limiter.SetLease(m.clock().Add(24*time.Hour), 1)
		for _, t := range m.teams {
			f.static[t.name] = wholeBucket(t.quota, m.clock(), share.Whole/share.Units(instances))
		}
		m.fronts = append(m.fronts, f)
		m.after(time.Duration(i)*time.Second/time.Duration(instances), func() { m.beat(f) })
	}
	for _, t := range m.teams {
		m.arrive(t)
	}
	m.after(window, m.endWindow)
	return m
}

// window is the time over which refusals are compared.
const window = 10 * time.Second

func (m *model) endWindow() {
	for _, r := range m.result {
		r.endWindow()
	}
	m.after(window, m.endWindow)
}

func wholeBucket(q Quota, now time.Time, units share.Units) *Bucket {
	b := NewBucket(q, now)
	b.Observe(now, 1, units)
	b.tokens = b.size()
	return b
}

func (m *model) claimants(t teamLoad) []share.Claimant {
	homes := make(map[string]bool)
	for _, region := range []string{"kano", "kaduna", "sokoto"} {
		for _, h := range entry.Homes(entry.Team{Name: t.name, Rate: t.quota.Rate}, region, m.live(), entry.DefaultSettings()) {
			homes[h.Name] = true
		}
	}
	var claimants []share.Claimant
	for _, f := range m.fronts {
		if !f.dead {
			claimants = append(claimants, share.Claimant{Instance: f.Name, Region: f.Region, Demand: f.demand[t.name], Home: homes[f.Name]})
		}
	}
	return claimants
}

// beat is an instance's second: it publishes its demand, reads the rows and
// gives away what it has too much of.
func (m *model) beat(f *front) {
	if f.dead {
		return
	}
	m.after(time.Second, func() { m.beat(f) })
	if m.noStore {
		return
	}
	clear(f.demand)
	for _, d := range f.limiter.Demands(m.clock()) {
		f.demand[d.Team] = d.Rate
	}
	for _, t := range m.teams {
		row := m.rows[t.name]
		claimants := m.claimants(t)
		targets := share.Targets(t.quota.Resource(), row.division, claimants)
		m.write(row, share.Hand(row.division, "", row.division.Free(), claimants, targets))
		f.limiter.Observe(m.clock(), 1, t.name, row.version, row.division.Of(f.Name))
		m.give(f, t, row, share.Transfer(row.division, f.Name, claimants, targets, share.TransferSlack))
	}
}

// leave makes callers go elsewhere and hands on all that the front holds.
func (m *model) leave(f *front) {
	f.dead = true
	clear(m.answers)
	for _, t := range m.teams {
		row := m.rows[t.name]
		f.limiter.Observe(m.clock(), 1, t.name, row.version, row.division.Of(f.Name))
		claimants := m.claimants(t)
		targets := share.Targets(t.quota.Resource(), row.division, claimants)
		m.give(f, t, row, share.Hand(row.division, f.Name, f.limiter.Giveable(m.clock(), t.name), claimants, targets))
	}
}

func (m *model) give(f *front, t teamLoad, row *rowState, moves []share.Move) {
	var total share.Units
	for _, move := range moves {
		total += move.Units
	}
	g, ok := f.limiter.Reserve(m.clock(), t.name, total)
	if !ok {
		return
	}
	m.write(row, moves)
	f.limiter.Observe(m.clock(), 1, t.name, row.version, row.division.Of(f.Name))
	for _, move := range moves {
		o := m.front(move.To)
		h := Handover{Team: t.name, To: move.To, Version: row.version, Owned: row.division.Of(move.To), Units: move.Units, Tokens: g.TokensFor(move.Units)}
		m.after(rtt(f, o)/2, func() { o.limiter.Accept(m.clock(), 1, h) })
	}
}

func (m *model) write(row *rowState, moves []share.Move) {
	if len(moves) == 0 {
		return
	}
	next, err := row.division.Apply(moves)
	if err != nil {
		panic(err)
	}
	row.division = next
	row.version++
	m.writes++
}

// kill ends the front with the largest part of a team and moves its units when
// membership lets others evict it.
func (m *model) kill(f *front, evictAfter time.Duration) {
	f.dead = true
	m.after(evictAfter, func() {
		for _, t := range m.teams {
			row := m.rows[t.name]
			claimants := m.claimants(t)
			m.write(row, share.Hand(row.division, f.Name, row.division.Of(f.Name), claimants, share.Targets(t.quota.Resource(), row.division, claimants)))
		}
	})
}

func (m *model) arrive(t teamLoad) {
	rate := t.quota.Rate * t.level
	if t.burst {
		rate = t.quota.Rate / 4
		if m.now%window < 1200*time.Millisecond {
			rate = t.quota.Rate * 3
		}
	}
	gap := time.Duration(t.rng.ExpFloat64() / rate * float64(time.Second))
	if t.burst {
		gap = min(gap, window-m.now%window)
	}
	m.after(gap, func() {
		m.request(t)
		m.arrive(t)
	})
}

func (m *model) pickFront(t teamLoad) *front {
	region := t.home
	if t.rng.IntN(10) < 2 {
		region = "sokoto"
	}
	caller := t.rng.IntN(40)
	if m.anyFront {
		live := m.live()
		return m.front(live[(caller+t.rng.IntN(len(live)))%len(live)].Name)
	}
	key := fmt.Sprintf("%s/%s/%d", t.name, region, caller)
	if f := m.answers[key]; f != nil && !f.dead {
		return f
	}
	answer := entry.Candidates(entry.Team{Name: t.name, Rate: t.quota.Rate}, region, fmt.Sprint(caller), m.live(), entry.DefaultSettings())
	m.answers[key] = m.front(answer[0].Name)
	return m.answers[key]
}

func (m *model) request(t teamLoad) {
	f := m.pickFront(t)
	r := m.result[t.name]
	r.offered++
	if !m.ideal[t.name].Take(m.clock()).Admitted() {
		r.idealWin++
	}
	if !f.static[t.name].Take(m.clock()).Admitted() {
		r.splitWindow++
	}
	if f.limiter.Allow(m.clock(), t.name).Admitted() {
		return
	}
	m.borrow(f, t, waiter{arrived: m.now, refuse: func() { r.inWindow++ }})
}
