package attempts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// workload is a constant rate of attempts at one instance.
type workload struct {
	oneWay   time.Duration
	rate     float64 // attempts per second
	settings Settings
}

// workloadResult is the latency and the number of writes that a workload
// caused.
type workloadResult struct {
	attempts int
	failed   int
	writes   float64
	median   time.Duration
	p99      time.Duration
}

const workloadLength = 20 * time.Second

// runWorkload makes attempts at one instance for workloadLength, with Poisson
// arrivals. Each attempt is finished after serviceTime.
func runWorkload(t *testing.T, l workload) workloadResult {
	store := standin.NewStore()
	recorder, stop := startRecorder(t, l.settings, newRemoteTable(store, l.oneWay, 1, faultRates{}), "instance-1")
	waitReady(recorder)
	before := store.Counts().Writes
	random := rand.New(rand.NewPCG(3, 0))
	var (
		mu     sync.Mutex
		added  []time.Duration
		failed int
		wait   sync.WaitGroup
	)
	start := time.Now()
	for i := 0; time.Since(start) < workloadLength; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
		wait.Go(func() {
			begin := time.Now()
			a, err := recorder.Begin(context.Background(), requestFor(fmt.Sprint(i)))
			mu.Lock()
			added = append(added, time.Since(begin))
			if err != nil {
				failed++
			}
			mu.Unlock()
			if err == nil {
				time.Sleep(serviceTime)
				a.Finish(attempt.Outcome{Status: 200})
			}
		})
	}
	wait.Wait()
	stop()
	slices.Sort(added)
	return workloadResult{
		attempts: len(added),
		failed:   failed,
		writes:   float64(store.Counts().Writes - before),
		median:   added[len(added)/2],
		p99:      added[len(added)*99/100],
	}
}

// TestAddedTimeAndWrites measures the latency that a claim adds at several
// distances to the store and the number of attempts per table write, and logs
// the same for one write per record. The writes must stay within the store's
// budget, and the latency within one round trip, the maximum wait for the group
// and one interval of the write rate.
func TestAddedTimeAndWrites(t *testing.T) {
	ungroupedSettings := DefaultSettings()
	ungroupedSettings.Group.MaxRows = 1
	ungroupedSettings.Group.MaxInFlight = 1 << 20
	ungroupedSettings.Group.WriteRate = 1e9
	ungroupedSettings.Group.WriteBurst = 1e9
	for _, oneWay := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 55 * time.Millisecond} {
		for _, rate := range []float64{5, 50, 400} {
			t.Run(fmt.Sprintf("%v one way, %v a second", oneWay, rate), func(t *testing.T) {
				var grouped, ungrouped workloadResult
				synctest.Test(t, func(t *testing.T) { grouped = runWorkload(t, workload{oneWay, rate, DefaultSettings()}) })
				synctest.Test(t, func(t *testing.T) { ungrouped = runWorkload(t, workload{oneWay, rate, ungroupedSettings}) })
				t.Logf("grouped: %.1f attempts per write, adds %v median, %v p99; one record per write: %.1f attempts per write, adds %v median, %v p99",
					float64(grouped.attempts)/grouped.writes, grouped.median, grouped.p99,
					float64(ungrouped.attempts)/ungrouped.writes, ungrouped.median, ungrouped.p99)
				budget := attempt.DefaultWriteBurst + attempt.DefaultWriteRate*(workloadLength+DefaultFlushTimeout).Seconds()
				if grouped.writes > budget {
					t.Errorf("%.0f writes, the budget is %.0f", grouped.writes, budget)
				}
				const interval = time.Second / attempt.DefaultWriteRate
				if most := 2*oneWay + attempt.DefaultMaxWait + interval; grouped.p99 > most || grouped.failed > 0 {
					t.Errorf("p99 adds %v, want at most %v; %d failed", grouped.p99, most, grouped.failed)
				}
			})
		}
	}
}
