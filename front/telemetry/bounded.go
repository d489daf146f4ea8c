package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is how many log lines wait for a slow reader, about 400 KB.
	maxBufferedLines = 1024
	// dropReportInterval is the time between two lines that say how many were lost.
	dropReportInterval = time.Second
)

// BoundedWriter passes log lines on to a writer that may be slow or stuck. It
// never blocks its caller: lines for which there is no room are counted and
// dropped. Run must be called once.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewBoundedWriter returns a writer that passes lines on to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return &BoundedWriter{lines: make(chan []byte, maxBufferedLines), out: out}
}

// Write implements io.Writer. It takes a copy of one whole line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run passes lines on until ctx ends, and then those that still wait.
func (w *BoundedWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-ticker.C:
			w.reportDropped()
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

// flush passes the waiting lines on.
func (w *BoundedWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			w.reportDropped()
			return
		}
	}
}

// reportDropped says how many lines were lost since the last time.
func (w *BoundedWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		w.writeLine(fmt.Appendf(nil, `{"level":"warning","msg":"Log lines dropped.","prefix":"log","dropped":%d}`+"\n", n))
	}
}

// writeLine writes one line. There is nowhere to report a failure to.
func (w *BoundedWriter) writeLine(line []byte) { _, _ = w.out.Write(line) }
