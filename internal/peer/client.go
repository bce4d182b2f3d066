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

const (
	// callTimeout bounds a message. It is below the heartbeat interval's three misses, so that a dead peer is noticed in time.
	callTimeout = 1500 * time.Millisecond
	// dialTimeout bounds a connection attempt.
	dialTimeout = time.Second
)

// Client sends messages to peers over one connection per address.
type Client struct {
	bytes func(sent bool, n int)

	mu     sync.Mutex
	conns  map[string]*rpc.Client
	closed bool
}

// NewClient returns a client without connections. bytes counts the control bytes and may be nil.
func NewClient(bytes func(sent bool, n int)) *Client {
	return &Client{bytes: bytes, conns: map[string]*rpc.Client{}}
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

// method returns the net/rpc method and the reply value of a message.
func method(body message.Request) (string, message.Reply) {
	switch body.(type) {
	case *message.Announce:
		return "Command.Announce", new(message.AnnounceReply)
	case *message.Heartbeat:
		return "Command.Heartbeat", new(message.HeartbeatReply)
	case *message.Update:
		return "Command.Update", new(message.UpdateReply)
	case *message.Exchange:
		return "Command.Exchange", new(message.ExchangeReply)
	case *message.Withhold:
		return "Command.Withhold", new(message.WithholdReply)
	case *message.SnapshotQuery:
		return "Query.Snapshot", new(message.SnapshotReply)
	case *message.StatusQuery:
		return "Query.Status", new(message.StatusReply)
	case *message.LoadQuery:
		return "Query.Load", new(message.LoadReply)
	case *message.Spread:
		return "Command.Spread", new(message.SpreadReply)
	case *message.CatalogQuery:
		return "Query.Catalog", new(message.CatalogReply)
	case *message.TargetQuery:
		return "Query.Target", new(message.TargetReply)
	case *message.EvidenceQuery:
		return "Query.Evidence", new(message.EvidenceReply)
	default:
		panic(errors.Errorf("message %T has no method", body))
	}
}

func (c *Client) conn(ctx context.Context, address string) (*rpc.Client, error) {
	if conn := c.present(address); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return c.keep(address, rpc.NewClient(&countedConn{Conn: raw, count: c.bytes}))
}

func (c *Client) present(address string) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[address]
}

// keep stores a new connection, unless another call made one to the same address meanwhile.
func (c *Client) keep(address string, conn *rpc.Client) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, errors.New("client is closed")
	}
	if present := c.conns[address]; present != nil {
		_ = conn.Close()
		return present, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) drop(address string, conn *rpc.Client) {
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
