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

// The simulation sends the same requests to the limiters, to a static 1/N split
// and to one global bucket per team. Refusals beyond those of the global bucket
// are wrongful. They are counted per team in windows of ten seconds, so that a
// window with fewer refusals does not offset one with more.

type event struct {
	at  time.Duration
	run func()
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

// teamLoad is one team and the requests that it sends in the simulation.
type teamLoad struct {
	name        string
	quota       Quota
	home        string  // region of most callers
	utilization float64 // demand as a fraction of the rate
	burst       bool    // demand comes in bursts of several times the rate
	rng         *rand.Rand
}

// tally counts the requests of one team. Refusals by the limiter or by the static
// split are wrongful as far as they exceed those of the global bucket in the same
// window.
type tally struct {
	offered, wrongful, staticWrongful                             int
	refusedInWindow, staticRefusedInWindow, globalRefusedInWindow int // refusals in the current window
}

func (t *tally) endWindow() {
	t.wrongful += max(0, t.refusedInWindow-t.globalRefusedInWindow)
	t.staticWrongful += max(0, t.staticRefusedInWindow-t.globalRefusedInWindow)
	t.refusedInWindow, t.staticRefusedInWindow, t.globalRefusedInWindow = 0, 0, 0
}

func (t *tally) wrongfulPercent() float64 { return percent(t.wrongful, t.offered) }
func (t *tally) staticPercent() float64   { return percent(t.staticWrongful, t.offered) }

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

// simInstance is an instance in the simulation.
type simInstance struct {
	entry.Instance
	limiter            *Limiter
	staticBuckets      map[string]*Bucket
	stopped            bool
	waiting            map[string][]waiter
	borrowBackoffUntil map[string]time.Duration // earliest time of the next loan request
	demand             map[string]float64       // as published in the instance's row
}

// simulation is an event loop with instances, the rows that divide the teams'
// quotas, and the callers of the teams.
type simulation struct {
	queue         events
	now           time.Duration
	instances     []*simInstance
	teams         []teamLoad
	rows          map[string]*rowState
	globalBuckets map[string]*Bucket
	tallies       map[string]*tally
	assigned      map[string]*simInstance
	anyInstance   bool // callers use any instance instead of their homes
	tableDown     bool
	noLoans       bool
	writes        int
	loanRequests  int
}

type rowState struct {
	division share.Division
	version  uint64
}

func (m *simulation) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

func (m *simulation) after(d time.Duration, do func()) {
	heap.Push(&m.queue, event{at: m.now + d, run: do})
}

func (m *simulation) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	m.now = until
}

func (m *simulation) live() []entry.Instance {
	var live []entry.Instance
	for _, f := range m.instances {
		if !f.stopped {
			live = append(live, f.Instance)
		}
	}
	return live
}

func (m *simulation) instanceByName(name string) *simInstance {
	return m.instances[slices.IndexFunc(m.instances, func(f *simInstance) bool { return f.Name == name })]
}

func rtt(a, b *simInstance) time.Duration {
	if a.Region == b.Region {
		return 2 * time.Millisecond
	}
	return 40 * time.Millisecond
}

// eightTeams returns two large teams and six smaller ones with a constant demand
// of three quarters of their rates.
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

func newSimulation(instances int, seed uint64, teams []teamLoad) *simulation {
	m := &simulation{
		rows: map[string]*rowState{}, globalBuckets: map[string]*Bucket{},
		tallies: map[string]*tally{}, assigned: map[string]*simInstance{}, teams: teams,
	}
	quotas := make(map[string]Quota)
	for i := range m.teams {
		m.teams[i].rng = rand.New(rand.NewPCG(seed, uint64(i)))
		t := m.teams[i]
		quotas[t.name] = t.quota
		m.rows[t.name] = &rowState{version: 1}
		m.globalBuckets[t.name] = fullBucket(t.quota, m.clock(), share.TotalUnits)
		m.tallies[t.name] = &tally{}
	}
	regions := []string{"kano", "kaduna", "sokoto"}
	for i := range instances {
		f := &simInstance{limiter: NewLimiter(), staticBuckets: map[string]*Bucket{}, waiting: map[string][]waiter{}, borrowBackoffUntil: map[string]time.Duration{}, demand: map[string]float64{}}
		f.Instance = entry.Instance{Name: fmt.Sprintf("i%d", i), Region: regions[i%3], FailureDomain: fmt.Sprintf("%s-%d", regions[i%3], i/3%2)}
		f.limiter.SetQuotas(m.clock(), quotas)
		f.limiter.SetLease(m.clock().Add(24*time.Hour), 1)
		for _, t := range m.teams {
			f.staticBuckets[t.name] = fullBucket(t.quota, m.clock(), share.TotalUnits/share.Units(instances))
		}
		m.instances = append(m.instances, f)
		m.after(time.Duration(i)*time.Second/time.Duration(instances), func() { m.heartbeat(f) })
	}
	for _, t := range m.teams {
		m.scheduleArrival(t)
	}
	m.after(window, m.endWindow)
	return m
}

// window is the period over which refusals are compared.
const window = 10 * time.Second

func (m *simulation) endWindow() {
	for _, r := range m.tallies {
		r.endWindow()
	}
	m.after(window, m.endWindow)
}

// fullBucket returns a bucket that holds units and is full.
func fullBucket(q Quota, now time.Time, units share.Units) *Bucket {
	b := NewBucket(q, now)
	b.Observe(now, 1, units)
	b.tokens = b.capacity()
	return b
}

func (m *simulation) claimants(t teamLoad) []share.Claimant {
	homes := make(map[string]bool)
	for _, region := range []string{"kano", "kaduna", "sokoto"} {
		for _, h := range entry.Homes(entry.Team{Name: t.name, Rate: t.quota.Rate}, region, m.live(), entry.DefaultSettings()) {
			homes[h.Name] = true
		}
	}
	var claimants []share.Claimant
	for _, f := range m.instances {
		if !f.stopped {
			claimants = append(claimants, share.Claimant{Instance: f.Name, Region: f.Region, Demand: f.demand[t.name], Home: homes[f.Name]})
		}
	}
	return claimants
}

// heartbeat runs once a second per instance: it publishes the instance's demand,
// reads the rows and transfers its surplus.
func (m *simulation) heartbeat(f *simInstance) {
	if f.stopped {
		return
	}
	m.after(time.Second, func() { m.heartbeat(f) })
	if m.tableDown {
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
		m.writeRow(row, share.Distribute(row.division, "", row.division.Free(), claimants, targets))
		f.limiter.Observe(m.clock(), 1, t.name, row.version, row.division.UnitsOf(f.Name))
		m.transferUnits(f, t, row, share.TransferSurplus(row.division, f.Name, claimants, targets, share.MinTransfer))
	}
}

// drain sends callers to other instances and transfers all units of f.
func (m *simulation) drain(f *simInstance) {
	f.stopped = true
	clear(m.assigned)
	for _, t := range m.teams {
		row := m.rows[t.name]
		f.limiter.Observe(m.clock(), 1, t.name, row.version, row.division.UnitsOf(f.Name))
		claimants := m.claimants(t)
		targets := share.Targets(t.quota.Resource(), row.division, claimants)
		m.transferUnits(f, t, row, share.Distribute(row.division, f.Name, f.limiter.Transferable(m.clock(), t.name), claimants, targets))
	}
}

func (m *simulation) transferUnits(f *simInstance, t teamLoad, row *rowState, moves []share.Move) {
	var total share.Units
	for _, move := range moves {
		total += move.Units
	}
	g, ok := f.limiter.ReserveTransfer(m.clock(), t.name, total)
	if !ok {
		return
	}
	m.writeRow(row, moves)
	f.limiter.Observe(m.clock(), 1, t.name, row.version, row.division.UnitsOf(f.Name))
	for _, move := range moves {
		o := m.instanceByName(move.To)
		h := Handover{Team: t.name, To: move.To, Version: row.version, Owned: row.division.UnitsOf(move.To), Units: move.Units, Tokens: g.TokensFor(move.Units)}
		m.after(rtt(f, o)/2, func() { o.limiter.AcceptHandover(m.clock(), 1, h) })
	}
}

func (m *simulation) writeRow(row *rowState, moves []share.Move) {
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

// crash stops f and moves its units after evictAfter, when the other members may
// evict it.
func (m *simulation) crash(f *simInstance, evictAfter time.Duration) {
	f.stopped = true
	m.after(evictAfter, func() {
		for _, t := range m.teams {
			row := m.rows[t.name]
			claimants := m.claimants(t)
			m.writeRow(row, share.Distribute(row.division, f.Name, row.division.UnitsOf(f.Name), claimants, share.Targets(t.quota.Resource(), row.division, claimants)))
		}
	})
}

func (m *simulation) scheduleArrival(t teamLoad) {
	rate := t.quota.Rate * t.utilization
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
		m.scheduleArrival(t)
	})
}

func (m *simulation) pickInstance(t teamLoad) *simInstance {
	region := t.home
	if t.rng.IntN(10) < 2 {
		region = "sokoto"
	}
	caller := t.rng.IntN(40)
	if m.anyInstance {
		live := m.live()
		return m.instanceByName(live[(caller+t.rng.IntN(len(live)))%len(live)].Name)
	}
	key := fmt.Sprintf("%s/%s/%d", t.name, region, caller)
	if f := m.assigned[key]; f != nil && !f.stopped {
		return f
	}
	answer := entry.Candidates(entry.Team{Name: t.name, Rate: t.quota.Rate}, region, fmt.Sprint(caller), m.live(), entry.DefaultSettings())
	m.assigned[key] = m.instanceByName(answer[0].Name)
	return m.assigned[key]
}

func (m *simulation) request(t teamLoad) {
	f := m.pickInstance(t)
	r := m.tallies[t.name]
	r.offered++
	if !m.globalBuckets[t.name].Take(m.clock()).Admitted() {
		r.globalRefusedInWindow++
	}
	if !f.staticBuckets[t.name].Take(m.clock()).Admitted() {
		r.staticRefusedInWindow++
	}
	if f.limiter.Allow(m.clock(), t.name).Admitted() {
		return
	}
	m.borrow(f, t, waiter{arrived: m.now, refuse: func() { r.refusedInWindow++ }})
}
