package slots

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGrant requests and releases one slot while half of the endpoints
// are in use.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{14, 1100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			broker := testBroker()
			broker.SetEndpoints(benchEndpoints(n), testStart)
			for number := range uint64(n / 2) {
				request(broker, number+1, testStart)
			}
			number := uint64(n)
			now := testStart
			b.ReportAllocs()
			for b.Loop() {
				number++
				now = now.Add(time.Microsecond)
				out := request(broker, number, now)
				if len(out) != 1 || out[0].Grant == nil {
					b.Fatalf("request %d: %+v, want a grant", number, out)
				}
				broker.Release(Release{ID: out[0].ID, Group: testGroup}, now)
			}
		})
	}
}

// benchEndpoints returns n endpoints of two slots each.
func benchEndpoints(n int) []Endpoint {
	endpoints := make([]Endpoint, n)
	for i := range endpoints {
		endpoints[i] = Endpoint{Address: fmt.Sprint("e", i), Slots: 2}
	}
	return endpoints
}
