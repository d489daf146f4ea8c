package gateway

import (
	"math/rand/v2"
	"time"
)

// callerAddresses returns the addresses that a caller should use: instances of its
// region, and only where there is none, any others.
func (m *mesh) callerAddresses(p CallerLocation) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var local, remote []string
	add := func(s report) {
		if s.Region == p.Region {
			local = append(local, s.Callers)
			return
		}
		remote = append(remote, s.Callers)
	}
	if !m.leaving && m.ready() {
		add(m.self)
	}
	for _, other := range m.members {
		if time.Since(other.lastReport) <= aliveTimeout && other.Ready && !other.Leaving {
			add(other.report)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	return local[:min(len(local), maxAddresses)]
}

// maxAddresses is how many addresses callers use of one answer.
const maxAddresses = 64
