// Package peer transports the messages of internal/message between daemons by net/rpc with MessagePack. The receiver Command
// has the messages that change state, the receiver Query those that only read. Neither contains decision logic.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/message"
)

// Handler handles a message and returns the reply, or false if the daemon is shutting down or did not reply in time.
type Handler interface {
	Handle(ctx context.Context, body message.Request) (message.Reply, bool)
}

// handleTimeout bounds how long a message waits for the control loop. The loop handles an event in microseconds; a longer wait
// means that the process was suspended. The sender treats a missing reply like a lost message.
const handleTimeout = 2 * time.Second

// Command is the net/rpc receiver for messages that change the state of this daemon.
type Command struct{ h Handler }

// Query is the net/rpc receiver for messages that only read.
type Query struct{ h Handler }

// handle passes a message to the handler and copies the reply to out.
func handle[R any](h Handler, body message.Request, out *R) error {
	ctx, cancel := context.WithTimeout(context.Background(), handleTimeout)
	defer cancel()
	reply, ok := h.Handle(ctx, body)
	if !ok {
		return errors.New("no answer")
	}
	typed, ok := reply.(any).(*R)
	if !ok {
		return errors.Errorf("reply %T to %T", reply, body)
	}
	*out = *typed
	return nil
}

// Announce handles the announcement of a daemon to its leader.
func (c *Command) Announce(in *message.Announce, out *message.AnnounceReply) error {
	return handle(c.h, in, out)
}

// Heartbeat handles the heartbeat of a child, which reports on the child and the daemons below it.
func (c *Command) Heartbeat(in *message.Heartbeat, out *message.HeartbeatReply) error {
	return handle(c.h, in, out)
}

// Update handles an update of configuration, roster and marks from the parent.
func (c *Command) Update(in *message.Update, out *message.UpdateReply) error {
	return handle(c.h, in, out)
}

// Exchange handles the state of another data centre from its leader.
func (c *Command) Exchange(in *message.Exchange, out *message.ExchangeReply) error {
	return handle(c.h, in, out)
}

// Withhold handles marks that another daemon forwards.
func (c *Command) Withhold(in *message.Withhold, out *message.WithholdReply) error {
	return handle(c.h, in, out)
}

// Spread handles changes that another daemon forwards.
func (c *Command) Spread(in *message.Spread, out *message.SpreadReply) error {
	return handle(c.h, in, out)
}

// Quota grants tokens of a tenant's quota.
func (c *Command) Quota(in *message.QuotaRequest, out *message.QuotaReply) error {
	return handle(c.h, in, out)
}

// Snapshot returns the configuration and roster, if they are newer than the sender's, and the marks.
func (q *Query) Snapshot(in *message.SnapshotQuery, out *message.SnapshotReply) error {
	return handle(q.h, in, out)
}

// Status returns the state of the data centre.
func (q *Query) Status(in *message.StatusQuery, out *message.StatusReply) error {
	return handle(q.h, in, out)
}

// Load returns the calls that this daemon and those below it received.
func (q *Query) Load(in *message.LoadQuery, out *message.LoadReply) error {
	return handle(q.h, in, out)
}

// Catalog returns the entries, marks and configuration that the sender lacks.
func (q *Query) Catalog(in *message.CatalogQuery, out *message.CatalogReply) error {
	return handle(q.h, in, out)
}

// Target returns the local target of this daemon.
func (q *Query) Target(in *message.TargetQuery, out *message.TargetReply) error {
	return handle(q.h, in, out)
}

// Evidence returns the outcomes of the calls to the local target of this daemon.
func (q *Query) Evidence(in *message.EvidenceQuery, out *message.EvidenceReply) error {
	return handle(q.h, in, out)
}

// Confirmation returns how old the configuration of this daemon can be.
func (q *Query) Confirmation(in *message.ConfirmationQuery, out *message.ConfirmationReply) error {
	return handle(q.h, in, out)
}

// Server serves the connections of peers.
type Server struct {
	listener   net.Listener
	rpc        *rpc.Server
	countBytes func(sent bool, n int)
	onRefused  func(address string, err error)

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a server on a listener; Serve starts it. countBytes counts the bytes of control traffic and may be nil.
func NewServer(listener net.Listener, h Handler, countBytes func(sent bool, n int)) (*Server, error) {
	server := rpc.NewServer()
	if err := server.Register(&Command{h}); err != nil {
		return nil, errors.Wrap(err, "register Command")
	}
	if err := server.Register(&Query{h}); err != nil {
		return nil, errors.Wrap(err, "register Query")
	}
	return &Server{listener: listener, rpc: server, countBytes: countBytes, conns: map[net.Conn]bool{}}, nil
}

// OnRefused sets a function that is called if a connection is refused because the peer has another layout of messages. It must
// be called before Serve.
func (s *Server) OnRefused(onRefused func(address string, err error)) { s.onRefused = onRefused }

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		counted := &countedConn{Conn: conn, count: s.countBytes, writeTimeout: messageTimeout}
		if !s.add(counted) {
			_ = conn.Close()
			return
		}
		go func() {
			defer s.remove(counted)
			guard, _ := conn.(Guard)
			s.rpc.ServeCodec(newServerCodec(counted, guard, func(err error) {
				if s.onRefused != nil {
					s.onRefused(conn.RemoteAddr().String(), err)
				}
			}))
		}()
	}
}

func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close stops accepting connections and closes all of them.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// countedConn is a connection that counts the bytes read and written.
type countedConn struct {
	net.Conn
	count func(sent bool, n int)
	// writeTimeout bounds a write; 0 means that it may take any time.
	writeTimeout time.Duration
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.count != nil && n > 0 {
		c.count(false, n)
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout)) // fails only if the connection is closed
	}
	n, err := c.Conn.Write(p)
	if c.count != nil && n > 0 {
		c.count(true, n)
	}
	return n, err
}
