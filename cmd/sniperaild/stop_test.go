package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/process/processtest"
)

const (
	postRequest = "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	// longResponse is more than the sockets of a caller with smallReadBuffer hold, and less than those of the daemon do.
	longResponse    = 300_000
	smallReadBuffer = 64 << 10
	// noticeTime is more than the time for which a draining daemon keeps its listeners open.
	noticeTime = 3200 * time.Millisecond
	// lastNotice is a time shortly before its end.
	lastNotice = 2700 * time.Millisecond
	// connections is the number of callers' connections in a test.
	connections = 30
)

// dial returns a connection to the ingress, on which a request was sent.
func dial(t *testing.T, ingress string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", ingress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	tcp := conn.(*net.TCPConn)
	if err := tcp.SetReadBuffer(smallReadBuffer); err != nil {
		t.Fatal(err)
	}
	send(t, tcp)
	return tcp
}

func send(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, postRequest); err != nil {
		t.Fatal(err)
	}
}

// countUnanswered counts the connections that end without a response.
func countUnanswered(conns []net.Conn) int {
	unanswered := 0
	for _, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			unanswered++
			continue
		}
		_ = response.Body.Close()
	}
	return unanswered
}

// daemonProcess is a process of this program.
type daemonProcess struct {
	*processtest.Process
	ingress, api string
}

// startServing starts a daemon whose target answers with a body, and waits until it serves.
func startServing(t *testing.T, body []byte) (d daemonProcess) {
	t.Helper()
	d.Process, d.ingress, d.api = startDaemon(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(body) // fails only if the caller has disconnected
	}))
	confirmMesh(t, d.api)
	poll(t, "the daemon does not serve", func() bool { return post(t, "http://"+d.ingress+"/a/x") == http.StatusOK })
	return d
}

// Guards against a stop that resets the connection of a slow caller, which loses the rest of its response.
func TestStopCutsNoCallerThatStillReads(t *testing.T) {
	is := is.New(t)
	d := startServing(t, bytes.Repeat([]byte("a"), longResponse))
	conn := dial(t, d.ingress)
	<-time.After(holdTime) // the daemon writes the response to its socket
	d.Signal(syscall.SIGTERM)
	d.AwaitLine("event=draining")
	<-time.After(holdTime)
	send(t, conn)
	<-time.After(holdTime)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(body), longResponse)
}

// Guards against requests that have arrived on idle connections when the daemon stops, and get no answer.
func TestStopAnswersRequestsThatHaveArrived(t *testing.T) {
	is := is.New(t)
	d := startServing(t, []byte("x"))
	var conns []net.Conn
	for range connections {
		conn := dial(t, d.ingress)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
		conns = append(conns, conn)
	}
	d.Signal(syscall.SIGSTOP)
	d.Signal(syscall.SIGTERM)
	for _, conn := range conns {
		send(t, conn)
	}
	d.Signal(syscall.SIGCONT)
	is.Equal(countUnanswered(conns), 0)
}

// Guards against connections that are reset, with their requests, because a starved daemon has not accepted them when it stops.
func TestStopAnswersConnectionsInTheQueue(t *testing.T) {
	is := is.New(t)
	d := startServing(t, []byte("x"))
	d.Signal(syscall.SIGTERM)
	d.AwaitLine("event=draining")
	d.Signal(syscall.SIGSTOP)
	var conns []net.Conn
	for range connections {
		conns = append(conns, dial(t, d.ingress))
	}
	<-time.After(noticeTime)
	d.Signal(syscall.SIGCONT)
	is.Equal(countUnanswered(conns), 0)
}

// Guards against a request that fails in a planned stop, because the daemon takes no calls of its target while that works on it.
func TestStopTakesCallsOfARunningRequest(t *testing.T) {
	is := is.New(t)
	arrived, release, called := make(chan struct{}), make(chan struct{}), make(chan int, 1)
	var d daemonProcess
	d.Process, d.ingress, d.api = startDaemon(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/a/calls" {
			close(arrived)
			<-release
			called <- post(t, "http://"+d.ingress+"/a/x")
		}
		_, _ = io.WriteString(w, "x") // fails only if the caller has disconnected
	}))
	confirmMesh(t, d.api)
	poll(t, "the daemon does not serve", func() bool { return post(t, "http://"+d.ingress+"/a/x") == http.StatusOK })
	status := make(chan int, 1)
	go func() { status <- post(t, "http://"+d.ingress+"/a/calls") }()
	<-arrived
	d.Signal(syscall.SIGTERM)
	d.AwaitLine("event=draining")
	<-time.After(noticeTime)
	close(release)
	is.True(<-called != 0)
	is.Equal(<-status, http.StatusOK)
	is.Equal(d.AwaitExit(), 0)
}

// Guards against a request that a stop cuts because its body comes after the drain would have ended without it.
func TestStopAnswersRequestsWhoseBodyComesLate(t *testing.T) {
	is := is.New(t)
	d := startServing(t, []byte("x"))
	d.Signal(syscall.SIGTERM)
	d.AwaitLine("event=draining")
	<-time.After(lastNotice)
	conn, err := net.Dial("tcp", d.ingress)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	const body = "late"
	_, err = io.WriteString(conn, strings.Replace(postRequest, "Content-Length: 0", fmt.Sprintf("Content-Length: %d", len(body)), 1))
	is.NoErr(err)
	<-time.After(noticeTime - lastNotice + holdTime)
	_, err = io.WriteString(conn, body)
	is.NoErr(err)
	is.Equal(countUnanswered([]net.Conn{conn}), 0)
}
