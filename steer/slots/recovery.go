package slots

import (
	"slices"
	"time"
)

// recoveryWait returns the longest time until the broker may grant slots; 0
// means that it may do so now.
func (b *Broker) recoveryWait(now time.Time) time.Duration {
	if len(b.missingReports) == 0 {
		return 0
	}
	return max(0, b.recoveryEnd.Sub(now))
}

// MissingReports returns the instances whose reports are missing.
func (b *Broker) MissingReports() []string {
	names := make([]string, 0, len(b.missingReports))
	for name := range b.missingReports {
		names = append(names, name)
	}
	return names
}

// Holders returns the instances that may hold grants: those with grants of
// this broker and those that have not reported. A successor needs their
// reports.
func (b *Broker) Holders() []string {
	names := b.MissingReports()
	for id := range b.grants {
		if !slices.Contains(names, id.Instance) {
			names = append(names, id.Instance)
		}
	}
	slices.Sort(names)
	return names
}

// ApplyReport adds an instance's reported grants. They count as slots in use
// until they expire or are released.
func (b *Broker) ApplyReport(r Report, now time.Time) []Outcome {
	for _, h := range r.Held {
		b.adoptGrant(h, now)
	}
	for _, h := range r.PeerGrants {
		b.adoptGrant(h, now)
	}
	delete(b.missingReports, r.Instance)
	return b.grantUnlessRecovering(now)
}

// adoptGrant counts a grant of an earlier epoch as a slot in use.
func (b *Broker) adoptGrant(h HeldGrant, now time.Time) {
	if _, known := b.grants[h.ID]; known {
		return
	}
	if _, ended := b.released[h.ID]; ended {
		return
	}
	s := b.ensureEndpoint(h.Address)
	s.used++
	expiresAt := now.Add(max(0, h.Remaining) + b.settings.Guard)
	b.grants[h.ID] = &activeGrant{since: now, Grant: Grant{
		ID: h.ID, Group: b.group, Epoch: b.epoch, Address: h.Address, ExpiresAt: expiresAt,
	}}
}

// WaiveReport ends the wait for the previous broker's report, on the
// assumption that the reports of all other instances list its grants. This
// holds only for the previous broker, because a broker has a peer record its
// own grants before it uses them. The call has no effect until every other
// instance has reported. Grants that the previous broker held from the broker
// before it are not recorded by any peer and must have expired.
func (b *Broker) WaiveReport(previous string, now time.Time) []Outcome {
	if len(b.missingReports) != 1 || !b.missingReports[previous] {
		return nil
	}
	delete(b.missingReports, previous)
	return b.grantUnlessRecovering(now)
}
