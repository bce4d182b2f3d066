package traffic

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout is long for data centres 1.5 ms apart and short enough to leave time for another target.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is the time after which idle pooled connections are closed, so that those of a burst are not kept for long.
	idleTimeout = 60 * time.Second
	// maxStaleConns bounds the pooled connections that are tried for one request and turn out to be closed before a byte
	// was written.
	maxStaleConns = 3
)

var (
	// errNoConnectionLeft is returned by a dial that would exceed the target's connections.
	errNoConnectionLeft = errors.New("the target has no connection left")
	errTargetStalled    = errors.New("the target stopped answering")
	errTargetLost       = errors.New("the target is silent, gone or replaced")
	errStopping         = errors.New("the daemon stops")
)

// connectionLimit limits the open connections. A nil limit allows any number.
type connectionLimit interface {
	openConnection() bool
	closeConnection()
}

// transportOptions configure a pool.
type transportOptions struct {
	idlePerPeer, idleTotal, headerBytes int
	// limit counts every connection from its dial to its end, including lingering ones. http.Transport.MaxConnsPerHost is
	// not used: it counts a lingering connection as closed, and a call over the limit would wait, occupying a slot, instead
	// of being refused.
	limit connectionLimit
	// yieldsIdle closes idle connections in favour of a new one when the limit is reached.
	yieldsIdle bool
	// lingers keeps the connection of an abandoned exchange open until the other end closes it, at most for maxLinger.
	lingers bool
	// idle is the time without an exchange after which a pooled connection is closed; 0 means idleTimeout.
	idle time.Duration
	// expectContinue is how long a request with "Expect: 100-continue" waits for the other end to ask for its body.
	expectContinue time.Duration
}

// pool sends requests over HTTP/1.1 with http.Transport. It never sends a request twice, and records whether a byte of a
// failed request may have been sent.
type pool struct{ transport *http.Transport }

func newPool(o transportOptions) *pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	p := &pool{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if o.limit != nil && !o.limit.openConnection() {
			// Idle connections to others may take the room.
			if !o.yieldsIdle {
				return nil, errNoConnectionLeft
			}
			p.closeIdle()
			if !o.limit.openConnection() {
				return nil, errNoConnectionLeft
			}
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
	p.transport = &http.Transport{
		DialContext: dial, DisableCompression: true,
		MaxIdleConns: o.idleTotal, MaxIdleConnsPerHost: o.idlePerPeer, IdleConnTimeout: idle,
		MaxResponseHeaderBytes: int64(o.headerBytes), ExpectContinueTimeout: o.expectContinue,
	}
	return p
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() { p.transport.CloseIdleConnections() }

// exchange is one request and its response.
type exchange struct {
	trace  httptrace.ClientTrace
	cancel context.CancelFunc
	// calls is the set that holds the exchange while it is in flight; nil if only its context cancels it.
	calls *callSet
	// lost is set when the exchange is cancelled because its target is lost.
	lost atomic.Bool
	// started is when the exchange began. stallTimeout is how long it waits for a target that has stopped answering before
	// it is cancelled so that the call can be sent again; 0 if the call must not be sent again. stalled is set when the
	// exchange is cancelled for this.
	started      time.Time
	stallTimeout time.Duration
	stalled      atomic.Bool
	// stopping is set when the exchange is cancelled because the daemon stops.
	stopping atomic.Bool
	response *http.Response
	conn     *trackedConn
	reused   bool
	// unusable means that the connection was closed before the exchange began, so that no byte of the request was sent.
	unusable bool
	// writesBefore is the number of writes to the connection before this exchange.
	writesBefore int64
	// maybeSent means that a byte of the request may have reached the other end.
	maybeSent bool
	// complete means that the response was read to its end.
	complete atomic.Bool
	// abandoned means that the other end may still be executing the request until the connection has ended.
	abandoned bool
}

// do sends a request and reads the header of its response. The exchange is never nil; if the error is nil, finish must be
// called. Calls may be nil.
func (p *pool) do(
	ctx context.Context, calls *callSet, address string, deadline time.Time, o *outgoingRequest,
) (*exchange, error) {
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
		if e.conn != nil {
			e.conn.endCheck()
		}
		// A pooled connection that the other end had closed does not mean that a new one would fail; try again.
		if !e.maybeSent && e.reused && tries < maxStaleConns && ctx.Err() == nil && o.body.replayable() {
			continue
		}
		e.abandoned = e.maybeSent
		e.deregister()
		return e, e.failureCause(err)
	}
	return e, e.checkHead(o.request.Method)
}

// gotConn records the connection of the exchange. It is called on the goroutine of RoundTrip.
func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		panic(errors.New("a connection of the pool is not tracked"))
	}
	// Writes to a closed connection fail, so the request is not sent.
	e.unusable = info.Reused && !conn.awaitReader()
	conn.setFlag(&conn.unchecked, true)
	e.conn, e.reused, e.writesBefore = conn, info.Reused, conn.writes.Load()
	conn.current.Store(e)
}

// finish ends an exchange. Complete means that the response was read to its end; only then is the connection reused.
func (e *exchange) finish(complete bool) {
	e.abandoned = !complete
	if complete {
		// The connection may already be in use by the next exchange.
		e.conn.current.CompareAndSwap(e, nil)
		e.endLinger()
	}
	_ = e.response.Body.Close() // closes the connection unless the body was read to its end
	e.deregister()
}

// endLinger closes a connection that http.Transport closed between the end of the response and finish, for example because
// bytes followed the response. It need not linger, since the request has been executed.
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

// cancelStalled cancels the exchange because its target has stopped answering.
func (e *exchange) cancelStalled() {
	e.stalled.Store(true)
	e.cancel()
}

// cancelStopping cancels the exchange because the daemon stops.
func (e *exchange) cancelStopping() {
	e.stopping.Store(true)
	e.cancel()
}

// failureCause returns errStopping, errTargetStalled or errTargetLost if the exchange was cancelled for that reason, and err
// otherwise.
func (e *exchange) failureCause(err error) error {
	if e.stopping.Load() {
		return errStopping
	}
	if e.stalled.Load() {
		return errTargetStalled
	}
	if e.lost.Load() {
		return errTargetLost
	}
	return err
}

// awaitEnd blocks until the connection of an abandoned exchange has ended.
func (e *exchange) awaitEnd() { <-e.conn.ended }

// isTimeout reports whether an exchange failed because its deadline passed.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
