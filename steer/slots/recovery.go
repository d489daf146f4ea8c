package slots

import (
	"slices"
	"time"
)

// recoveryWait returns the longest time until the broker may hand out slots; 0
// means that it may.
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

// Holders returns the instances that may hold grants, for a successor: those
// with grants and those not yet heard.
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

// ApplyReport takes in an instance's report. asked is when it was asked for.
// The broker counts the reported grants until they lapse or are released.
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

// adoptGrant counts a grant of an earlier epoch.
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

// WaiveReport says that an instance will not report, and that all its grants are
// known from the reports of the others. It may be called for the former broker
// alone, because a broker notes its own grants with another instance before it
// uses them; it has no effect before every other instance has reported. Grants
// that the former broker held from the broker before it are noted nowhere and
// must have lapsed.
func (b *Broker) WaiveReport(previous string, now time.Time) []Outcome {
	if len(b.missingReports) != 1 || !b.missingReports[previous] {
		return nil
	}
	delete(b.missingReports, previous)
	return b.grantUnlessRecovering(now)
}
