// Package capacity measures on the local machine what the parts of the system
// cost in processor time and bytes. Each measure runs at several sizes, and a
// line is fitted through the points. docs/CAPACITY.md multiplies the slopes by
// the design size.
package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

// minProcessorTime is the minimum processor time spent on one point.
const minProcessorTime = 100 * time.Millisecond

// Measure is a cost that grows with a size.
type Measure struct {
	// Name identifies the measure, such as "entries.answer".
	Name string `json:"name"`
	// Unit is the unit of the cost.
	Unit string `json:"unit"`
	// Size describes the quantity that grows, such as "endpoints".
	Size string `json:"size"`
	// Sizes are the sizes to measure, at least three.
	Sizes []int `json:"-"`
	// CostAt returns the cost at one size.
	CostAt func(size int) (float64, error) `json:"-"`
}

// Point is the measured cost at one size.
type Point struct {
	// Size is the measured size.
	Size int `json:"size"`
	// Cost is the cost in the unit of the measure.
	Cost float64 `json:"cost"`
}

// Slope is a least squares line through the points of a measure.
type Slope struct {
	Measure
	// Points are the measured costs.
	Points []Point `json:"points"`
	// PerSize is the slope of the line, the cost of one more unit of size.
	PerSize float64 `json:"perSize"`
	// Fixed is the intercept of the line, the cost at size 0.
	Fixed float64 `json:"fixed"`
	// Fit is the coefficient of determination; 1 means that all points are on
	// the line.
	Fit float64 `json:"fit"`
}

// Run measures the cost at all sizes and fits the line.
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

// fit computes the slope, the intercept and the coefficient of determination.
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

// processorTime returns the processor time used by the process, including
// garbage collection.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// nanosPerCall doubles the number of calls of f until they use at least
// minProcessorTime and returns the processor time per call in nanoseconds.
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

// heapBytes returns the heap size of the result of build, in bytes. The input
// of build is kept alive throughout, so that it cancels out.
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

// collectGarbage frees all garbage. Pools are emptied only by a second
// collection.
func collectGarbage() {
	runtime.GC()
	runtime.GC()
}
