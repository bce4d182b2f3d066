package traffic

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

const (
	// ejectAfter is the number of consecutive failed calls after which a target is ejected. A good target that fails one
	// call in ten reaches five by chance once in 100,000 calls.
	ejectAfter = 5
	// ejectBase and ejectMax are the shortest and the longest ejection. A daemon that only restarts accepts connections
	// again within ejectBase.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// A target that refused a call for its load is skipped for half of its estimated wait, within these bounds. Half,
	// because its queue must not run empty before the next call arrives.
	minBusyTime = time.Millisecond
	maxBusyTime = 100 * time.Millisecond
	// leavingTime is how long a target that refused because it is draining or not ready is skipped. The roster shows its
	// new state within this time.
	leavingTime = 3 * time.Second
	// A target that used to answer is considered stalled after no response for 1/stallDivisor of the call's time and for
	// stallLatencyFactor times the target's usual latency. The rest of the call's time is left for a retry.
	stallDivisor       = 3
	stallLatencyFactor = 8
	// 1/latencyWeight is the weight of one call in the smoothed latency.
	latencyWeight = 8
)

// peer is the state of one target as this daemon has observed it on its own calls.
type peer struct {
	incarnation model.Incarnation
	ref         model.VersionRef
	ready       bool
	stateSince  time.Time
	// calls is handed on to the next peer when the target enters or leaves the state ready.
	calls                *callSet
	inFlight             atomic.Int64
	latency              atomic.Int64 // smoothed, nanoseconds
	consecutiveFailures  atomic.Int64
	consecutiveEjections atomic.Int64
	ejectedUntil         atomic.Int64 // by monotonic
	busyUntil            atomic.Int64 // by monotonic
	leavingUntil         atomic.Int64 // by monotonic
	lastResponse         atomic.Int64 // by monotonic, of the latest response
	load                 loadState
	// warmAt is when the target is warm by the table, and warmAtSince, by monotonic, since when the table says so; 0 if always.
	warmAt      time.Time
	warmAtSince atomic.Int64
}

// callSet holds the calls in flight to one incarnation of a target.
type callSet struct {
	mu    sync.Mutex
	lost  bool
	calls map[*exchange]struct{}
}

func newCallSet() *callSet { return &callSet{calls: map[*exchange]struct{}{}} }

// add adds a call; remove must be called when it ends. It returns false if the target is lost.
func (s *callSet) add(e *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return false
	}
	s.calls[e] = struct{}{}
	return true
}

func (s *callSet) remove(e *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, e)
}

func (s *callSet) hasCalls() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls) > 0
}

// cancelStalled cancels the calls that may be sent again and have waited for longer than their stallTimeout and than
// stallLatencyFactor times the usual latency, if the target has not answered any call within that time either.
func (s *callSet) cancelStalled(now, answered time.Time, usual time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := range s.calls {
		since := now.Add(-max(e.stallTimeout, stallLatencyFactor*usual))
		if e.stallTimeout > 0 && e.started.Before(since) && answered.Before(since) {
			e.cancelStalled()
		}
	}
}

// cancelAll cancels all calls because the target is lost, and refuses later ones.
func (s *callSet) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	for e := range s.calls {
		e.cancelLost()
	}
}

// cancelStopping cancels all calls because the daemon stops.
func (s *callSet) cancelStopping() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := range s.calls {
		e.cancelStopping()
	}
}

// peers holds a peer per target of the current table that is not silent.
type peers struct {
	tables Tables
	// lostPeer stands for all targets that the table does not contain or shows as silent.
	lostPeer *peer
	// keepRemovedCalls lets calls in flight finish when their target leaves the table. It is set where the table is only a
	// directory, which does not show whether the target's daemon answers.
	keepRemovedCalls bool
	mu               sync.Mutex
	table            atomic.Pointer[routing.Table]
	known            atomic.Pointer[map[model.DaemonID]*peer]
}

func newPeers(tables Tables) *peers {
	p := &peers{tables: tables, lostPeer: &peer{calls: &callSet{lost: true}}}
	p.lostPeer.ejectedUntil.Store(math.MaxInt64)
	p.known.Store(&map[model.DaemonID]*peer{})
	return p
}

// update adds and removes peers when the table changes. The calls in flight to a target that is silent, gone or replaced
// by a newer incarnation are cancelled, because they may never be answered; those to a draining target finish.
func (p *peers) update(table *routing.Table, now time.Time) {
	if p.table.Load() == table {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The table that the caller has read may be older than the current one.
	table = p.tables.Table()
	if table == nil || table.View == nil || p.table.Load() == table {
		return
	}
	previous := *p.known.Load()
	next := make(map[model.DaemonID]*peer, len(table.View.Targets))
	for i := range table.View.Targets {
		t := &table.View.Targets[i]
		if t.State != model.TargetSilent {
			next[t.Daemon] = nextPeer(previous[t.Daemon], t, now)
		}
	}
	for daemon, known := range previous {
		// A view lists no targets of a version that its configuration does not have, so their absence does not mean that
		// they are lost.
		if next[daemon] == nil && isUnlisted(table.View, daemon, known.ref) && known.calls.hasCalls() {
			next[daemon] = known
		}
	}
	if !maps.Equal(previous, next) {
		p.known.Store(&next)
	}
	p.table.Store(table)
	if p.keepRemovedCalls {
		return
	}
	for daemon, known := range previous {
		if kept := next[daemon]; kept == nil || kept.calls != known.calls {
			known.calls.cancelAll()
		}
	}
}

// cancelStalled cancels the calls to targets that used to answer and have stopped. An example is a target whose daemon is
// suspended: until the roster shows it as silent, its kernel accepts connections that no process serves.
func (p *peers) cancelStalled(now time.Time) {
	for _, known := range *p.known.Load() {
		usual := time.Duration(known.latency.Load())
		if usual == 0 || known.inFlight.Load() == 0 {
			continue
		}
		known.calls.cancelStalled(now, fromMonotonic(known.lastResponse.Load()), usual)
	}
}

// isUnlisted reports whether a view has neither the daemon nor the version that its target ran.
func isUnlisted(view *model.View, daemon model.DaemonID, ref model.VersionRef) bool {
	if view.Configuration != nil {
		if s := view.Configuration.Service(ref.Service); s != nil && s.Version(ref.Version) != nil {
			return false
		}
	}
	return !slices.ContainsFunc(view.Targets, func(t model.Target) bool { return t.Daemon == daemon })
}

// nextPeer returns the peer of a target in a new table. Known is its current peer, or nil.
func nextPeer(known *peer, t *model.Target, now time.Time) *peer {
	ready := t.State == model.TargetReady
	switch {
	case known == nil || known.incarnation != t.Incarnation:
		return &peer{incarnation: t.Incarnation, ref: t.Ref(), ready: ready, stateSince: now, warmAt: t.WarmAt, calls: newCallSet()}
	case known.ready != ready:
		return &peer{incarnation: t.Incarnation, ref: t.Ref(), ready: ready, stateSince: now, warmAt: t.WarmAt, calls: known.calls}
	case !known.warmAt.Equal(t.WarmAt):
		known.warmAt = t.WarmAt
		known.warmAtSince.Store(monotonic(now))
	}
	return known
}

// get returns the peer of a target, or lostPeer.
func (p *peers) get(target *model.Target) *peer {
	if known := (*p.known.Load())[target.Daemon]; known != nil {
		return known
	}
	return p.lostPeer
}

// peerStats implements routing.StatsProvider at one moment.
type peerStats struct {
	peers *peers
	now   time.Time
}

func (s *peerStats) Stats(target *model.Target) routing.TargetStats {
	p := s.peers.get(target)
	now := monotonic(s.now)
	return routing.TargetStats{
		InFlight: int(p.inFlight.Load()), Latency: time.Duration(p.latency.Load()), ReadyFor: s.now.Sub(p.stateSince),
		Ejected: p.ejectedUntil.Load() > now, Busy: p.busyUntil.Load() > now, Leaving: p.leavingUntil.Load() > now,
	}
}

// recordSuccess records an answered call and its latency.
func (p *peer) recordSuccess(took time.Duration) {
	p.resetFailures()
	p.recordLatency(took)
}

// resetFailures resets the counts of consecutive failures and ejections.
func (p *peer) resetFailures() {
	p.consecutiveFailures.Store(0)
	p.consecutiveEjections.Store(0)
}

func (p *peer) recordLatency(took time.Duration) {
	old := p.latency.Load()
	if old == 0 {
		p.latency.Store(int64(took))
		return
	}
	// Concurrent calls may overwrite each other; one lost sample does not matter.
	p.latency.Store(old + (int64(took)-old)/latencyWeight)
}

// recordFailure counts a failed call and reports whether the target should be ejected, which a conclusive failure such as a
// refused connection is enough for.
func (p *peer) recordFailure(conclusive bool) bool {
	return p.consecutiveFailures.Add(1) >= ejectAfter || conclusive
}

// eject makes selection skip the target for a time that doubles with each consecutive ejection.
func (p *peer) eject(now time.Time) {
	n := p.consecutiveEjections.Add(1)
	d := min(ejectBase<<min(n-1, 10), ejectMax)
	p.ejectedUntil.Store(monotonic(now.Add(d)))
	p.consecutiveFailures.Store(0)
}

// markBusy makes selection skip the target for a fraction of its estimated wait.
func (p *peer) markBusy(now time.Time, wait time.Duration) {
	p.busyUntil.Store(monotonic(now.Add(min(max(wait/2, minBusyTime), maxBusyTime))))
}

// markLeaving makes selection skip the target until the roster is expected to show its new state.
func (p *peer) markLeaving(now time.Time) { p.leavingUntil.Store(monotonic(now.Add(leavingTime))) }
