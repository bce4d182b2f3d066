package claims

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// Bounds of the backoff after a failed write. The maximum is a fifth of the default DecisionTimeout, so that the write of
// a claim is tried several times before its caller is refused.
const (
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = 200 * time.Millisecond
)

// send starts the next write if one is due. Claims that are queued until the write ends form the next batch.
func (s *State) send(now time.Time) {
	if s.callOutstanding || now.Before(s.nextSend) {
		return
	}
	isDue, creates := false, false
	for _, c := range s.queue {
		isDue = isDue || !now.Before(c.sendBy)
		creates = creates || c.stage == claiming
	}
	if !isDue {
		return
	}
	s.callOutstanding = true
	if creates && (s.currentLease == nil || !now.Before(s.currentLease.fullAt)) {
		s.leaseRequestedAt = now
		s.effects = append(s.effects, Grant{TTL: s.config.Retention + s.config.LeaseWindow})
		return
	}
	s.nextSend = now.Add(s.config.Interval)
	s.effects = append(s.effects, Write{Steps: s.nextBatch()})
}

// nextBatch moves the first claims of the queue to the batch and returns the steps of their transaction.
func (s *State) nextBatch() []Step {
	var steps []Step
	bytes := 0
	for _, c := range s.queue {
		size := recordOverhead + c.record.Response.size()
		if len(steps) == s.config.MaxBatch || (len(steps) > 0 && bytes+size > s.config.MaxBatchBytes) {
			break
		}
		bytes += size
		c.inFlight = true
		step := Step{Key: c.key, Record: c.record, Revision: c.revision, Lease: c.lease}
		switch c.stage {
		case claiming:
			step.Operation, step.Lease = Create, s.currentLease.lease
		case storing:
			step.Operation = Update
		default:
			step.Operation = Delete
		}
		steps = append(steps, step)
	}
	s.batch = slices.Clone(s.queue[:len(steps)])
	s.queue = slices.Clone(s.queue[len(steps):])
	return steps
}

func (s *State) handleGranted(e Granted, now time.Time) {
	s.callOutstanding = false
	// No claim can be attached to a lease whose time to live is not longer than the retention.
	if e.Outcome != store.Applied || e.TTL <= s.config.Retention {
		s.backOff(e.Outcome, now)
		return
	}
	s.currentLease = &sharedLease{
		lease: e.Lease, fullAt: s.leaseRequestedAt.Add(min(s.config.LeaseWindow, e.TTL-s.config.Retention)), expires: now.Add(e.TTL),
	}
	s.sharedLeases = append(s.sharedLeases, s.currentLease)
	s.resetBackoff()
}

// backOff delays the next write. The backoff doubles with each consecutive failure. A write that the gate shed does not
// lengthen it, because the gate itself decides how long it sheds.
func (s *State) backOff(outcome store.Outcome, now time.Time) {
	backoff := baseBackoff
	for i := 0; i < s.failures && backoff < maxBackoff; i++ {
		backoff *= 2
	}
	s.nextSend = now.Add(min(backoff, maxBackoff))
	if outcome != store.Shed {
		s.failures++
	}
	s.unavailable = s.unavailable || outcome == store.Unavailable
	if s.unavailable && outcome != store.Unknown {
		s.refuseUnwritten(now)
	}
}

// resetBackoff records that the platform accepted a call.
func (s *State) resetBackoff() { s.failures, s.unavailable = 0, false }

// refuseUnwritten refuses the callers of all queued claims during an outage of the platform. A claim that may have been
// written stays in the queue, so that it is released after the outage.
func (s *State) refuseUnwritten(now time.Time) {
	for _, c := range slices.Clone(s.queue) {
		if c.stage != claiming {
			continue
		}
		for _, w := range c.waiters {
			s.decide(w.token, refused(ReasonUnavailable, s.config.DecisionTimeout))
		}
		c.waiters = nil
		s.dropUnclaimed(c)
	}
	s.dropExpiredWrites(now)
}

// dropExpiredWrites removes queued claims whose write deadline has passed. If a response was not stored, the claim stays
// in phase Running in the platform, and repeated submissions get OutcomeUnknown after the deadline.
func (s *State) dropExpiredWrites(now time.Time) {
	for _, c := range slices.Clone(s.queue) {
		if len(c.waiters) == 0 && !now.Before(c.writeDeadline) {
			s.count("claim-unsettled")
			s.remove(c, recordOverhead)
		}
	}
}

// handleWritten handles the result of a batch.
func (s *State) handleWritten(e Written, now time.Time) {
	s.callOutstanding = false
	batch := s.batch
	s.batch = nil
	for _, c := range batch {
		c.inFlight = false
	}
	requeued := s.applyResult(e, batch, now)
	s.queue = slices.Concat(requeued, s.queue)
	for _, c := range requeued {
		s.dropUnclaimed(c)
	}
	switch {
	case e.Outcome == store.Applied:
		s.resetBackoff()
	case e.Outcome == store.Conflict && len(requeued) < len(batch):
		// The rest of the batch is sent at once, without waiting for another interval.
		s.resetBackoff()
		s.nextSend = now
	default:
		s.backOff(e.Outcome, now)
	}
	s.dropExpiredWrites(now)
}

// applyResult handles the claims of a batch whose result is known and returns the claims that must be written again.
func (s *State) applyResult(e Written, batch []*activeClaim, now time.Time) []*activeClaim {
	switch e.Outcome {
	case store.Applied:
		for _, c := range batch {
			s.handleApplied(c, e.Revision, now)
		}
		return nil
	case store.Conflict:
		var again []*activeClaim
		for _, c := range batch {
			found, present := e.Existing[c.key]
			if !s.handleConflict(c, found, present, now) {
				again = append(again, c)
			}
		}
		return again
	case store.NotFound:
		// All compares held, so the lease that was not found is the one for new claims. Nothing was written.
		s.currentLease = nil
	case store.Unknown:
		for _, c := range batch {
			c.maybeWritten = true
		}
	}
	return batch
}

func (s *State) handleApplied(c *activeClaim, revision int64, now time.Time) {
	switch c.stage {
	case claiming:
		s.assign(c, revision, s.currentLease.lease, now)
	case storing:
		s.remove(c, recordOverhead+c.record.Response.size())
	default:
		s.remove(c, 0)
	}
}

// handleConflict handles a claim whose own compare failed. It reports false if the claim must be written again because its
// compare held.
func (s *State) handleConflict(c *activeClaim, found StoredClaim, present bool, now time.Time) bool {
	if c.stage != claiming {
		if present && found.CreateRevision == c.revision {
			return false
		}
		if c.stage == storing {
			s.count("answer-without-claim")
		}
		s.remove(c, 0)
		return true
	}
	if !present {
		return false
	}
	if found.Record.ID == c.record.ID {
		// An earlier write took effect and its response was lost.
		s.count("claim-reconciled")
		s.assign(c, found.CreateRevision, found.Lease, now)
		return true
	}
	for _, w := range c.waiters {
		s.decide(w.token, DecideClaimed(s.config, found.Record, now))
	}
	c.waiters = nil
	s.remove(c, 0)
	return true
}

// assign gives an owned claim to the first waiting caller whose deadline has not passed. If there is none, it releases the
// claim.
func (s *State) assign(c *activeClaim, revision int64, lease store.LeaseID, now time.Time) {
	c.revision, c.lease, c.maybeWritten, c.sharedLease = revision, lease, false, s.currentLease
	for _, l := range s.sharedLeases {
		if l.lease == lease {
			c.sharedLease = l
		}
	}
	s.unassignedBytes -= s.config.reservation()
	c.sharedLease.bytes += s.config.reservation()
	waiters := c.waiters
	c.waiters = nil
	for len(waiters) > 0 && !now.Before(waiters[0].deadline) {
		s.decide(waiters[0].token, refused(ReasonDeadline, 0))
		waiters = waiters[1:]
	}
	if len(waiters) == 0 {
		s.release(c, now)
		return
	}
	c.stage, c.runnerToken = running, waiters[0].token
	s.nextTimeout = earlier(s.nextTimeout, c.record.Deadline.Add(s.config.WriteTimeout))
	s.decide(c.runnerToken, Decision{Kind: Run, Claim: Claim{Key: c.key, ID: c.record.ID, Deadline: waiters[0].deadline}})
	for _, w := range waiters[1:] {
		s.decide(w.token, DecideClaimed(s.config, c.record, now))
	}
}
