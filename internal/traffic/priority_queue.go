package traffic

import (
	"context"
	"net/http"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
)

// abandonedSlotDelay is how long the slot of an abandoned call stays occupied: the target takes about that long to notice
// the closed connection.
const abandonedSlotDelay = 15 * time.Millisecond

// minDispatchInterval bounds the rate of timers for waiting calls.
const minDispatchInterval = time.Millisecond

// priorityQueue is the queue of a target with its lock, the waiting calls and the target's connections.
type priorityQueue struct {
	waitList
	queue       *admission.PriorityQueue
	connections int
	open        int
	run         targetRun
	// warmupPerSecond is the number of calls per second that the target tolerates while it is cold, 0 if any. warmAt is when the
	// run is warm by its latest report.
	warmupPerSecond float64
	warmAt          time.Time
	// timer dispatches waiting calls when the rate limit has room for the next one; nil if none waits for that.
	timer *time.Timer
}

func newPriorityQueue() *priorityQueue {
	return &priorityQueue{queue: admission.NewPriorityQueue(), waitList: newWaitList()}
}

func (q *priorityQueue) setTarget(t *model.Target, conditions TargetConditions) {
	q.updateAndNotify(func(now time.Time) []admission.Dequeued {
		q.connections = t.Connections
		if run := runOf(t); run != q.run {
			q.run, q.warmAt = run, time.Time{}
			q.queue.ResetRateLimit()
			q.queue.ResetLearning()
		}
		var dequeued []admission.Dequeued
		if !t.WarmAt.Equal(q.warmAt) || conditions.WarmupPerSecond != q.warmupPerSecond {
			// A response may have said since that the target is cold, which no report has confirmed yet.
			q.warmAt, q.warmupPerSecond = t.WarmAt, conditions.WarmupPerSecond
			dequeued = q.queue.SetCold(now, q.warmupPerSecond, q.warmAt)
		}
		return append(dequeued, q.queue.SetTarget(now, max(t.Slots, 1), t.State == model.TargetReady && conditions.admits())...)
	})
}

// setLearning enables or disables the learned concurrency limit. More slots are given out with the next call that ends or the
// next setTarget.
func (q *priorityQueue) setLearning(enabled bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetLearning(enabled)
}

// acquire takes a slot, waiting for one if needed. The call has a slot if the result is nil.
func (q *priorityQueue) acquire(ctx context.Context, deadline time.Time, call admission.Call) *refusal {
	q.mu.Lock()
	decision := q.queue.Acquire(time.Now(), call)
	if decision.Verdict == admission.Run {
		q.mu.Unlock()
		return nil
	}
	if decision.Verdict == admission.Refuse {
		q.mu.Unlock()
		return priorityQueueRefusal(decision.Reason, decision.RetryAfter)
	}
	result := q.add(decision.Ticket)
	q.scheduleDispatch()
	q.mu.Unlock()
	reason := q.wait(ctx, deadline, withdrawableCall{q.queue, call}, decision.Ticket, result)
	if reason == admission.Admitted {
		return nil
	}
	// A slot that was granted at the same moment is free again, and other calls may wait for the rate limit.
	q.updateAndNotify(func(time.Time) []admission.Dequeued { return nil })
	return priorityQueueRefusal(reason, q.retryAfter(call, reason))
}

// withdrawableCall is the queue of a target as the wait of one call uses it.
type withdrawableCall struct {
	*admission.PriorityQueue
	call admission.Call
}

// ReleaseUnmeasured frees the slot of the call, which has not used it.
func (c withdrawableCall) ReleaseUnmeasured(now time.Time) []admission.Dequeued {
	c.RecordUse(now, c.call, 0, false)
	return c.PriorityQueue.ReleaseUnmeasured(now)
}

// retryAfter returns the time after which the caller of a call that was refused while it waited should come back.
func (q *priorityQueue) retryAfter(call admission.Call, reason admission.Reason) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if reason == admission.Deadline {
		return q.queue.RetryAfterWait(now, call)
	}
	_, wait := q.queue.RateLimit(now)
	return wait
}

// refuses returns the refusal that a call would get now, or nil.
func (q *priorityQueue) refuses(call admission.Call) *refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	decision, refused := q.queue.Refuses(time.Now(), call)
	if !refused {
		return nil
	}
	return priorityQueueRefusal(decision.Reason, decision.RetryAfter)
}

func priorityQueueRefusal(reason admission.Reason, after time.Duration) *refusal {
	switch reason {
	case admission.Admitted:
		return nil
	case admission.Deadline:
		return notExecuted(http.StatusServiceUnavailable, string(reason), "the call cannot finish before its deadline").
			withRetryAfter(after)
	case admission.Busy:
		return notExecuted(http.StatusServiceUnavailable, string(reason), "the call would wait longer than its sender allows").
			withRetryAfter(after)
	case admission.Abandoned:
		return notExecuted(http.StatusServiceUnavailable, string(reason), "the caller left while the call waited")
	}
	return notExecuted(http.StatusServiceUnavailable, string(reason), "the target takes no calls")
}

// updateAndNotify changes the queue, notifies the calls whose wait ends with that, and schedules the next dispatch.
func (q *priorityQueue) updateAndNotify(change func(now time.Time) []admission.Dequeued) {
	q.waitList.updateAndNotify(func(now time.Time) []admission.Dequeued {
		dequeued := change(now)
		q.scheduleDispatch()
		return dequeued
	})
}

// scheduleDispatch sets the timer for the first call that waits for room in the rate limit. The lock must be held.
func (q *priorityQueue) scheduleDispatch() {
	wait, ok := q.queue.NextDispatch(time.Now())
	if !ok || q.timer != nil {
		return
	}
	q.timer = time.AfterFunc(max(wait, minDispatchInterval), func() {
		q.updateAndNotify(func(now time.Time) []admission.Dequeued {
			q.timer = nil
			return q.queue.Dispatch(now)
		})
	})
}

// recordStatement takes over the rate limit of a statement in the response of a run of the target to a call that was sent at
// the given time. It reports whether the limit has changed.
func (q *priorityQueue) recordStatement(run targetRun, s targetStatement, sent time.Time) (changed bool) {
	q.updateAndNotify(func(now time.Time) (dequeued []admission.Dequeued) {
		if run != q.run {
			return nil
		}
		before := q.queue.NamedRateLimit()
		switch {
		case s.limited:
			dequeued = q.queue.NameRateLimit(now, s.perSecond)
		case !s.invalid:
			dequeued, _ = q.queue.EndRateLimit(now, sent)
		}
		changed = before != q.queue.NamedRateLimit()
		if s.coldFor > 0 && q.warmupPerSecond > 0 {
			dequeued = append(dequeued, q.queue.SetCold(now, q.warmupPerSecond, now.Add(s.coldFor))...)
		}
		return dequeued
	})
	return changed
}

// rate returns the rate limit of the target.
func (q *priorityQueue) rate() rateReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	perSecond, wait := q.queue.RateLimit(time.Now())
	return rateReport{perSecond, wait}
}

// limits returns the calls per second that the target has named as its limit, and those that it gets because it is cold; 0 for no
// limit.
func (q *priorityQueue) limits() (named, cold float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.NamedRateLimit(), q.queue.ColdRateLimit(time.Now())
}

func (q *priorityQueue) recordOverload(waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.RecordOverload(time.Now(), waiting)
}

func (q *priorityQueue) occupancy() (running, queued, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Running(), q.queue.Queued(), q.queue.Slots()
}

func (q *priorityQueue) load(route string) loadReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	execution, mean := q.queue.ReportedTimes(route)
	return loadReport{
		running: q.queue.Running(), queued: q.queue.Queued(), slots: q.queue.Slots(),
		executionTime: execution, meanExecutionTime: mean,
	}
}

func (q *priorityQueue) openConnection() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.connections > 0 && q.open >= q.connections {
		return false
	}
	q.open++
	return true
}

func (q *priorityQueue) closeConnection() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.open--
}

// prioritySlot is an occupied slot. Only the first release has an effect.
type prioritySlot struct {
	queue *priorityQueue
	call  admission.Call
	start time.Time
	// maybeSent means that a byte of the call may have reached the target.
	maybeSent bool
	released  bool
}

// release frees the slot of a call that was executed and records its execution time.
func (s *prioritySlot) release() {
	if s.released {
		return
	}
	s.released = true
	took := time.Since(s.start)
	s.queue.updateAndNotify(func(now time.Time) []admission.Dequeued {
		s.queue.queue.RecordUse(now, s.call, took, true)
		return s.queue.queue.Release(now, s.call.Kind, took)
	})
}

// releaseUnmeasured frees the slot of a call that the target did not execute or that got no valid response; no execution
// time is recorded. If the call may have reached the target, the slot stays occupied for abandonedSlotDelay.
func (s *prioritySlot) releaseUnmeasured() {
	if s.released {
		return
	}
	s.released = true
	took := time.Duration(0)
	if s.maybeSent {
		took = time.Since(s.start)
	}
	free := func() {
		s.queue.updateAndNotify(func(now time.Time) []admission.Dequeued {
			s.queue.queue.RecordUse(now, s.call, took, false)
			return s.queue.queue.ReleaseUnmeasured(now)
		})
	}
	if s.maybeSent {
		time.AfterFunc(abandonedSlotDelay, free)
		return
	}
	free()
}
