package traffic

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

const (
	// ejectAfter is the number of failed calls in a row after which a target is ejected; a good target that fails one
	// call in ten reaches five by chance once in 100,000 calls.
	ejectAfter = 5
	// ejectBase and ejectMax bound an ejection. A refused dial ends within the base if the daemon only restarts.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// A target that refused a call for its load is passed over for half of the wait that it estimates, within these
	// bounds. Half, because its queue must not run empty before the next call comes.
	minBusy = time.Millisecond
	maxBusy = 100 * time.Millisecond
	// leavingFor is how long a target that refused because it drains or is not ready is passed over; the roster takes
	// over within this time.
	leavingFor = 3 * time.Second
	// latencyWeight is the weight of one call in the smoothed latency, as 1/latencyWeight.
	latencyWeight = 8
)

// peer is what this daemon's calls have shown about one target.
type peer struct {
	incarnation  model.Incarnation
	since        time.Time
	inFlight     atomic.Int64
	latency      atomic.Int64 // nanoseconds
	failures     atomic.Int64 // in a row
	ejections    atomic.Int64 // in a row
	ejectedUntil atomic.Int64 // Unix nanoseconds
	busyUntil    atomic.Int64 // Unix nanoseconds
	leavingUntil atomic.Int64 // Unix nanoseconds
}

// peers holds a peer per target of the table in use.
type peers struct {
	mu    sync.Mutex
	table atomic.Pointer[routing.Table]
	known atomic.Pointer[map[model.DaemonID]*peer]
}

func newPeers() *peers {
	p := &peers{}
	p.known.Store(&map[model.DaemonID]*peer{})
	return p
}

// follow adds and removes peers when the table changes.
func (p *peers) follow(table *routing.Table, now time.Time) {
	if p.table.Load() == table {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.Load() == table {
		return
	}
	old := *p.known.Load()
	next := make(map[model.DaemonID]*peer, len(table.View.Targets))
	for i := range table.View.Targets {
		t := &table.View.Targets[i]
		if t.State != model.TargetReady {
			continue
		}
		if known := old[t.Daemon]; known != nil && known.incarnation == t.Incarnation {
			next[t.Daemon] = known
		} else {
			next[t.Daemon] = &peer{incarnation: t.Incarnation, since: now}
		}
	}
	if !maps.Equal(old, next) {
		p.known.Store(&next)
	}
	p.table.Store(table)
}

// find returns the peer of a target. A target that a newer table no longer has gets a peer of its own.
func (p *peers) find(target *model.Target) *peer {
	if known := (*p.known.Load())[target.Daemon]; known != nil {
		return known
	}
	return &peer{}
}

// signals implements routing.Signals at one moment.
type signals struct {
	peers *peers
	now   time.Time
}

func (s *signals) Signal(target *model.Target) routing.Signal {
	p := s.peers.find(target)
	now := s.now.UnixNano()
	return routing.Signal{
		InFlight: int(p.inFlight.Load()), Latency: time.Duration(p.latency.Load()), Age: s.now.Sub(p.since),
		Ejected: p.ejectedUntil.Load() > now, Busy: p.busyUntil.Load() > now, Leaving: p.leavingUntil.Load() > now,
	}
}

// succeeded records an answered call.
func (p *peer) succeeded(took time.Duration) {
	p.failures.Store(0)
	p.ejections.Store(0)
	p.smooth(took)
}

func (p *peer) smooth(took time.Duration) {
	old := p.latency.Load()
	if old == 0 {
		p.latency.Store(int64(took))
		return
	}
	// Concurrent calls may overwrite each other; one lost sample does not matter.
	p.latency.Store(old + (int64(took)-old)/latencyWeight)
}

// failed records a failed call and reports whether the target should be ejected. A refused dial is conclusive at once.
func (p *peer) failed(conclusive bool) bool {
	return p.failures.Add(1) >= ejectAfter || conclusive
}

// eject passes the target over for a time that doubles with each ejection in a row.
func (p *peer) eject(now time.Time) {
	n := p.ejections.Add(1)
	d := min(ejectBase<<min(n-1, 10), ejectMax)
	p.ejectedUntil.Store(now.Add(d).UnixNano())
	p.failures.Store(0)
}

// busy passes the target over for a part of the estimated wait.
func (p *peer) busy(now time.Time, wait time.Duration) {
	p.busyUntil.Store(now.Add(min(max(wait/2, minBusy), maxBusy)).UnixNano())
}

func (p *peer) leaving(now time.Time) { p.leavingUntil.Store(now.Add(leavingFor).UnixNano()) }
