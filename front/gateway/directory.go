package gateway

import (
	"math/rand/v2"
	"time"
)

// callerAddresses returns the addresses for a caller: those of the ready instances
// in its region or, if there are none, in other regions. Instances that reach no
// endpoint are named only if none does.
func (m *mesh) callerAddresses(location CallerLocation) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ready, reaching []report
	add := func(r report) {
		ready = append(ready, r)
		if !r.NoEndpoints {
			reaching = append(reaching, r)
		}
	}
	if !m.leaving && m.ready() {
		self := m.self
		self.NoEndpoints, _ = m.reach.IsCutOff()
		add(self)
	}
	for _, other := range m.members {
		if time.Since(other.lastReport) <= m.aliveFor() && other.Ready && !other.Leaving {
			add(other.report)
		}
	}
	if len(reaching) == 0 {
		reaching = ready
	}
	addresses := addressesNear(reaching, location.Region)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAddresses)]
}

// addressesNear returns the callers' addresses of the instances in a region, or of
// all if there are none.
func addressesNear(instances []report, region string) []string {
	var local, remote []string
	for _, r := range instances {
		if r.Region == region {
			local = append(local, r.Callers)
			continue
		}
		remote = append(remote, r.Callers)
	}
	if len(local) == 0 {
		return remote
	}
	return local
}

// maxAddresses is how many addresses of one directory response callers use.
const maxAddresses = 64
