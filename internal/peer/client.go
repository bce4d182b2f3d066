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
	// callTimeout bounds a message. It is below the heartbeat interval's three misses, so that a dead peer is noticed in time.
	callTimeout = 1500 * time.Millisecond
	// dialTimeout bounds a connection attempt.
	dialTimeout = time.Second
	// idleAfter is how long a connection without a message is kept. Daemons ask peers at random, and each would otherwise
	// end up with a connection to every other one.
	idleAfter = 10 * time.Second
)

// Client sends messages to peers over one connection per address.
type Client struct {
	bytes func(sent bool, n int)

	mu     sync.Mutex
	conns  map[string]*connection
	closed bool
}

// connection is the connection to one address.
type connection struct {
	*rpc.Client
	calls  int // in flight
	usedAt time.Time
}

// NewClient returns a client without connections. bytes counts the control bytes and may be nil.
func NewClient(bytes func(sent bool, n int)) *Client {
	return &Client{bytes: bytes, conns: map[string]*connection{}}
}

// Call sends a message and returns the reply, or nil if the peer could not be reached or did not answer in time.
func (c *Client) Call(ctx context.Context, address string, body message.Request) message.Reply {
	method, reply := method(body)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return nil
	}
	defer c.release(conn)
	call := conn.Go(method, body, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		// The answer may still come for this call, so the connection is given up rather than reused.
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

// methods are the net/rpc methods with their messages and replies.
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
	{"Query.Snapshot", (*message.SnapshotQuery)(nil), func() message.Reply { return new(message.SnapshotReply) }},
	{"Query.Status", (*message.StatusQuery)(nil), func() message.Reply { return new(message.StatusReply) }},
	{"Query.Load", (*message.LoadQuery)(nil), func() message.Reply { return new(message.LoadReply) }},
	{"Query.Catalog", (*message.CatalogQuery)(nil), func() message.Reply { return new(message.CatalogReply) }},
	{"Query.Target", (*message.TargetQuery)(nil), func() message.Reply { return new(message.TargetReply) }},
	{"Query.Evidence", (*message.EvidenceQuery)(nil), func() message.Reply { return new(message.EvidenceReply) }},
}

// method returns the net/rpc method and the reply value of a message.
func method(body message.Request) (string, message.Reply) {
	for _, m := range methods {
		if reflect.TypeOf(m.request) == reflect.TypeOf(body) {
			return m.name, m.newReply()
		}
	}
	panic(errors.Errorf("message %T has no method", body))
}

// conn returns a connection; release must follow.
func (c *Client) conn(ctx context.Context, address string) (*connection, error) {
	if conn := c.present(address); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return c.keep(address, rpc.NewClientWithCodec(newCodec(&countedConn{Conn: raw, count: c.bytes}, nil)))
}

func (c *Client) present(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn != nil {
		conn.calls++
	}
	return conn
}

func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	conn.usedAt = time.Now()
}

// keep stores a new connection, unless another call made one to the same address meanwhile, and ends those that are idle.
func (c *Client) keep(address string, client *rpc.Client) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = client.Close()
		return nil, errors.New("client is closed")
	}
	if present := c.conns[address]; present != nil {
		_ = client.Close()
		present.calls++
		return present, nil
	}
	c.closeIdle(time.Now())
	conn := &connection{Client: client, calls: 1}
	c.conns[address] = conn
	return conn, nil
}

// closeIdle ends the connections without a message for idleAfter. The caller holds the lock.
func (c *Client) closeIdle(now time.Time) {
	for address, conn := range c.conns {
		if conn.calls == 0 && now.Sub(conn.usedAt) > idleAfter {
			_ = conn.Close()
			delete(c.conns, address)
		}
	}
}

func (c *Client) drop(address string, conn *connection) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}
