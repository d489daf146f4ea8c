package placing

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
)

// The model simulates callers, instances and endpoints of one service in virtual
// time. Endpoints have slots, a queue and a memory of objects, and shed requests
// that do not fit. Instances know the endpoints' loads from what they send, from
// responses, and from reports that they exchange twice a second.

// load is a deployment and the load on it.
type load struct {
	regions     []modelRegion
	slots       int
	queue       int
	memory      int           // objects that an endpoint keeps warm
	cold, warm  time.Duration // work on an object that is not and that is in memory
	goal, limit time.Duration
	objects     int           // per region
	rate        float64       // requests per second, over all regions
	homed       float64       // fraction that only the first region may serve
	wave        float64       // amplitude of the waves, as a fraction of the rate
	swing       float64       // amplitude of each region's own wave
	burst       span          // the rate is doubled
	move        span          // half of the first region's callers are in the second
	relayed     bool          // reports arrive as sums over the region, see relayLag
	away        time.Duration // round trip to other regions, 0 for remoteRoundTrip
	limited     int           // every which endpoint limits its requests from limitFrom on; 0 for none
	perSecond   float64       // that limit
	kinds       []modelKind   // if the requests differ; rate is the sum of theirs
	ranked      bool          // the placers know the ranks of the kinds
	until       time.Duration
	// slowFor is the mean length of an endpoint's slow moments, 0 for none, and
	// slowShare their share of the time. Work that starts in one takes slowFactor
	// times as long.
	slowFor               time.Duration
	slowShare, slowFactor float64
	tails, tailFactor     float64 // share of requests with more work, and the factor
	churn                 churn
}

// modelKind is a kind of requests with its work, goal, limit and rank.
type modelKind struct {
	name        string
	rank        int
	rate        float64
	cold, warm  time.Duration
	goal, limit time.Duration
}

// modelRegion is a region with its numbers of instances and endpoints.
type modelRegion struct {
	name      string
	instances int
	endpoints int
	phase     float64 // of its own wave, as a fraction of swingPeriod
}

// span is a period; the zero value is empty.
type span struct{ from, to time.Duration }

func (s span) has(t time.Duration) bool { return t >= s.from && t < s.to }

// wavePeriod is the time from one peak of a wave to the next.
const wavePeriod = 12 * time.Second

// swingPeriod is the time from one peak of a region's own wave to the next.
const swingPeriod = 36 * time.Second

// relayLag is how much later the sums over a region arrive than a direct report.
const relayLag = time.Second

// warmUp is the time in which endpoints do not have objects in memory yet.
// Windows within it are not considered for the worst window.
const warmUp = 4 * time.Second

// limitFrom is when endpoints begin to limit their requests.
const limitFrom = 6 * time.Second

// windowLength is the length of the windows among which the worst is found.
const windowLength = 2 * time.Second

// exchangeInterval is the time between two exchanges of reports between
// instances.
const exchangeInterval = 500 * time.Millisecond

// Round trips of the model.
const (
	localRoundTrip  = 3 * time.Millisecond
	remoteRoundTrip = 40 * time.Millisecond
)

// modelEndpoint is the actual state of one endpoint.
type modelEndpoint struct {
	catalog.Endpoint
	region  string
	running int
	waiting []*modelRequest
	known   []int // objects in memory, most recently used last
	sent    int   // requests there, as far as the policies know
	limited bool
	bucket  ratelimit.Bucket // of the all-knowing dispatcher
	arrived []time.Time      // requests while it is limited
	slow    bool             // in a slow moment
	churned churned
}

// modelRequest is one attempt of a caller.
type modelRequest struct {
	kind      modelKind
	object    int
	region    int
	first     time.Duration // time of the caller's first attempt
	retried   bool
	homed     bool
	instance  int
	choice    *Choice
	at        *modelEndpoint
	sentAt    time.Duration
	roundTrip time.Duration
	load      int     // requests at the endpoint when it responded, with this one
	workTime  float64 // the endpoint's fourth figure when it responded
}

// policy decides where a request goes.
type policy interface {
	// choose returns an endpoint, or nil and the time after which to retry, or
	// waits if it sends the request itself later.
	choose(m *model, r *modelRequest) (*modelEndpoint, time.Duration)
	// done reports how a request ended.
	done(m *model, r *modelRequest, o Outcome)
	// exchange is called every exchangeInterval.
	exchange(m *model)
}

// waits is the time after which to retry of a request that waits in its instance.
const waits = -1

// event is a function that runs at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// figures are the results of the callers.
type figures struct {
	requests, inGoal, late, refused int
	times                           []time.Duration
	worstRegion                     float64
	homed                           float64 // payoff of the requests that only the first region may serve
	worstWindow                     float64
}

// payoff is the users' measure: a late response is worth a fifth of one in time.
func (f figures) payoff() float64 {
	return (float64(f.inGoal) + 0.2*float64(f.late)) / float64(max(1, f.requests))
}

// quantile returns a quantile of the response times.
func (f figures) quantile(q float64) time.Duration {
	if len(f.times) == 0 {
		return 0
	}
	return f.times[int(q*float64(len(f.times)-1))]
}

func (f figures) String() string {
	return fmt.Sprintf("payoff %.3f, worst region %.3f, worst window %.3f, homed %.3f, in goal %d, late %d, refused %d of %d, p50 %d ms, p99 %d ms",
		f.payoff(), f.worstRegion, f.worstWindow, f.homed, f.inGoal, f.late, f.refused, f.requests,
		f.quantile(0.5).Milliseconds(), f.quantile(0.99).Milliseconds())
}

// model is one run of the simulation.
type model struct {
	load
	r         *rand.Rand
	moments   *rand.Rand // of slow moments and of requests with more work
	policy    policy
	now       time.Duration
	events    events
	seq       int
	endpoints []*modelEndpoint
	instances []Member
	byRegion  [][]int // indexes of the instances of each region
	perRegion []figures
	ofHomed   figures
	ofKind    map[string]*figures
	ofPair    map[pair]*figures // by kind and region of the caller
	windows   []figures         // by the time of the first attempt
	runs      [][]runAt         // by the region from which the requests came
}

// runAt is where a request ran and when it was sent there.
type runAt struct {
	sentAt time.Duration
	region string
	kind   string
	warm   bool // the endpoint had the object in memory
}

// pair is a kind of requests and the region from which they come.
type pair struct{ kind, region string }

// epoch is the model's start time.
var epoch = time.Unix(100_000, 0)

func (m *model) clock() time.Time { return epoch.Add(m.now) }

// after schedules f.
func (m *model) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now + d, seq: m.seq, do: f})
}

// newModel creates a deployment.
func newModel(l load, seed uint64) *model {
	m := &model{load: l, r: rand.New(rand.NewPCG(seed, 7)), moments: rand.New(rand.NewPCG(seed, 8)), perRegion: make([]figures, len(l.regions)), ofKind: make(map[string]*figures), ofPair: make(map[pair]*figures), byRegion: make([][]int, len(l.regions)), windows: make([]figures, l.until/windowLength+1), runs: make([][]runAt, len(l.regions))}
	for i, region := range l.regions {
		for j := range region.instances {
			m.byRegion[i] = append(m.byRegion[i], len(m.instances))
			m.instances = append(m.instances, Member{Name: fmt.Sprintf("%s-i%d", region.name, j), Region: region.name})
		}
		for j := range region.endpoints {
			id := fmt.Sprintf("%s-e%d", region.name, j)
			limited := l.limited > 0 && len(m.endpoints)%l.limited == 0
			m.endpoints = append(m.endpoints, &modelEndpoint{bucket: ratelimit.NewBucket(1), limited: limited, region: region.name, Endpoint: catalog.Endpoint{
				ID: id, Service: "s", Address: id, FailureDomain: region.name, Version: "v1", Slots: l.slots,
			}})
		}
	}
	return m
}

// run simulates the load with a policy.
func (m *model) run(p policy) figures {
	m.policy = p
	m.after(m.gap(), m.arrive)
	m.after(exchangeInterval, m.exchangeAll)
	for _, e := range m.endpoints {
		m.alternate(e)
	}
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.sum()
}

// alternate begins a usual period of an endpoint, which a slow moment follows.
func (m *model) alternate(e *modelEndpoint) {
	if m.slowFor == 0 || m.now > m.until {
		return
	}
	usual := m.slowFor.Seconds() * (1 - m.slowShare) / m.slowShare
	m.after(time.Duration(m.moments.ExpFloat64()*usual*float64(time.Second)), func() {
		e.slow = true
		m.after(time.Duration((0.5+m.moments.Float64())*float64(m.slowFor)), func() {
			e.slow = false
			m.alternate(e)
		})
	})
}

// workTime returns how long work takes at an endpoint, relative to the usual.
func (m *model) workTime(e *modelEndpoint) float64 {
	if e.slow {
		return m.slowFactor
	}
	return 1
}

// gap returns the time until the next request.
func (m *model) gap() time.Duration {
	rate := m.rate * (1 + m.wave*math.Sin(2*math.Pi*m.now.Seconds()/wavePeriod.Seconds()))
	if m.burst.has(m.now) {
		rate *= 2
	}
	return time.Duration(m.r.ExpFloat64() / (rate * (1 + m.swing)) * float64(time.Second))
}

func (m *model) exchangeAll() {
	m.policy.exchange(m)
	if m.now < m.until {
		m.after(exchangeInterval, m.exchangeAll)
	}
}

// arrive starts a caller's first attempt and schedules the next caller.
func (m *model) arrive() {
	if m.now < m.until {
		m.after(m.gap(), m.arrive)
	} else {
		return
	}
	region := m.r.IntN(len(m.regions))
	if m.swing > 0 && m.r.Float64()*(1+m.swing) > 1+m.swing*math.Sin(2*math.Pi*(m.now.Seconds()/swingPeriod.Seconds()+m.regions[region].phase)) {
		return
	}
	homed := m.homed > 0 && m.r.Float64() < m.homed
	object := region*m.objects + m.r.IntN(m.objects)
	if region == 0 && m.move.has(m.now) && m.r.IntN(2) == 0 {
		region = 1
	}
	m.attempt(&modelRequest{kind: m.pickKind(), object: object, region: region, homed: homed, first: m.now})
}

// pickKind returns the kind of the next request.
func (m *model) pickKind() modelKind {
	if len(m.kinds) == 0 {
		return modelKind{name: "r", cold: m.cold, warm: m.warm, goal: m.goal, limit: m.limit}
	}
	left := m.r.Float64() * m.rate
	for _, k := range m.kinds {
		if left -= k.rate; left < 0 {
			return k
		}
	}
	return m.kinds[len(m.kinds)-1]
}

// attempt sends a request to an instance of its region.
func (m *model) attempt(r *modelRequest) {
	r.instance = m.byRegion[r.region][m.r.IntN(len(m.byRegion[r.region]))]
	e, retry := m.policy.choose(m, r)
	if e == nil {
		m.refuse(r, retry)
		return
	}
	m.send(r, e)
}

// send sends a request to an endpoint.
func (m *model) send(r *modelRequest, e *modelEndpoint) {
	r.at, r.sentAt, r.roundTrip = e, m.now, m.remote()
	if e.region == m.regions[r.region].name {
		r.roundTrip = localRoundTrip
	}
	e.sent++
	m.after(r.roundTrip/2, func() { m.reach(r) })
}

// remote returns the round trip between regions.
func (m *model) remote() time.Duration { return cmp.Or(m.away, remoteRoundTrip) }

// refuse lets the caller retry once.
func (m *model) refuse(r *modelRequest, retry time.Duration) {
	if retry == waits {
		return
	}
	left := r.kind.limit - (m.now - r.first)
	if r.retried || left <= 0 {
		m.count(r, func(f *figures) { f.refused++ })
		return
	}
	r.retried = true
	m.after(min(max(retry, 50*time.Millisecond), left/3), func() { m.attempt(r) })
}

// reach delivers a request to its endpoint.
func (m *model) reach(r *modelRequest) {
	e := r.at
	if e.churned.down {
		m.fail(r)
		return
	}
	e.recordArrival(m)
	if m.rateLimit(e).Named {
		e.arrived = append(e.arrived, m.clock())
	}
	switch {
	case e.running < m.slots:
		m.work(r)
	case len(e.waiting) < m.queue:
		e.waiting = append(e.waiting, r)
	default:
		r.load, r.workTime = e.running+len(e.waiting), m.workTime(e)
		m.after(r.roundTrip/2, func() {
			e.sent--
			m.policy.done(m, r, OutcomeShed)
			e.churned.count(m, r, false)
			m.refuse(r, 100*time.Millisecond)
		})
	}
}

// work runs a request.
func (m *model) work(r *modelRequest) {
	e := r.at
	e.running++
	d, i := r.kind.cold, slices.Index(e.known, r.object)
	m.runs[r.region] = append(m.runs[r.region], runAt{r.sentAt, e.region, r.kind.name, i >= 0})
	if i >= 0 {
		d = r.kind.warm
		e.known = slices.Delete(e.known, i, i+1)
	}
	e.known = append(e.known, r.object)
	if len(e.known) > m.memory {
		e.known = e.known[1:]
	}
	d = time.Duration(float64(d) * (0.85 + 0.3*m.r.Float64()))
	if m.now < e.churned.coldUntil {
		d = time.Duration(float64(d) * DefaultRules().ColdSlowdown)
	}
	if e.churned.watched && (span{m.churn.absent.to, m.churn.absent.to + m.churn.weakFor}).has(m.now) {
		d = time.Duration(float64(d) * m.churn.weakFactor)
	}
	if m.slowFor > 0 {
		d = time.Duration(float64(d) * m.workTime(e))
	}
	if m.tails > 0 && m.moments.Float64() < m.tails {
		d = time.Duration(float64(d) * m.tailFactor)
	}
	life := e.churned.life
	m.after(d, func() {
		if life != e.churned.life {
			m.fail(r)
			return
		}
		r.load, r.workTime = e.running+len(e.waiting), m.workTime(e)
		e.running--
		e.recordAnswer(m)
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			m.work(next)
		}
		m.after(r.roundTrip/2, func() { m.answer(r) })
	})
}

// answer delivers a response to its caller.
func (m *model) answer(r *modelRequest) {
	r.at.sent--
	m.policy.done(m, r, OutcomeAnswered)
	elapsed := m.now - r.first
	r.at.churned.count(m, r, elapsed <= m.goal)
	m.count(r, func(f *figures) {
		f.times = append(f.times, elapsed)
		if elapsed <= r.kind.goal {
			f.inGoal++
		} else {
			f.late++
		}
	})
}

// count adds the end of a request to the figures that it belongs to.
func (m *model) count(r *modelRequest, add func(*figures)) {
	groups := []*figures{&m.perRegion[r.region], &m.windows[r.first/windowLength]}
	if r.homed {
		groups = append(groups, &m.ofHomed)
	}
	if m.ofKind[r.kind.name] == nil {
		m.ofKind[r.kind.name] = &figures{}
	}
	of := pair{r.kind.name, m.regions[r.region].name}
	if m.ofPair[of] == nil {
		m.ofPair[of] = &figures{}
	}
	groups = append(groups, m.ofKind[r.kind.name], m.ofPair[of])
	for _, f := range groups {
		f.requests++
		add(f)
	}
}

// rateLimit returns what an endpoint states about its limit.
func (m *model) rateLimit(e *modelEndpoint) ratelimit.Limit {
	if !e.limited || m.now < limitFrom {
		return ratelimit.Limit{}
	}
	return ratelimit.Limit{Named: true, PerSecond: m.perSecond}
}

// allowed reports whether an endpoint may serve a request.
func (m *model) allowed(e *modelEndpoint, r *modelRequest) bool {
	return !r.homed || e.region == m.regions[0].name
}

// sum combines the figures of the regions.
func (m *model) sum() figures {
	all := figures{worstRegion: 1}
	for _, f := range m.perRegion {
		all.requests += f.requests
		all.inGoal += f.inGoal
		all.late += f.late
		all.refused += f.refused
		all.times = append(all.times, f.times...)
		all.worstRegion = min(all.worstRegion, f.payoff())
	}
	slices.Sort(all.times)
	all.homed = m.ofHomed.payoff()
	all.worstWindow = 1
	for _, f := range m.windows[warmUp/windowLength : len(m.windows)-1] {
		all.worstWindow = min(all.worstWindow, f.payoff())
	}
	return all
}
