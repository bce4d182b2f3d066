package traffic_test

import (
	"io"
	"net/http"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/traffic"
)

// endlessResponses begin responses that continue with filler until the connection is closed.
var endlessResponses = []struct{ name, start, filler string }{
	{"header field", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Long: ", "aaaaaaaa"},
	{"header fields", "HTTP/1.1 200 OK\r\nX-Id: ID\r\n", "X-Field: value\r\n"},
	{"informational responses", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	{"no HTTP", "zzzz", "zzzzzzzz"},
	{"lines that are no HTTP", "no status line\r\n", "no field\r\n"},
	{"chunks", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\naaaaaaaa\r\n"},
	{"chunk size", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5;", "extension"},
	{"trailer", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", "X-Field: value\r\n"},
	{"body without length", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\n\r\n", "aaaaaaaa"},
}

// Guards against a response without end that occupies a slot and memory until the deadline, that reaches the caller as
// complete, or whose connection stays open.
func TestEndlessResponsesAreCut(t *testing.T) {
	for _, c := range endlessResponses {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			bad := startScriptedTarget(t, func(int, *http.Request) string { return c.start })
			bad.filler = strings.Repeat(c.filler, 1000)
			good := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })

			alone := startChain(t, bad)
			alone.deadline = time.Minute // the test would time out if only the deadline ended the call
			for i := range 6 {           // more than the target has slots
				status, header, body, err := alone.call(t.Context(), "POST", "/once/x")
				is.NoErr(err)
				is.Equal(status, http.StatusBadGateway)
				is.True(header.Get("X-Stamp") == "" && !strings.Contains(body, "aaaa"))
				is.Equal(bad.received.Load(), int64(i+1))
				<-bad.cut // the connection is closed
			}

			both := startChain(t, bad, good)
			for range 5 {
				status, _, body, err := both.call(t.Context(), "GET", "/safe/x")
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
				is.Equal(body, "whole")
			}
		})
	}
}

// writeEndlessly writes the filler until the connection is closed, and reports that to cut.
func (s *scriptedTarget) writeEndlessly(w io.Writer) {
	for {
		if _, err := io.WriteString(w, s.filler); err != nil {
			select {
			case s.cut <- struct{}{}:
			default:
			}
			return
		}
	}
}

// Guards against responses without a length that together exceed the memory of the process, and against a budget that is not
// returned when a response has been passed on or cut.
func TestUnsizedResponsesShareABudget(t *testing.T) {
	is := is.New(t)
	const size = 1000
	response := "HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\n\r\n" + strings.Repeat("a", size)
	target := startScriptedTarget(t, func(int, *http.Request) string { return response })
	ch := startChain(t, target)
	ch.inbounds[0].SetUnsizedLimit(size - 1)
	status, _, _, err := ch.call(t.Context(), "POST", "/once/x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	// The bytes of a response are returned shortly after the caller has received it, so there is room for several.
	ch.inbounds[0].SetUnsizedLimit(10 * size)
	for range 50 {
		status, _, body, err := ch.call(t.Context(), "POST", "/once/x")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(len(body), size)
	}
}

// endlessMemory bounds the heap of a process whose targets send without end. It is half of the memory of the smallest VM, which
// has 184 MB.
const endlessMemory = 92 << 20

// Guards against responses without end on all slots of a target, whose bytes are kept until the process exceeds its memory.
func TestEndlessResponsesKeepMemorySmall(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(25)) // as in the sidecar
	const slots = 16
	for _, c := range endlessResponses {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			bad := startScriptedTarget(t, func(int, *http.Request) string { return c.start })
			bad.filler = strings.Repeat(c.filler, 1000)

			ch := startChain(t, bad)
			described := ch.table.View.Targets[0]
			described.Slots = slots
			ch.inbounds[0].SetTarget(described, false)
			ch.deadline = time.Minute // the test would time out if only the deadline ended the calls
			peak := peakHeap(t, func() {
				var calls sync.WaitGroup
				for range slots {
					calls.Go(func() {
						status, _, _, err := ch.call(t.Context(), "POST", "/once/x")
						is.True(err != nil || status >= http.StatusInternalServerError)
					})
				}
				calls.Wait()
			})
			is.True(peak < endlessMemory)

			m := newMesh(t, nil)
			m.addTarget(bad.listener.Addr().String(), admission.Settings{Slots: slots, Connections: 4 * slots, Queue: slots})
			peak = peakHeap(t, func() {
				var calls sync.WaitGroup
				for range slots {
					calls.Go(func() {
						is.True(!m.discard("/a", 300*time.Millisecond))
					})
				}
				calls.Wait()
			})
			is.True(peak < endlessMemory)
		})
	}
}

// discard makes a call, discards its response, and reports whether the response was a complete success.
func (m *mesh) discard(path string, deadline time.Duration) bool {
	r, err := http.NewRequestWithContext(m.t.Context(), http.MethodPost, m.url+path, nil)
	if err != nil {
		m.t.Error(err)
		return false
	}
	r.Header.Set(traffic.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// peakHeap returns the largest number of bytes in the heap while a function runs.
func peakHeap(t *testing.T, run func()) uint64 {
	t.Helper()
	done := make(chan struct{})
	peaks := make(chan uint64)
	go func() {
		sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		peak := uint64(0)
		for {
			select {
			case <-ticker.C:
				metrics.Read(sample)
				peak = max(peak, sample[0].Value.Uint64())
			case <-done:
				peaks <- peak
				return
			}
		}
	}()
	run()
	close(done)
	peak := <-peaks
	t.Logf("%d KB at the peak", peak>>10)
	return peak
}
