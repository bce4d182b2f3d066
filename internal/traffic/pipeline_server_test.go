package traffic_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/traffic"
)

// startPipeline serves a handler and returns a connection to it.
func startPipeline(t *testing.T, handler http.HandlerFunc) (*traffic.PipelineServer, *net.TCPConn) {
	t.Helper()
	server, address := servePipelined(t, handler, func(conn net.Conn) net.Conn { return conn })
	return server, dialPipeline(t, address)
}

// servePipelined serves a handler on the server that the callers of a sidecar are connected to, and returns it and its address.
// Each accepted connection is wrapped.
func servePipelined(t *testing.T, handler http.Handler, wrap func(net.Conn) net.Conn) (*traffic.PipelineServer, string) {
	t.Helper()
	return serveWithIdleTimeout(t, time.Minute, handler, wrap)
}

// serveWithIdleTimeout serves like servePipelined, with another idle timeout.
func serveWithIdleTimeout(
	t *testing.T, idle time.Duration, handler http.Handler, wrap func(net.Conn) net.Conn,
) (*traffic.PipelineServer, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := traffic.NewPipelineServer(traffic.PipelineOptions{
		Handler: handler, HeaderBytes: 2 << 10, Logger: zap.NewNop(),
		HeaderTimeout: func() time.Duration { return time.Minute }, IdleTimeout: func() time.Duration { return idle },
		WriteTimeout: traffic.ResponseWriteTimeout,
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(wrappingListener{listener, wrap})
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		_ = server.Close()
		<-served
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	return server, listener.Addr().String()
}

// wrappingListener wraps accepted connections.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// dialPipeline returns a connection of a caller.
func dialPipeline(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	return conn.(*net.TCPConn)
}

// hangTimeout ends a test that hangs; no assertion depends on it.
const hangTimeout = 30 * time.Second

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// Guards against requests of one connection that run one after another, and against responses out of order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	is := is.New(t)
	const n = 8
	var arrived sync.WaitGroup
	arrived.Add(n)
	_, conn := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		arrived.Done()
		arrived.Wait() // returns only once all requests are running
		_, _ = io.WriteString(w, r.URL.Path)
	})
	var all strings.Builder
	for i := range n {
		all.WriteString(getRequest(fmt.Sprint("/", i)))
	}
	_, err := io.WriteString(conn, all.String())
	is.NoErr(err)
	r := bufio.NewReader(conn)
	for i := range n {
		response, body := readResponse(t, r)
		is.Equal(body, fmt.Sprint("/", i))
		is.Equal(response.ContentLength, int64(2))
	}
}

// Guards against requests that keep running after the caller has closed the connection, including those whose
// responses wait for earlier ones.
func TestClosedConnectionCancelsAllRequests(t *testing.T) {
	const n = 5
	cancelled := make(chan struct{}, n)
	running := make(chan struct{}, n)
	_, conn := startPipeline(t, func(_ http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	_, _ = io.WriteString(conn, strings.Repeat(getRequest("/"), n))
	for range n {
		<-running
	}
	_ = conn.Close()
	for range n {
		<-cancelled
	}
}

// Guards against an aborted response that looks complete, and against further responses after it.
func TestAbortedResponseClosesTheConnection(t *testing.T) {
	is := is.New(t)
	_, conn := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "12345")
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "whole")
	})
	_, _ = io.WriteString(conn, getRequest("/good")+getRequest("/bad")+getRequest("/good"))
	r := bufio.NewReader(conn)
	_, body := readResponse(t, r)
	is.Equal(body, "whole")
	response, err := http.ReadResponse(r, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	is.True(err != nil)
}

// Guards against a drain that drops requests that have been read: the connection is closed only after the last response.
func TestDrainEndsWithTheLastResponse(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	running := make(chan struct{}, 3)
	server, conn := startPipeline(t, func(w http.ResponseWriter, _ *http.Request) {
		running <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "x")
	})
	_, _ = io.WriteString(conn, strings.Repeat(getRequest("/"), 3))
	for range 3 {
		<-running
	}
	server.StopReading()
	close(release)
	r := bufio.NewReader(conn)
	for i := range 3 {
		response, _ := readResponse(t, r)
		is.Equal(response.Close, i == 2)
	}
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against bodies that are taken for those of another request, and against long bodies that are truncated.
func TestPipelinedBodiesAreKeptApart(t *testing.T) {
	is := is.New(t)
	_, conn := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "%s %d %s", r.URL.Path, len(body), body[:min(len(body), 3)])
	})
	long := bytes.Repeat([]byte("y"), 300<<10)
	go func() {
		_, _ = io.WriteString(conn, "POST /length HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde")
		_, _ = io.WriteString(conn, "POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nfgh\r\n4\r\nijkl\r\n0\r\n\r\n")
		_, _ = fmt.Fprintf(conn, "POST /long HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(long))
		_, _ = conn.Write(long)
		_, _ = io.WriteString(conn, getRequest("/after"))
	}()
	r := bufio.NewReader(conn)
	for _, want := range []string{"/length 5 abc", "/chunks 7 fgh", fmt.Sprintf("/long %d yyy", len(long)), "/after 0 "} {
		_, body := readResponse(t, r)
		is.Equal(body, want)
	}
}

// Guards against malformed requests that reach the handler or get no response.
func TestMalformedRequestsAreRefused(t *testing.T) {
	cases := []struct {
		name, request string
		status        int
	}{
		{"no Host header", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"not HTTP", "nonsense\r\n\r\n", http.StatusBadRequest},
		{"two body lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
		{"long header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, conn := startPipeline(t, func(http.ResponseWriter, *http.Request) { t.Error("the request was served") })
			_, _ = io.WriteString(conn, c.request)
			response, _ := readResponse(t, bufio.NewReader(conn))
			is.Equal(response.StatusCode, c.status)
			is.True(response.Close)
		})
	}
}

// Guards against the read deadline of a handler whose body is buffered ending the wait for the next request, which is then discarded,
// never answered, or finds the connection closed.
func TestReadDeadlineOfBufferedBodyEndsNoOtherRequest(t *testing.T) {
	is := is.New(t)
	_, conn := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			control := http.NewResponseController(w)
			is.NoErr(control.SetReadDeadline(time.Unix(1, 0)))
			time.Sleep(50 * time.Millisecond) // time for the server to begin to wait for the next request
			is.NoErr(control.SetReadDeadline(time.Time{}))
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	r := bufio.NewReader(conn)
	for range 3 {
		_, err := io.WriteString(conn, "POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde")
		is.NoErr(err)
		_, body := readResponse(t, r)
		is.Equal(body, "/late")
		_, err = io.WriteString(conn, getRequest("/next"))
		is.NoErr(err)
		_, body = readResponse(t, r)
		is.Equal(body, "/next")
	}
}

// Guards against a request that cannot be read costing those before it their answers, and against one that gets no answer itself.
func TestUnreadableRequestCostsNoEarlierRequest(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, request string
		status        int
	}{
		{"request line", "nonsense\r\n\r\n", http.StatusBadRequest},
		{"no Host header", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"long header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 16<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"chunk size", chunked + "zz\r\n", http.StatusBadRequest},
		{"chunk end", chunked + "3\r\nabcd\r\n0\r\n\r\n" + strings.Repeat("x", 100<<10), http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			running, release := make(chan struct{}, 2), make(chan struct{})
			_, conn := startPipeline(t, func(w http.ResponseWriter, _ *http.Request) {
				running <- struct{}{}
				<-release
				_, _ = io.WriteString(w, "served")
			})
			_, err := io.WriteString(conn, getRequest("/")+getRequest("/")+c.request)
			is.NoErr(err)
			<-running
			<-running
			close(release)
			r := bufio.NewReader(conn)
			for range 2 {
				response, body := readResponse(t, r)
				is.Equal(body, "served")
				is.True(!response.Close)
			}
			response, _ := readResponse(t, r)
			is.Equal(response.StatusCode, c.status)
			is.True(response.Close)
		})
	}
}

// Guards against a handler that panics and ends the process, with the requests of all connections.
func TestPanicCostsOnlyItsRequest(t *testing.T) {
	is := is.New(t)
	released := make(chan struct{})
	server, conn := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/panic":
			_, _ = io.WriteString(w, "part")
			panic("fault of a handler")
		case "/held":
			<-released
		}
		_, _ = io.WriteString(w, "served")
	})
	_, err := io.WriteString(conn, getRequest("/held")+getRequest("/panic")+getRequest("/after"))
	is.NoErr(err)
	time.AfterFunc(50*time.Millisecond, func() { close(released) })
	reader := bufio.NewReader(conn)
	for _, want := range []struct {
		status int
		body   string
	}{{http.StatusOK, "served"}, {http.StatusBadGateway, ""}, {http.StatusOK, "served"}} {
		response, body := readResponse(t, reader)
		is.Equal(response.StatusCode, want.status)
		is.Equal(body, want.body)
	}
	is.NoErr(server.Wait(t.Context()))
}

// Guards against a response whose parts reach the caller only when it is complete, although the handler flushes them.
func TestFlushedPartsArriveBeforeTheEnd(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	_, address := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first ") // fails only if the caller has disconnected
		is.NoErr(http.NewResponseController(w).Flush())
		<-received
		_, _ = io.WriteString(w, "second")
	}), func(conn net.Conn) net.Conn { return conn })
	conn := dialPipeline(t, address)
	_, err := io.WriteString(conn, getRequest("/"))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	part := make([]byte, len("first "))
	_, err = io.ReadFull(response.Body, part)
	is.NoErr(err)
	close(received)
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(part)+string(rest), "first second")
}
