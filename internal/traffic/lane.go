package traffic

import (
	"context"
	"net/http"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
)

// abandonHold is how long the slot of a call that was given up stays taken: the target notices the closed connection
// only after that.
const abandonHold = 15 * time.Millisecond

// lane is the queue of a target with its lock, the calls that wait, and the target's connections.
type lane struct {
	waits
	queue       *admission.PriorityQueue
	connections int
	open        int
}

func newLane() *lane {
	return &lane{queue: admission.NewPriorityQueue(), waits: newWaits()}
}

func (l *lane) setTarget(t *model.Target, withheld bool) {
	l.settle(func(now time.Time) []admission.Dequeued {
		l.connections = t.Connections
		return l.queue.SetTarget(now, max(t.Slots, 1), t.State == model.TargetReady && !withheld)
	})
}

// acquire takes a slot, waiting for one if needed. A nil refusal means that the call holds a slot.
func (l *lane) acquire(ctx context.Context, deadline time.Time, work admission.Call) *refusal {
	l.mu.Lock()
	decision := l.queue.Acquire(time.Now(), work)
	if decision.Verdict == admission.Run {
		l.mu.Unlock()
		return nil
	}
	if decision.Verdict == admission.Refuse {
		l.mu.Unlock()
		return laneRefusal(decision.Reason, decision.RetryAfter)
	}
	settled := l.enter(decision.Ticket)
	l.mu.Unlock()
	return laneRefusal(l.wait(ctx, deadline, l.queue, decision.Ticket, settled), 0)
}

func laneRefusal(reason admission.Reason, after time.Duration) *refusal {
	switch reason {
	case admission.Admitted:
		return nil
	case admission.Deadline:
		return notExecuted(http.StatusServiceUnavailable, string(reason), "the call cannot finish before its deadline").after(after)
	case admission.Busy:
		return notExecuted(http.StatusServiceUnavailable, string(reason), "the call would wait longer than its sender allows").after(after)
	case admission.Abandoned:
		return notExecuted(http.StatusServiceUnavailable, string(reason), "the caller left while the call waited")
	}
	return notExecuted(http.StatusServiceUnavailable, string(reason), "the target takes no calls")
}

func (l *lane) overloaded(waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.RecordOverload(time.Now(), waiting)
}

func (l *lane) occupancy() (running, queued, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Running(), l.queue.Queued(), l.queue.Slots()
}

func (l *lane) report(kind string) loadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return loadReport{
		running: l.queue.Running(), queued: l.queue.Queued(), slots: l.queue.Slots(),
		run: l.queue.ExpectedExecutionTime(kind), mean: l.queue.MeanExecutionTime(),
	}
}

func (l *lane) openConnection() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections > 0 && l.open >= l.connections {
		return false
	}
	l.open++
	return true
}

func (l *lane) closeConnection() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// laneHold is an occupied slot. It is freed once.
type laneHold struct {
	lane  *lane
	kind  string
	start time.Time
	// sent says that a byte of the call may have reached the target.
	sent  bool
	freed bool
}

// release frees the slot of a call that the target answered.
func (h *laneHold) release() {
	if h.freed {
		return
	}
	h.freed = true
	took := time.Since(h.start)
	h.lane.settle(func(now time.Time) []admission.Dequeued { return h.lane.queue.Release(now, h.kind, took) })
}

// giveBack frees the slot of a call that was not answered. A call that reached the target holds its slot a little longer.
func (h *laneHold) giveBack() {
	if h.freed {
		return
	}
	h.freed = true
	free := func() { h.lane.settle(h.lane.queue.ReleaseUnmeasured) }
	if h.sent {
		time.AfterFunc(abandonHold, free)
		return
	}
	free()
}
