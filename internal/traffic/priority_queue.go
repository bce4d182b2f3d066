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

// priorityQueue is the queue of a target with its lock, the waiting calls and the target's connections.
type priorityQueue struct {
	waitList
	queue       *admission.PriorityQueue
	connections int
	open        int
}

func newPriorityQueue() *priorityQueue {
	return &priorityQueue{queue: admission.NewPriorityQueue(), waitList: newWaitList()}
}

func (q *priorityQueue) setTarget(t *model.Target, withheld bool) {
	q.updateAndNotify(func(now time.Time) []admission.Dequeued {
		q.connections = t.Connections
		return q.queue.SetTarget(now, max(t.Slots, 1), t.State == model.TargetReady && !withheld)
	})
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
	q.mu.Unlock()
	return priorityQueueRefusal(q.wait(ctx, deadline, q.queue, decision.Ticket, result), 0)
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
	return loadReport{
		running: q.queue.Running(), queued: q.queue.Queued(), slots: q.queue.Slots(),
		executionTime: q.queue.ExpectedExecutionTime(route), meanExecutionTime: q.queue.MeanExecutionTime(),
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
	route string
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
	s.queue.updateAndNotify(func(now time.Time) []admission.Dequeued { return s.queue.queue.Release(now, s.route, took) })
}

// releaseUnmeasured frees the slot of a call that the target did not execute or that got no valid response; no execution
// time is recorded. If the call may have reached the target, the slot stays occupied for abandonedSlotDelay.
func (s *prioritySlot) releaseUnmeasured() {
	if s.released {
		return
	}
	s.released = true
	free := func() { s.queue.updateAndNotify(s.queue.queue.ReleaseUnmeasured) }
	if s.maybeSent {
		time.AfterFunc(abandonedSlotDelay, free)
		return
	}
	free()
}
