package claims

import (
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// stage is what this daemon is doing with a claim.
type stage int

const (
	// claiming means that the record is being created. Nothing was dispatched.
	claiming stage = iota
	// running means that this daemon owns the claim and a caller got the decision Run.
	running
	// storing means that the outcome of the request is being written.
	storing
	// releasing means that this daemon owns the claim, nothing was dispatched under it, and it is being deleted.
	releasing
)

// activeClaim is a claim that this daemon is creating, running, storing or releasing. There is at most one per key.
type activeClaim struct {
	key         string
	record      Record
	stage       stage
	waiters     []waiter
	runnerToken Token
	// maybeWritten means that a write without a response may have taken effect.
	maybeWritten bool
	inFlight     bool
	revision     int64
	lease        store.LeaseID
	// writeDeadline is when this daemon stops trying to write.
	writeDeadline time.Time
	// sendBy is when a write of this claim is due. It may join an earlier write.
	sendBy      time.Time
	sharedLease *sharedLease
}

type waiter struct {
	token            Token
	deadline         time.Time
	decisionDeadline time.Time
}

// sharedLease is a lease that is shared by all claims of a LeaseWindow, with the space of these claims.
type sharedLease struct {
	lease store.LeaseID
	// fullAt is when no more claims are attached to the lease.
	fullAt  time.Time
	expires time.Time
	bytes   int
}

// State holds the claims of one daemon. It is not safe for concurrent use.
type State struct {
	config Config
	claims map[string]*activeClaim
	queue  []*activeClaim
	batch  []*activeClaim
	// callOutstanding means that a Grant or Write has no result yet.
	callOutstanding  bool
	leaseRequestedAt time.Time
	sharedLeases     []*sharedLease
	currentLease     *sharedLease
	// unassignedBytes is the space reserved for claims that are not attached to a lease yet.
	unassignedBytes int
	nextSend        time.Time
	// nextTimeout is no later than the next timeout that expireTimeouts must handle; zero if there is none.
	nextTimeout time.Time
	failures    int
	// unavailable means that a call ended as store.Unavailable and none succeeded since.
	unavailable bool
	effects     []Effect
}

// New returns an empty state.
func New(config Config) *State {
	return &State{config: config, claims: map[string]*activeClaim{}}
}

// Handle applies an event and returns the effects in their order.
func (s *State) Handle(event Event, now time.Time) []Effect {
	s.effects = nil
	switch e := event.(type) {
	case Begin:
		s.handleBegin(e, now)
	case Cancel:
		s.handleCancel(e.Token, now)
	case Finish:
		s.handleFinish(e, now)
	case Release:
		if c := s.runningClaim(e.Claim); c != nil {
			s.release(c, now)
		}
	case ReportLost:
		if c := s.runningClaim(e.Claim); c != nil {
			c.record.Phase = Lost
			s.queueFinalWrite(c, storing, now)
		}
	case Granted:
		s.handleGranted(e, now)
	case Written:
		s.handleWritten(e, now)
	case Wake:
	}
	s.expireTimeouts(now)
	s.send(now)
	return s.effects
}

// NextWake returns when a Wake is due.
func (s *State) NextWake() (time.Time, bool) {
	next := s.nextTimeout
	if !s.callOutstanding {
		for _, c := range s.queue {
			next = earlier(next, later(c.sendBy, s.nextSend))
		}
	}
	return next, !next.IsZero()
}

// earlier returns the earlier time. A zero a means that there is no time.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Idle reports whether nothing waits to be written.
func (s *State) Idle() bool { return len(s.queue) == 0 && !s.callOutstanding }

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

func (s *State) handleBegin(e Begin, now time.Time) {
	w := waiter{token: e.Token, deadline: e.Deadline, decisionDeadline: now.Add(s.config.DecisionTimeout)}
	if e.Deadline.Before(w.decisionDeadline) {
		w.decisionDeadline = e.Deadline
	}
	c := s.claims[e.Key]
	switch {
	case !now.Before(e.Deadline):
		s.decide(e.Token, refused(ReasonDeadline, 0))
	case e.Deadline.Sub(now) > s.config.Retention/2:
		// A request that runs longer than its claim is kept could run again under a new claim.
		s.decide(e.Token, refused(ReasonDeadlineTooFar, 0))
	case c == nil && s.unavailable && now.Before(s.nextSend):
		s.decide(e.Token, refused(ReasonUnavailable, s.nextSend.Sub(now)))
	case c == nil:
		s.queueClaim(e, w, now)
	case c.stage == claiming:
		c.waiters = append(c.waiters, w)
		s.nextTimeout = earlier(s.nextTimeout, w.decisionDeadline)
		c.record.Deadline = later(c.record.Deadline, e.Deadline)
	case c.stage == releasing:
		s.decide(e.Token, refused(ReasonReleasing, s.config.Interval))
	default:
		s.decide(e.Token, DecideClaimed(s.config, c.record, now))
	}
}

// queueClaim queues the creation of a new claim if the limits allow it.
func (s *State) queueClaim(e Begin, w waiter, now time.Time) {
	if len(s.claims) >= s.config.MaxClaims {
		s.decide(e.Token, refused(ReasonTooManyClaims, s.config.DecisionTimeout))
		return
	}
	if s.usedBytes(now)+s.config.reservation() > s.config.MaxBytes {
		s.decide(e.Token, refused(ReasonSpaceExhausted, s.config.LeaseWindow))
		return
	}
	s.unassignedBytes += s.config.reservation()
	c := &activeClaim{
		key: e.Key, waiters: []waiter{w}, sendBy: now, writeDeadline: now.Add(s.config.WriteTimeout),
		record: Record{ID: e.ID, Owner: s.config.Owner, Phase: Running, Deadline: e.Deadline},
	}
	s.claims[e.Key] = c
	s.queue = append(s.queue, c)
	s.nextTimeout = earlier(s.nextTimeout, w.decisionDeadline)
}

// usedBytes returns the space of this daemon's claims. It drops shared leases that have expired.
func (s *State) usedBytes(now time.Time) int {
	s.sharedLeases = slices.DeleteFunc(s.sharedLeases, func(l *sharedLease) bool { return !now.Before(l.expires) })
	total := s.unassignedBytes
	for _, l := range s.sharedLeases {
		total += l.bytes
	}
	return total
}

func (s *State) handleCancel(token Token, now time.Time) {
	for _, c := range s.claims {
		if c.stage == running && c.runnerToken == token {
			s.release(c, now)
			return
		}
		if i := slices.IndexFunc(c.waiters, func(w waiter) bool { return w.token == token }); i >= 0 {
			c.waiters = slices.Delete(c.waiters, i, i+1)
			s.dropUnclaimed(c)
			return
		}
	}
}

// dropUnclaimed removes a claim that has no waiting callers and certainly was not written.
func (s *State) dropUnclaimed(c *activeClaim) {
	if c.stage == claiming && len(c.waiters) == 0 && !c.maybeWritten && !c.inFlight {
		s.remove(c, 0)
	}
}

// runningClaim returns the activeClaim of a claim, or nil if the claim is not running.
func (s *State) runningClaim(claim Claim) *activeClaim {
	c := s.claims[claim.Key]
	if c == nil || c.record.ID != claim.ID || c.stage != running {
		s.count("report-without-claim")
		return nil
	}
	return c
}

func (s *State) handleFinish(e Finish, now time.Time) {
	c := s.runningClaim(e.Claim)
	if c == nil {
		return
	}
	c.record.Phase, c.record.Response = Done, e.Response
	if e.Response.size() > s.config.MaxResponse {
		c.record.Response, c.record.Dropped = Response{}, true
		s.count("answer-too-big")
	}
	s.queueFinalWrite(c, storing, now)
	c.sendBy = now.Add(s.config.FinishDelay)
}

func (s *State) release(c *activeClaim, now time.Time) { s.queueFinalWrite(c, releasing, now) }

// queueFinalWrite queues the last write of an owned claim.
func (s *State) queueFinalWrite(c *activeClaim, next stage, now time.Time) {
	c.stage, c.runnerToken, c.maybeWritten = next, 0, false
	c.sendBy, c.writeDeadline = now, now.Add(s.config.WriteTimeout)
	s.queue = append(s.queue, c)
}

// remove removes an active claim from this daemon. Its record continues to use the given number of bytes in the platform.
func (s *State) remove(c *activeClaim, bytes int) {
	switch {
	case c.sharedLease != nil:
		c.sharedLease.bytes += bytes - s.config.reservation()
	case s.currentLease != nil:
		s.unassignedBytes -= s.config.reservation()
		s.currentLease.bytes += bytes
	default:
		s.unassignedBytes -= s.config.reservation()
	}
	delete(s.claims, c.key)
	s.queue = slices.DeleteFunc(s.queue, func(other *activeClaim) bool { return other == c })
}

// expireTimeouts refuses callers whose decision deadline has passed and removes running claims whose holder did not report
// an outcome.
func (s *State) expireTimeouts(now time.Time) {
	if s.nextTimeout.IsZero() || now.Before(s.nextTimeout) {
		return
	}
	s.nextTimeout = time.Time{}
	for _, key := range slices.Sorted(maps.Keys(s.claims)) {
		c := s.claims[key]
		c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
			if now.Before(w.decisionDeadline) {
				s.nextTimeout = earlier(s.nextTimeout, w.decisionDeadline)
				return false
			}
			s.decide(w.token, refused(ReasonUnconfirmed, s.config.DecisionTimeout))
			return true
		})
		s.dropUnclaimed(c)
		if c.stage != running {
			continue
		}
		if end := c.record.Deadline.Add(s.config.WriteTimeout); now.Before(end) {
			s.nextTimeout = earlier(s.nextTimeout, end)
		} else {
			s.count("claim-not-reported")
			s.remove(c, recordOverhead)
		}
	}
}
