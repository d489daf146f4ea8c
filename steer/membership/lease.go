package membership

import (
	"slices"
	"time"
)

// Lease is the holder's view of its own row. It is not safe for concurrent
// use.
type Lease struct {
	settings Settings

	version          uint64    // version of the last renewal known to be committed; 0 means none
	renewedAt        time.Time // when that renewal was sent
	witnesses        []string  // witnesses named in the committed row
	renewalPending   bool      // a renewal has been sent and is not resolved
	outcomeUnknown   bool      // an attempt of that renewal may have taken effect, now or later
	pendingWitnesses []string  // witnesses named in the pending renewal
	pendingSince     time.Time // when the pending renewal was first sent

	evicted bool // the row was removed by an eviction

	probeAnsweredAt map[string]time.Time // by witness: when the last answered probe was sent
}

// NewLease returns a lease that is not held.
func NewLease(s Settings) *Lease {
	return &Lease{settings: s, probeAnsweredAt: make(map[string]time.Time)}
}

// Version returns the version of the last renewal known to be committed; 0
// means none. It is the expected version of the next write and the version
// that probes carry.
func (l *Lease) Version() uint64 { return l.version }

// RenewedAt returns when the last committed renewal was sent.
func (l *Lease) RenewedAt() time.Time { return l.renewedAt }

// RenewalPending reports whether the outcome of a renewal is still unknown.
func (l *Lease) RenewalPending() bool { return l.renewalPending }

// BeginRenewal starts a renewal at time sentAt and returns the witnesses that
// the row must name. While an earlier renewal is pending, this is the earlier
// list, so that the row has one of two known contents whichever write takes
// effect. It must not be called while NeedsNewName returns true.
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

// RenewalCommitted records that the renewal sent at sentAt was committed as
// version. A version that is already known changes nothing.
func (l *Lease) RenewalCommitted(version uint64, sentAt time.Time) {
	if version <= l.version || !l.renewalPending {
		return
	}
	l.version = version
	l.renewedAt = sentAt
	l.witnesses = l.pendingWitnesses
	l.clearPending()
}

// RenewalNotCommitted records that the last attempt certainly had no effect.
func (l *Lease) RenewalNotCommitted() {
	if !l.outcomeUnknown {
		l.clearPending()
	}
}

// RenewalUncertain records that the last attempt may have taken effect or may
// still do so.
func (l *Lease) RenewalUncertain() { l.outcomeUnknown = true }

// RowObserved records a read of the holder's own row. Only the holder writes
// the row, so a newer version confirms a pending renewal. The lease then
// counts from the first attempt, because others may have seen the row since
// then.
func (l *Lease) RowObserved(version uint64) {
	if !l.renewalPending || version <= l.version {
		return
	}
	l.RenewalCommitted(version, l.pendingSince)
}

// RowRemoved ends the lease after the row was removed by an eviction.
func (l *Lease) RowRemoved() {
	*l = *NewLease(l.settings)
	l.evicted = true
}

// NeedsNewName reports whether the instance must register under a new name. A
// name whose first write has an unknown outcome, or that was evicted, must not
// be used for a new row: its versions would start over, and an instance that
// evicts by the version of the first row could remove the second.
func (l *Lease) NeedsNewName() bool {
	return l.evicted || l.version == 0 && l.outcomeUnknown
}

func (l *Lease) clearPending() {
	l.renewalPending = false
	l.outcomeUnknown = false
	l.pendingWitnesses = nil
}

// ProbeAnswered records that a witness answered a probe that was sent at
// sentAt and carried version.
func (l *Lease) ProbeAnswered(witness string, version uint64, sentAt time.Time) {
	if version != l.version {
		return
	}
	if sentAt.After(l.probeAnsweredAt[witness]) {
		l.probeAnsweredAt[witness] = sentAt
	}
}

// WitnessesToProbe returns the witnesses of the committed row and of the
// pending renewal.
func (l *Lease) WitnessesToProbe() []string {
	all := slices.Clone(l.witnesses)
	for _, w := range l.pendingWitnesses {
		if !slices.Contains(all, w) {
			all = append(all, w)
		}
	}
	return all
}

// ValidUntil returns the end of the lease on the holder's clock. The zero time
// means that no lease is held.
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

// validByWitnesses returns until when witnesses extend the lease. While a
// renewal is pending, the row may name either list of witnesses, so a majority
// of both is required.
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

// majorityAnsweredSince returns the latest time such that a majority of the
// witnesses answered a probe sent at that time or later; zero if there is
// none.
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

// Majority returns how many of n witnesses must answer a holder to extend its
// lease.
func Majority(n int) int { return n/2 + 1 }

// PromisesNeeded returns how many of n witnesses must refuse a holder so that
// no majority can answer it.
func PromisesNeeded(n int) int { return n - Majority(n) + 1 }
