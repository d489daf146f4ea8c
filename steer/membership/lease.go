package membership

import (
	"slices"
	"time"
)

// Lease is the holder's side of its own row. It is not safe for concurrent
// use.
type Lease struct {
	settings Settings

	version          uint64    // version of the last renewal known to be committed; 0 is none
	renewedAt        time.Time // when that renewal was sent
	witnesses        []string  // witnesses that the committed row names
	renewalPending   bool      // a renewal is out
	outcomeUnknown   bool      // an attempt of that renewal had an unknown outcome
	pendingWitnesses []string  // witnesses that the unsettled renewal names
	pendingSince     time.Time // when the unsettled renewal was first sent

	evicted bool // the row was removed

	probeAnsweredAt map[string]time.Time // per witness, when the last answered probe was sent
}

// NewLease returns a lease that is not held.
func NewLease(s Settings) *Lease {
	return &Lease{settings: s, probeAnsweredAt: make(map[string]time.Time)}
}

// Version returns the version of the last renewal known to be committed; 0
// means none. It is the expected version of the next write, and the version
// that probes carry.
func (l *Lease) Version() uint64 { return l.version }

// RenewedAt returns when the last committed renewal was sent.
func (l *Lease) RenewedAt() time.Time { return l.renewedAt }

// RenewalPending says that the outcome of a renewal is unknown.
func (l *Lease) RenewalPending() bool { return l.renewalPending }

// BeginRenewal starts a renewal at time asked and returns the witnesses that the row
// must name. While an earlier renewal is unsettled, that is the earlier list:
// the row then has one of two known contents, whichever write arrives. It must
// not be called when NameSpent says so.
func (l *Lease) BeginRenewal(sentAt time.Time, witnesses []string) []string {
	if l.renewalPending {
		l.outcomeUnknown = true
		return slices.Clone(l.pendingWitnesses)
	}
	l.renewalPending = true
	l.pendingWitnesses = slices.Clone(witnesses)
	l.pendingSince = sentAt
	return slices.Clone(l.pendingWitnesses)
}

// RenewalCommitted reports that the renewal sent at asked was committed as version. A
// version that is known already changes nothing.
func (l *Lease) RenewalCommitted(version uint64, sentAt time.Time) {
	if version <= l.version || !l.renewalPending {
		return
	}
	l.version = version
	l.renewedAt = sentAt
	l.witnesses = l.pendingWitnesses
	l.clearPending()
}

// RenewalNotCommitted reports that the last attempt certainly had no effect.
func (l *Lease) RenewalNotCommitted() {
	if !l.outcomeUnknown {
		l.clearPending()
	}
}

// RenewalUncertain reports that the last attempt may have had an effect, now or
// later.
func (l *Lease) RenewalUncertain() { l.outcomeUnknown = true }

// RowObserved reports a read of the holder's own row. Only the holder writes the
// row, so a newer version settles an unsettled renewal. The lease is counted
// from the first attempt, as others may have seen the row since then.
func (l *Lease) RowObserved(version uint64) {
	if !l.renewalPending || version <= l.version {
		return
	}
	l.RenewalCommitted(version, l.pendingSince)
}

// Lost ends the lease: the row was removed by an eviction.
func (l *Lease) Lost() {
	*l = *NewLease(l.settings)
	l.evicted = true
}

// NeedsNewName says that the instance must register under a new name. A name
// whose first write is in doubt, or that was evicted, must not be written as a
// new row again: versions would start over, and a taker that saw the first row
// could take the second for it.
func (l *Lease) NeedsNewName() bool {
	return l.evicted || l.version == 0 && l.outcomeUnknown
}

func (l *Lease) clearPending() {
	l.renewalPending = false
	l.outcomeUnknown = false
	l.pendingWitnesses = nil
}

// ProbeAnswered reports that a witness answered a probe that was sent at asked and
// carried version.
func (l *Lease) ProbeAnswered(witness string, version uint64, sentAt time.Time) {
	if version != l.version {
		return
	}
	if sentAt.After(l.probeAnsweredAt[witness]) {
		l.probeAnsweredAt[witness] = sentAt
	}
}

// WitnessesToProbe returns the witnesses to probe.
func (l *Lease) WitnessesToProbe() []string {
	all := slices.Clone(l.witnesses)
	for _, w := range l.pendingWitnesses {
		if !slices.Contains(all, w) {
			all = append(all, w)
		}
	}
	return all
}

// ValidUntil returns the end of the holder's right, on the holder's clock. The
// zero time means that there is none.
func (l *Lease) ValidUntil() time.Time {
	if l.version == 0 {
		return time.Time{}
	}
	end := l.renewedAt.Add(l.settings.Lease - l.settings.Guard)
	if w := l.validByWitnesses(); w.After(end) {
		end = w
	}
	if last := l.renewedAt.Add(l.settings.LongLease - l.settings.Guard); end.After(last) {
		end = last
	}
	return end
}

// validByWitnesses returns the end of the right that witnesses give. With an
// unsettled renewal the row may name either list, so both must agree.
func (l *Lease) validByWitnesses() time.Time {
	end := l.majorityAnsweredSince(l.witnesses)
	if l.renewalPending {
		if p := l.majorityAnsweredSince(l.pendingWitnesses); p.Before(end) {
			end = p
		}
	}
	if end.IsZero() {
		return end
	}
	return end.Add(l.settings.WitnessLease - l.settings.Guard)
}

// majorityAnsweredSince returns the latest time since which a majority of witnesses
// has been asked and has answered.
func (l *Lease) majorityAnsweredSince(witnesses []string) time.Time {
	times := make([]time.Time, 0, len(witnesses))
	for _, w := range witnesses {
		if t, ok := l.probeAnsweredAt[w]; ok {
			times = append(times, t)
		}
	}
	need := Majority(len(witnesses))
	if len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1]
}

// Majority returns how many of n witnesses must answer a holder.
func Majority(n int) int { return n/2 + 1 }

// PromisesNeeded returns how many of n witnesses must refuse a holder before
// no majority can answer it.
func PromisesNeeded(n int) int { return n - Majority(n) + 1 }
