package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestChoose(t *testing.T) {
	tests := []struct {
		desc       string
		candidates []Candidate
		avoid      int
		want       int
	}{
		{"none free", []Candidate{{Limit: 1, Used: 1}, {Limit: 0}}, -1, -1},
		{"smallest used fraction", []Candidate{{Limit: 2, Used: 1}, {Limit: 6, Used: 2}}, -1, 1},
		{"over its limit during slow start", []Candidate{{Limit: 1, Used: 2}, {Limit: 3, Used: 2}}, -1, 1},
		{"suspected last", []Candidate{{Limit: 3, Suspected: true}, {Limit: 3, Used: 2}}, -1, 1},
		{"suspected rather than none", []Candidate{{Limit: 3, Suspected: true}, {Limit: 3, Used: 3}}, -1, 0},
		{"avoided last", []Candidate{{Limit: 3}, {Limit: 3, Suspected: true}}, 0, 1},
		{"avoided rather than none", []Candidate{{Limit: 3}, {Limit: 3, Used: 3}}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			for from := range tt.candidates {
				got := Choose(tt.candidates, from, func(i int) bool { return i == tt.avoid })
				if got != tt.want {
					t.Errorf("Choose from %d = %d, want %d", from, got, tt.want)
				}
			}
		})
	}
}

func TestSearch(t *testing.T) {
	regions := []Region{{"sokoto", 20 * time.Millisecond}, {"kano", time.Millisecond}, {"kaduna", 20 * time.Millisecond}}
	SortByLatency(regions)
	s := NewSearch(regions)
	var tried []string
	waits := []time.Duration{300 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond}
	for i := 0; ; i++ {
		r, maxWait, ok := s.Next()
		if !ok {
			break
		}
		tried = append(tried, regions[r].Name)
		if final := i == len(waits); final != (maxWait == 0) {
			t.Errorf("attempt %d has longest wait %v", i, maxWait)
		}
		if i < len(waits) {
			s.RecordBusy(waits[i])
		}
	}
	want := "[kano kaduna sokoto kaduna]"
	if got := fmt.Sprint(tried); got != want {
		t.Errorf("tried %s, want %s", got, want)
	}
}

func candidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Limit: 3, Used: i % 3}
	}
	return list
}

func TestChooseAllocatesNothing(t *testing.T) {
	for _, n := range []int{14, 1100} {
		list := candidates(n)
		if allocs := testing.AllocsPerRun(100, func() { Choose(list, 3, nil) }); allocs != 0 {
			t.Errorf("%d endpoints: %v allocations, want 0", n, allocs)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{14, 1100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := candidates(n)
			b.ReportAllocs()
			for i := range b.N {
				Choose(list, i%n, nil)
			}
		})
	}
}
