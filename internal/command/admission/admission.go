// Package admission implements admission control for the local target of a daemon: it counts slots and connections, keeps
// a short queue and sheds calls that cannot finish by their deadline. It performs no I/O and reads no clock. Its types
// are not safe for concurrent use; callers hold a lock and pass the current time.
package admission

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Reason is why a call was refused. A refused call was not executed.
type Reason string

// Reasons of refusals by a Controller.
const (
	Admitted    Reason = ""
	QueueFull   Reason = "queue-full"
	Deadline    Reason = "deadline-too-short"
	Draining    Reason = "draining"
	NotReady    Reason = "target-not-ready"
	Connections Reason = "connections-exhausted"
)

// Settings are the limits of one target.
type Settings struct {
	// Slots is the number of calls that the target executes at once.
	Slots int
	// Connections is the number of connections that may be open to the target.
	Connections int
	// Queue is the number of calls that may wait for a slot.
	Queue int
}

// Ticket identifies a call from Acquire until it is released, abandoned or refused.
type Ticket uint64

// Verdict is the result of Acquire.
type Verdict uint8

// Verdicts. A call with verdict Wait stays in the queue until Abandon removes it or a later method returns it as Dequeued.
const (
	Run Verdict = iota
	Wait
	Refuse
)

// Decision is the result of Acquire with its details.
type Decision struct {
	Verdict Verdict
	Ticket  Ticket
	Reason  Reason
	// RetryAfter is the estimated time until a slot is free.
	RetryAfter time.Duration
}

// Dequeued is a call that left the queue. It holds a slot and may run if Reason is Admitted; otherwise it is refused.
type Dequeued struct {
	Ticket Ticket
	Reason Reason
}

type queuedCall struct {
	ticket   Ticket
	deadline time.Time
}

// Controller is the admission controller of one target, with a first-in, first-out queue. The zero value is not usable;
// call New.
type Controller struct {
	settings    Settings
	target      model.TargetState
	draining    bool
	lastTicket  Ticket
	running     int
	connections int
	queue       []queuedCall
	limit       adaptiveLimit
}

// New returns the controller of a target that is starting.
func New(settings Settings) *Controller {
	settings.Slots = max(settings.Slots, 1)
	settings.Connections = max(settings.Connections, 1)
	return &Controller{settings: settings, target: model.TargetStarting, limit: newAdaptiveLimit(settings.Slots)}
}

// SetTarget records the state of the target. Calls are admitted only while it is ready.
func (c *Controller) SetTarget(state model.TargetState) { c.target = state }

// Drain makes the controller refuse all new calls. Queued and running calls finish.
func (c *Controller) Drain() { c.draining = true }

// Idle reports whether no call runs or waits.
func (c *Controller) Idle() bool { return c.running == 0 && len(c.queue) == 0 }

// Running returns the number of occupied slots.
func (c *Controller) Running() int { return c.running }

// Queued returns the number of waiting calls.
func (c *Controller) Queued() int { return len(c.queue) }

// Limit returns the current concurrency limit, at most Settings.Slots.
func (c *Controller) Limit() int { return c.limit.slots() }

// Acquire requests a slot for a call that must end by the deadline.
func (c *Controller) Acquire(now, deadline time.Time) Decision {
	switch {
	case c.draining:
		return Decision{Verdict: Refuse, Reason: Draining, RetryAfter: time.Second}
	case c.target != model.TargetReady:
		return Decision{Verdict: Refuse, Reason: NotReady, RetryAfter: time.Second}
	case !now.Before(deadline):
		return Decision{Verdict: Refuse, Reason: Deadline}
	}
	c.lastTicket++
	if c.running < c.limit.slots() && len(c.queue) == 0 {
		// Whatever the estimate says: it is the mean over calls of all routes, which may take much longer than this one, and after a
		// slow period only further calls can show that the target is fast again.
		c.running++
		return Decision{Verdict: Run, Ticket: c.lastTicket}
	}
	wait := c.expectedWait(len(c.queue))
	if len(c.queue) >= c.settings.Queue {
		return Decision{Verdict: Refuse, Reason: QueueFull, RetryAfter: wait}
	}
	if !c.canFinish(now, deadline, wait) {
		return Decision{Verdict: Refuse, Reason: Deadline, RetryAfter: wait}
	}
	c.queue = append(c.queue, queuedCall{c.lastTicket, deadline})
	return Decision{Verdict: Wait, Ticket: c.lastTicket}
}

// Release frees the slot of a call whose execution took the given time. Overloaded means that the target itself shed the
// call. It returns the calls that leave the queue.
func (c *Controller) Release(now time.Time, took time.Duration, overloaded bool) []Dequeued {
	c.running--
	c.limit.recordCall(now, took, overloaded, c.running+1)
	return c.dispatch(now)
}

// ReleaseUnmeasured frees the slot of a call that never reached the target. Its duration does not count as latency of
// the target.
func (c *Controller) ReleaseUnmeasured(now time.Time) []Dequeued {
	c.running--
	return c.dispatch(now)
}

// Abandon removes a waiting call whose caller is gone or whose deadline has passed. It reports whether the call was in
// the queue. A call that was not has already left the queue and either holds a slot or was refused.
func (c *Controller) Abandon(ticket Ticket) bool {
	for i, call := range c.queue {
		if call.ticket == ticket {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// dispatch gives free slots to waiting calls in order of arrival and sheds the calls that cannot finish by their deadline.
func (c *Controller) dispatch(now time.Time) []Dequeued {
	var dequeued []Dequeued
	for len(c.queue) > 0 && c.running < c.limit.slots() {
		first := c.queue[0]
		c.queue = append(c.queue[:0], c.queue[1:]...)
		if !c.canFinish(now, first.deadline, 0) {
			dequeued = append(dequeued, Dequeued{first.ticket, Deadline})
			continue
		}
		c.running++
		dequeued = append(dequeued, Dequeued{first.ticket, Admitted})
	}
	return dequeued
}

// canFinish reports whether a call that starts after wait is expected to end by its deadline.
func (c *Controller) canFinish(now, deadline time.Time, wait time.Duration) bool {
	return now.Add(wait + c.limit.expectedExecutionTime()).Before(deadline)
}

// expectedWait estimates how long a call waits for a slot if the given number of calls is ahead of it in the queue.
func (c *Controller) expectedWait(ahead int) time.Duration {
	return c.limit.expectedExecutionTime() * time.Duration(ahead+1) / time.Duration(max(c.limit.slots(), 1))
}

// OpenConnection takes one of the target's connections. It reports false if all are in use.
func (c *Controller) OpenConnection() bool {
	if c.connections >= c.settings.Connections {
		return false
	}
	c.connections++
	return true
}

// CloseConnection returns a connection.
func (c *Controller) CloseConnection() { c.connections-- }
