package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the queued lines; at 300 bytes per line they take 150 KB.
	maxQueuedLines = 512
	// dropReportInterval is how often the number of dropped lines is logged while lines are dropped.
	dropReportInterval = time.Second
	// collectTime is how long lines are collected for one write. A write for each line wakes a goroutine and makes a system call
	// for each call of the mesh.
	collectTime = 100 * time.Millisecond
	// closeTimeout bounds the wait of Close for a reader of the log that has stopped reading. The process would not end before it is
	// killed, and its successor starts later.
	closeTimeout = time.Second
)

// BoundedWriter writes complete lines to a slow writer without ever blocking its callers: one goroutine writes, and lines
// that do not fit into its queue are dropped and counted. The number of dropped lines is written to the log itself.
type BoundedWriter struct {
	w                 io.Writer
	lines             chan []byte
	droppedUnreported atomic.Int64
	droppedTotal      atomic.Int64
	closing, done     chan struct{}
	closeOnce         sync.Once
	// reported is when dropped lines were last logged. It belongs to the goroutine that writes.
	reported time.Time
}

// NewBoundedWriter returns a writer and starts its goroutine, which Close ends.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{w: w, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues one line. A line that comes after Close, or while it waits, may be lost without being counted.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.lines <- line:
	default:
		b.droppedUnreported.Add(1)
		b.droppedTotal.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the start.
func (b *BoundedWriter) Dropped() int64 { return b.droppedTotal.Load() }

// Close writes the queued lines and stops the goroutine. It gives up after closeTimeout; what is not written by then is lost. Other
// goroutines may log until the process ends.
func (b *BoundedWriter) Close() {
	b.closeOnce.Do(func() { close(b.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.writeFrom(line)
		case <-b.closing:
			select {
			case line := <-b.lines:
				b.writeFrom(line)
			default:
			}
			return
		}
	}
}

// writeFrom writes a line with those that follow it, and the number of dropped lines if it is due.
func (b *BoundedWriter) writeFrom(line []byte) {
	// A failure to write the log cannot be reported anywhere.
	_, _ = b.w.Write(b.collect(line))
	if n := b.droppedUnreported.Load(); n > 0 && time.Since(b.reported) >= dropReportInterval {
		b.reported = time.Now()
		b.droppedUnreported.Add(-n)
		_, _ = fmt.Fprintf(b.w, "ts=%s level=warn event=log-lines-dropped count=%d\n", b.reported.UTC().Format(time.RFC3339Nano), n)
	}
}

// collect returns a line followed by those that are queued until collectTime has passed or the writer is closed.
func (b *BoundedWriter) collect(line []byte) []byte {
	timer := time.NewTimer(collectTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.closing:
	}
	for range maxQueuedLines { // others may log on, so that the queue need not become empty
		select {
		case next := <-b.lines:
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}
