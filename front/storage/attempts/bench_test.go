package attempts

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// BenchmarkAttempt claims and finishes keys from many goroutines over an
// in-process store, without a limit on the write rate. It measures the CPU time
// and memory of one attempt.
func BenchmarkAttempt(b *testing.B) {
	settings := DefaultSettings()
	settings.Group.WriteRate, settings.Group.WriteBurst = 1e9, 1e9
	settings.Group.MaxWait = time.Millisecond
	settings.Group.MaxQueued = 1 << 20
	store := standin.NewStore()
	recorder, err := New(settings, store, "kano", "kano-1", noop.NewMeterProvider().Meter("bench"), logrus.New())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- recorder.Run(ctx) }()
	waitReady(recorder)
	var made atomic.Uint64
	b.ReportAllocs()
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a, err := recorder.Begin(context.Background(), requestFor(strconv.FormatUint(made.Add(1), 10)))
			if err != nil {
				b.Error(err)
				return
			}
			a.Finish(attempt.Outcome{Status: 200})
		}
	})
	b.StopTimer()
	cancel()
	if err := <-ended; err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(b.N)/float64(store.Counts().Writes), "attempts/write")
}
