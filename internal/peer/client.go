package peer

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/message"
)

const (
	// callTimeout bounds a call from the connection attempt to the reply. It is shorter than the three heartbeat intervals
	// after which a daemon counts as silent, so that a dead peer is detected in time.
	callTimeout = 1500 * time.Millisecond
	// dialTimeout bounds a connection attempt.
	dialTimeout = time.Second
	// idleTimeout is how long a connection without a call is kept. Daemons query random peers, so that each would otherwise
	// end up with a connection to every other daemon.
	idleTimeout = 10 * time.Second
)

// Client sends messages to peers over one connection per address.
type Client struct {
	countBytes func(sent bool, n int)

	mu     sync.Mutex
	conns  map[string]*connection
	closed bool
}

// connection is the connection to one address.
type connection struct {
	*rpc.Client
	// inFlight is the number of calls without a result.
	inFlight int
	// lastUsed is when the last call ended.
	lastUsed time.Time
}

// NewClient returns a client without connections. countBytes counts the bytes of control traffic and may be nil.
func NewClient(countBytes func(sent bool, n int)) *Client {
	return &Client{countBytes: countBytes, conns: map[string]*connection{}}
}

// Call sends a message and returns the reply, or nil if the peer could not be reached or did not answer in time.
func (c *Client) Call(ctx context.Context, address string, body message.Request) message.Reply {
	method, reply := methodOf(body)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil
	}
	defer c.release(conn)
	call := conn.Go(method, body, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		// The reply to this call may still arrive, so the connection is closed and not reused.
		c.drop(address, conn)
		return nil
	}
	if call.Error == nil {
		return reply
	}
	if _, ok := call.Error.(rpc.ServerError); !ok {
		c.drop(address, conn)
	}
	return nil
}

// methods lists the net/rpc methods with the types of their requests and replies.
var methods = []struct {
	name     string
	request  message.Request
	newReply func() message.Reply
}{
	{"Command.Announce", (*message.Announce)(nil), func() message.Reply { return new(message.AnnounceReply) }},
	{"Command.Heartbeat", (*message.Heartbeat)(nil), func() message.Reply { return new(message.HeartbeatReply) }},
	{"Command.Update", (*message.Update)(nil), func() message.Reply { return new(message.UpdateReply) }},
	{"Command.Exchange", (*message.Exchange)(nil), func() message.Reply { return new(message.ExchangeReply) }},
	{"Command.Withhold", (*message.Withhold)(nil), func() message.Reply { return new(message.WithholdReply) }},
	{"Command.Spread", (*message.Spread)(nil), func() message.Reply { return new(message.SpreadReply) }},
	{"Command.Quota", (*message.QuotaRequest)(nil), func() message.Reply { return new(message.QuotaReply) }},
	{"Query.Snapshot", (*message.SnapshotQuery)(nil), func() message.Reply { return new(message.SnapshotReply) }},
	{"Query.Status", (*message.StatusQuery)(nil), func() message.Reply { return new(message.StatusReply) }},
	{"Query.Load", (*message.LoadQuery)(nil), func() message.Reply { return new(message.LoadReply) }},
	{"Query.Catalog", (*message.CatalogQuery)(nil), func() message.Reply { return new(message.CatalogReply) }},
	{"Query.Target", (*message.TargetQuery)(nil), func() message.Reply { return new(message.TargetReply) }},
	{"Query.Confirmation", (*message.ConfirmationQuery)(nil), func() message.Reply { return new(message.ConfirmationReply) }},
	{"Query.Evidence", (*message.EvidenceQuery)(nil), func() message.Reply { return new(message.EvidenceReply) }},
}

// methodOf returns the net/rpc method of a request and a value to decode its reply into.
func methodOf(body message.Request) (string, message.Reply) {
	for _, m := range methods {
		if reflect.TypeOf(m.request) == reflect.TypeOf(body) {
			return m.name, m.newReply()
		}
	}
	panic(errors.Errorf("no net/rpc method for message %T", body))
}

// connect returns a connection to an address, and dials it if there is none. The caller must call release after its call.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	if conn := c.acquire(address); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return c.addConn(address, rpc.NewClientWithCodec(newCodec(&countedConn{Conn: raw, count: c.countBytes}, nil)))
}

// acquire returns the existing connection to an address, or nil.
func (c *Client) acquire(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn != nil {
		conn.inFlight++
	}
	return conn
}

func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.inFlight--
	conn.lastUsed = time.Now()
}

// addConn stores a new connection and closes idle ones. If another call has connected to the same address in the meantime, it
// returns that connection instead.
func (c *Client) addConn(address string, client *rpc.Client) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = client.Close()
		return nil, errors.New("client is closed")
	}
	if existing := c.conns[address]; existing != nil {
		_ = client.Close()
		existing.inFlight++
		return existing, nil
	}
	c.closeIdle(time.Now())
	conn := &connection{Client: client, inFlight: 1}
	c.conns[address] = conn
	return conn, nil
}

// closeIdle closes the connections that had no call for longer than idleTimeout. The caller holds the lock.
func (c *Client) closeIdle(now time.Time) {
	for address, conn := range c.conns {
		if conn.inFlight == 0 && now.Sub(conn.lastUsed) > idleTimeout {
			_ = conn.Close()
			delete(c.conns, address)
		}
	}
}

// drop closes a connection and removes it.
func (c *Client) drop(address string, conn *connection) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}
