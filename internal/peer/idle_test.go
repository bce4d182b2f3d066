package peer

import (
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a daemon that keeps a connection to every other one, which at 1,300 daemons would take most of its memory,
// and against the end of a connection with a call in flight.
func TestIdleConnectionsEnd(t *testing.T) {
	is := is.New(t)
	c := NewClient(nil)
	open := func(address string) *connection {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		conn, err := c.keep(address, rpc.NewClientWithCodec(newCodec(near, nil)))
		is.NoErr(err)
		return conn
	}
	idle, busy, used := open("idle"), open("busy"), open("used")
	c.release(idle)
	c.release(used)
	idle.usedAt = time.Now().Add(-2 * idleAfter)
	busy.usedAt = idle.usedAt
	c.release(open("new"))
	is.Equal(len(c.conns), 3)
	is.True(c.conns["idle"] == nil)
	is.Equal(idle.Close(), rpc.ErrShutdown) // it is closed already
	c.Close()
}
