package slots

import (
	"testing"

	"pgregory.net/rapid"
)

// checkSlots fails if an endpoint runs more requests than it has slots.
func (m *fleet) checkSlots(t *rapid.T) {
	used := make(map[string]int)
	for _, r := range m.running {
		if m.now.Before(r.until) {
			used[r.address]++
		}
	}
	for address, n := range used {
		if n > m.slots[address] {
			t.Fatalf("%d requests at endpoint %s with %d slots", n, address, m.slots[address])
		}
	}
}

// step performs one random action.
func (m *fleet) step() {
	actions := []struct {
		weight int
		do     func()
	}{
		{60, m.deliver},
		{40, m.request},
		{30, m.finish},
		{10, m.abort},
		{10, m.cancel},
		{40, m.advance},
		{2, m.kill},
		{4, m.freeze},
		{6, m.unfreeze},
		{30, m.takeOver},
	}
	n := m.rng.IntN(232)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			a.do()
			return
		}
	}
}

// TestSlotsAreNeverExceeded checks after each random step that no endpoint
// runs more requests than it has slots, whatever messages are lost and
// whichever instances die, freeze or take over.
func TestSlotsAreNeverExceeded(t *testing.T) {
	const steps = 2000
	granted, brokers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newFleet(rapid.Uint64().Draw(t, "seed"))
		for range steps {
			m.step()
			m.checkSlots(t)
		}
		granted += m.granted
		brokers += int(m.epoch)
	})
	t.Logf("%d grants used, %d brokers", granted, brokers)
}
