package traffic

import (
	"context"
	"sync"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
)

// waitList holds the calls that wait in the queue of a target. Its lock also guards the queue.
type waitList struct {
	mu      sync.Mutex
	waiting map[admission.Ticket]chan admission.Reason
}

func newWaitList() waitList { return waitList{waiting: map[admission.Ticket]chan admission.Reason{}} }

// queue is the part of a target's queue that waitList uses.
type queue interface {
	// Abandon removes a waiting call. It reports whether the call was still waiting.
	Abandon(ticket admission.Ticket) bool
	// ReleaseUnmeasured frees the slot of a call that did not use it.
	ReleaseUnmeasured(now time.Time) []admission.Dequeued
}

// add registers a waiting call. The lock must be held.
func (w *waitList) add(ticket admission.Ticket) <-chan admission.Reason {
	result := make(chan admission.Reason, 1)
	w.waiting[ticket] = result
	return result
}

// wait returns why the wait of a call ended: the reason that the queue gave, its deadline, or abandoned because ctx ended.
func (w *waitList) wait(
	ctx context.Context, deadline time.Time, q queue, ticket admission.Ticket, result <-chan admission.Reason,
) admission.Reason {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	reason := admission.Abandoned
	select {
	case reason = <-result:
		return reason
	case <-ctx.Done():
	case <-timer.C:
		reason = admission.Deadline
	}
	w.mu.Lock()
	stillWaiting := q.Abandon(ticket)
	delete(w.waiting, ticket)
	w.mu.Unlock()
	if !stillWaiting && <-result == admission.Admitted {
		// The queue granted a slot at the same moment; return it.
		w.updateAndNotify(q.ReleaseUnmeasured)
	}
	return reason
}

// updateAndNotify changes the queue and notifies the calls whose wait ends with that.
func (w *waitList) updateAndNotify(change func(now time.Time) []admission.Dequeued) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, dequeued := range change(time.Now()) {
		if result, ok := w.waiting[dequeued.Ticket]; ok {
			result <- dequeued.Reason
			delete(w.waiting, dequeued.Ticket)
		}
	}
}
