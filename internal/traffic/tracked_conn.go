package traffic

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errConnectionBroken is the end of a connection that was not closed in order.
var errConnectionBroken = errors.New("the connection was reset")

const (
	// maxLinger bounds the wait for a target that goes on with a request after its caller has disconnected. It is the
	// default deadline of a call.
	maxLinger = 5 * time.Second
	// maxLingerBytes bounds the bytes that are read meanwhile. A target that sends more is not executing the request, but
	// sending a response that may have no end.
	maxLingerBytes = 1 << 20
)

// trackedConn counts writes, so that it is known whether a byte of a failed exchange may have reached the other end, and tells the orderly
// end of a connection from that of a broken one.
type trackedConn struct {
	net.Conn
	limit   connectionLimit
	lingers bool
	writes  atomic.Int64
	// closed makes later writes fail. Write increments writes before it reads closed, and blockWrites sets closed before it
	// reads writes, so a write that blockWrites did not count is not sent.
	closed atomic.Bool
	// current is the exchange whose response has not been read completely, or nil.
	current   atomic.Pointer[exchange]
	readMu    sync.Mutex
	closeOnce sync.Once
	// ended is closed once the connection is closed, after it has lingered.
	ended chan struct{}
	// mu guards readPending and writePending, which mean that a read waits for the other end or a write for its room, writeBroken, which
	// means that a write failed because the connection was broken, closeCalled, and unchecked, which means that the head of the
	// response to the present exchange has not been checked.
	mu                                                             sync.Mutex
	changed                                                        *sync.Cond
	readPending, writePending, writeBroken, closeCalled, unchecked bool
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
	c.setFlag(&c.writePending, true)
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

func (c *trackedConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writePending = false
	c.writeBroken = c.writeBroken || isBroken(err)
	c.changed.Broadcast()
}

// isBroken reports whether a write failed because the connection was reset or lost. EPIPE means that the other end had closed its sending
// side in order before, or that an earlier write has failed.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

func (c *trackedConn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.setFlag(&c.readPending, true)
	defer c.setFlag(&c.readPending, false)
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.hasBroken() {
		err = errConnectionBroken
	}
	return n, err
}

// hasBroken reports whether the connection was broken although a read has returned its end. A socket reports a reset once: if a write
// took it, the next read sees an orderly end, and a response without a length would look complete.
func (c *trackedConn) hasBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writePending {
		// A write that took the reset is returning. Another one may wait for the other end forever, and nobody needs it any more.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	for c.writePending {
		c.changed.Wait()
	}
	return c.writeBroken
}

func (c *trackedConn) setFlag(state *bool, value bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*state = value
	c.changed.Broadcast()
}

// awaitReader waits until the reader of http.Transport either waits for new bytes, in which case the connection can be used
// for the next exchange, or has closed the connection because bytes were left after the last response. It returns false
// if the connection was closed. http.Transport offers a connection for the next exchange before its reader has checked for
// such bytes, and would treat them as the response to it. It also offers the connection before the
// head of that response has been checked, which awaitReader waits for.
func (c *trackedConn) awaitReader() (open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (!c.readPending || c.unchecked) && !c.closeCalled {
		c.changed.Wait()
	}
	return !c.closeCalled
}

// endCheck allows the next exchange on the connection. It must follow each exchange that has got the connection.
func (c *trackedConn) endCheck() { c.setFlag(&c.unchecked, false) }

// blockWrites makes later writes fail and returns the number of earlier ones.
func (c *trackedConn) blockWrites() int64 {
	c.closed.Store(true)
	return c.writes.Load()
}

// Close closes the connection. If the other end may still be executing a request, only the sending side is closed, which
// tells the other end to stop; the receiving side is closed when the other end closes the connection, or after maxLinger.
func (c *trackedConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.closed.Store(true)
		c.setFlag(&c.closeCalled, true)
		half, ok := c.Conn.(interface{ CloseWrite() error })
		if e := c.current.Load(); ok && c.lingers && e != nil && c.writes.Load() > e.writesBefore {
			// Unblock the reads and writes of the goroutines of http.Transport.
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
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	_ = c.closeNow() // the other end has closed the connection or does not stop sending, or the deadline has passed
}

func (c *trackedConn) closeNow() error {
	err := c.Conn.Close()
	if c.limit != nil {
		c.limit.closeConnection()
	}
	close(c.ended)
	return err
}
