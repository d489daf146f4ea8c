package slots

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// event is one step of the event loop.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// scenario describes one service of a user.
type scenario struct {
	desc               string
	endpointCount      int
	slots              int
	interRegionLatency time.Duration // one-way latency
	meanService        time.Duration // mean service time
}

const (
	regionCount        = 3
	instanceCount      = 8
	intraRegionLatency = time.Millisecond
)

// simulation is a discrete-event simulation of instances and endpoints.
type simulation struct {
	scenario
	queue events
	seq   int
	now   time.Duration
	rng   *rand.Rand

	endpoints    []*simulatedEndpoint
	latencies    []time.Duration
	overCapacity int // requests that arrived at a full endpoint
}

// simulatedEndpoint runs requests in its slots and queues those that exceed
// them.
type simulatedEndpoint struct {
	region  int
	running int
	waiting []*job
}

// job is one request.
type job struct {
	instance      int
	sourceRegion  int           // region that sends it to the endpoint
	returnLatency time.Duration // latency of the response from sourceRegion to the instance
	arrived       time.Duration
	service       time.Duration
	endpoint      int
	// onServed is called when the endpoint has finished the job.
	onServed func()
	// onAnswered is called when the response has reached sourceRegion.
	onAnswered func()
}

func newSimulation(s scenario, seed uint64) *simulation {
	w := &simulation{scenario: s, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range s.endpointCount {
		w.endpoints = append(w.endpoints, &simulatedEndpoint{region: i % regionCount})
	}
	return w
}

func (w *simulation) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

// clock is the event loop's time as a time.Time.
func (w *simulation) clock() time.Time { return time.Unix(0, 0).Add(w.now) }

func regionOf(instance int) int { return instance % regionCount }

// latency is the one-way latency between two regions.
func (w *simulation) latency(a, b int) time.Duration {
	if a == b {
		return intraRegionLatency
	}
	return w.interRegionLatency
}

// send carries a job to an endpoint and its response back.
func (w *simulation) send(j *job, endpoint int) {
	j.endpoint = endpoint
	e := w.endpoints[endpoint]
	w.after(w.latency(j.sourceRegion, e.region), func() {
		if e.running >= w.slots {
			w.overCapacity++
			e.waiting = append(e.waiting, j)
			return
		}
		w.start(e, j)
	})
}

func (w *simulation) start(e *simulatedEndpoint, j *job) {
	e.running++
	w.after(j.service, func() {
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			w.start(e, next)
		}
		if j.onServed != nil {
			j.onServed()
		}
		w.after(w.latency(j.sourceRegion, e.region), func() {
			w.latencies = append(w.latencies, w.now+j.returnLatency-j.arrived)
			if j.onAnswered != nil {
				j.onAnswered()
			}
		})
	})
}

// run sends n jobs at 85 % of the slots and returns the 99th percentile of the
// time from arrival to response. The first tenth warms up and does not count.
func (w *simulation) run(n int, arrive func(*job)) time.Duration {
	const utilization = 0.85
	meanGap := float64(w.meanService+intraRegionLatency) / (utilization * float64(w.endpointCount*w.slots))
	at := 0.0
	for range n {
		at += w.rng.ExpFloat64() * meanGap
		j := &job{
			instance: w.rng.IntN(instanceCount),
			arrived:  time.Duration(at),
			service:  time.Duration(w.rng.ExpFloat64() * float64(w.meanService)),
		}
		j.sourceRegion = regionOf(j.instance)
		w.seq++
		heap.Push(&w.queue, event{j.arrived, w.seq, func() { arrive(j) }})
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	counted := slices.Clone(w.latencies[n/10:])
	slices.Sort(counted)
	return counted[len(counted)*99/100]
}
