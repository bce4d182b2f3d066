package traffic

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout is long for data centres 1.5 ms apart and short enough to try another target.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout closes pooled connections; one burst of connections is not kept for long.
	idleTimeout = 60 * time.Second
	// maxLinger bounds the wait for a target that works on after its caller left. It is the default deadline of a call.
	maxLinger = 5 * time.Second
	// maxStaleConns bounds the pooled connections tried in a row that were closed before a byte was written to them.
	maxStaleConns = 3
)

var (
	// errNoConnectionLeft is returned by a dial that would exceed the target's connections.
	errNoConnectionLeft = errors.New("the target has no connection left")
	errProtocolSwitch   = errors.New("the response switches protocols")
	errTargetStalled    = errors.New("the target stopped answering")
	errTargetLost       = errors.New("the target is silent, gone or replaced")
)

// connectionLimit bounds open connections. A nil limit allows all.
type connectionLimit interface {
	openConnection() bool
	closeConnection()
}

// transportOptions configure a pool.
type transportOptions struct {
	idlePerPeer, idleTotal, headerBytes int
	// limit counts every connection from its dial to its end, lingering ones included. MaxConnsPerHost is not used: it
	// takes a lingering connection for closed, and a call over it waits with a slot instead of being refused.
	limit connectionLimit
	// lingers keeps the connection of an abandoned exchange open until the other end closes it.
	lingers bool
	// idle closes a pooled connection after this time without an exchange; 0 means idleTimeout.
	idle time.Duration
}

// pool sends requests with http.Transport over HTTP/1.1. It never sends a request twice, and it knows whether a byte of
// a failed request was sent.
type pool struct{ transport *http.Transport }

func newPool(o transportOptions) *pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if o.limit != nil && !o.limit.openConnection() {
			return nil, errNoConnectionLeft
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			if o.limit != nil {
				o.limit.closeConnection()
			}
			return nil, err
		}
		return newTrackedConn(conn, o.limit, o.lingers), nil
	}
	idle := o.idle
	if idle == 0 {
		idle = idleTimeout
	}
	return &pool{transport: &http.Transport{
		DialContext: dial, DisableCompression: true,
		MaxIdleConns: o.idleTotal, MaxIdleConnsPerHost: o.idlePerPeer, IdleConnTimeout: idle,
		MaxResponseHeaderBytes: int64(o.headerBytes),
	}}
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() { p.transport.CloseIdleConnections() }

// trackedConn counts writes, so that a failed exchange knows whether a byte may have reached the other end.
type trackedConn struct {
	net.Conn
	limit   connectionLimit
	lingers bool
	writes  atomic.Int64
	// closed refuses later writes. A write counts itself before it looks at closed, and seal closes before it looks at
	// the count, so no write that seal missed is sent.
	closed atomic.Bool
	// current is the exchange that has not read its whole response, or nil.
	current   atomic.Pointer[exchange]
	readMu    sync.Mutex
	closeOnce sync.Once
	// ended is closed with the connection, after a linger.
	ended chan struct{}
	// mu guards receiving, which says that a read waits for the other end, and shut, which says that Close was called.
	mu                       sync.Mutex
	changed                  *sync.Cond
	readPending, closeCalled bool
}

func newTrackedConn(conn net.Conn, limit connectionLimit, lingers bool) *trackedConn {
	c := &trackedConn{Conn: conn, limit: limit, lingers: lingers, ended: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *trackedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.setFlag(&c.readPending, true)
	defer c.setFlag(&c.readPending, false)
	return c.Conn.Read(p)
}

func (c *trackedConn) setFlag(state *bool, value bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*state = value
	c.changed.Broadcast()
}

// awaitReader waits until the reader of a connection between two exchanges has used all bytes that it has received, or has
// closed the connection because some are left; the result says which. http.Transport offers a connection for the next
// exchange before it looks, and would take such bytes for the response to it.
func (c *trackedConn) awaitReader() (open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.readPending && !c.closeCalled {
		c.changed.Wait()
	}
	return !c.closeCalled
}

// blockWrites refuses later writes and returns the number of earlier ones.
func (c *trackedConn) blockWrites() int64 {
	c.closed.Store(true)
	return c.writes.Load()
}

// Close closes the connection. While the other end may still work on a request, only the sending side is closed, which
// tells that end to stop, and the rest follows when that end closes the connection or after maxLinger.
func (c *trackedConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.closed.Store(true)
		c.setFlag(&c.closeCalled, true)
		half, ok := c.Conn.(interface{ CloseWrite() error })
		if e := c.current.Load(); ok && c.lingers && e != nil && c.writes.Load() > e.writesBefore {
			// Ends reads and writes in progress, whose goroutines belong to http.Transport.
			_ = c.SetDeadline(time.Unix(1, 0))
			if half.CloseWrite() == nil {
				go c.linger(e)
				return
			}
		}
		err = c.closeNow()
	})
	return err
}

func (c *trackedConn) linger(e *exchange) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	_ = c.SetDeadline(time.Now().Add(maxLinger))
	if e.complete.Load() {
		_ = c.SetDeadline(time.Unix(1, 0))
	}
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.closeNow() // the other end has closed the connection or gets no more time
}

func (c *trackedConn) closeNow() error {
	err := c.Conn.Close()
	if c.limit != nil {
		c.limit.closeConnection()
	}
	close(c.ended)
	return err
}

// exchange is one request and its response.
type exchange struct {
	trace  httptrace.ClientTrace
	cancel context.CancelFunc
	// calls holds the exchange while it is in flight; nil if nothing cancels it but its context.
	calls *callSet
	// lost says that the target was lost during the exchange.
	lost atomic.Bool
	// started is when the exchange began, and patience how long it may wait for a target that stopped answering before
	// the call is sent again; 0 if it must not be. stalled says that this happened.
	started      time.Time
	stallTimeout time.Duration
	stalled      atomic.Bool
	response     *http.Response
	conn         *trackedConn
	reused       bool
	// unusable says that the connection was closed before the exchange began, so that no byte of the request was sent.
	unusable bool
	// writesBefore is the number of writes to the connection before this exchange.
	writesBefore int64
	// maybeSent says that a byte of the request may have reached the other end.
	maybeSent bool
	// complete says that the response was read to its end.
	complete atomic.Bool
	// abandoned says that the other end may still work on the request until the connection has ended.
	abandoned bool
}

// do sends a request and reads the header of its response. The exchange is never nil; finish must follow if err is nil.
// Calls may be nil.
func (p *pool) do(ctx context.Context, calls *callSet, address string, deadline time.Time, o *outgoingRequest) (*exchange, error) {
	e := &exchange{calls: calls, started: time.Now()}
	if o.retryable {
		e.stallTimeout = deadline.Sub(e.started) / stallDivisor
	}
	ctx, e.cancel = context.WithDeadline(ctx, deadline)
	if calls != nil && !calls.add(e) {
		e.cancel()
		return e, errTargetLost
	}
	e.trace.GotConn = e.gotConn
	traced := httptrace.WithClientTrace(ctx, &e.trace)
	for tries := 1; ; tries++ {
		e.conn, e.reused, e.unusable = nil, false, false
		response, err := p.transport.RoundTrip(o.build(traced, address))
		if err == nil {
			e.maybeSent, e.response = true, response
			break
		}
		e.maybeSent = e.conn != nil && e.conn.blockWrites() > e.writesBefore && !e.unusable
		// A pooled connection that the other end closed says nothing about a new one.
		if !e.maybeSent && e.reused && tries < maxStaleConns && ctx.Err() == nil && o.body.replayable() {
			continue
		}
		e.abandoned = e.maybeSent
		e.deregister()
		return e, e.failureCause(err)
	}
	if e.response.StatusCode == http.StatusSwitchingProtocols {
		e.finish(false)
		return e, errProtocolSwitch
	}
	return e, nil
}

// gotConn is called on the goroutine of RoundTrip.
func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		panic(errors.New("a connection of the pool is not tracked"))
	}
	// A closed connection refuses all writes.
	e.unusable = info.Reused && !conn.awaitReader()
	e.conn, e.reused, e.writesBefore = conn, info.Reused, conn.writes.Load()
	conn.current.Store(e)
}

// finish ends an exchange. Whole says that the response was read to its end; only then the connection is used again.
func (e *exchange) finish(complete bool) {
	e.abandoned = !complete
	if complete {
		// The connection may serve the next exchange already.
		e.conn.current.CompareAndSwap(e, nil)
		e.endLinger()
	}
	_ = e.response.Body.Close() // closes the connection unless the body was read to its end
	e.deregister()
}

// endLinger frees a connection that http.Transport closed between the end of the response and finish, such as for bytes
// that follow the response: nobody works on the request any more.
func (e *exchange) endLinger() {
	e.complete.Store(true)
	if e.conn.closed.Load() {
		_ = e.conn.SetDeadline(time.Unix(1, 0))
	}
}

func (e *exchange) deregister() {
	if e.calls != nil {
		e.calls.remove(e)
	}
	e.cancel()
}

// cancelLost cancels the exchange because its target is lost.
func (e *exchange) cancelLost() {
	e.lost.Store(true)
	e.cancel()
}

// cancelStalled cancels the exchange because its target stopped answering.
func (e *exchange) cancelStalled() {
	e.stalled.Store(true)
	e.cancel()
}

// failureCause returns errLost or errStalled for the failure of an exchange that was cancelled as such, and err otherwise.
func (e *exchange) failureCause(err error) error {
	if e.stalled.Load() {
		return errTargetStalled
	}
	if e.lost.Load() {
		return errTargetLost
	}
	return err
}

// awaitEnd returns when the other end has ended an abandoned exchange.
func (e *exchange) awaitEnd() { <-e.conn.ended }

// isTimeout reports whether an exchange failed because its deadline passed.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
