package limit

import (
	"math"
	"time"
)

// demandWindow is the time constant of the smoothed demand.
const demandWindow = 15 * time.Second

// demand is an exponentially weighted request rate that includes refused
// requests. Until a whole window has passed it is the mean since the start.
type demand struct {
	start time.Time
	last  time.Time
	count float64 // weighted count
}

func (d *demand) add(now time.Time) {
	if d.last.IsZero() {
		d.start = now
	}
	d.decay(now)
	d.count++
}

func (d *demand) decay(now time.Time) {
	if gap := now.Sub(d.last); !d.last.IsZero() && gap > 0 {
		d.count *= math.Exp(-gap.Seconds() / demandWindow.Seconds())
	}
	d.last = now
}

// rate returns requests per second.
func (d *demand) rate(now time.Time) float64 {
	if d.last.IsZero() {
		return 0
	}
	value := d.count * math.Exp(-now.Sub(d.last).Seconds()/demandWindow.Seconds())
	age := math.Max(now.Sub(d.start).Seconds(), 1)
	effectiveWindow := demandWindow.Seconds() * (1 - math.Exp(-age/demandWindow.Seconds()))
	return value / effectiveWindow
}
