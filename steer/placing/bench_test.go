package placing

import (
	"testing"
	"time"
)

// BenchmarkChoose places requests at 156 endpoints with the loads of 84 peers.
func BenchmarkChoose(b *testing.B) {
	for _, ranked := range []bool{false, true} {
		b.Run(map[bool]string{false: "one rank", true: "two ranks"}[ranked], func(b *testing.B) {
			l := ledger(1, 1)
			l.regions = []modelRegion{{"a", 28, 52, 0}, {"b", 28, 52, 0}, {"c", 29, 52, 0}}
			l.ranked = ranked
			m := newModel(l, 1)
			p := newPlaced(m)
			for _, peer := range m.instances[1:] {
				var loads []Load
				for i, e := range m.endpoints {
					if i%20 == len(peer.Name)%20 {
						loads = append(loads, Load{Endpoint: e.Incarnation(), Running: 1})
					}
				}
				p.placers[0].SetPeerLoads(peer.Name, loads)
			}
			q := Query{Service: "s", Route: "r", Object: "o", Goal: time.Second, GoalLeft: time.Second, DeadlineLeft: time.Minute, Rank: 2}
			b.ReportAllocs()
			for b.Loop() {
				c, err := p.placers[0].Choose(m.clock(), q)
				if err == nil {
					p.placers[0].Done(m.clock(), c, OutcomeUnknown, 0, -1)
				}
			}
		})
	}
}
