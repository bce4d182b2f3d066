package traffic_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/traffic"
)

// lateConn makes reads wait until proceed is closed, as those of a process that gets no processor time.
type lateConn struct {
	*net.TCPConn
	proceed chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	<-c.proceed
	return c.TCPConn.Read(p)
}

// startLatePipeline starts a server that reads no bytes before proceed is closed, and sends it a request.
func startLatePipeline(t *testing.T, proceed chan struct{}) (*traffic.PipelineServer, net.Conn) {
	t.Helper()
	accepted := make(chan struct{})
	server, address := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "served")
	}), func(conn net.Conn) net.Conn {
		close(accepted)
		return &lateConn{conn.(*net.TCPConn), proceed}
	})
	conn := dialPipeline(t, address)
	if _, err := io.WriteString(conn, getRequest("/")); err != nil {
		t.Fatal(err)
	}
	<-accepted
	return server, conn
}

// Guards against a request that is cut off without a response because the process notices it only after the read deadline.
func TestStopAnswersRequestsThatAreNoticedLate(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	server, conn := startLatePipeline(t, proceed)
	server.StopReading()
	time.Sleep(2 * traffic.StopLinger)
	close(proceed)
	response, body := readResponse(t, bufio.NewReader(conn))
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "served")
}

// Guards against a stop that cuts a request off because it has arrived and is read only after the server counted the last ones.
func TestWaitCoversRequestsThatAreNoticedLate(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	server, conn := startLatePipeline(t, proceed)
	server.StopReading()
	waited := make(chan error, 1)
	go func() { waited <- server.Wait(t.Context()) }()
	select {
	case err := <-waited:
		t.Fatalf("the wait ended before the request was read: %v", err)
	case <-time.After(2 * traffic.StopLinger):
	}
	close(proceed)
	is.NoErr(<-waited)
	is.NoErr(server.Close())
	_, body := readResponse(t, bufio.NewReader(conn))
	is.Equal(body, "served")
}

// lateListener accepts no connection before proceed is closed.
type lateListener struct {
	*net.TCPListener
	proceed chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.proceed
	return l.TCPListener.Accept()
}

// Guards against connections that are reset, with the requests that their callers have sent, because they have not been accepted
// when the server stops.
func TestStopAcceptingAnswersConnectionsInTheQueue(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	late := &lateListener{listener.(*net.TCPListener), make(chan struct{})}
	minute := func() time.Duration { return time.Minute }
	server := traffic.NewPipelineServer(traffic.PipelineOptions{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
		Logger:  zap.NewNop(), HeaderBytes: 2 << 10, HeaderTimeout: minute, IdleTimeout: minute,
		WriteTimeout: traffic.ResponseWriteTimeout,
	})
	served := make(chan error, 1)
	go func() { served <- server.Serve(late) }()
	var conns []net.Conn
	for range 10 {
		conn := dialPipeline(t, listener.Addr().String())
		_, err := io.WriteString(conn, getRequest("/"))
		is.NoErr(err)
		conns = append(conns, conn)
	}
	time.AfterFunc(traffic.StopLinger, func() { close(late.proceed) })
	server.StopReading()
	server.StopAccepting()
	is.True(errors.Is(<-served, http.ErrServerClosed))
	for _, conn := range conns {
		_, body := readResponse(t, bufio.NewReader(conn))
		is.Equal(body, "served")
	}
	_, err = net.Dial("tcp", listener.Addr().String())
	is.True(err != nil) // the listener is closed
	is.NoErr(server.Wait(t.Context()))
}
