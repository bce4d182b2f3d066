package traffic

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// testLimit is connectionLimit with exported methods, for tests outside the package.
type testLimit interface {
	OpenConnection() bool
	CloseConnection()
}

type limitAdapter struct{ testLimit }

func (l limitAdapter) openConnection() bool { return l.OpenConnection() }
func (l limitAdapter) closeConnection()     { l.CloseConnection() }

// TrackConn wraps a connection as the pool for a target does, with one exchange on it.
func TrackConn(conn net.Conn, limit testLimit, written, answered bool) (net.Conn, <-chan struct{}) {
	limit.OpenConnection()
	c := newTrackedConn(conn, limitAdapter{limit}, true)
	e := &exchange{}
	if !answered {
		c.current.Store(e)
	}
	if written {
		c.writes.Add(1)
	}
	return c, c.ended
}

// LostAfterOlderTable reports whether the calls to the first target of the published table are marked as lost after a request
// that was accepted with an older table.
func LostAfterOlderTable(published Tables, older *routing.Table, now time.Time) bool {
	p := newPeers(published)
	p.update(published.Table(), now)
	p.update(older, now)
	return p.get(&model.Target{Daemon: published.Table().View.Targets[0].Daemon}).calls.lost
}

// ConcurrentFirstUse returns what n concurrent callers get for a key that is used for the first time.
func ConcurrentFirstUse(n int) []*int {
	var k lazyMap[string, int]
	got := make([]*int, n)
	var group sync.WaitGroup
	for i := range got {
		group.Go(func() { got[i] = k.get("key", newZero) })
	}
	group.Wait()
	return got
}

// ReuseConn starts an exchange on a pooled connection as http.Transport does. Once that has returned, the channel receives
// whether a request can be sent on the connection.
func ReuseConn(conn net.Conn) <-chan bool {
	usable := make(chan bool, 1)
	go func() {
		e := &exchange{}
		e.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
		usable <- !e.unusable
	}()
	return usable
}

// SetUnsizedLimit sets the bytes of responses without a length that are held at the same time.
func (in *Inbound) SetUnsizedLimit(limit int64) { in.unsized.limit.Store(limit) }

// ProbeHealth reports whether a target at an address is healthy for a probe.
func ProbeHealth(ctx context.Context, address string) bool {
	_, healthy := NewProbe(ProbeOptions{Address: address, HealthPath: "/health"}).probe(ctx, true)
	return healthy
}

// CollectOutcomes returns the outcomes that have not been reported yet.
func (in *Inbound) CollectOutcomes(ctx context.Context) []model.KeyedSum {
	return in.recorder.collect(ctx)
}

// RotationAndCalls returns the rotation counter of a route and the counter of calls.
func (o *Outbound) RotationAndCalls(route model.RouteName) (rotation, calls uint64) {
	return o.rotations.get(route).Load(), o.calls.Load()
}

// KnownTargets returns how many targets have been taken over from a table.
func (o *Outbound) KnownTargets() int { return len(*o.peers.known.Load()) }
