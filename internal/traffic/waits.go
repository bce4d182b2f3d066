package traffic

import (
	"context"
	"sync"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
)

// waits holds the calls that wait in the queue of a target. Its lock also guards the queue.
type waits struct {
	mu      sync.Mutex
	waiting map[admission.Ticket]chan admission.Reason
}

func newWaits() waits { return waits{waiting: map[admission.Ticket]chan admission.Reason{}} }

// queue is what waits needs of the queue of a target.
type queue interface {
	// Abandon removes a waiting call. It reports whether the call still waited.
	Abandon(ticket admission.Ticket) bool
	// ReleaseUnmeasured frees the slot of a call that did not use it.
	ReleaseUnmeasured(now time.Time) []admission.Dequeued
}

// enter registers a call that waits. The caller holds the lock.
func (w *waits) enter(ticket admission.Ticket) <-chan admission.Reason {
	settled := make(chan admission.Reason, 1)
	w.waiting[ticket] = settled
	return settled
}

// wait returns how the wait of a call ended: settled by the queue, at its deadline, or abandoned because ctx ended.
func (w *waits) wait(ctx context.Context, deadline time.Time, q queue, ticket admission.Ticket, settled <-chan admission.Reason) admission.Reason {
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
		// The wait was settled at the same moment; a granted slot goes back.
		w.settle(q.ReleaseUnmeasured)
	}
	return reason
}

// settle changes the queue and wakes the calls whose wait ends.
func (w *waits) settle(change func(now time.Time) []admission.Dequeued) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, settled := range change(time.Now()) {
		if waiting, ok := w.waiting[settled.Ticket]; ok {
			waiting <- settled.Reason
			delete(w.waiting, settled.Ticket)
		}
	}
}
