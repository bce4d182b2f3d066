package traffic

import (
	"io"
	"time"
)

// stopReading marks that no request follows on the connection.
func (c *pipelineConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endReading()
}

// endReading counts the connection, once, as one on which no request follows. The lock must be held.
func (c *pipelineConn) endReading() {
	if !c.readingEnded {
		c.readingEnded = true
		c.server.reading.end()
	}
}

// closeAfterLast closes the sending side after the last response, which may be incomplete: its caller can tell from its framing, and if it
// has none, the connection was reset.
func (c *pipelineConn) closeAfterLast() {
	c.cancel()
	if c.closeSending() {
		c.awaitCaller()
	}
}

// awaitCaller counts the connection, once, as one whose caller may not have received its responses.
func (c *pipelineConn) awaitCaller() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaited {
		c.awaited = true
		c.server.lingering.begin()
	}
}

// closeSending closes the sending side, if the writer has not done so, and bounds the time in which the rest is read. It returns false
// if the connection is closed.
func (c *pipelineConn) closeSending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.lingering {
		return true
	}
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		_ = c.conn.Close()
		return false
	}
	c.lingering = true
	c.caller.awaitInput()
	_ = c.conn.SetReadDeadline(time.Now().Add(closeLinger))
	return true
}

// linger reads until the caller closes the connection, or closeLinger has passed since the sending side was closed. Bytes that arrive
// after a full close reset the connection, and what the caller has not received of its responses by then is lost.
func (c *pipelineConn) linger() {
	if c.closeSending() {
		_, _ = io.Copy(io.Discard, c.conn) // ends with the caller or the deadline
	}
	_ = c.conn.Close()
	if c.awaited {
		c.server.lingering.end()
	}
}
