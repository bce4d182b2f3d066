package peer_test

import (
	"bytes"
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/peer"
	"sniperail.example/sniperail/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo replies to each message with a fixed reply of the right type and records what it received.
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
	case *message.ConfirmationQuery:
		return &message.ConfirmationReply{Number: 5, Confirmed: true, Age: time.Millisecond}, true
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

// Guards against a message that loses fields or is sent to the wrong method, and against a reply to a message that the handler
// did not reply to.
func TestMessagesArriveUnchanged(t *testing.T) {
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
		&message.StatusQuery{}:       &message.StatusReply{Leader: "l"},
		&message.ConfirmationQuery{}: &message.ConfirmationReply{Number: 5, Confirmed: true, Age: time.Millisecond},
		&message.LoadQuery{Service: "placements", Scope: message.ScopeAll}: &message.LoadReply{Daemons: 4},
	}
	for body, want := range messages {
		is.Equal(cmp.Diff(client.Call(t.Context(), address, body), want), "")
		is.Equal(cmp.Diff(h.received[len(h.received)-1], body), "")
	}
	is.True(client.Call(t.Context(), address, &message.Withhold{}) == nil) // the handler returns no reply
	is.True(sent.Load() > 0)
}

// Guards against a client that cannot reach a peer after the peer's process was replaced at the same address.
func TestClientReconnects(t *testing.T) {
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

// Guards against an encoding that changes a value. A target that differs from the stored one would be treated as a change, and
// sums that lose buckets would lead to a wrong judgement of a version.
func TestEncodingKeepsValues(t *testing.T) {
	is := is.New(t)
	sum := model.KeyedSum{OutcomeKey: model.OutcomeKey{Service: "s", Route: "r", Version: "v"}}
	sum.Observe(true, time.Second)
	sum.Observe(false, time.Millisecond)
	at := time.Unix(1_700_000_000, 123_456_789).UTC()
	reply := &message.EvidenceReply{
		Target: model.Target{Daemon: "d", Slots: 12, State: model.TargetReady, Born: 17, Since: at, Sequence: math.MaxUint64},
		Sums:   []model.KeyedSum{sum}, Running: 3, Idle: -time.Second,
	}
	spread := &message.Spread{
		Changes: []message.Change{{Entry: store.Entry{Key: "k", Value: []byte{0, 255}, ModRevision: 1 << 60}, Removed: true}},
		Delta:   &message.Delta{Number: 5, Base: 4}, Document: &message.Document{Revision: 1 << 60, Number: 5},
		Shared: []message.SharedRecord{{
			Record: model.TargetRecord{
				Target:    model.Target{Daemon: "d", Instance: "i", Since: at, State: model.TargetGone, Sequence: 3},
				ReportSeq: 7, Leaving: true, Departures: []model.Departure{{Instance: "j", BornBy: 1 << 40}},
			},
			Age: time.Second,
		}},
	}
	var buffer bytes.Buffer
	e, d := peer.NewEncoder(&buffer), msgpack.NewDecoder(&buffer)
	is.NoErr(e.Encode(reply))
	is.NoErr(e.Encode(spread))
	var gotReply message.EvidenceReply
	var gotSpread message.Spread
	is.NoErr(d.Decode(&gotReply))
	is.NoErr(d.Decode(&gotSpread))
	is.Equal(cmp.Diff(reply, &gotReply), "")
	is.Equal(cmp.Diff(spread, &gotSpread), "")
	is.True(reply.Target == gotReply.Target) // includes the zero times and the time zone
}

// Guards against decoding messages of a daemon of another release whose messages have other fields.
func TestAnotherLayoutIsRefused(t *testing.T) {
	is := is.New(t)
	h := &echo{}
	conn, err := net.Dial("tcp", serve(t, h))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	var buffer bytes.Buffer
	e := peer.NewEncoder(&buffer)
	is.NoErr(e.Encode(&peer.Header{Layout: peer.Layout + 1, Method: "Command.Announce", Seq: 1}))
	is.NoErr(e.Encode(&message.Announce{Number: 5}))
	// In one write, since the receiver may close the connection after the header.
	_, err = conn.Write(buffer.Bytes())
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil) // the connection ends without a reply
	h.mu.Lock()
	defer h.mu.Unlock()
	is.Equal(len(h.received), 0)
}
