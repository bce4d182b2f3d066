package traffic

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// AuxiliaryHeaderBytes bounds the head of a request on a listener that serves no calls.
	AuxiliaryHeaderBytes = 16 << 10
	// auxiliaryTimeout bounds the reading of a request and the writing of a response there, which take milliseconds.
	auxiliaryTimeout = 30 * time.Second
	// auxiliaryRequests is the number of requests after which a connection there is closed. Without it, pipelined requests could keep
	// all connections busy.
	auxiliaryRequests = 64
)

// auxiliaryHandler closes each connection after auxiliaryRequests.
type auxiliaryHandler struct{ next http.Handler }

func (h auxiliaryHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if caller := callerOf(r); caller != nil && caller.requests.Add(1) >= auxiliaryRequests {
		w.Header().Set("Connection", "close")
	}
	h.next.ServeHTTP(w, r)
}

// NewAuxiliaryServer returns a server for a listener that serves no calls.
func NewAuxiliaryServer(h http.Handler, headerTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: auxiliaryHandler{h}, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: AuxiliaryHeaderBytes,
		ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, IdleTimeout: idleTimeout + 30*time.Second,
	}
}

// Guard makes an http.Server charge its connections and requests to the budget, and returns the listener on which it must serve.
func (b *CallerBudget) Guard(server *http.Server, listener net.Listener, name string) net.Listener {
	if b == nil {
		return listener
	}
	server.Handler = callerHandler{server.Handler}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if guarded, ok := conn.(*GuardedConn); ok {
			return context.WithValue(ctx, callerKey{}, guarded.caller)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		guarded, ok := conn.(*GuardedConn)
		switch {
		case ok && state == http.StateIdle:
			guarded.beginHead()
		case ok && state == http.StateActive:
			guarded.inHead.Store(false)
			guarded.caller.setBusy()
		}
	}
	return &guardedListener{listener, b, name, true}
}

// Listen returns a listener that accepts only the connections for which the budget has room, as GuardedConn. Others are closed.
func (b *CallerBudget) Listen(listener net.Listener, name string) net.Listener {
	if b == nil {
		return listener
	}
	return &guardedListener{listener, b, name, false}
}

type guardedListener struct {
	net.Listener
	budget *CallerBudget
	name   string
	// http says that the connections have heads of requests.
	http bool
}

// Accept waits for the next connection for which there is room.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		guarded := &GuardedConn{Conn: conn, maxFields: l.budget.limits.Fields}
		guarded.inHead.Store(l.http)
		caller, ok := l.budget.open(conn.RemoteAddr(), l.name, func() { reset(conn) })
		if !ok {
			_ = conn.Close()
			continue
		}
		guarded.caller = caller
		return guarded, nil
	}
}

// GuardedConn is a connection that is charged to a CallerBudget.
type GuardedConn struct {
	net.Conn
	caller    *callerConn
	maxFields int
	closeOnce sync.Once
	// inHead says that no request has been read since the connection became idle. scanner belongs to the reading goroutine, and
	// headBegun makes it begin anew.
	inHead, headBegun atomic.Bool
	scanner           headScanner
}

func (c *GuardedConn) beginHead() {
	c.headBegun.Store(true)
	c.inHead.Store(true)
	c.caller.setIdle()
}

// Read reads, and fails if the head of a request has too many fields.
func (c *GuardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.inHead.Load() || n <= 0 {
		return n, err
	}
	if c.headBegun.CompareAndSwap(true, false) {
		c.scanner = headScanner{}
	}
	if c.scanner.scan(p[:n]); c.maxFields > 0 && c.scanner.fields > c.maxFields {
		c.caller.budget.refused(refusedFields)
		return 0, errTooManyFields
	}
	return n, err
}

// Write writes, and marks meanwhile that the connection waits for its caller to read.
func (c *GuardedConn) Write(p []byte) (int, error) {
	c.caller.sendingSince.Store(sinceStart())
	defer c.caller.sendingSince.Store(0)
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side.
func (c *GuardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.New("the connection cannot be closed for sending alone")
}

// Close closes the connection and returns what it held.
func (c *GuardedConn) Close() error {
	c.closeOnce.Do(c.caller.close)
	return c.Conn.Close()
}

// Reserve takes bytes before they are held, and returns false if there is no room.
func (c *GuardedConn) Reserve(n int64) bool { return c.caller.reserve(n) }

// Release returns bytes that were reserved.
func (c *GuardedConn) Release(n int64) { c.caller.release(n) }

// AwaitInput marks that a message has begun and is incomplete.
func (c *GuardedConn) AwaitInput() {
	c.caller.setBusy()
	c.caller.awaitInput()
}

// Received marks that a message is complete.
func (c *GuardedConn) Received() { c.caller.setIdle() }

// callerHandler charges the bodies of requests to the budget before another handler reads them.
type callerHandler struct{ next http.Handler }

func (h callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller := callerOf(r)
	if caller == nil || r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	n := r.ContentLength
	if n < 0 || n > maxReplayBody {
		n = maxReplayBody
	}
	if !caller.reserve(n) {
		w.Header().Set("Connection", "close")
		callersRefusal("there is no room for the request body").write(w, r, caller.budget.metrics)
		return
	}
	defer caller.release(n)
	// For a handler that does not read the body: http.Server reads a short rest of it without a deadline of its own. Those that do
	// set their own.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	// The request of http.Server keeps its own body: of one that waits for "100 Continue", the server reads no rest.
	body := &receivedBody{ReadCloser: r.Body, caller: caller}
	r = r.WithContext(r.Context())
	r.Body = body
	// http.Server reads the rest of a body that the handler leaves, some of it within the first write of the response.
	caller.awaitInput()
	h.next.ServeHTTP(w, r)
}

// receivedBody marks the connection as one that does not wait for its caller any more when the body is complete.
type receivedBody struct {
	io.ReadCloser
	caller *callerConn
}

func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.caller.received()
	}
	return n, err
}
