package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/rollouts"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
)

// A flood of requests is limited, failures are logged rather than successes,
// and the log says how many lines were omitted.
func TestLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(&out)
	limiter := newLogLimiter(log)
	now := time.Unix(1000, 0)
	kept, failures := 0, 0
	for range 1000 {
		if limiter.allowRequest(now) {
			kept++
			continue
		}
		if limiter.allowFailure(now) {
			failures++
		}
	}
	if kept != fullyLoggedPerSecond || failures != failureLinesPerSecond {
		t.Errorf("%d requests fully logged, %d failures of others", kept, failures)
	}
	limiter.allowRequest(now.Add(time.Second))
	var line struct {
		Lines int `json:"lines"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil || line.Lines != 1000-kept-failures {
		t.Errorf("line %q: %v", strings.TrimSpace(out.String()), err)
	}
}

// blockedWriter is a log output that blocks.
type blockedWriter struct{ until chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.until
	return len(p), nil
}

// BenchmarkLogTry measures what logging costs one attempt that gets a response
// at once.
func BenchmarkLogTry(b *testing.B) {
	until := make(chan struct{})
	defer close(until)
	for name, out := range map[string]io.Writer{"read": io.Discard, "stuck": blockedWriter{until}} {
		b.Run(name, func(b *testing.B) {
			w := telemetry.NewBoundedWriter(out)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = w.Run(ctx) }()
			log, err := telemetry.NewLog(telemetry.LogSettings{Format: "json"}, w)
			if err != nil {
				b.Fatal(err)
			}
			t, err := telemetry.NewMetrics()
			if err != nil {
				b.Fatal(err)
			}
			m, err := newMetrics(t)
			if err != nil {
				b.Fatal(err)
			}
			s := &sender{metrics: m, reach: newReachMonitor(), logLimiter: newLogLimiter(log)}
			x := &exchange{logAll: true, log: log.WithField("request", "9c41d07be2a35f68"), route: &catalog.Route{Name: "r"}, catalog: &catalog.Catalog{Version: "1"}}
			c := &placing.Choice{Endpoint: catalog.Endpoint{ID: "i-7f3a91c2", Version: "v1"}}
			b.ReportAllocs()
			for b.Loop() {
				s.logAttempt(x, &placement{Choice: c, reason: rollouts.ReasonAny}, placing.OutcomeAnswered, nil, nil, time.Second, 1)
			}
		})
	}
}
