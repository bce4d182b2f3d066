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
	// stallPart and stallFactor say when a target that used to answer is taken for stopped: no response for that part of
	// the time that the call had, and for that many times the target's usual latency. The rest is left to a retry.
	stallPart   = 3
	stallFactor = 8
	// latencyWeight is the weight of one call in the smoothed latency, as 1/latencyWeight.
	latencyWeight = 8
)

// peer is what this daemon's calls have shown about one target.
type peer struct {
	incarnation model.Incarnation
	ref         model.VersionRef
	ready       bool
	since       time.Time
	// calls outlives a peer whose target leaves the state ready or returns to it.
	calls        *callSet
	inFlight     atomic.Int64
	latency      atomic.Int64 // nanoseconds
	failures     atomic.Int64 // in a row
	ejections    atomic.Int64 // in a row
	ejectedUntil atomic.Int64 // Unix nanoseconds
	busyUntil    atomic.Int64 // Unix nanoseconds
	leavingUntil atomic.Int64 // Unix nanoseconds
	answered     atomic.Int64 // Unix nanoseconds of the latest response
	load         peerLoad
}

// callSet holds the calls in flight to one incarnation of a target.
type callSet struct {
	mu    sync.Mutex
	lost  bool
	calls map[*exchange]struct{}
}

func newCallSet() *callSet { return &callSet{calls: map[*exchange]struct{}{}} }

// add enters a call; remove must follow. It returns false if the target is lost.
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

func (s *callSet) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls) > 0
}

// stall cancels the calls that can be sent again and have waited too long, if the target has answered nothing meanwhile.
func (s *callSet) stall(now, answered time.Time, usual time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := range s.calls {
		since := now.Add(-max(e.patience, stallFactor*usual))
		if e.patience > 0 && e.started.Before(since) && answered.Before(since) {
			e.stall()
		}
	}
}

// lose cancels all calls and refuses later ones.
func (s *callSet) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	for e := range s.calls {
		e.lose()
	}
}

// peers holds a peer per target of the table in use that is not silent.
type peers struct {
	tables Tables
	// lost stands for all targets that the table does not have or shows as silent.
	lost *peer
	// keepsCalls lets the calls in flight to a target that leaves the table finish, where the table is only a directory
	// and says nothing about whether the target's daemon answers.
	keepsCalls bool
	mu         sync.Mutex
	table      atomic.Pointer[routing.Table]
	known      atomic.Pointer[map[model.DaemonID]*peer]
}

func newPeers(tables Tables) *peers {
	p := &peers{tables: tables, lost: &peer{calls: &callSet{lost: true}}}
	p.lost.ejectedUntil.Store(math.MaxInt64)
	p.known.Store(&map[model.DaemonID]*peer{})
	return p
}

// follow adds and removes peers when the table changes. The calls in flight to a target that is silent, gone or replaced
// by a newer incarnation are cancelled, because nobody may answer them; those to a draining target finish.
func (p *peers) follow(table *routing.Table, now time.Time) {
	if p.table.Load() == table {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The caller's table may be older than the one in use by now.
	table = p.tables.Table()
	if table == nil || table.View == nil || p.table.Load() == table {
		return
	}
	old := *p.known.Load()
	next := make(map[model.DaemonID]*peer, len(table.View.Targets))
	for i := range table.View.Targets {
		t := &table.View.Targets[i]
		if t.State != model.TargetSilent {
			next[t.Daemon] = renew(old[t.Daemon], t, now)
		}
	}
	for daemon, known := range old {
		// A view does not list targets of a version that its configuration does not have, so their absence shows no loss.
		if next[daemon] == nil && unlisted(table.View, daemon, known.ref) && known.calls.busy() {
			next[daemon] = known
		}
	}
	if !maps.Equal(old, next) {
		p.known.Store(&next)
	}
	p.table.Store(table)
	if p.keepsCalls {
		return
	}
	for daemon, known := range old {
		if kept := next[daemon]; kept == nil || kept.calls != known.calls {
			known.calls.lose()
		}
	}
}

// cancelStalled ends the calls to targets that used to answer and stopped, such as beside a daemon that is suspended:
// its kernel accepts connections that nobody serves, until the roster shows it silent.
func (p *peers) cancelStalled(now time.Time) {
	for _, known := range *p.known.Load() {
		usual := time.Duration(known.latency.Load())
		if usual == 0 || known.inFlight.Load() == 0 {
			continue
		}
		known.calls.stall(now, time.Unix(0, known.answered.Load()), usual)
	}
}

// unlisted reports whether a view has neither the daemon nor the version that its target ran.
func unlisted(view *model.View, daemon model.DaemonID, ref model.VersionRef) bool {
	if view.Configuration != nil {
		if s := view.Configuration.Service(ref.Service); s != nil && s.Version(ref.Version) != nil {
			return false
		}
	}
	return !slices.ContainsFunc(view.Targets, func(t model.Target) bool { return t.Daemon == daemon })
}

// renew returns the peer of a target in a new table. Known is its present peer, or nil.
func renew(known *peer, t *model.Target, now time.Time) *peer {
	ready := t.State == model.TargetReady
	switch {
	case known == nil || known.incarnation != t.Incarnation:
		return &peer{incarnation: t.Incarnation, ref: t.Ref(), ready: ready, since: now, calls: newCallSet()}
	case known.ready != ready:
		return &peer{incarnation: t.Incarnation, ref: t.Ref(), ready: ready, since: now, calls: known.calls}
	}
	return known
}

// find returns the peer of a target.
func (p *peers) find(target *model.Target) *peer {
	if known := (*p.known.Load())[target.Daemon]; known != nil {
		return known
	}
	return p.lost
}

// signals implements routing.StatsProvider at one moment.
type signals struct {
	peers *peers
	now   time.Time
}

func (s *signals) Stats(target *model.Target) routing.TargetStats {
	p := s.peers.find(target)
	now := s.now.UnixNano()
	return routing.TargetStats{
		InFlight: int(p.inFlight.Load()), Latency: time.Duration(p.latency.Load()), ReadyFor: s.now.Sub(p.since),
		Ejected: p.ejectedUntil.Load() > now, Busy: p.busyUntil.Load() > now, Leaving: p.leavingUntil.Load() > now,
	}
}

// succeeded records an answered call and how long it took.
func (p *peer) succeeded(took time.Duration) {
	p.recovered()
	p.smooth(took)
}

// recovered ends the series of failures and ejections.
func (p *peer) recovered() {
	p.failures.Store(0)
	p.ejections.Store(0)
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
