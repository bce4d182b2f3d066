package traffic_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/traffic"
)

// Guards against retries by http.Transport itself, outside the retry budget: a pooled connection that breaks after the
// request was written must not lead to another execution, whatever the method, body and idempotency header.
func TestTransportNeverReplays(t *testing.T) {
	is := is.New(t)
	var executed, broken atomic.Int64
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if broken.Load() == 0 {
			okHandler(w, r)
			return
		}
		executed.Add(1)
		respondRawAndClose("")(w, r)
	})
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "DELETE"} {
		for _, body := range []string{"", "body"} {
			for _, name := range []string{traffic.HeaderIdempotencyKey, "X-Idempotency-Key", "X-Other"} {
				broken.Store(0)
				is.Equal(m.call("GET", "/a", "", traffic.HeaderAttempt, "1").status, 200) // leaves pooled connections
				broken.Store(1)
				executed.Store(0)
				a := m.call(method, "/a", body, traffic.HeaderAttempt, "1", name, "k")
				is.Equal(a.executed, "unknown")
				is.Equal(executed.Load(), int64(1))
			}
		}
	}
}

// Guards against forwarding a response that switches protocols or has an overlong header, and against an interim response
// that is taken for the final one.
func TestUnexpectedResponseHeadersAreNotForwarded(t *testing.T) {
	is := is.New(t)
	var response string
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) { respondRawAndClose(response)(w, r) })
	for _, response = range []string{
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nbytes",
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 64<<10) + "\r\nContent-Length: 0\r\n\r\n",
		strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Long: "+strings.Repeat("x", 8<<10)+"\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		a := m.call("POST", "/a", "body")
		is.Equal(a.status, http.StatusBadGateway)
		is.Equal(a.executed, "unknown")
	}
	response = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	a := m.call("POST", "/a", "body")
	is.Equal(a.status, 200)
	is.Equal(a.body, "ok")
}

// countedListener counts the connections that are open at the same time.
type countedListener struct {
	net.Listener
	open, peak atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.peak.Store(max(l.peak.Load(), l.open.Add(1))) // only one goroutine accepts
	return &countedConn{Conn: conn, open: &l.open}, nil
}

// countedConn is counted as closed before the other end can notice that it is.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Guards against more connections to the target than it accepts, while it answers and while it executes an abandoned call,
// and against calls that occupy a slot while they wait for a connection instead of being sent to another target.
func TestConnectionLimitHolds(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			arrived <- struct{}{}
			<-release // ignores that the caller has disconnected
		}
		okHandler(w, r)
	}
	m := newMesh(t, nil)
	target := httptest.NewUnstartedServer(http.HandlerFunc(handler))
	counted := &countedListener{Listener: target.Listener}
	target.Listener = counted
	target.Start()
	t.Cleanup(target.Close)
	t.Cleanup(func() { close(release) }) // unblocks the target if a check fails
	m.addTarget(target.Listener.Addr().String(), admission.Settings{Slots: 3, Connections: 1, Queue: 2})
	for _, abandoned := range []bool{false, true} {
		ctx, cancel := context.WithCancel(context.Background())
		var held sync.WaitGroup
		held.Go(func() { is.Equal(m.callContext(ctx, "POST", "/held", nil).status == 200, !abandoned) })
		<-arrived
		if abandoned {
			cancel()
			held.Wait()
		}
		for range 3 {
			a := m.call("POST", "/a", "")
			// After the first refusal the ingress itself refuses, because it knows that the target is busy.
			is.True(a.refusal == "connections-exhausted" || a.refusal == "overloaded")
			is.Equal(a.executed, "no")
		}
		release <- struct{}{}
		held.Wait()
		cancel()
		waitUntil(func() bool {
			busy, _, _ := m.admissions[0].Occupancy()
			return busy == 0
		})
		// The ingress skips a target for some milliseconds after the target refused a call for its load.
		waitUntil(func() bool { return m.call("POST", "/a", "").status == 200 })
		is.Equal(counted.peak.Load(), int64(1))
	}
}

// limitStub counts open connections.
type limitStub struct{ open atomic.Int64 }

func (l *limitStub) OpenConnection() bool { l.open.Add(1); return true }
func (l *limitStub) CloseConnection()     { l.open.Add(-1) }

// halfCloseConn is a pipe that records that its sending side was closed.
type halfCloseConn struct {
	net.Conn
	half chan struct{}
}

func (h *halfCloseConn) CloseWrite() error {
	close(h.half)
	return nil
}

// Guards against a connection that is released while the target may still be executing an abandoned request, one that
// lingers forever, and one that lingers although its request was answered or never written.
func TestAbandonedConnectionLingers(t *testing.T) {
	for _, test := range []struct {
		name               string
		written, answered  bool
		closedBy, wantHeld time.Duration
	}{
		{"target closes", true, false, 2 * time.Second, 2 * time.Second},
		{"target keeps executing", true, false, time.Minute, 5 * time.Second},
		{"answered", true, true, time.Minute, 0},
		{"never written", false, false, time.Minute, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				limit := &limitStub{}
				near, far := net.Pipe()
				conn, ended := traffic.TrackConn(&halfCloseConn{near, make(chan struct{})}, limit, test.written, test.answered)
				var wg sync.WaitGroup
				wg.Go(func() { _, _ = conn.Read(make([]byte, 1)) }) // http.Transport always has a read pending
				synctest.Wait()
				start := time.Now()
				is.NoErr(conn.Close())
				wg.Wait() // Close ends the read at once
				timer := time.AfterFunc(test.closedBy, func() { _ = far.Close() })
				<-ended
				is.Equal(time.Since(start), test.wantHeld)
				is.Equal(limit.open.Load(), int64(0))
				_, err := conn.Write([]byte("late"))
				is.Equal(err, net.ErrClosed)
				timer.Stop()
			})
		})
	}
}

// Guards against a target that sends without end on an abandoned connection, which is read at full speed until maxLinger has passed.
func TestLingeringEndsForAnEndlessResponse(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	conn, ended := traffic.TrackConn(&halfCloseConn{near, make(chan struct{})}, &limitStub{}, true, false)
	is.NoErr(conn.Close())
	sent := 0
	for chunk := make([]byte, 64<<10); ; sent += len(chunk) {
		if _, err := far.Write(chunk); err != nil {
			break
		}
	}
	<-ended
	is.True(sent <= 1<<20)
}

// Guards against an unsolicited response that is taken for the response to the next request: http.Transport offers a
// connection for reuse before its reader has checked for left-over bytes, so it must not be used until then.
func TestReusedConnectionWaitsForReader(t *testing.T) {
	for _, test := range []struct {
		name string
		// readLoop is what the reader of http.Transport does with the connection once it has checked.
		readLoop func(conn net.Conn)
		usable   bool
	}{
		{"no bytes are left", func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }, true},
		{"bytes are left", func(conn net.Conn) { _ = conn.Close() }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				near, far := net.Pipe()
				conn, _ := traffic.TrackConn(near, &limitStub{}, true, true)
				usable := traffic.ReuseConn(conn)
				synctest.Wait()
				select {
				case <-usable:
					t.Fatal("the connection is used before its reader has checked for left-over bytes")
				default:
				}
				var wg sync.WaitGroup
				wg.Go(func() { test.readLoop(conn) })
				is.Equal(<-usable, test.usable)
				is.NoErr(far.Close())
				wg.Wait()
				_ = conn.Close()
			})
		})
	}
}
