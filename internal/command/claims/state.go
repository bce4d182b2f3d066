package claims

import (
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// stage is what this daemon does with a claim.
type stage int

const (
	// claiming: the record is being created. Nothing was dispatched.
	claiming stage = iota
	// running: the claim is owned and a caller was told to run.
	running
	// storing: the outcome of the request is being written.
	storing
	// releasing: the claim is owned, nothing was dispatched under it, and it is being deleted.
	releasing
)

// item is a claim that this daemon makes, runs, stores or releases. There is at most one per key.
type item struct {
	key     string
	record  Record
	stage   stage
	waiters []waiter
	runner  Token
	// unsure says that a write may have taken effect without an answer.
	unsure   bool
	inFlight bool
	revision int64
	lease    store.LeaseID
	// settleBy is when this daemon stops trying to write.
	settleBy time.Time
	// due is the latest time at which the item joins a write.
	due    time.Time
	bucket *bucket
}

type waiter struct {
	token    Token
	deadline time.Time
	giveUp   time.Time
}

// bucket is a lease that claims share, and the space of its claims.
type bucket struct {
	lease store.LeaseID
	// fullAt is when the lease stops taking new claims.
	fullAt  time.Time
	expires time.Time
	bytes   int
}

// State holds the claims of one daemon. A single goroutine calls it.
type State struct {
	config Config
	live   map[string]*item
	queue  []*item
	flight []*item
	// busy says that a Grant or Write has not ended.
	busy      bool
	grantedAt time.Time
	buckets   []*bucket
	current   *bucket
	// unplaced is the space reserved for claims that have no bucket yet.
	unplaced int
	nextSend time.Time
	// alarm is not after the earliest time at which giveUp has work; zero if there is none.
	alarm    time.Time
	failures int
	// down says that the platform took no call since the last failure.
	down    bool
	effects []Effect
}

// New returns an empty state.
func New(config Config) *State {
	return &State{config: config, live: map[string]*item{}}
}

// Handle applies an event and returns the effects in their order.
func (s *State) Handle(event Event, now time.Time) []Effect {
	s.effects = nil
	switch e := event.(type) {
	case Begin:
		s.begin(e, now)
	case Cancel:
		s.cancel(e.Token, now)
	case Finish:
		s.finish(e, now)
	case Release:
		if it := s.runningItem(e.Claim); it != nil {
			s.release(it, now)
		}
	case Lose:
		if it := s.runningItem(e.Claim); it != nil {
			it.record.Phase = Lost
			s.settle(it, storing, now)
		}
	case Granted:
		s.granted(e, now)
	case Written:
		s.written(e, now)
	case Wake:
	}
	s.giveUp(now)
	s.send(now)
	return s.effects
}

// Next returns when a Wake is due.
func (s *State) Next() (time.Time, bool) {
	next := s.alarm
	if !s.busy {
		for _, it := range s.queue {
			next = earlier(next, later(it.due, s.nextSend))
		}
	}
	return next, !next.IsZero()
}

// earlier returns the earlier time; a zero time is no time.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Idle reports whether nothing waits to be written.
func (s *State) Idle() bool { return len(s.queue) == 0 && !s.busy }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *State) decide(token Token, decision Decision) {
	s.effects = append(s.effects, Decide{Token: token, Decision: decision})
}

func (s *State) count(reason string) { s.effects = append(s.effects, Count{Reason: reason}) }

func (s *State) begin(e Begin, now time.Time) {
	w := waiter{token: e.Token, deadline: e.Deadline, giveUp: now.Add(s.config.Patience)}
	if e.Deadline.Before(w.giveUp) {
		w.giveUp = e.Deadline
	}
	it := s.live[e.Key]
	switch {
	case !now.Before(e.Deadline):
		s.decide(e.Token, refused(ReasonDeadline, 0))
	case e.Deadline.Sub(now) > s.config.Retention/2:
		// A request that runs longer than its claim is kept could run again under a new claim.
		s.decide(e.Token, refused(ReasonTooFar, 0))
	case it == nil && s.down && now.Before(s.nextSend):
		s.decide(e.Token, refused(ReasonUnavailable, s.nextSend.Sub(now)))
	case it == nil:
		s.claim(e, w, now)
	case it.stage == claiming:
		it.waiters = append(it.waiters, w)
		s.alarm = earlier(s.alarm, w.giveUp)
		it.record.Deadline = later(it.record.Deadline, e.Deadline)
	case it.stage == releasing:
		s.decide(e.Token, refused(ReasonReleasing, s.config.Interval))
	default:
		s.decide(e.Token, Judge(s.config, it.record, now))
	}
}

// claim queues the creation of a new claim if its space is free.
func (s *State) claim(e Begin, w waiter, now time.Time) {
	if len(s.live) >= s.config.MaxClaims {
		s.decide(e.Token, refused(ReasonTooMany, s.config.Patience))
		return
	}
	if s.used(now)+s.config.reservation() > s.config.MaxBytes {
		s.decide(e.Token, refused(ReasonSpace, s.config.Bucket))
		return
	}
	s.unplaced += s.config.reservation()
	it := &item{
		key: e.Key, waiters: []waiter{w}, due: now, settleBy: now.Add(s.config.SettlePatience),
		record: Record{ID: e.ID, Owner: s.config.Owner, Phase: Running, Deadline: e.Deadline},
	}
	s.live[e.Key] = it
	s.queue = append(s.queue, it)
	s.alarm = earlier(s.alarm, w.giveUp)
}

// used returns the space of this daemon's claims and drops buckets whose lease has expired.
func (s *State) used(now time.Time) int {
	s.buckets = slices.DeleteFunc(s.buckets, func(b *bucket) bool { return !now.Before(b.expires) })
	total := s.unplaced
	for _, b := range s.buckets {
		total += b.bytes
	}
	return total
}

func (s *State) cancel(token Token, now time.Time) {
	for _, it := range s.live {
		if it.stage == running && it.runner == token {
			s.release(it, now)
			return
		}
		if i := slices.IndexFunc(it.waiters, func(w waiter) bool { return w.token == token }); i >= 0 {
			it.waiters = slices.Delete(it.waiters, i, i+1)
			s.dropUnclaimed(it)
			return
		}
	}
}

// dropUnclaimed forgets a claim that nobody waits for and that surely was not written.
func (s *State) dropUnclaimed(it *item) {
	if it.stage == claiming && len(it.waiters) == 0 && !it.unsure && !it.inFlight {
		s.forget(it, 0)
	}
}

// runningItem returns the item of a claim that runs, or nil if the claim is not known as running.
func (s *State) runningItem(claim Claim) *item {
	it := s.live[claim.Key]
	if it == nil || it.record.ID != claim.ID || it.stage != running {
		s.count("report-without-claim")
		return nil
	}
	return it
}

func (s *State) finish(e Finish, now time.Time) {
	it := s.runningItem(e.Claim)
	if it == nil {
		return
	}
	it.record.Phase, it.record.Response = Done, e.Response
	if e.Response.size() > s.config.MaxAnswer {
		it.record.Response, it.record.Dropped = Response{}, true
		s.count("answer-too-big")
	}
	s.settle(it, storing, now)
	it.due = now.Add(s.config.FinishDelay)
}

func (s *State) release(it *item, now time.Time) { s.settle(it, releasing, now) }

// settle queues the last write of an owned claim.
func (s *State) settle(it *item, next stage, now time.Time) {
	it.stage, it.runner, it.unsure = next, 0, false
	it.due, it.settleBy = now, now.Add(s.config.SettlePatience)
	s.queue = append(s.queue, it)
}

// forget ends the work on a claim that keeps the given bytes in the platform.
func (s *State) forget(it *item, bytes int) {
	switch {
	case it.bucket != nil:
		it.bucket.bytes += bytes - s.config.reservation()
	case s.current != nil:
		s.unplaced -= s.config.reservation()
		s.current.bytes += bytes
	default:
		s.unplaced -= s.config.reservation()
	}
	delete(s.live, it.key)
	s.queue = slices.DeleteFunc(s.queue, func(other *item) bool { return other == it })
}

// giveUp refuses callers whose time is over and forgets claims whose holder never reported.
func (s *State) giveUp(now time.Time) {
	if s.alarm.IsZero() || now.Before(s.alarm) {
		return
	}
	s.alarm = time.Time{}
	for _, key := range slices.Sorted(maps.Keys(s.live)) {
		it := s.live[key]
		it.waiters = slices.DeleteFunc(it.waiters, func(w waiter) bool {
			if now.Before(w.giveUp) {
				s.alarm = earlier(s.alarm, w.giveUp)
				return false
			}
			s.decide(w.token, refused(ReasonUnconfirmed, s.config.Patience))
			return true
		})
		s.dropUnclaimed(it)
		if it.stage != running {
			continue
		}
		if end := it.record.Deadline.Add(s.config.SettlePatience); now.Before(end) {
			s.alarm = earlier(s.alarm, end)
		} else {
			s.count("claim-not-reported")
			s.forget(it, recordOverhead)
		}
	}
}
