package shift

import (
	"math/rand/v2"
	"time"
)

// ramp is the baseline: fixed steps, each request sent at random, and a
// rollback when the new version's errors over all routes exceed a threshold.
type ramp struct {
	cfg       *Config
	rng       *rand.Rand
	threshold float64 // 1 disables the rollback
	share     float64
	phase     Phase
	window    Counts
	opened    time.Time
}

// rampWindow is the period over which the baseline measures errors.
const rampWindow = 30 * time.Second

func newRamp(cfg *Config, seed uint64, threshold float64) *ramp {
	return &ramp{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 2)), threshold: threshold, opened: epoch}
}

func (r *ramp) choose(int, time.Time) bool { return r.rng.Float64() < r.share }
func (r *ramp) outcome() Phase             { return r.phase }

func (r *ramp) record(_ int, o Outcome) {
	if !o.New {
		return
	}
	r.window.N++
	if o.Failed {
		r.window.Hits++
	}
}

func (r *ramp) step(now time.Time) {
	if r.window.N >= 50 && r.window.rate() > r.threshold {
		r.phase = RolledBack
		r.share = 0
		return
	}
	if now.Sub(r.opened) >= rampWindow {
		r.window, r.opened = Counts{}, now
	}
	since := now.Sub(r.cfg.Start)
	if since < 0 {
		return
	}
	for _, s := range r.cfg.Stages {
		r.share = float64(s.Cap) / float64(FullShare)
		r.phase = Running
		if since -= s.Hold; since < 0 {
			return
		}
	}
	r.phase = Watching
}
