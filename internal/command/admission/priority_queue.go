package admission

import (
	"slices"
	"time"
)

const (
	// initialExecutionTime is the expected execution time until the first call has ended.
	initialExecutionTime = 100 * time.Millisecond
	// sampleWeight sets the weight of one call in the moving averages of the execution time to 1/sampleWeight.
	sampleWeight = 20
	// mixSampleWeight is that of the average which tells brief calls from others. A few brief calls in a row must not make it so low
	// that they no longer count as brief.
	mixSampleWeight = 100
	// minExecutionFraction is the fraction of the expected execution time that a call needs at least. A call with less time
	// left until its deadline is refused.
	minExecutionFraction = 0.5
	// typicalExecutionFraction is the fraction of the expected execution time after which most calls have ended. A call with
	// as much time left until its objective is expected to meet it.
	typicalExecutionFraction = 1.0
	// briefFraction is the fraction of the target's mean execution time up to which a call counts as brief.
	briefFraction = 0.25
	// overloadAfter is how long every new call has to be expected late before the target counts as overloaded. A shorter
	// burst is served in the normal order, which delays no call for long.
	overloadAfter = 250 * time.Millisecond
	// overloadDuration is how long the target counts as overloaded after the overload was last detected. The order used
	// during an overload keeps the queue short, so that the overload can no longer be detected while it lasts.
	overloadDuration = 5 * time.Second
	// excessDuration is how long a target that reported calls in its own queue gets fewer calls.
	excessDuration = 300 * time.Millisecond
)

// Further reasons of refusals by a PriorityQueue.
const (
	// Busy means that the call would wait longer than Call.MaxWait.
	Busy Reason = "busy"
	// Abandoned means that the caller closed the call while it waited.
	Abandoned Reason = "abandoned"
)

// Call describes a call that requests a slot.
type Call struct {
	// Kind groups calls of similar execution time. The queue keeps an average execution time for each kind.
	Kind string
	// Priority orders calls; 0 is served first.
	Priority int
	// Objective is the time after which the response loses part of its value, Deadline the time after which it has none.
	Objective, Deadline time.Time
	// MaxWait is the longest expected wait with which the sender prefers this target to another one; 0 means any wait.
	MaxWait time.Duration
	// Tenant is the tenant of the call, empty if it has none, and Weight its weight in the fair shares.
	Tenant string
	Weight float64
}

type waitingCall struct {
	Call
	ticket Ticket
}

// PriorityQueue is the admission queue of one target. It counts slots exactly and orders waiting calls by priority, then
// by objective. A nested call, made by a request that is running, has an earlier objective than requests of the same
// priority and so is served before them. This matters because its parent request holds a slot while the nested call waits.
//
// Under more load than the target can serve, this order makes every call late. Therefore, while even new calls are
// expected to be late, the target counts as overloaded: calls that can no longer meet their objective are ordered behind
// those that can, and a new call of this sort is refused at once if no slot is free. Brief calls are exempt and always come
// first: they delay the others little, and are mostly made by running requests, whose work is lost if they are refused.
//
// Within a priority, calls of tenants that have recently used more than their fair share are ordered behind all others.
type PriorityQueue struct {
	slots      int
	open       bool
	lastTicket Ticket
	running    int
	queue      []waitingCall
	// kinds holds what is known of the execution times of each kind; meanExecutionTime is the moving average of all calls.
	kinds             map[string]*kindTimes
	meanExecutionTime time.Duration
	// mixExecutionTime is a slower average over all calls, of which mixSamples have ended, at most mixSampleWeight.
	mixExecutionTime time.Duration
	mixSamples       time.Duration
	// lateSince is since when new calls are expected to be late if they wait behind the whole queue; zero if they are not.
	lateSince       time.Time
	overloadedUntil time.Time
	// excess is the number of calls that the target reported in its own queue; it counts until excessUntil.
	excess      int
	excessUntil time.Time
	// limits are the limit that the target has named and the one for the time for which it is cold.
	limits  rateLimits
	shares  fairShares
	retries retrySchedule
	// concurrency is the learned limit, used in place of the slots.
	concurrency concurrencyLimit
	reported    reportedTimes
}

// NewPriorityQueue returns a closed queue.
func NewPriorityQueue() *PriorityQueue {
	return &PriorityQueue{kinds: map[string]*kindTimes{}}
}

// SetTarget sets the slots of the target and opens or closes the queue. Closing refuses all waiting calls. It returns the
// calls that leave the queue.
func (q *PriorityQueue) SetTarget(now time.Time, slots int, open bool) []Dequeued {
	q.slots, q.open = slots, open
	if open {
		return q.dispatch(now)
	}
	dequeued := make([]Dequeued, 0, len(q.queue))
	for _, call := range q.queue {
		dequeued = append(dequeued, Dequeued{call.ticket, Draining})
	}
	q.queue = nil
	return dequeued
}

// Acquire requests a slot for a call.
func (q *PriorityQueue) Acquire(now time.Time, call Call) Decision {
	q.recordArrival(now, &call)
	at, refused := q.check(now, call)
	if refused.Verdict == Refuse {
		return refused
	}
	q.lastTicket++
	if len(q.queue) == 0 && q.running < q.usableSlots(now) && q.limits.take(now) {
		q.running++
		q.recordStart(now, &call)
		return Decision{Verdict: Run, Ticket: q.lastTicket}
	}
	q.queue = slices.Insert(q.queue, at, waitingCall{call, q.lastTicket})
	return Decision{Verdict: Wait, Ticket: q.lastTicket}
}

// Refuses reports whether a call would be refused now, and why. A sender learns it before it transfers a long request body.
func (q *PriorityQueue) Refuses(now time.Time, call Call) (Decision, bool) {
	_, refused := q.check(now, call)
	if refused.Verdict != Refuse {
		return refused, false // Acquire follows
	}
	q.recordArrival(now, &call)
	return refused, true
}

// check returns the position of a call in the queue, or its refusal.
func (q *PriorityQueue) check(now time.Time, call Call) (at int, refused Decision) {
	if !q.open {
		return 0, Decision{Verdict: Refuse, Reason: Draining}
	}
	executionTime := q.ExpectedExecutionTime(call.Kind)
	if !now.Add(scale(executionTime, typicalExecutionFraction)).After(call.Objective) {
		q.trackOverload(now, call.Objective, executionTime)
	}
	at = q.position(now, call)
	wait := q.expectedWait(now, at)
	if wait > 0 && q.isDemoted(now, call, wait) {
		// While the overload lasts, calls that can meet their objective take all slots.
		wait = waitForever
	}
	switch {
	case call.MaxWait > 0 && wait > call.MaxWait && q.limits.isCold(now):
		// The sender gives up a call that is refused for its deadline, but another target may be warm.
		return at, Decision{Verdict: Refuse, Reason: Busy, RetryAfter: min(wait, q.expectedWait(now, len(q.queue))+executionTime)}
	case !now.Add(wait + q.leastTime(now, call.Kind)).Before(call.Deadline):
		earliest := min(wait, q.expectedWait(now, len(q.queue))+executionTime)
		return at, Decision{Verdict: Refuse, Reason: Deadline, RetryAfter: q.RetryAfter(now, call, earliest)}
	case call.MaxWait > 0 && wait > call.MaxWait:
		return at, Decision{Verdict: Refuse, Reason: Busy, RetryAfter: wait}
	}
	return at, Decision{}
}

// trackOverload records whether a new call would be late behind the whole queue. Once this has lasted for overloadAfter,
// the target counts as overloaded. It is called only for calls that would meet their objective at an idle target.
func (q *PriorityQueue) trackOverload(now, objective time.Time, executionTime time.Duration) {
	late := now.Add(q.expectedWait(now, len(q.queue)) + scale(executionTime, typicalExecutionFraction)).After(objective)
	switch {
	case !late:
		q.lateSince = time.Time{}
	case q.lateSince.IsZero():
		q.lateSince = now
	case now.Sub(q.lateSince) >= overloadAfter:
		q.overloadedUntil = now.Add(overloadDuration)
		if q.limits.isCold(now) && q.limits.coldUntil.Before(q.overloadedUntil) {
			q.overloadedUntil = q.limits.coldUntil // calls are late because of the limit, which ends
		}
	}
}

// isOverloaded reports whether the target counts as overloaded, so that all calls would be late in the normal order.
func (q *PriorityQueue) isOverloaded(now time.Time) bool {
	return now.Before(q.overloadedUntil)
}

// isDemoted reports whether the target is overloaded and a call that waits for the given time is late, unless the call is brief.
func (q *PriorityQueue) isDemoted(now time.Time, call Call, wait time.Duration) bool {
	executionTime := q.ExpectedExecutionTime(call.Kind)
	return q.isOverloaded(now) && !q.isBrief(call.Kind) &&
		now.Add(wait+scale(executionTime, typicalExecutionFraction)).After(call.Objective)
}

// waitForever is a wait beyond any deadline.
const waitForever = time.Hour

// Release frees the slot of a call of the given kind and execution time. It returns the calls that leave the queue.
func (q *PriorityQueue) Release(now time.Time, kind string, took time.Duration) []Dequeued {
	q.running--
	q.recordExecutionTime(kind, took)
	return q.dispatch(now)
}

// ReleaseUnmeasured frees the slot of a call whose duration does not count as execution time of the target.
func (q *PriorityQueue) ReleaseUnmeasured(now time.Time) []Dequeued {
	q.running--
	return q.dispatch(now)
}

// Abandon removes a waiting call. It reports whether the call was in the queue.
func (q *PriorityQueue) Abandon(ticket Ticket) bool {
	before := len(q.queue)
	q.queue = slices.DeleteFunc(q.queue, func(call waitingCall) bool { return call.ticket == ticket })
	return len(q.queue) < before
}

// RecordOverload records that the target reported calls in its own queue. It can have some although slots are counted
// here, because calls that were given up still hold slots of the target.
func (q *PriorityQueue) RecordOverload(now time.Time, waiting int) {
	q.excess = waiting
	q.excessUntil = now.Add(excessDuration)
}

// NameRateLimit sets the calls per second that the target has named in an answer. It returns the calls that leave the queue.
func (q *PriorityQueue) NameRateLimit(now time.Time, perSecond float64) []Dequeued {
	q.limits.named.name(now, perSecond)
	return q.dispatch(now)
}

// EndRateLimit removes the limit after an answer without it, to a call that was sent at the given time. It returns the calls that
// leave the queue, and whether the limit has ended.
func (q *PriorityQueue) EndRateLimit(now, sent time.Time) ([]Dequeued, bool) {
	if !q.limits.named.end(sent) {
		return nil, false
	}
	return q.dispatch(now), true
}

// ResetRateLimit removes the limits because another run of the target begins.
func (q *PriorityQueue) ResetRateLimit() { q.limits = rateLimits{} }

// RateLimit returns the limit in calls per second, 0 if there is none, and the time until it has room for a call behind all
// waiting ones. Of the limit that the target has named and that of a cold target it is the lower one.
func (q *PriorityQueue) RateLimit(now time.Time) (perSecond float64, wait time.Duration) {
	return q.limits.perSecond(now), q.limits.wait(now, len(q.queue)+1)
}

// Dispatch refuses the waiting calls that cannot end by their deadline and admits others. It is called when the wait that
// NextDispatch returned has passed.
func (q *PriorityQueue) Dispatch(now time.Time) []Dequeued { return q.dispatch(now) }

// NextDispatch returns the wait until the rate limit admits the first waiting call. It reports false if no call waits for that.
func (q *PriorityQueue) NextDispatch(now time.Time) (time.Duration, bool) {
	if len(q.queue) == 0 || q.limits.perSecond(now) == 0 || q.running >= q.usableSlots(now) {
		return 0, false
	}
	return q.limits.wait(now, 1), true
}

// Running returns the number of occupied slots.
func (q *PriorityQueue) Running() int { return q.running }

// Queued returns the number of waiting calls.
func (q *PriorityQueue) Queued() int { return len(q.queue) }

// Slots returns the slots of the target, or the learned limit.
func (q *PriorityQueue) Slots() int { return q.concurrency.usable(q.slots) }

// usableSlots returns the number of slots that calls may occupy now.
func (q *PriorityQueue) usableSlots(now time.Time) int {
	if now.Before(q.excessUntil) {
		return max(q.Slots()-q.excess, 1)
	}
	return q.Slots()
}

// expectedWait estimates how long a call waits for a slot, and for room in the rate limit, if the given number of calls is
// ahead of it in the queue.
func (q *PriorityQueue) expectedWait(now time.Time, ahead int) time.Duration {
	wait := q.limits.wait(now, ahead+1)
	slots := max(q.usableSlots(now), 1)
	if missing := q.running + ahead + 1 - slots; missing > 0 {
		wait = max(wait, q.MeanExecutionTime()*time.Duration(missing)/time.Duration(slots))
	}
	return wait
}

// dispatch refuses the waiting calls that cannot end by their deadline and gives the free slots to the first others.
func (q *PriorityQueue) dispatch(now time.Time) []Dequeued {
	var dequeued []Dequeued
	kept := q.queue[:0]
	for _, call := range q.queue {
		if now.Add(q.leastTime(now, call.Kind)).Before(call.Deadline) {
			kept = append(kept, call)
			continue
		}
		dequeued = append(dequeued, Dequeued{call.ticket, Deadline})
	}
	q.queue = kept
	// Calls may have become late while they waited, which changes their order.
	slices.SortStableFunc(q.queue, func(a, b waitingCall) int {
		ka, kb := q.orderKeyOf(now, a.Call), q.orderKeyOf(now, b.Call)
		switch {
		case ka.less(kb):
			return -1
		case kb.less(ka):
			return 1
		}
		return 0
	})
	for len(q.queue) > 0 && q.running < q.usableSlots(now) && q.limits.take(now) {
		first := &q.queue[0]
		q.running++
		q.recordStart(now, &first.Call)
		dequeued = append(dequeued, Dequeued{first.ticket, Admitted})
		q.queue = slices.Delete(q.queue, 0, 1)
	}
	return append(dequeued, q.refuseBeyondRateLimit(now)...)
}

// refuseBeyondRateLimit refuses the waiting calls for which the rate limit has no room in the time that they may wait: the target may
// have named it, or a lower one, after they were queued, and another target may serve them.
func (q *PriorityQueue) refuseBeyondRateLimit(now time.Time) []Dequeued {
	if q.limits.perSecond(now) == 0 {
		return nil
	}
	var dequeued []Dequeued
	kept := q.queue[:0]
	for _, call := range q.queue {
		wait := q.limits.wait(now, len(kept)+1)
		switch {
		case call.MaxWait > 0 && wait > call.MaxWait:
			dequeued = append(dequeued, Dequeued{call.ticket, Busy})
		case !now.Add(wait + q.leastTime(now, call.Kind)).Before(call.Deadline):
			dequeued = append(dequeued, Dequeued{call.ticket, Deadline})
		default:
			kept = append(kept, call)
		}
	}
	q.queue = kept
	return dequeued
}
