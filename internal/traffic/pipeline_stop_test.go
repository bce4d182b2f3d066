package traffic_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/traffic"
)

// gatedConn lets a test act between the system call of a read or write and the code that made it.
type gatedConn struct {
	net.Conn
	// afterRead and beforeWrite are called, if set, with the bytes of a successful read or of a write.
	afterRead, beforeWrite func([]byte)
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.afterRead != nil {
		c.afterRead(p[:n])
	}
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if c.beforeWrite != nil {
		c.beforeWrite(p)
	}
	return c.Conn.Write(p)
}

func (c *gatedConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// startGatedPipeline serves a handler on gated connections, and returns the server and a connection of a caller.
func startGatedPipeline(t *testing.T, gates gatedConn, handler http.HandlerFunc) (*traffic.PipelineServer, net.Conn) {
	t.Helper()
	server, address := servePipelined(t, handler, func(conn net.Conn) net.Conn {
		return &gatedConn{conn, gates.afterRead, gates.beforeWrite}
	})
	return server, dialPipeline(t, address)
}

// Guards against a request that has just been read when the server stops, and is cut off without a response. The stop comes
// between the read of the request and its parsing.
func TestStopAnswersRequestsThatWereRead(t *testing.T) {
	is := is.New(t)
	read, stopped := make(chan struct{}, 1), make(chan struct{})
	server, conn := startGatedPipeline(t, gatedConn{afterRead: func([]byte) {
		read <- struct{}{}
		<-stopped
	}}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	_, err := io.WriteString(conn, getRequest("/"))
	is.NoErr(err)
	<-read
	server.StopReading()
	close(stopped)
	response, body := readResponse(t, bufio.NewReader(conn))
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "served")
	is.True(response.Close)
}

// Guards against a request that has arrived at the socket before the server stops, on a connection that was idle until then,
// and is cut off without a response.
func TestStopAnswersRequestsThatHaveArrived(t *testing.T) {
	is := is.New(t)
	server, conn := startGatedPipeline(t, gatedConn{}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "served")
	})
	r := bufio.NewReader(conn)
	for range 20 {
		_, err := io.WriteString(conn, getRequest("/"))
		is.NoErr(err)
		readResponse(t, r)
	}
	_, err := io.WriteString(conn, getRequest("/"))
	is.NoErr(err)
	server.StopReading()
	_, body := readResponse(t, r)
	is.Equal(body, "served")
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against a request that is executed although it came behind a response that closes the connection: its caller
// considers it unread and sends it again elsewhere.
func TestRequestBehindClosingResponseIsNotExecuted(t *testing.T) {
	is := is.New(t)
	var executed atomic.Int64
	writing, reads, proceed := make(chan struct{}, 1), make(chan struct{}, 2), make(chan struct{})
	server, conn := startGatedPipeline(t, gatedConn{
		afterRead: func([]byte) { reads <- struct{}{} },
		beforeWrite: func([]byte) {
			writing <- struct{}{}
			<-proceed
		},
	}, func(w http.ResponseWriter, _ *http.Request) {
		executed.Add(1)
		_, _ = io.WriteString(w, "x")
	})
	server.Drain()
	_, err := io.WriteString(conn, getRequest("/first"))
	is.NoErr(err)
	<-reads
	<-writing // the head says that the connection closes
	_, err = io.WriteString(conn, getRequest("/second"))
	is.NoErr(err)
	<-reads
	close(proceed)
	r := bufio.NewReader(conn)
	response, _ := readResponse(t, r)
	is.True(response.Close)
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
	is.NoErr(conn.Close())
	is.NoErr(server.Wait(t.Context()))
	is.Equal(executed.Load(), int64(1))
}

// Guards against a stop that ends the process while a response is still being written.
func TestWaitEndsAfterTheLastResponse(t *testing.T) {
	is := is.New(t)
	writing, proceed := make(chan struct{}, 1), make(chan struct{})
	server, conn := startGatedPipeline(t, gatedConn{beforeWrite: func([]byte) {
		writing <- struct{}{}
		<-proceed
	}}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })
	_, err := io.WriteString(conn, getRequest("/"))
	is.NoErr(err)
	<-writing
	server.StopReading()
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(server.Wait(expired), context.Canceled)
	close(proceed)
	is.NoErr(server.Wait(t.Context()))
	_, body := readResponse(t, bufio.NewReader(conn))
	is.Equal(body, "x")
}

// Guards against connections that never send a request being kept for ever.
func TestIdleTimeoutHoldsBeforeTheFirstRequest(t *testing.T) {
	is := is.New(t)
	_, address := serveWithIdleTimeout(t, 50*time.Millisecond, http.NotFoundHandler(), func(conn net.Conn) net.Conn { return conn })
	conn := dialPipeline(t, address)
	_, err := conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against a connection being read until the process ends because it is accepted just before the server stops reading.
func TestStopEndsConnectionsThatWereJustAccepted(t *testing.T) {
	is := is.New(t)
	accepted, proceed := make(chan struct{}), make(chan struct{})
	server, address := servePipelined(t, http.NotFoundHandler(), func(conn net.Conn) net.Conn {
		close(accepted)
		<-proceed
		return conn
	})
	conn := dialPipeline(t, address)
	<-accepted
	server.StopReading()
	close(proceed)
	_, err := conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against a request that is executed although the server has waited for the last one, as long as it may, and is about to cut all
// connections. Its first byte has arrived before the wait, and is noticed after it.
func TestNoRequestBeginsAfterTheWait(t *testing.T) {
	is := is.New(t)
	read, waited := make(chan struct{}, 1), make(chan struct{})
	server, conn := startGatedPipeline(t, gatedConn{afterRead: func([]byte) {
		read <- struct{}{}
		<-waited
	}}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	_, err := io.WriteString(conn, getRequest("/"))
	is.NoErr(err)
	<-read
	server.StopReading()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(server.Wait(ended), context.Canceled)
	close(waited)
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against a call of another daemon that is sent to the target although the daemon is about to cut its connections. The caller's
// daemon must learn that the call was not executed, so that it goes to another target.
func TestNoCallBeginsAfterTheWait(t *testing.T) {
	is := is.New(t)
	ending := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	other := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	ch := startChain(t, ending, other)
	is.NoErr(ch.inbounds[0].Wait(t.Context()))
	for range 10 {
		status, _, body, err := ch.call(t.Context(), "POST", "/once/x")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "whole")
	}
	is.Equal(ending.received.Load(), int64(0))
}
