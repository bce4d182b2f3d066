package traffic_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/command/callers"
	"sniperail.example/sniperail/internal/traffic"
)

const longBody = 100 << 10

// startRefusingDaemon starts a daemon that refuses each call as soon as it has read the head. It reports the number of
// bytes that arrive behind the head.
func startRefusingDaemon(t *testing.T) (address string, received <-chan int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counts := make(chan int64, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			refuse(conn, counts)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String(), counts
}

func refuse(conn net.Conn, counts chan<- int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	call, _, _ := strings.Cut(request.Header.Get(traffic.HeaderDispatch), " ")
	_, _ = io.WriteString(conn, "HTTP/1.1 503 Draining\r\n"+traffic.HeaderCall+": "+call+"\r\n"+traffic.HeaderRefusal+": draining\r\n"+
		traffic.HeaderExecuted+": no\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	n, _ := io.Copy(io.Discard, reader)
	counts <- n
}

// Guards against a long body that is transferred to a daemon that refuses the call, and against one that cannot be sent to another
// target afterwards.
func TestRefusedCallsTransferNoBody(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	c := startChain(t, target)
	address, received := startRefusingDaemon(t)
	refusing := c.table.View.Targets[0]
	refusing.Daemon, refusing.Address = "refusing", address
	c.setTargets(append(c.table.View.Targets, refusing))
	refusals := 0
	for refusals == 0 {
		r, _ := http.NewRequestWithContext(t.Context(), "POST", c.url+"/once/x", strings.NewReader(strings.Repeat("b", longBody)))
		response, err := http.DefaultTransport.RoundTrip(r)
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(response.StatusCode, http.StatusOK)
		for len(received) > 0 {
			is.Equal(<-received, int64(0))
			refusals++
		}
	}
}

// Guards against announced bodies that are all received at once, which delays every other request on a full link.
func TestFewBodiesAreReceivedAtOnce(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	c := startChain(t, target)
	const senders, atOnce = 6, 4
	continued := make(chan *bufio.ReadWriter, senders)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range senders {
		conn, err := net.Dial("tcp", c.table.View.Targets[0].Address)
		is.NoErr(err)
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 102400\r\n"+
			traffic.HeaderDispatch+": c-1 s v1 i0 once own 0 10000000 0\r\n\r\n")
		is.NoErr(err)
		go func() {
			rw := bufio.NewReadWriter(bufio.NewReader(conn), bufio.NewWriter(conn))
			if line, _, err := rw.ReadLine(); err == nil && strings.Contains(string(line), "100") {
				_, _, _ = rw.ReadLine()
				continued <- rw
			}
		}()
	}
	var first *bufio.ReadWriter
	for range atOnce {
		first = <-continued
	}
	select {
	case <-continued:
		t.Fatal("another body was requested")
	case <-time.After(100 * time.Millisecond):
	}
	_, err := io.WriteString(first, strings.Repeat("b", longBody))
	is.NoErr(err)
	is.NoErr(first.Flush())
	response, err := http.ReadResponse(first.Reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	<-continued
}

// Guards against a refusal that waits for the announced body although its sender waits for the refusal.
func TestRefusalDoesNotWaitForAnAnnouncedBody(t *testing.T) {
	for _, length := range []int{20 << 10, 100 << 10} {
		is := is.New(t)
		refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := traffic.NewServer(refuse, traffic.DefaultLimits())
		budget := traffic.NewCallerBudget(callers.Limits{
			Bytes: 1 << 20, Connections: 8, ListenerShare: 1, AddressShare: 1, TenantShare: 1, Fields: 100,
		}, nil)
		guarded := budget.Guard(server, listener, "admission")
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(guarded)
		}()
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", length)
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Close)
		_ = conn.Close()
		_ = server.Close()
		<-done
	}
}
