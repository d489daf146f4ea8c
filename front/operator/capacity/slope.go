// Package capacity measures on this machine what the parts of the system cost,
// at several sizes each, and fits a line through the points. The page
// docs/CAPACITY.md multiplies the slopes by the design size.
package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

// minProcessorTime is how much processor time one point takes at least.
const minProcessorTime = 100 * time.Millisecond

// Measure is one cost that grows with one size.
type Measure struct {
	// Name names the measure, such as "entries.answer".
	Name string `json:"name"`
	// Unit is the unit of the cost.
	Unit string `json:"unit"`
	// Size is what grows.
	Size string `json:"size"`
	// Sizes are the measured sizes. At least three.
	Sizes []int `json:"-"`
	// CostAt returns the cost at one size.
	CostAt func(size int) (float64, error) `json:"-"`
}

// Point is one measured cost.
type Point struct {
	// Size is the size.
	Size int `json:"size"`
	// Cost is the cost in the measure's unit.
	Cost float64 `json:"cost"`
}

// Slope is a line through the points of a measure, by least squares.
type Slope struct {
	Measure
	// Points are the measured costs.
	Points []Point `json:"points"`
	// PerSize is the slope: the cost of one more.
	PerSize float64 `json:"perSize"`
	// Fixed is the cost at size 0 by the line.
	Fixed float64 `json:"fixed"`
	// Fit is the coefficient of determination, 1 when all points are on the
	// line.
	Fit float64 `json:"fit"`
}

// Run measures all sizes and fits the line.
func (m Measure) Run() (Slope, error) {
	s := Slope{Measure: m}
	for _, size := range m.Sizes {
		cost, err := m.CostAt(size)
		if err != nil {
			return s, fmt.Errorf("%s at %d: %w", m.Name, size, err)
		}
		s.Points = append(s.Points, Point{Size: size, Cost: cost})
	}
	s.fit()
	return s, nil
}

// fit sets the line's slope, its start and how well it fits.
func (s *Slope) fit() {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY, sumYY float64
	for _, p := range s.Points {
		x := float64(p.Size)
		sumX += x
		sumY += p.Cost
		sumXX += x * x
		sumXY += x * p.Cost
		sumYY += p.Cost * p.Cost
	}
	varX := n*sumXX - sumX*sumX
	varY := n*sumYY - sumY*sumY
	cov := n*sumXY - sumX*sumY
	s.PerSize = cov / varX
	s.Fixed = (sumY - s.PerSize*sumX) / n
	s.Fit = 1
	if varY > 0 {
		s.Fit = cov * cov / (varX * varY)
	}
}

// processorTime returns the processor time that the process has used, garbage
// collection included.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// nanosPerCall repeats f until it has used enough processor time and returns
// the processor time of one call, in nanoseconds.
func nanosPerCall(f func()) (float64, error) {
	f()
	calls := 1
	for {
		begin, err := processorTime()
		if err != nil {
			return 0, err
		}
		for range calls {
			f()
		}
		end, err := processorTime()
		if err != nil {
			return 0, err
		}
		if used := end - begin; used >= minProcessorTime {
			return float64(used.Nanoseconds()) / float64(calls), nil
		}
		calls *= 2
	}
}

// heapBytes returns the heap that the result of build holds, in bytes. What
// build works from is kept on both sides of the difference.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	collectGarbage()
	runtime.ReadMemStats(&before)
	result := build()
	collectGarbage()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	runtime.KeepAlive(build)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// collectGarbage frees all garbage; pools give theirs up in the second round.
func collectGarbage() {
	runtime.GC()
	runtime.GC()
}
