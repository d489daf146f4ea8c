package attempt

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

func at(d time.Duration) time.Time { return time.Unix(1_000, 0).Add(d) }

func TestGroupWaitsAndFills(t *testing.T) {
	tests := []struct {
		desc     string
		claims   int
		outcomes int
		now      time.Duration
		want     int
		wake     time.Duration
	}{
		{"nothing queued", 0, 0, 0, 0, -1},
		{"one claim waits for others", 1, 0, 0, 0, DefaultMaxWait},
		{"one claim has waited", 1, 0, DefaultMaxWait, 1, 0},
		{"a full group does not wait", DefaultMaxRows, 0, 0, DefaultMaxRows, 0},
		{"an outcome waits longer", 0, 1, DefaultMaxWait, 0, DefaultMaxOutcomeWait},
		{"outcomes ride along", 1, 2, DefaultMaxWait, 3, 0},
		{"claims go first", DefaultMaxRows, 5, 0, DefaultMaxRows, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			group := NewGroup(DefaultGroupSettings(), at(0))
			for range tt.claims {
				_ = group.Add(&Change{Kind: KindClaim}, at(0))
			}
			for range tt.outcomes {
				_ = group.Add(&Change{Kind: KindFinish}, at(0))
			}
			changes, wake := group.Next(at(tt.now))
			if len(changes) != tt.want {
				t.Fatalf("%d changes, want %d", len(changes), tt.want)
			}
			if tt.want == 0 && tt.wake >= 0 && !wake.Equal(at(tt.wake)) {
				t.Fatalf("next call at %v, want %v", wake, at(tt.wake))
			}
		})
	}
}

func TestGroupBounds(t *testing.T) {
	settings := DefaultGroupSettings()
	group := NewGroup(settings, at(0))
	for range settings.MaxQueued {
		if err := group.Add(&Change{}, at(0)); err != nil {
			t.Fatal(err)
		}
	}
	if err := group.Add(&Change{}, at(0)); !errors.Is(err, ErrQueueFull) {
		t.Fatalf("Add to a full queue = %v, want ErrQueueFull", err)
	}
	for range settings.MaxInFlight {
		if changes, _ := group.Next(at(time.Second)); len(changes) != settings.MaxRows {
			t.Fatalf("%d changes, want a full group", len(changes))
		}
	}
	if changes, _ := group.Next(at(time.Second)); changes != nil {
		t.Fatal("more transactions in flight than MaxInFlight")
	}
}

// TestGroupKeepsToItsWriteRate adds claims far faster than the write rate and
// counts the transactions of a minute, including resends.
func TestGroupKeepsToItsWriteRate(t *testing.T) {
	settings := DefaultGroupSettings()
	group := NewGroup(settings, at(0))
	const length = time.Minute
	writes := 0
	for now := time.Duration(0); now < length; now += time.Millisecond {
		_ = group.Add(&Change{Key: fmt.Sprint(now)}, at(now))
		changes, _ := group.Next(at(now))
		if changes == nil {
			continue
		}
		writes++
		if writes%5 == 0 {
			writes++
			group.ChargeResend(at(now))
		}
		group.TransactionDone()
	}
	limit := int(math.Ceil(settings.WriteBurst+settings.WriteRate*length.Seconds())) + 1
	if writes > limit || writes < limit/2 {
		t.Fatalf("%d writes in a minute, want at most %d and at least half of that", writes, limit)
	}
}

func TestRemoveOnlyQueuedClaims(t *testing.T) {
	group := NewGroup(DefaultGroupSettings(), at(0))
	first, second := &Change{}, &Change{}
	_ = group.Add(first, at(0))
	if !group.Remove(first) || group.Remove(first) {
		t.Fatal("a queued claim was not removed exactly once")
	}
	_ = group.Add(second, at(0))
	group.Next(at(time.Second))
	if group.Remove(second) {
		t.Fatal("a claim in flight was removed")
	}
}

// TestEpochIsNeverShort lets two instances watch an epoch. One of them reads
// it only every 35 minutes.
func TestEpochIsNeverShort(t *testing.T) {
	watches := []*EpochWatch{NewEpochWatch(time.Hour), NewEpochWatch(time.Hour)}
	epoch, changed := uint64(1), time.Duration(0)
	for now := time.Duration(0); now < 48*time.Hour; now += 7 * time.Minute {
		for i, w := range watches {
			if i == 1 && now%(35*time.Minute) != 0 {
				continue
			}
			w.Observe(epoch, at(now))
			if !w.AdvanceDue(at(now)) {
				continue
			}
			if now-changed < time.Hour {
				t.Fatalf("epoch %d lasted only %v", epoch, now-changed)
			}
			epoch, changed = epoch+1, now
			w.Observe(epoch, at(now))
		}
	}
	if epoch < 24 {
		t.Fatalf("epoch %d after two days, want progress", epoch)
	}
}

func TestExpired(t *testing.T) {
	if Expired(10, 10+DefaultKeepEpochs+1, DefaultKeepEpochs) {
		t.Error("expired although the last epoch is not over")
	}
	if !Expired(10, 10+DefaultKeepEpochs+2, DefaultKeepEpochs) {
		t.Error("not expired after the last epoch")
	}
}
