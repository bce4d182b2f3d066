package traffic

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
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
)

// errConnections is returned by a dial that would exceed the target's connections.
var errConnections = errors.New("the target has no connection left")

// connectionLimit bounds open connections. A nil limit allows all.
type connectionLimit interface {
	openConnection() bool
	closeConnection()
}

// newTransport returns an HTTP/1.1 client. Its connections count what they send.
func newTransport(idlePerHost, idleTotal, headerBytes int, limit connectionLimit) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if limit != nil && !limit.openConnection() {
			return nil, errConnections
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			if limit != nil {
				limit.closeConnection()
			}
			return nil, err
		}
		return &countedConn{Conn: conn, limit: limit}, nil
	}
	return &http.Transport{
		DialContext: dial, DisableCompression: true,
		MaxIdleConns: idleTotal, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout,
		MaxResponseHeaderBytes: int64(headerBytes),
	}
}

// countedConn counts writes, so that a failed call knows whether a byte may have reached the other end.
type countedConn struct {
	net.Conn
	writes atomic.Int64
	limit  connectionLimit
	closed sync.Once
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	if c.limit != nil {
		c.closed.Do(c.limit.closeConnection)
	}
	return err
}

// sending watches the connection of one attempt.
type sending struct {
	trace httptrace.ClientTrace
	mu    sync.Mutex
	conn  *countedConn
	start int64
	wrote bool
}

func (s *sending) context(ctx context.Context) context.Context {
	s.trace.GotConn = s.gotConn
	return httptrace.WithClientTrace(ctx, &s.trace)
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote = s.wrote || s.written() || !ok
	s.conn = conn
	if ok {
		s.start = conn.writes.Load()
	}
}

func (s *sending) written() bool { return s.conn != nil && s.conn.writes.Load() > s.start }

// mayHaveArrived reports whether a byte of the attempt may have reached the other end. While the attempt is cancelled,
// its request may still be on its way to the connection, so a connection alone counts.
func (s *sending) mayHaveArrived(cancelled bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wrote || s.written() || (cancelled && s.conn != nil)
}
