package gateway

import (
	"math/rand/v2"
	"time"
)

// find returns the addresses that a caller should use: instances of its
// region, and only where there is none, any others.
func (m *mesh) find(p CallerLocation) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far []string
	add := func(s state) {
		if s.Region == p.Region {
			near = append(near, s.Callers)
			return
		}
		far = append(far, s.Callers)
	}
	if !m.leaving && m.ready() {
		add(m.self)
	}
	for _, other := range m.members {
		if time.Since(other.heard) <= silentAfter && other.Ready && !other.Leaving {
			add(other.state)
		}
	}
	if len(near) == 0 {
		near = far
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near[:min(len(near), mostAddresses)]
}

// mostAddresses is how many addresses callers use of one answer.
const mostAddresses = 64
