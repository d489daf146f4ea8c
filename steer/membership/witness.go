package membership

import "time"

// Probe asks a witness whether it still answers a holder.
type Probe struct {
	// Holder names the instance that asks.
	Holder string `json:"holder"`
	// Version is the version of the holder's last committed renewal.
	Version uint64 `json:"version"`
	// Witness names the instance that is asked. A process at the same address
	// under another name must not answer.
	Witness string `json:"witness"`
}

// ProbeAnswer is the witness's answer.
type ProbeAnswer struct {
	// Answered says that the holder may count on the witness.
	Answered bool `json:"answered"`
}

// PromiseRequest asks a witness to answer a silent holder no more.
type PromiseRequest struct {
	// Holder names the silent instance.
	Holder string `json:"holder"`
	// Version is the version of the holder's row as read.
	Version uint64 `json:"version"`
	// Witness names the instance that is asked.
	Witness string `json:"witness"`
}

// PromiseAnswer is the witness's answer.
type PromiseAnswer struct {
	// Promised says that no right which the witness gave to the holder is left,
	// and that it gives none again for that version or an older one.
	Promised bool `json:"promised"`
}

// Witness answers holders and promises to answer them no more. It lives as
// long as its process: a restarted process has another name, so its empty
// memory does no harm. It is not safe for concurrent use.
type Witness struct {
	name       string
	settings   Settings
	answeredAt map[string]time.Time
	refusals   map[string]refusal
}

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

// Answer decides on a probe at time now.
func (w *Witness) Answer(now time.Time, p Probe) ProbeAnswer {
	if p.Witness != w.name || p.Version <= w.refusals[p.Holder].version {
		return ProbeAnswer{}
	}
	w.answeredAt[p.Holder] = now
	return ProbeAnswer{Answered: true}
}

// Promise decides on a request at time now. A holder that was answered within
// the witness's lease is alive, so the promise is declined.
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

// Prune forgets holders whose rights have ended by the long lease.
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
