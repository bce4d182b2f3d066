package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo answers each message with a reply of the right type and keeps what it received.
type echo struct {
	mu       sync.Mutex
	received []message.Request
}

func (e *echo) Handle(_ context.Context, body message.Request) (message.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, body)
	switch body.(type) {
	case *message.Announce:
		return &message.AnnounceReply{Code: message.Accepted, Term: 7}, true
	case *message.Heartbeat:
		return &message.HeartbeatReply{Code: message.Accepted, Number: 3}, true
	case *message.Update:
		return &message.UpdateReply{Code: message.Gap, Number: 2}, true
	case *message.Exchange:
		return &message.ExchangeReply{Code: message.Accepted}, true
	case *message.SnapshotQuery:
		return &message.SnapshotReply{Configuration: &model.Configuration{Number: 9}}, true
	case *message.StatusQuery:
		return &message.StatusReply{Leader: "l"}, true
	case *message.LoadQuery:
		return &message.LoadReply{Daemons: 4}, true
	default:
		return nil, false
	}
}

func serve(t *testing.T, h peer.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := peer.NewServer(listener, h, nil)
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(server.Serve)
	t.Cleanup(func() {
		server.Close()
		running.Wait()
	})
	return listener.Addr().String()
}

// Guards against a message that loses fields or reaches the wrong method on its way, and against one without an answer
// that looks answered.
func TestMessagesArriveWhole(t *testing.T) {
	is := is.New(t)
	h := &echo{}
	address := serve(t, h)
	var sent atomic.Int64
	client := peer.NewClient(func(out bool, n int) {
		if out {
			sent.Add(int64(n))
		}
	})
	t.Cleanup(client.Close)
	messages := map[message.Request]message.Reply{
		&message.Announce{Target: model.Target{Daemon: "d", Slots: 12}, Number: 4}: &message.AnnounceReply{Code: message.Accepted, Term: 7},
		&message.Heartbeat{From: "d", Number: 3, Live: 2}:                          &message.HeartbeatReply{Code: message.Accepted, Number: 3},
		&message.Update{Term: 5, Delta: &message.Delta{Base: 1, Number: 2}}:        &message.UpdateReply{Code: message.Gap, Number: 2},
		&message.Exchange{DataCentre: "worcester", Term: 8}:                        &message.ExchangeReply{Code: message.Accepted},
		&message.SnapshotQuery{From: "d", Number: 1}:                               &message.SnapshotReply{Configuration: &model.Configuration{Number: 9}},
		&message.StatusQuery{}: &message.StatusReply{Leader: "l"},
		&message.LoadQuery{Service: "placements", Scope: message.ScopeAll}: &message.LoadReply{Daemons: 4},
	}
	for body, want := range messages {
		is.Equal(cmp.Diff(client.Call(t.Context(), address, body), want), "")
		is.Equal(cmp.Diff(h.received[len(h.received)-1], body), "")
	}
	is.True(client.Call(t.Context(), address, &message.Withhold{}) == nil) // the handler gives no answer
	is.True(sent.Load() > 0)
}

// Guards against a peer that stays unreachable after its process was replaced at the same address.
func TestClientConnectsAgain(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	first, err := peer.NewServer(listener, &echo{}, nil)
	is.NoErr(err)
	var running sync.WaitGroup
	running.Go(first.Serve)
	client := peer.NewClient(nil)
	t.Cleanup(client.Close)
	is.True(client.Call(t.Context(), address, &message.StatusQuery{}) != nil)
	first.Close()
	running.Wait()
	is.True(client.Call(t.Context(), address, &message.StatusQuery{}) == nil)
	listener, err = net.Listen("tcp", address)
	is.NoErr(err)
	second, err := peer.NewServer(listener, &echo{}, nil)
	is.NoErr(err)
	running.Go(second.Serve)
	t.Cleanup(func() { second.Close(); running.Wait() })
	is.True(client.Call(t.Context(), address, &message.StatusQuery{}) != nil)
}
