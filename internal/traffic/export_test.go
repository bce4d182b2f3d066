package traffic

import "net"

// testLimit is connectionLimit for tests outside the package.
type testLimit interface {
	OpenConnection() bool
	CloseConnection()
}

type limitAdapter struct{ testLimit }

func (l limitAdapter) openConnection() bool { return l.OpenConnection() }
func (l limitAdapter) closeConnection()     { l.CloseConnection() }

// TrackConn wraps a connection as the pool beside a target does, with one exchange on it.
func TrackConn(conn net.Conn, limit testLimit, written, answered bool) (net.Conn, <-chan struct{}) {
	limit.OpenConnection()
	c := &trackedConn{Conn: conn, limit: limitAdapter{limit}, lingers: true, ended: make(chan struct{})}
	e := &exchange{}
	if !answered {
		c.current.Store(e)
	}
	if written {
		c.writes.Add(1)
	}
	return c, c.ended
}
