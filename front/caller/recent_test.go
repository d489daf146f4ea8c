package caller

import (
	"testing"
	"time"
)

func TestRecentOutcomesExpire(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	r := NewRecent()
	for i := range 120 {
		r.add(begin.Add(time.Duration(i)*time.Second), recentKey{team: "ward-01", route: "read"})
	}
	r.add(begin.Add(100*time.Second), recentKey{team: "ward-01", route: "read", reason: ReasonDeadline})
	r.add(begin.Add(100*time.Second), recentKey{team: "large", route: "read", reason: ReasonDeadline})
	tests := []struct {
		desc        string
		after       time.Duration
		team, route string
		want        []uint64
	}{
		{"one team, most frequent first", 119 * time.Second, "ward-01", "", []uint64{70, 1}},
		{"all teams", 119 * time.Second, "", "read", []uint64{70, 1, 1}},
		{"another route", 119 * time.Second, "", "book", nil},
		{"half a window later", 150 * time.Second, "ward-01", "", []uint64{30, 1}},
		{"long after", time.Hour, "", "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got := r.Outcomes(begin.Add(tt.after), tt.team, tt.route)
			if len(got) != len(tt.want) {
				t.Fatalf("%d outcomes %+v, want %v", len(got), got, tt.want)
			}
			for i := range got {
				if got[i].Count != tt.want[i] {
					t.Errorf("outcome %+v, want count %d", got[i], tt.want[i])
				}
			}
		})
	}
}
