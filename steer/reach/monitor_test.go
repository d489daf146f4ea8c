package reach

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// fail lets connections to a number of endpoints fail.
func fail(m *Monitor, seconds float64, endpoints int) {
	for i := range endpoints {
		m.ConnectionEnded(at(seconds), fmt.Sprint(i), false)
	}
}

// cutOff returns a monitor of an instance that is cut off since 1 s.
func cutOff() *Monitor {
	m := New(DefaultRules())
	fail(m, 1, 3)
	m.ProbeEnded(at(1.4), m.Probe(at(1)), 0, false)
	return m
}

func TestWhenEndpointsAreProbed(t *testing.T) {
	few, many := DefaultRules().FewProbes, DefaultRules().ManyProbes
	for _, c := range []struct {
		name string
		play func(m *Monitor)
		cut  bool
		at   float64
		want int
	}{
		{"nothing has failed", func(*Monitor) {}, false, 5, 0},
		{"two endpoints have failed", func(m *Monitor) { fail(m, 1, 2) }, false, 1, 0},
		{"three endpoints have failed", func(m *Monitor) { fail(m, 1, 3) }, false, 1, many},
		{"one endpoint has failed thrice", func(m *Monitor) {
			for range 3 {
				fail(m, 1, 1)
			}
		}, false, 1, few},
		{"one endpoint has failed twice", func(m *Monitor) {
			for range 2 {
				fail(m, 1, 1)
			}
		}, false, 1, 0},
		{"one accepted in between", func(m *Monitor) {
			fail(m, 1, 2)
			m.ConnectionEnded(at(1.1), "other", true)
			fail(m, 1.2, 2)
		}, false, 1.3, 0},
		{"a request runs without a response", func(m *Monitor) { m.RequestStarted(at(1)) }, false, 2.1, few},
		{"a request has just started", func(m *Monitor) { m.RequestStarted(at(1)) }, false, 1.5, 0},
		{"no request runs", func(m *Monitor) {
			m.RequestStarted(at(1))
			m.RequestEnded(at(2), false)
		}, false, 9, 0},
		{"another got a response", func(m *Monitor) {
			m.RequestStarted(at(1))
			m.RequestStarted(at(1))
			m.RequestEnded(at(2), true)
		}, false, 2.5, 0},
		{"a probe is in progress", func(m *Monitor) {
			fail(m, 1, 3)
			m.Probe(at(1))
		}, false, 3, 0},
		{"few endpoints were probed in vain", func(m *Monitor) {
			m.RequestStarted(at(1))
			n := m.Probe(at(2))
			fail(m, 2.2, 3)
			m.ProbeEnded(at(2.4), n, 0, false)
		}, false, 2.5, many},
		{"cut off", func(*Monitor) {}, true, 2, few},
		{"cut off, just probed", func(*Monitor) {}, true, 1.6, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(DefaultRules())
			if c.cut {
				m = cutOff()
			}
			c.play(m)
			if got := m.Probe(at(c.at)); got != c.want {
				t.Errorf("%d endpoints are probed, want %d", got, c.want)
			}
		})
	}
}

func TestWhatAProbeChanges(t *testing.T) {
	many := DefaultRules().ManyProbes
	for _, c := range []struct {
		name             string
		cut              bool
		probed, accepted int
		complete         bool
		want             Change
	}{
		{"none of many accepts", false, many, 0, false, CutOff},
		{"one of many accepts", false, many, 1, false, Unchanged},
		{"none of few accepts", false, 2, 0, false, Unchanged},
		{"none of all there are accepts", false, 2, 0, true, CutOff},
		{"there are none", false, 0, 0, true, Unchanged},
		{"still none accepts", true, 2, 0, false, Unchanged},
		{"one accepts again", true, 2, 1, false, Restored},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(DefaultRules())
			if c.cut {
				m = cutOff()
			}
			if got := m.ProbeEnded(at(3), c.probed, c.accepted, c.complete); got != c.want {
				t.Errorf("change %d, want %d", got, c.want)
			}
			if cut, _ := m.IsCutOff(); cut != (c.want == CutOff || c.cut && c.want == Unchanged) {
				t.Errorf("cut off: %t", cut)
			}
		})
	}
}
