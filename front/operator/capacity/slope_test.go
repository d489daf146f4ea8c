package capacity

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	m := Measure{Name: "line", Sizes: []int{1, 2, 4, 8}, CostAt: func(n int) (float64, error) { return 3*float64(n) + 5, nil }}
	s, err := m.Run()
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		desc      string
		got, want float64
	}{
		{"slope", s.PerSize, 3},
		{"start", s.Fixed, 5},
		{"fit", s.Fit, 1},
	} {
		if math.Abs(tt.got-tt.want) > 1e-9 {
			t.Errorf("%s = %v, want %v", tt.desc, tt.got, tt.want)
		}
	}
}

func TestHeapBytes(t *testing.T) {
	const size = 10 << 20
	input := make([]byte, size)
	got := heapBytes(func() any { return append([]byte(nil), input...) })
	if math.Abs(got-size) > size/10 {
		t.Errorf("a copy of %d bytes holds %v bytes", size, got)
	}
}
