package traffic_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/command/callers"
	"sniperail.example/sniperail/internal/telemetry"
	"sniperail.example/sniperail/internal/traffic"
)

// newBudget returns a budget with a limit of bytes.
func newBudget(t testing.TB, bytes int64) *traffic.CallerBudget {
	t.Helper()
	m, err := telemetry.NewMetrics("test")
	if err != nil {
		t.Fatal(err)
	}
	metrics, err := traffic.NewMetrics(m)
	if err != nil {
		t.Fatal(err)
	}
	return traffic.NewCallerBudget(callers.Limits{
		Bytes: bytes, Connections: 100, AddressShare: 1, ListenerShare: 1, TenantShare: 1, Grace: time.Hour, Fields: 100,
	}, metrics)
}

// serveWithBudget serves with a budget, which may be nil, and returns the address.
func serveWithBudget(t testing.TB, budget *traffic.CallerBudget, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	minute := func() time.Duration { return time.Minute }
	server := traffic.NewPipelineServer(traffic.PipelineOptions{
		Handler: handler, HeaderBytes: 32 << 10, HeaderTimeout: minute, IdleTimeout: minute, WriteTimeout: time.Minute,
		Logger: zap.NewNop(), Callers: budget,
	})
	go func() { _ = server.Serve(listener) }() // ends with the listener
	t.Cleanup(func() {
		_ = listener.Close()
		_ = server.Close()
	})
	return listener.Addr().String()
}

// Guards against requests beyond the limits that are executed, or refused without saying that they were not, and against bytes that stay
// charged when their requests and connections have ended.
func TestRequestsWithoutRoomAreRefused(t *testing.T) {
	is := is.New(t)
	budget := newBudget(t, 200<<10)
	executed := 0
	address := serveWithBudget(t, budget, func(w http.ResponseWriter, r *http.Request) {
		executed++
		_, _ = io.Copy(w, r.Body)
	})
	var fields strings.Builder
	for i := range 100 {
		fmt.Fprintf(&fields, "F%d: x\r\n", i)
	}
	const start = "POST / HTTP/1.1\r\nHost: h\r\n"
	awaitHeld := func(met func(bytes int64) bool) {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			bytes, _ := budget.Held()
			if met(bytes) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d bytes are held", bytes)
			}
		}
	}
	isEmpty := func(bytes int64) bool { return bytes == 0 }
	for _, c := range []struct {
		request string
		status  int
	}{
		{start + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000), http.StatusOK},
		{start + "Content-Length: 300000\r\n\r\n", http.StatusOK},
		{start + fields.String() + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		awaitHeld(isEmpty)
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = io.WriteString(conn, c.request)
		is.NoErr(err)
		if strings.Contains(c.request, "300000") {
			// The first connection holds what a streamed body takes, so that there is no room for the second.
			held, err := net.Dial("tcp", address)
			is.NoErr(err)
			awaitHeld(func(bytes int64) bool { return bytes > callers.StreamBytes })
			_, err = io.WriteString(held, c.request)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(held), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(response.Header.Get(traffic.HeaderExecuted), "no")
			is.True(response.Close)
			is.NoErr(held.Close())
			is.NoErr(conn.Close())
			continue
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, c.status)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
	awaitHeld(isEmpty)
	is.Equal(executed, 2)
}

// Measures what the budget costs an ordinary request.
func BenchmarkRequestWithBudget(b *testing.B) {
	for name, budget := range map[string]*traffic.CallerBudget{"none": nil, "budget": newBudget(b, 64<<20)} {
		b.Run(name, func(b *testing.B) {
			address := serveWithBudget(b, budget, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
			conn, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("b", 1000)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(conn, request)
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}
