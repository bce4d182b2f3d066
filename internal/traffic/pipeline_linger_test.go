package traffic_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/traffic"
)

const (
	// longResponse is more than the sockets of a caller with smallReadBuffer hold, and less than those of the server do.
	longResponse    = 300_000
	smallReadBuffer = 64 << 10
	// readPause is a pause of a caller that is longer than servers commonly keep a connection after its last response.
	readPause = 700 * time.Millisecond
)

// startLongResponse starts a draining server and sends it a request for a long response, which it writes to its socket.
func startLongResponse(t *testing.T) (*traffic.PipelineServer, net.Conn) {
	t.Helper()
	server, address := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("a"), longResponse)) // fails only if the caller has disconnected
	}), func(conn net.Conn) net.Conn { return conn })
	conn := dialPipeline(t, address)
	if err := conn.SetReadBuffer(smallReadBuffer); err != nil {
		t.Fatal(err)
	}
	server.Drain()
	if _, err := io.WriteString(conn, getRequest("/")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, len("HTTP/1.1 200 OK\r\n"))); err != nil {
		t.Fatal(err)
	}
	return server, conn
}

// Guards against a long response whose end a slow caller loses to a reset, because it sends another request before it has read that the
// connection closes.
func TestSlowCallerReceivesItsLastResponse(t *testing.T) {
	is := is.New(t)
	_, conn := startLongResponse(t)
	<-time.After(readPause)
	_, err := io.WriteString(conn, getRequest("/next"))
	is.NoErr(err)
	received, err := io.ReadAll(bufio.NewReader(conn))
	is.NoErr(err)
	is.True(len(received) > longResponse)
}

// Guards against a process that ends, and resets the connection, while a slow caller still reads its last response.
func TestWaitClosedCoversCallersThatStillRead(t *testing.T) {
	is := is.New(t)
	server, conn := startLongResponse(t)
	server.StopReading()
	is.NoErr(server.Wait(t.Context()))
	limited, cancel := context.WithTimeout(t.Context(), readPause)
	defer cancel()
	is.Equal(server.WaitClosed(limited), context.DeadlineExceeded)
	_, err := io.ReadAll(conn)
	is.NoErr(err)
	is.NoErr(conn.Close())
	is.NoErr(server.WaitClosed(t.Context()))
}

// Guards against a process that ends, and resets the connection, while a slow caller still reads a response that was written before the
// drain, so that it does not say that the connection closes.
func TestWaitClosedCoversCallersThatReadEarlierResponses(t *testing.T) {
	is := is.New(t)
	server, address := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("a"), longResponse)) // fails only if the caller has disconnected
	}), func(conn net.Conn) net.Conn { return conn })
	conn := dialPipeline(t, address)
	is.NoErr(conn.SetReadBuffer(smallReadBuffer))
	_, err := io.WriteString(conn, getRequest("/"))
	is.NoErr(err)
	_, err = conn.Read(make([]byte, len("HTTP/1.1 200 OK\r\n")))
	is.NoErr(err)
	<-time.After(readPause) // the server writes the rest to its socket
	server.Drain()
	server.StopReading()
	is.NoErr(server.Wait(t.Context()))
	limited, cancel := context.WithTimeout(t.Context(), readPause)
	defer cancel()
	is.Equal(server.WaitClosed(limited), context.DeadlineExceeded)
	_, err = io.ReadAll(conn)
	is.NoErr(err)
	is.NoErr(server.WaitClosed(t.Context()))
}

// Guards against connections that are kept for ever because their callers read no responses.
func TestUnreadResponsesEndTheConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	minute := func() time.Duration { return time.Minute }
	server := traffic.NewPipelineServer(traffic.PipelineOptions{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte("a"), smallReadBuffer)) // fails only if the caller has disconnected
		}),
		Logger: zap.NewNop(), HeaderBytes: 2 << 10, HeaderTimeout: minute, IdleTimeout: minute, WriteTimeout: readPause,
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	conn := dialPipeline(t, listener.Addr().String())
	is.NoErr(conn.SetReadBuffer(smallReadBuffer))
	_, err = io.WriteString(conn, strings.Repeat(getRequest("/"), 200)) // for more than the sockets hold
	is.NoErr(err)
	<-time.After(readPause)
	limited, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	server.StopAccepting()
	is.NoErr(server.Wait(limited))
}
