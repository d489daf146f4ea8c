package ratelimit

import (
	"testing"
	"time"
)

func TestKnowledge(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	limited := func(perSecond float64) Limit { return Limit{Named: true, PerSecond: perSecond} }
	learned := Knowledge{}.AfterResponse(at(0), at(1), limited(2))
	for _, c := range []struct {
		name string
		k    Knowledge
		now  float64
		want Limit
	}{
		{"nothing known", Knowledge{}, 0, Limit{}},
		{"no limit named", Knowledge{}.AfterResponse(at(0), at(1), Limit{}), 1, Limit{}},
		{"named", learned, 1, limited(2)},
		{"lowered by an earlier request", learned.AfterResponse(at(0), at(2), limited(1)), 2, limited(1)},
		{"raised by a later request", learned.AfterResponse(at(1.5), at(2), limited(3)), 2, limited(3)},
		{"not raised by an earlier request", learned.AfterResponse(at(0.5), at(2), limited(3)), 2, limited(2)},
		{"lifted by a later request", learned.AfterResponse(at(1.5), at(2), Limit{}), 2, Limit{}},
		{"not lifted by an earlier request", learned.AfterResponse(at(0.5), at(2), Limit{}), 2, limited(2)},
		{"none at all", learned.AfterResponse(at(1.5), at(2), limited(0)), 2, limited(0)},
		{"reported by a peer", Knowledge{}.AfterReport(at(1), limited(2)), 2, limited(2)},
		{"lifted by a later report", learned.AfterReport(at(1.5), Limit{}), 2, Limit{}},
		{"not lifted by an earlier report", learned.AfterReport(at(0.5), Limit{}), 2, limited(2)},
		{"not confirmed for long", learned, 32, Limit{}},
		{"named again after that", learned.AfterResponse(at(0.5), at(40), limited(3)), 40, limited(3)},
	} {
		if got := c.k.Limit(at(c.now)); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	if _, reported := learned.Age(at(3)); !reported {
		t.Error("a new limit is not reported to peers")
	}
	if _, reported := learned.Age(at(5)); reported || learned.Expired(at(5)) {
		t.Error("an old limit is reported to peers, or not kept")
	}
	if lifted := learned.AfterResponse(at(2), at(3), Limit{}); lifted.Expired(at(4)) || !lifted.Expired(at(6)) {
		t.Error("the end of a limit is not kept until peers were told, or kept longer")
	}
}
