package gateway

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/steer/placing"
)

const (
	// regionLogInterval is the shortest time between two lines on one fraction.
	regionLogInterval = 2 * time.Second
	// regionLogStep is the change of a fraction from which it is logged.
	regionLogStep = 0.1
)

// regionKey names a fraction.
type regionKey struct{ service, region string }

// regionLog logs the fractions of this instance's requests that run in each region.
type regionLog struct {
	placer *placing.Placer
	log    logrus.FieldLogger
	logged map[regionKey]float64
}

func newRegionLog(p *placing.Placer, log *logrus.Logger) *regionLog {
	return &regionLog{placer: p, log: log.WithField("prefix", "regions"), logged: make(map[regionKey]float64)}
}

// Run logs changes until ctx ends.
func (r *regionLog) Run(ctx context.Context) error {
	runEvery(ctx, regionLogInterval, func(time.Time) { r.logChanges() })
	return nil
}

// logChanges logs the fractions that have changed since they were last logged.
func (r *regionLog) logChanges() {
	for _, u := range r.placer.RegionUses() {
		key := regionKey{u.Service, u.Region}
		if math.Abs(u.Fraction-r.logged[key]) < regionLogStep {
			continue
		}
		r.log.WithFields(logrus.Fields{
			"service": u.Service, "region": u.Region, "fraction": hundredths(u.Fraction), "before": hundredths(r.logged[key]), "load": hundredths(u.Load),
		}).Info("Fraction of the requests that run in a region.")
		r.logged[key] = u.Fraction
	}
}

// hundredths rounds a number for a log line.
func hundredths(x float64) float64 { return math.Round(100*x) / 100 }
