package membership

import "time"

// Probe asks a witness whether it still answers a holder.
type Probe struct {
	// Holder names the instance that sends the probe.
	Holder string `json:"holder"`
	// Version is the version of the holder's last committed renewal.
	Version uint64 `json:"version"`
	// Witness names the instance that is probed. A process at the same address
	// under another name must not answer.
	Witness string `json:"witness"`
}

// ProbeAnswer is the witness's answer to a probe.
type ProbeAnswer struct {
	// Answered is set if the witness extends the holder's lease.
	Answered bool `json:"answered"`
}

// PromiseRequest asks a witness to stop answering a silent holder.
type PromiseRequest struct {
	// Holder names the silent instance.
	Holder string `json:"holder"`
	// Version is the version of the holder's row as read.
	Version uint64 `json:"version"`
	// Witness names the instance that the request is for.
	Witness string `json:"witness"`
}

// PromiseAnswer is the witness's answer to a promise request.
type PromiseAnswer struct {
	// Promised is set if no earlier answer of the witness extends the holder's
	// lease any more and the witness will not answer probes with that version
	// or an older one.
	Promised bool `json:"promised"`
}

// Witness answers the probes of holders and promises to stop answering them.
// Its state lives as long as the process. A restarted process has another
// name, so losing the state is safe. It is not safe for concurrent use.
type Witness struct {
	name       string
	settings   Settings
	answeredAt map[string]time.Time
	refusals   map[string]refusal
}

// refusal is the newest version of a holder's row that the witness has
// promised not to answer.
type refusal struct {
	version uint64
	at      time.Time
}

// NewWitness returns the witness of the instance called name.
func NewWitness(name string, s Settings) *Witness {
	return &Witness{
		name:       name,
		settings:   s,
		answeredAt: make(map[string]time.Time),
		refusals:   make(map[string]refusal),
	}
}

// Answer answers a probe received at time now.
func (w *Witness) Answer(now time.Time, p Probe) ProbeAnswer {
	if p.Witness != w.name || p.Version <= w.refusals[p.Holder].version {
		return ProbeAnswer{}
	}
	w.answeredAt[p.Holder] = now
	return ProbeAnswer{Answered: true}
}

// Promise answers a promise request received at time now. It declines if the
// holder was answered within the witness lease, because that answer may still
// extend the holder's lease.
func (w *Witness) Promise(now time.Time, r PromiseRequest) PromiseAnswer {
	if r.Witness != w.name {
		return PromiseAnswer{}
	}
	answeredAt, answered := w.answeredAt[r.Holder]
	if answered && now.Before(answeredAt.Add(w.settings.WitnessLease+w.settings.Guard)) {
		return PromiseAnswer{}
	}
	if r.Version > w.refusals[r.Holder].version {
		w.refusals[r.Holder] = refusal{version: r.Version, at: now}
	}
	return PromiseAnswer{Promised: true}
}

// Prune removes holders whose long lease has ended.
func (w *Witness) Prune(now time.Time) {
	keep := w.settings.LongLease + 2*w.settings.Guard
	for name, r := range w.refusals {
		if now.Sub(r.at) > keep {
			delete(w.refusals, name)
		}
	}
	for name, at := range w.answeredAt {
		if now.Sub(at) > keep {
			delete(w.answeredAt, name)
		}
	}
}
