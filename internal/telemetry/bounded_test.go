package telemetry_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/telemetry"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a log that blocks its callers when it is not read, and against dropped lines that are not reported.
func TestBoundedWriterDropsAndCounts(t *testing.T) {
	is := is.New(t)
	slow := &slowWriter{release: make(chan struct{})}
	b := telemetry.NewBoundedWriter(slow)
	const lines = 2000
	for range lines {
		n, err := b.Write([]byte("line\n")) // returns although nothing is written
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(b.Dropped() > 0)
	close(slow.release)
	b.Close()
	written := strings.Count(slow.text.String(), "line\n")
	is.Equal(int64(written)+b.Dropped(), int64(lines))
	is.True(strings.Contains(slow.text.String(), "event=log-lines-dropped"))
}

// countingWriter counts writes and keeps the text.
type countingWriter struct {
	writes int
	text   strings.Builder
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.writes++
	return w.text.Write(p)
}

// Guards against lines that are lost or mixed up when they are written together, and against a write for each line.
func TestBoundedWriterCollectsLines(t *testing.T) {
	is := is.New(t)
	out := &countingWriter{}
	b := telemetry.NewBoundedWriter(out)
	want := strings.Builder{}
	for i := range 100 {
		line := strings.Repeat("x", i) + "\n"
		want.WriteString(line)
		_, err := b.Write([]byte(line))
		is.NoErr(err)
	}
	b.Close()
	is.Equal(out.text.String(), want.String())
	is.True(out.writes <= 10)
}

// Guards against a process that panics instead of writing its last lines, because another goroutine logs while the writer is closed.
func TestBoundedWriterDropsLinesAfterClose(t *testing.T) {
	is := is.New(t)
	slow := &slowWriter{release: make(chan struct{})}
	b := telemetry.NewBoundedWriter(slow)
	_, err := b.Write([]byte("last\n"))
	is.NoErr(err)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		b.Close()
	}()
	for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, err := b.Write([]byte("late\n"))
		is.NoErr(err)
	}
	close(slow.release)
	<-closed
	_, err = b.Write([]byte("after\n"))
	is.NoErr(err)
	is.True(strings.Contains(slow.text.String(), "last\n"))
	is.True(!strings.Contains(slow.text.String(), "after\n"))
}

// Guards against a process that does not end because nobody reads its log, until it is killed at the end of its grace time.
func TestBoundedWriterClosesWhenTheLogIsNotRead(t *testing.T) {
	is := is.New(t)
	slow := &slowWriter{release: make(chan struct{})}
	b := telemetry.NewBoundedWriter(slow)
	_, err := b.Write([]byte("line\n"))
	is.NoErr(err)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		b.Close()
	}()
	select {
	case <-closed:
	case <-time.After(30 * time.Second):
		t.Fatal("Close waits for the reader of the log")
	}
	close(slow.release)
}
