package shift

import (
	"math"
	"time"
)

const (
	// minEpoch is the minimum time between two starting times of a detector.
	minEpoch = 2 * time.Second
	// maxEpochs bounds the number of starting times over a whole shift.
	maxEpochs = 512
)

// detector detects that a Tally starts to grow, at any time during a shift.
//
// While the versions are alike, a Tally alone loses evidence, which a fault
// that begins late would have to win back first. A detector therefore sums the
// evidence since each of a bounded number of starting times, using the
// Shiryaev-Roberts recursion. Divided by the number of starting times, the sum
// is again an e-process (Shin, Ramdas, Rinaldo, "E-detectors", 2022).
type detector struct {
	logs [len(oddsRatios)]float64
	last [len(oddsRatios)]float64
	// started is the number of starting times so far.
	started int
}

// advance adds starting times until there are as many as epochs, then applies
// the change of the Tally's logarithms since the last call.
func (d *detector) advance(logs *[len(oddsRatios)]float64, epochs int) {
	for ; d.started < epochs; d.started++ {
		for i := range d.logs {
			d.logs[i] = d.addStart(i)
		}
	}
	for i, l := range logs {
		d.logs[i] += l - d.last[i]
		d.last[i] = l
	}
}

// addStart returns logs[i] with one more starting time added.
func (d *detector) addStart(i int) float64 {
	if d.started == 0 {
		return 0
	}
	return logSumExp(d.logs[i], 0)
}

// log returns the logarithm of the evidence, summed over the starting times and
// averaged over the odds ratios.
func (d *detector) log() float64 {
	if d.started == 0 {
		return math.Inf(-1)
	}
	sum := d.logs[0]
	for _, l := range d.logs[1:] {
		sum = logSumExp(sum, l)
	}
	return sum - math.Log(float64(len(d.logs)))
}

// logSumExp returns the logarithm of exp(a) + exp(b).
func logSumExp(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// epochs schedules the starting times of detectors over a shift.
type epochs struct {
	begin  time.Time
	length time.Duration
	total  int
}

// newEpochs divides the time from begin to end into epochs of equal length.
func newEpochs(begin, end time.Time) epochs {
	duration := max(end.Sub(begin), minEpoch)
	length := max(minEpoch, duration/maxEpochs)
	return epochs{begin: begin, length: length, total: int((duration+length-1)/length) + 1}
}

// started returns the number of starting times that have passed at now.
func (e *epochs) started(now time.Time) int {
	if now.Before(e.begin) {
		return 0
	}
	return min(int(now.Sub(e.begin)/e.length)+1, e.total)
}
