package peer

import (
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a daemon that keeps a connection to every other daemon, which would take most of its memory with 1,300
// daemons, and against closing a connection that has a call in flight.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	c := NewClient(nil)
	open := func(address string) *connection {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		conn, err := c.addConn(address, rpc.NewClientWithCodec(newCodec(near, nil)))
		is.NoErr(err)
		return conn
	}
	idle, busy, used := open("idle"), open("busy"), open("used")
	c.release(idle)
	c.release(used)
	idle.lastUsed = time.Now().Add(-2 * idleTimeout)
	busy.lastUsed = idle.lastUsed
	c.release(open("new"))
	is.Equal(len(c.conns), 3)
	is.True(c.conns["idle"] == nil)
	is.Equal(idle.Close(), rpc.ErrShutdown) // it is closed already
	c.Close()
}
