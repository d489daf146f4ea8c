package broker

import (
	"testing"
	"time"
)

// BenchmarkAcquire acquires and releases slots, at the broker's own instance
// and at a peer over a real connection.
func BenchmarkAcquire(b *testing.B) {
	for _, local := range []bool{true, false} {
		desc := "elsewhere"
		if local {
			desc = "at the broker"
		}
		b.Run(desc, func(b *testing.B) {
			ctx := testContext(b)
			_, store, nodes := startNodes(b, 5*time.Second)
			first := waitForBroker(ctx, b, store, "")
			n := nodes[0]
			for _, other := range nodes {
				if (other.service.fleet.Name() == first) == local {
					n = other
				}
			}
			s, err := acquire(ctx, n, 5*time.Second)
			if err != nil {
				b.Fatal(err)
			}
			s.Release(ReleaseInfo{Answered: true})
			b.ReportAllocs()
			for b.Loop() {
				s, err := acquire(ctx, n, 5*time.Second)
				if err != nil {
					b.Fatal(err)
				}
				s.Release(ReleaseInfo{Answered: true})
			}
		})
	}
}
