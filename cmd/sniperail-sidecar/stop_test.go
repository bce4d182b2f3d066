package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// longResponse is more than the sockets of a caller with smallReadBuffer hold, and less than those of the daemon do.
	longResponse    = 300_000
	smallReadBuffer = 64 << 10
	// connections is the number of callers' connections in a test.
	connections = 30
	// lastNotice is a time in the last part of the notice that a draining daemon gives before it closes its listeners.
	lastNotice = 2 * time.Second
	// stopTime is more than the time in which a daemon stops that no caller holds up.
	stopTime = 3200 * time.Millisecond
)

// dial returns a connection to the ingress, on which a request was sent.
func (d *daemonProcess) dial(path string) *net.TCPConn {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.ingress)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	tcp := conn.(*net.TCPConn)
	if err := tcp.SetReadBuffer(smallReadBuffer); err != nil {
		d.t.Fatal(err)
	}
	if _, err := io.WriteString(tcp, postRequest(path)); err != nil {
		d.t.Fatal(err)
	}
	return tcp
}

func postRequest(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Sniperail-Request-Id: q\r\n"+
		"X-Sniperail-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n", path)
}

// Guards against a process that ends, and resets the connection, while a slow caller still reads its last response. The caller has sent
// its next request by then. The response comes before the drain or in it.
func TestStopCutsNoCallerThatStillReads(t *testing.T) {
	for name, sentLate := range map[string]bool{"before the drain": false, "in the drain": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := startDaemon(t)
			d.serve()
			var conn *net.TCPConn
			if !sentLate {
				conn = d.dial("/a/long")
				<-time.After(holdTime) // the daemon writes the response to its socket
			}
			d.Signal(syscall.SIGTERM)
			d.AwaitLine("event=stopping")
			if sentLate {
				conn = d.dial("/a/long")
			}
			<-time.After(stopTime)
			_, err := io.WriteString(conn, postRequest("/a/x"))
			is.NoErr(err)
			<-time.After(holdTime)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(body), longResponse)
		})
	}
}

// Guards against connections that are reset, with their requests, because a starved daemon has not accepted them when it stops.
func TestStopAnswersConnectionsInTheQueue(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	d.serve()
	d.Signal(syscall.SIGTERM)
	d.AwaitLine("event=stopping")
	<-time.After(lastNotice)
	d.Signal(syscall.SIGSTOP)
	var conns []net.Conn
	for range connections {
		if conn, err := net.Dial("tcp", d.ingress); err == nil { // on a slow machine, the listener may be closed
			t.Cleanup(func() { _ = conn.Close() })
			conns = append(conns, conn)
			_, err = io.WriteString(conn, postRequest("/a/x"))
			is.NoErr(err)
		}
	}
	<-time.After(holdTime)
	d.Signal(syscall.SIGCONT)
	for _, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
}

// Guards against a request that fails in a planned stop, because the daemon takes no calls of its target while that works on it.
func TestStopTakesCallsOfARunningRequest(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	d.target.call = func() int { return d.send(http.MethodPost, "http://"+d.ingress+"/a/x", "") }
	d.serve()
	status := make(chan int, 1)
	go func() { status <- d.send(http.MethodPost, "http://"+d.ingress+"/a/calls", "") }()
	<-d.target.arrived
	d.Signal(syscall.SIGTERM)
	d.AwaitLine("event=stopping")
	<-time.After(stopTime)
	d.target.answer()
	is.True(<-d.target.called != 0)
	is.Equal(<-status, http.StatusOK)
	is.Equal(d.AwaitExit(), 0)
}

// Guards against requests that the end of a process cuts without a line that names them.
func TestCutRequestsAreLogged(t *testing.T) {
	is := is.New(t)
	d := startDaemonWithGrace(t, "2s")
	d.serve()
	go func() { _ = d.send(http.MethodPost, "http://"+d.ingress+"/a/held", "") }() // the process cuts it
	<-d.target.arrived
	d.Signal(syscall.SIGTERM)
	is.Equal(d.AwaitExit(), 0)
	for _, hop := range []string{"caller", "target"} {
		is.True(d.HasLine("event=request-cut", "request=q", "hop="+hop, "method=POST"))
	}
}

// Guards against a request that a stop cuts because its body comes after the drain would have ended without it.
func TestStopAnswersRequestsWhoseBodyComesLate(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	d.serve()
	d.Signal(syscall.SIGTERM)
	d.AwaitLine("event=stopping")
	<-time.After(lastNotice)
	conn, err := net.Dial("tcp", d.ingress)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	const body = "late"
	_, err = io.WriteString(conn, strings.Replace(postRequest("/a/x"), "Content-Length: 0", fmt.Sprintf("Content-Length: %d", len(body)), 1))
	is.NoErr(err)
	<-time.After(stopTime - lastNotice)
	_, err = io.WriteString(conn, body)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}
