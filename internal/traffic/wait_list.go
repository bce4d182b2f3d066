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
	settled := make(chan admission.Reason, 1)
	w.waiting[ticket] = settled
	return settled
}

// wait returns why the wait of a call ended: the reason that the queue gave, its deadline, or abandoned because ctx ended.
func (w *waitList) wait(
	ctx context.Context, deadline time.Time, q queue, ticket admission.Ticket, settled <-chan admission.Reason,
) admission.Reason {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	reason := admission.Abandoned
	select {
	case reason = <-settled:
		return reason
	case <-ctx.Done():
	case <-timer.C:
		reason = admission.Deadline
	}
	w.mu.Lock()
	waited := q.Abandon(ticket)
	delete(w.waiting, ticket)
	w.mu.Unlock()
	if !waited && <-settled == admission.Admitted {
		// The queue granted a slot at the same moment; return it.
		w.updateAndNotify(q.ReleaseUnmeasured)
	}
	return reason
}

// updateAndNotify changes the queue and notifies the calls whose wait ends with that.
func (w *waitList) updateAndNotify(change func(now time.Time) []admission.Dequeued) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, settled := range change(time.Now()) {
		if waiting, ok := w.waiting[settled.Ticket]; ok {
			waiting <- settled.Reason
			delete(w.waiting, settled.Ticket)
		}
	}
}
