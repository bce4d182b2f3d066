package claims

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// Bounds of the pause after a write that did not succeed. The longest is a fifth of the default patience, so that a
// caller's claim is tried several times before it is refused.
const (
	minPause = 20 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// send starts the next write if one is due. The claims that wait meanwhile form the next group.
func (s *State) send(now time.Time) {
	if s.busy || now.Before(s.nextSend) {
		return
	}
	due, creates := false, false
	for _, it := range s.queue {
		due = due || !now.Before(it.due)
		creates = creates || it.stage == claiming
	}
	if !due {
		return
	}
	s.busy = true
	if creates && (s.current == nil || !now.Before(s.current.fullAt)) {
		s.grantedAt = now
		s.effects = append(s.effects, Grant{TTL: s.config.Retention + s.config.Bucket})
		return
	}
	s.nextSend = now.Add(s.config.Interval)
	s.effects = append(s.effects, Write{Steps: s.group()})
}

// group moves the head of the queue into flight.
func (s *State) group() []Step {
	var steps []Step
	bytes := 0
	for _, it := range s.queue {
		size := recordOverhead + it.record.Response.size()
		if len(steps) == s.config.MaxGroup || (len(steps) > 0 && bytes+size > s.config.MaxGroupBytes) {
			break
		}
		bytes += size
		it.inFlight = true
		step := Step{Key: it.key, Record: it.record, Revision: it.revision, Lease: it.lease}
		switch it.stage {
		case claiming:
			step.Operation, step.Lease = Create, s.current.lease
		case storing:
			step.Operation = Update
		default:
			step.Operation = Delete
		}
		steps = append(steps, step)
	}
	s.flight = slices.Clone(s.queue[:len(steps)])
	s.queue = slices.Clone(s.queue[len(steps):])
	return steps
}

func (s *State) granted(e Granted, now time.Time) {
	s.busy = false
	// A lease that lives no longer than the retention can take no claims.
	if e.Outcome != store.Applied || e.TTL <= s.config.Retention {
		s.failed(e.Outcome, now)
		return
	}
	s.current = &bucket{
		lease: e.Lease, fullAt: s.grantedAt.Add(min(s.config.Bucket, e.TTL-s.config.Retention)), expires: now.Add(e.TTL),
	}
	s.buckets = append(s.buckets, s.current)
	s.recovered()
}

// failed delays the next write, doubling the pause with each failure in a row. The gate decides how long it sheds, so
// a shed write does not lengthen the pause.
func (s *State) failed(outcome store.Outcome, now time.Time) {
	pause := minPause
	for i := 0; i < s.failures && pause < maxPause; i++ {
		pause *= 2
	}
	s.nextSend = now.Add(min(pause, maxPause))
	if outcome != store.Shed {
		s.failures++
	}
	s.down = s.down || outcome == store.Unavailable
	if s.down && outcome != store.Unknown {
		s.refuseUnwritten(now)
	}
}

// recovered ends the row of failures.
func (s *State) recovered() { s.failures, s.down = 0, false }

// refuseUnwritten refuses the callers of all queued claims while the platform is down. A claim that may have been
// written stays queued, so that it is released when the platform returns.
func (s *State) refuseUnwritten(now time.Time) {
	for _, it := range slices.Clone(s.queue) {
		if it.stage != claiming {
			continue
		}
		for _, w := range it.waiters {
			s.decide(w.token, refused(ReasonUnavailable, s.config.Patience))
		}
		it.waiters = nil
		s.dropUnclaimed(it)
	}
	s.dropUnsettled(now)
}

// dropUnsettled ends the work on claims that could not be written in time. An answer that was not stored leaves the
// claim as running in the platform, which repeats see as unknown after the deadline.
func (s *State) dropUnsettled(now time.Time) {
	for _, it := range slices.Clone(s.queue) {
		if len(it.waiters) == 0 && !now.Before(it.settleBy) {
			s.count("claim-unsettled")
			s.forget(it, recordOverhead)
		}
	}
}

// written applies the result of a group.
func (s *State) written(e Written, now time.Time) {
	s.busy = false
	flight := s.flight
	s.flight = nil
	for _, it := range flight {
		it.inFlight = false
	}
	requeued := s.apply(e, flight, now)
	s.queue = slices.Concat(requeued, s.queue)
	for _, it := range requeued {
		s.dropUnclaimed(it)
	}
	switch {
	case e.Outcome == store.Applied:
		s.recovered()
	case e.Outcome == store.Conflict && len(requeued) < len(flight):
		// The rest of the group does not wait for another interval.
		s.recovered()
		s.nextSend = now
	default:
		s.failed(e.Outcome, now)
	}
	s.dropUnsettled(now)
}

// apply settles the items of a group whose result is known and returns those to write again.
func (s *State) apply(e Written, flight []*item, now time.Time) []*item {
	switch e.Outcome {
	case store.Applied:
		for _, it := range flight {
			s.applied(it, e.Revision, now)
		}
		return nil
	case store.Conflict:
		var again []*item
		for _, it := range flight {
			found, present := e.Found[it.key]
			if !s.conflicted(it, found, present, now) {
				again = append(again, it)
			}
		}
		return again
	case store.NotFound:
		// All conditions held, so the lease that is gone is the one for new claims. Nothing was written.
		s.current = nil
	case store.Unknown:
		for _, it := range flight {
			it.unsure = true
		}
	}
	return flight
}

func (s *State) applied(it *item, revision int64, now time.Time) {
	switch it.stage {
	case claiming:
		s.own(it, revision, s.current.lease, now)
	case storing:
		s.forget(it, recordOverhead+it.record.Response.size())
	default:
		s.forget(it, 0)
	}
}

// conflicted settles an item whose own condition failed, and reports false for an item to write again.
func (s *State) conflicted(it *item, found Found, present bool, now time.Time) bool {
	if it.stage != claiming {
		if present && found.CreateRevision == it.revision {
			return false
		}
		if it.stage == storing {
			s.count("answer-without-claim")
		}
		s.forget(it, 0)
		return true
	}
	if !present {
		return false
	}
	if found.Record.ID == it.record.ID {
		// An earlier write took effect and its answer was lost.
		s.count("claim-reconciled")
		s.own(it, found.CreateRevision, found.Lease, now)
		return true
	}
	for _, w := range it.waiters {
		s.decide(w.token, Judge(s.config, found.Record, now))
	}
	it.waiters = nil
	s.forget(it, 0)
	return true
}

// own gives an owned claim to the first caller that can still use it, or releases it.
func (s *State) own(it *item, revision int64, lease store.LeaseID, now time.Time) {
	it.revision, it.lease, it.unsure, it.bucket = revision, lease, false, s.current
	for _, b := range s.buckets {
		if b.lease == lease {
			it.bucket = b
		}
	}
	s.unplaced -= s.config.reservation()
	it.bucket.bytes += s.config.reservation()
	waiters := it.waiters
	it.waiters = nil
	for len(waiters) > 0 && !now.Before(waiters[0].deadline) {
		s.decide(waiters[0].token, refused(ReasonDeadline, 0))
		waiters = waiters[1:]
	}
	if len(waiters) == 0 {
		s.release(it, now)
		return
	}
	it.stage, it.runner = running, waiters[0].token
	s.alarm = earlier(s.alarm, it.record.Deadline.Add(s.config.SettlePatience))
	s.decide(it.runner, Decision{Kind: Run, Claim: Claim{Key: it.key, ID: it.record.ID, Deadline: waiters[0].deadline}})
	for _, w := range waiters[1:] {
		s.decide(w.token, Judge(s.config, it.record, now))
	}
}
