// Package peer carries the messages of internal/message between daemons by net/rpc with MessagePack. The receivers Command and
// Query keep state-changing and reading messages apart; neither decides anything.
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

// Handler answers a message. It returns false if the daemon is shutting down or did not answer in time.
type Handler interface {
	Handle(ctx context.Context, body message.Request) (message.Reply, bool)
}

// answerTimeout bounds how long a message waits for the control loop. The loop decides in microseconds; a longer wait means that the
// process was suspended, and the sender treats the missing answer as a lost message.
const answerTimeout = 2 * time.Second

// Command is the net/rpc receiver for messages that change the state of this daemon.
type Command struct{ h Handler }

// Query is the net/rpc receiver for messages that only read.
type Query struct{ h Handler }

// answer runs a message through the handler and copies the typed reply.
func answer[R any](h Handler, body message.Request, out *R) error {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
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

// Announce introduces a daemon to its leader.
func (c *Command) Announce(in *message.Announce, out *message.AnnounceReply) error {
	return answer(c.h, in, out)
}

// Heartbeat reports a member and the daemons below it.
func (c *Command) Heartbeat(in *message.Heartbeat, out *message.HeartbeatReply) error {
	return answer(c.h, in, out)
}

// Update brings configuration, roster and marks.
func (c *Command) Update(in *message.Update, out *message.UpdateReply) error {
	return answer(c.h, in, out)
}

// Exchange brings the state of another data centre.
func (c *Command) Exchange(in *message.Exchange, out *message.ExchangeReply) error {
	return answer(c.h, in, out)
}

// Withhold brings marks.
func (c *Command) Withhold(in *message.Withhold, out *message.WithholdReply) error {
	return answer(c.h, in, out)
}

// Spread brings changes.
func (c *Command) Spread(in *message.Spread, out *message.SpreadReply) error {
	return answer(c.h, in, out)
}

// Snapshot returns what is newer than the asker's state.
func (q *Query) Snapshot(in *message.SnapshotQuery, out *message.SnapshotReply) error {
	return answer(q.h, in, out)
}

// Status returns the state of the data centre.
func (q *Query) Status(in *message.StatusQuery, out *message.StatusReply) error {
	return answer(q.h, in, out)
}

// Load returns the calls that this daemon and those below it received.
func (q *Query) Load(in *message.LoadQuery, out *message.LoadReply) error {
	return answer(q.h, in, out)
}

// Catalog returns the stored entries that the asker has not seen.
func (q *Query) Catalog(in *message.CatalogQuery, out *message.CatalogReply) error {
	return answer(q.h, in, out)
}

// Target returns the target beside this daemon.
func (q *Query) Target(in *message.TargetQuery, out *message.TargetReply) error {
	return answer(q.h, in, out)
}

// Evidence returns the outcomes of the calls of the target beside this daemon.
func (q *Query) Evidence(in *message.EvidenceQuery, out *message.EvidenceReply) error {
	return answer(q.h, in, out)
}

// Server accepts connections of peers.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	bytes    func(sent bool, n int)
	refused  func(address string, err error)

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewServer serves peers on a listener once Serve runs. bytes counts the control bytes and may be nil.
func NewServer(listener net.Listener, h Handler, bytes func(sent bool, n int)) (*Server, error) {
	server := rpc.NewServer()
	if err := server.Register(&Command{h}); err != nil {
		return nil, errors.Wrap(err, "register Command")
	}
	if err := server.Register(&Query{h}); err != nil {
		return nil, errors.Wrap(err, "register Query")
	}
	return &Server{listener: listener, rpc: server, bytes: bytes, conns: map[net.Conn]bool{}}, nil
}

// OnRefused sets what is told of connections that are given up because of the peer's release. It must be called before Serve.
func (s *Server) OnRefused(refused func(address string, err error)) { s.refused = refused }

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		counted := &countedConn{Conn: conn, count: s.bytes}
		if !s.add(counted) {
			_ = conn.Close()
			return
		}
		go func() {
			defer s.remove(counted)
			s.rpc.ServeCodec(newCodec(counted, func(err error) {
				if s.refused != nil {
					s.refused(conn.RemoteAddr().String(), err)
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

// Close stops accepting and ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// countedConn counts the bytes of control traffic.
type countedConn struct {
	net.Conn
	count func(sent bool, n int)
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.count != nil && n > 0 {
		c.count(false, n)
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.count != nil && n > 0 {
		c.count(true, n)
	}
	return n, err
}
