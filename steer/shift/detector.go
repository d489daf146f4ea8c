package shift

import (
	"math"
	"time"
)

const (
	// minEpoch is the shortest time between two starts of a detector.
	minEpoch = 2 * time.Second
	// maxEpochs bounds the starts over a whole shift.
	maxEpochs = 512
)

// detector finds the moment from which a Tally grows.
//
// A Tally alone loses while the versions are alike and would have to win all
// of that back when a fault begins late. A detector therefore keeps the sum of
// the evidence since each of a bounded number of starting times, by the recursion
// of Shiryaev and Roberts; divided by that number the sum is again an e-process
// (Shin, Ramdas, Rinaldo, "E-detectors", 2022).
type detector struct {
	logs [len(oddsRatios)]float64
	last [len(oddsRatios)]float64
	// started is the number of starting times so far.
	started int
}

// advance takes the Tally's present logarithms, after starting as often as
// epochs says.
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

// log returns the logarithm of the evidence summed over starting times and
// averaged over odds ratios.
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

// epochs plans the starting times of detectors over a shift.
type epochs struct {
	begin  time.Time
	length time.Duration
	total  int
}

// newEpochs divides the time from begin to end.
func newEpochs(begin, end time.Time) epochs {
	whole := max(end.Sub(begin), minEpoch)
	length := max(minEpoch, whole/maxEpochs)
	return epochs{begin: begin, length: length, total: int((whole+length-1)/length) + 1}
}

// started returns how many starting times have passed at now.
func (e *epochs) started(now time.Time) int {
	if now.Before(e.begin) {
		return 0
	}
	return min(int(now.Sub(e.begin)/e.length)+1, e.total)
}
