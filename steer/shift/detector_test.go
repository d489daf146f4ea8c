package shift

import (
	"testing"
	"time"
)

// TestDetectorFindsLateFault checks that a fault is detected quickly after the
// versions were alike for a long time. Without a detector, the tally would
// first have to win back the evidence lost in that time.
func TestDetectorFindsLateFault(t *testing.T) {
	const enough, most = 15.0, 300
	var tally Tally
	var d detector
	for i := range 2000 {
		tally.AddBatch(Counts{50, 1}, Counts{50, 1})
		d.advance(&tally.Logs, 1+i/10)
	}
	for requests := 0; d.log() < enough; requests += 10 {
		if requests > most {
			t.Fatalf("evidence %.1f after %d requests of a bad version, want %.0f", d.log(), requests, enough)
		}
		tally.AddBatch(Counts{10, 2}, Counts{10, 0})
		d.advance(&tally.Logs, 200)
	}
}

func TestEpochsCoverTheShift(t *testing.T) {
	e := newEpochs(epoch, epoch.Add(24*time.Hour))
	if e.total > maxEpochs+1 {
		t.Errorf("%d starting times planned, want at most %d", e.total, maxEpochs+1)
	}
	if got := e.started(epoch.Add(-time.Second)); got != 0 {
		t.Errorf("%d starting times passed before the shift, want 0", got)
	}
	if got := e.started(epoch.Add(48 * time.Hour)); got != e.total {
		t.Errorf("%d starting times passed after the shift, want all %d", got, e.total)
	}
}
