package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is how many lines wait for the writer; at 300 bytes a line they hold 150 KB.
	boundedLines = 512
	// droppedEvery is how often the number of dropped lines is written while lines are dropped.
	droppedEvery = time.Second
)

// BoundedWriter passes whole lines on to a slow writer without ever blocking: one goroutine writes, and lines that do not
// fit its queue are dropped and counted. The log itself says how many.
type BoundedWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// NewBoundedWriter starts a writer; Close ends it.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{w: w, lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues one line.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
		b.total.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the start.
func (b *BoundedWriter) Dropped() int64 { return b.total.Load() }

// Close writes what is queued and stops. Nothing may be written after it.
func (b *BoundedWriter) Close() {
	b.closing.Do(func() { close(b.lines) })
	<-b.done
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	var reported time.Time
	for line := range b.lines {
		// A log that cannot be written has nobody to tell.
		_, _ = b.w.Write(line)
		if n := b.dropped.Load(); n > 0 && time.Since(reported) >= droppedEvery {
			reported = time.Now()
			b.dropped.Add(-n)
			_, _ = fmt.Fprintf(b.w, "ts=%s level=warn event=log-lines-dropped count=%d\n", reported.UTC().Format(time.RFC3339Nano), n)
		}
	}
}
