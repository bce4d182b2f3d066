package traffic

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout is long for data centres 1.5 ms apart and short enough to try another target.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout closes pooled connections; one burst of connections is not kept for long.
	idleTimeout = 60 * time.Second
	// sweepEvery is how often all idle connections are checked for idleTimeout.
	sweepEvery = 10 * time.Second
	// maxLinger bounds the wait for a target that works on after its caller left. It is the default deadline of a call.
	maxLinger = 5 * time.Second
	// maxInterim bounds 1xx responses before the final one.
	maxInterim = 5
)

var (
	// errConnections is returned by a dial that would exceed the target's connections.
	errConnections = errors.New("the target has no connection left")
	errHeaderSize  = errors.New("the response header is over the limit")
	errInterim     = errors.New("the response is interim or switches protocols")
)

// connectionLimit bounds open connections. A nil limit allows all.
type connectionLimit interface {
	openConnection() bool
	closeConnection()
}

// pool sends requests over HTTP/1.1 connections and keeps idle ones. One exchange runs on the calling goroutine, which
// saves the two goroutines per connection of http.Transport and half of the processor time of a hop. It never sends a
// request twice, and it knows whether a byte of a failed request was sent.
type pool struct {
	perPeer, total, headerBytes int
	limit                       connectionLimit
	// lingers leaves the connection of an abandoned exchange open for exchange.linger.
	lingers bool

	mu    sync.Mutex
	idle  map[string][]*poolConn
	count int
	swept time.Time
}

func newPool(perPeer, total, headerBytes int, limit connectionLimit) *pool {
	return &pool{perPeer: perPeer, total: total, headerBytes: headerBytes, limit: limit, idle: map[string][]*poolConn{}}
}

// poolConn is a connection with its buffers. One exchange uses it at a time.
type poolConn struct {
	net.Conn
	address string
	r       *bufio.Reader
	w       *bufio.Writer
	// sent says that the exchange has written to the connection.
	sent bool
	// headerLeft bounds the bytes read while the header is awaited; negative means no bound.
	headerLeft int
	idleSince  time.Time
	raw        syscall.RawConn
	peek       func(fd uintptr) bool
	peeked     error
}

func (c *poolConn) Write(p []byte) (int, error) {
	// A streamed body is written by another goroutine, after sent was set.
	if !c.sent {
		c.sent = true
	}
	return c.Conn.Write(p)
}

func (c *poolConn) Read(p []byte) (int, error) {
	if c.headerLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headerLeft == 0 {
		return 0, errHeaderSize
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headerLeft)])
	c.headerLeft -= n
	return n, err
}

// quiet reports whether an idle connection is open and has nothing to read. A peer that closed it, or bytes that belong
// to no request, make it unusable.
func (c *poolConn) quiet() bool {
	if c.raw == nil || c.raw.Read(c.peek) != nil {
		return false
	}
	return c.peeked == syscall.EAGAIN
}

// watchIdle prepares quiet, which then allocates nothing.
func (c *poolConn) watchIdle() {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	buffer := make([]byte, 1)
	c.raw = raw
	c.peek = func(fd uintptr) bool {
		_, c.peeked = syscall.Read(int(fd), buffer)
		return true
	}
}

// take returns an idle connection, or nil.
func (p *pool) take(address string) *poolConn {
	for {
		p.mu.Lock()
		conns := p.idle[address]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		conns[len(conns)-1] = nil
		p.idle[address] = conns[:len(conns)-1]
		p.count--
		p.mu.Unlock()
		if time.Since(c.idleSince) < idleTimeout && c.quiet() {
			return c
		}
		p.close(c)
	}
}

// put keeps a connection for the next exchange, or closes it if enough are idle.
func (p *pool) put(c *poolConn) {
	now := time.Now()
	c.idleSince = now
	p.mu.Lock()
	keep := p.count < p.total && len(p.idle[c.address]) < p.perPeer
	if keep {
		p.idle[c.address] = append(p.idle[c.address], c)
		p.count++
	}
	expired := p.sweep(now)
	p.mu.Unlock()
	if !keep {
		p.close(c)
	}
	for _, old := range expired {
		p.close(old)
	}
}

// sweep removes connections that were idle for too long, such as those to a peer that is gone.
func (p *pool) sweep(now time.Time) []*poolConn {
	if now.Sub(p.swept) < sweepEvery {
		return nil
	}
	p.swept = now
	var expired []*poolConn
	for address, conns := range p.idle {
		// The longest idle connections come first.
		n := 0
		for n < len(conns) && now.Sub(conns[n].idleSince) >= idleTimeout {
			n++
		}
		expired = append(expired, conns[:n]...)
		p.count -= n
		if n == len(conns) {
			delete(p.idle, address)
		} else {
			p.idle[address] = append([]*poolConn(nil), conns[n:]...)
		}
	}
	return expired
}

func (p *pool) close(c *poolConn) {
	_ = c.Close()
	if p.limit != nil {
		p.limit.closeConnection()
	}
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.count = map[string][]*poolConn{}, 0
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			p.close(c)
		}
	}
}

func (p *pool) dial(ctx context.Context, address string, deadline time.Time) (*poolConn, error) {
	if p.limit != nil && !p.limit.openConnection() {
		return nil, errConnections
	}
	dialer := net.Dialer{Timeout: dialTimeout, Deadline: deadline}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if p.limit != nil {
			p.limit.closeConnection()
		}
		return nil, err
	}
	c := &poolConn{Conn: conn, address: address}
	c.r, c.w = bufio.NewReader(c), bufio.NewWriter(c)
	c.watchIdle()
	return c, nil
}

// exchange is one request on one connection.
type exchange struct {
	pool *pool
	conn *poolConn
	// sent says that a byte of the request may have reached the other end.
	sent     bool
	response *http.Response
	stop     func() bool
	writing  chan error
	// abandoned says that the connection is open and the other end may still work on the request.
	abandoned bool
}

// do sends a request and reads the header of its response. The exchange is never nil; finish must follow if err is nil.
func (p *pool) do(ctx context.Context, address string, deadline time.Time, o *outgoing) (*exchange, error) {
	e := &exchange{pool: p}
	c := p.take(address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address, deadline); err != nil {
			return e, err
		}
	}
	e.conn, c.sent = c, false
	_ = c.SetDeadline(deadline) // fails only for a closed connection, as does the write that follows
	e.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	writeErr := e.write(o)
	if writeErr != nil && !c.sent {
		return e, e.abort(writeErr)
	}
	// After a failed write the response may still be there: the other end refused without reading the body.
	response, err := e.readHeader(o.request)
	if err != nil {
		if writeErr != nil {
			err = writeErr
		}
		return e, e.abort(err)
	}
	if writeErr != nil {
		response.Close = true
	}
	e.response = response
	return e, nil
}

// write sends the request. A streamed body is sent on another goroutine, because the response may come before its end.
func (e *exchange) write(o *outgoing) error {
	o.writeHead(e.conn.w)
	if o.body.rest == nil {
		if _, err := e.conn.w.Write(o.body.buffered); err != nil {
			return err
		}
		return e.conn.w.Flush()
	}
	e.conn.sent = true
	o.body.used.Store(true)
	e.writing = make(chan error, 1)
	go func() {
		err := o.body.stream(e.conn.w)
		if o.body.broken.Load() {
			// The rest of the body never comes, and neither does the response.
			_ = e.conn.SetDeadline(time.Unix(1, 0))
		}
		e.writing <- err
	}()
	return nil
}

func (e *exchange) readHeader(request *http.Request) (*http.Response, error) {
	for range maxInterim {
		e.conn.headerLeft = e.pool.headerBytes
		response, err := http.ReadResponse(e.conn.r, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			e.conn.headerLeft = -1
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errInterim
}

// finish ends an exchange. Whole says that the response was read to its end; only then the connection is used again.
func (e *exchange) finish(whole bool) {
	stopped := e.stop()
	written := true
	if e.writing != nil {
		select {
		case err := <-e.writing:
			written = err == nil
		default:
			written = false
		}
	}
	if !whole || !stopped || !written || e.response.Close || e.conn.r.Buffered() > 0 {
		e.discard(whole)
		return
	}
	e.pool.put(e.conn)
}

// discard closes the connection, or leaves it to linger if the other end may still work on the request.
func (e *exchange) discard(whole bool) {
	if e.pool.lingers && e.conn.sent && !whole {
		e.abandoned = true
		return
	}
	e.pool.close(e.conn)
}

// linger ends the sending side of an abandoned exchange, which tells the other end to stop, and waits until that end
// closes the connection.
func (e *exchange) linger() {
	defer e.pool.close(e.conn)
	if conn, ok := e.conn.Conn.(*net.TCPConn); ok && conn.CloseWrite() == nil {
		_ = conn.SetDeadline(time.Now().Add(maxLinger))
		_, _ = io.Copy(io.Discard, conn)
	}
}

// abort closes the connection of a failed exchange.
func (e *exchange) abort(err error) error {
	e.sent = e.conn.sent
	e.stop()
	e.discard(false)
	return err
}

// timedOut reports whether an exchange failed because its deadline passed.
func timedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
