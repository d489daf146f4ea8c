package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/retry"
)

// The instances together keep to the slack although each creates its budget
// before it knows the others.
func TestRetrySlackHoldsWhenTheFleetIsFoundLater(t *testing.T) {
	const instances, slack = 10, 50
	size, total := 1, 0
	for range instances {
		size = 1
		b := &retryBudgets{
			settings:  newLiveSettings(&Settings{RetryRatio: 0.2, RetrySlack: slack}),
			fleetSize: func() int { return size },
			services:  make(map[string]*retry.Budget),
		}
		b.deposit("s")
		size = instances
		for b.tryWithdraw("s") {
			total++
		}
	}
	if total > slack {
		t.Fatalf("%d retries without requests, the slack is %d", total, slack)
	}
}

// Guards against the slack of the whole fleet at each of its instances: while an
// instance is cut off or has just started, the others share the slack all the same.
func TestRetrySlackHoldsWhileInstancesAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slack = 50
		n, all := newDomainNetwork(t, 3, 3, nil)
		for _, m := range all {
			n.setDown(m.self.Name, true)
		}
		time.Sleep(5 * time.Second)
		total := 0
		for _, m := range all {
			b := newRetryBudgets(newLiveSettings(&Settings{RetryRatio: 0.2, RetrySlack: slack}), m)
			for b.tryWithdraw("s") {
				total++
			}
		}
		if total > slack {
			t.Fatalf("%d retries without requests, the slack is %d", total, slack)
		}
	})
}
