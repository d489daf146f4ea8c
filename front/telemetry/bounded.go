package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is how many log lines are buffered for a slow reader,
	// about 400 KB.
	maxBufferedLines = 1024
	// dropReportInterval is the interval between two log lines with the number
	// of dropped lines.
	dropReportInterval = time.Second
)

// BoundedWriter buffers log lines for a writer that may be slow or blocked.
// Write never blocks: lines that don't fit into the buffer are counted and
// dropped. Run must be called once.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewBoundedWriter returns a writer whose Run writes the lines to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return &BoundedWriter{lines: make(chan []byte, maxBufferedLines), out: out}
}

// Write implements io.Writer. It buffers a copy of line, which must be one
// whole log line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes buffered lines until ctx ends, then writes those that are left.
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

// flush writes the lines that are left in the buffer.
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

// reportDropped logs how many lines were dropped since the last report, if any.
func (w *BoundedWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		w.writeLine(fmt.Appendf(nil, `{"level":"warning","msg":"Log lines dropped.","prefix":"log","dropped":%d}`+"\n", n))
	}
}

// writeLine writes one line. A write error is ignored: the log itself is the
// only place to report it.
func (w *BoundedWriter) writeLine(line []byte) { _, _ = w.out.Write(line) }
