package placing

import (
	"testing"
	"time"
)

// An endpoint that reports one request, the one that it answers, has none.
func TestReportedLoadCountsTheAnsweredRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		outcome  Outcome
		reported int
		want     int
	}{
		{OutcomeAnswered, 1, 0},
		{OutcomeAnswered, 4, 3},
		{OutcomeFailed, 2, 1},
		{OutcomeShed, 12, 12},
		{OutcomeAnswered, 0, 0},
		{OutcomeAnswered, -1, 0},
	} {
		p := testPlacer(now, testEntries(1))
		choice, err := p.Choose(now, restrictionQuery)
		if err != nil {
			t.Fatal(err)
		}
		p.Done(now, choice, c.outcome, 300*time.Millisecond, c.reported)
		if u := p.Usages(now); u[0].Running != c.want {
			t.Errorf("%v with %d reported: %d running, want %d", c.outcome, c.reported, u[0].Running, c.want)
		}
	}
}
