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

// scene is the size of one service at one user.
type scene struct {
	desc    string
	targets int
	slots   int
	across  time.Duration // one way between regions
	service time.Duration // mean service time
}

const (
	regionCount   = 3
	instanceCount = 8
	inRegion      = time.Millisecond
)

// world is the event loop with its instances and endpoints.
type world struct {
	scene
	queue events
	seq   int
	now   time.Duration
	rng   *rand.Rand

	endpoints []*worldEndpoint
	took      []time.Duration
	excess    int // requests that met a full endpoint
}

// worldEndpoint runs requests in its slots and queues what comes beyond them.
type worldEndpoint struct {
	region  int
	running int
	waiting []*job
}

// job is one request.
type job struct {
	instance int
	from     int           // region that it is sent from
	far      time.Duration // way of the answer from there to the instance
	arrived  time.Duration
	service  time.Duration
	endpoint int
	// served is called when the endpoint has ended the job.
	served func()
	// answered is called when the answer has reached the instance.
	answered func()
}

func newWorld(s scene, seed uint64) *world {
	w := &world{scene: s, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range s.targets {
		w.endpoints = append(w.endpoints, &worldEndpoint{region: i % regionCount})
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

// clock is the event loop's time as a time.Time.
func (w *world) clock() time.Time { return time.Unix(0, 0).Add(w.now) }

func regionOf(instance int) int { return instance % regionCount }

// distance is the one-way latency between two regions.
func (w *world) distance(a, b int) time.Duration {
	if a == b {
		return inRegion
	}
	return w.across
}

// send carries a job to an endpoint and its answer back.
func (w *world) send(j *job, endpoint int) {
	j.endpoint = endpoint
	e := w.endpoints[endpoint]
	w.after(w.distance(j.from, e.region), func() {
		if e.running >= w.slots {
			w.excess++
			e.waiting = append(e.waiting, j)
			return
		}
		w.start(e, j)
	})
}

func (w *world) start(e *worldEndpoint, j *job) {
	e.running++
	w.after(j.service, func() {
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			w.start(e, next)
		}
		if j.served != nil {
			j.served()
		}
		w.after(w.distance(j.from, e.region), func() {
			w.took = append(w.took, w.now+j.far-j.arrived)
			if j.answered != nil {
				j.answered()
			}
		})
	})
}

// run sends n jobs at 85 % of the slots and returns the 99th percentile of the
// time from arrival to answer. The first tenth warms up and does not count.
func (w *world) run(n int, arrive func(*job)) time.Duration {
	const use = 0.85
	gap := float64(w.service+inRegion) / (use * float64(w.targets*w.slots))
	at := 0.0
	for range n {
		at += w.rng.ExpFloat64() * gap
		j := &job{
			instance: w.rng.IntN(instanceCount),
			arrived:  time.Duration(at),
			service:  time.Duration(w.rng.ExpFloat64() * float64(w.service)),
		}
		j.from = regionOf(j.instance)
		w.seq++
		heap.Push(&w.queue, event{j.arrived, w.seq, func() { arrive(j) }})
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	counted := slices.Clone(w.took[n/10:])
	slices.Sort(counted)
	return counted[len(counted)*99/100]
}
