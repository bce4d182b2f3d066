// Package admission decides whether a call may reach the target beside a daemon. It counts slots and connections, keeps
// a short queue and sheds calls that cannot finish in time. It is pure: one owner calls it under its own lock, and time
// is an argument.
package admission

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Reason says why a call was refused. A refused call was not executed.
type Reason string

// Reasons of refusals.
const (
	Admitted    Reason = ""
	QueueFull   Reason = "queue-full"
	Deadline    Reason = "deadline-too-short"
	Draining    Reason = "draining"
	NotReady    Reason = "target-not-ready"
	Connections Reason = "connections-exhausted"
)

// Settings bound the work of one target.
type Settings struct {
	// Slots is the number of calls that the target executes at once.
	Slots int
	// Connections is the number of connections that may be open to the target.
	Connections int
	// Queue is the number of calls that may wait for a slot.
	Queue int
}

// Ticket identifies a call from Offer to Release or Abandon.
type Ticket uint64

// Verdict answers an offer.
type Verdict uint8

// Verdicts. A waiting call is granted or refused by a later Release, Abandon or Expire.
const (
	Run Verdict = iota
	Wait
	Refuse
)

// Decision is the answer to Offer.
type Decision struct {
	Verdict Verdict
	Ticket  Ticket
	Reason  Reason
	// RetryAfter estimates when a slot is free again.
	RetryAfter time.Duration
}

// Dequeued ends the wait of a queued call: it may run if Reason is Admitted.
type Dequeued struct {
	Ticket Ticket
	Reason Reason
}

type waiting struct {
	ticket   Ticket
	deadline time.Time
}

// Controller is the admission state of one target. The zero value is not usable; call New.
type Controller struct {
	settings    Settings
	target      model.TargetState
	draining    bool
	next        Ticket
	running     int
	connections int
	queue       []waiting
	limit       limit
}

// New returns the state of a target that is starting.
func New(settings Settings) *Controller {
	settings.Slots = max(settings.Slots, 1)
	settings.Connections = max(settings.Connections, 1)
	return &Controller{settings: settings, target: model.TargetStarting, limit: newLimit(settings.Slots)}
}

// SetTarget records the state of the target. Calls are admitted only while it is ready.
func (s *Controller) SetTarget(state model.TargetState) { s.target = state }

// Drain refuses all later offers. Queued and running calls finish.
func (s *Controller) Drain() { s.draining = true }

// Idle reports whether no call runs or waits.
func (s *Controller) Idle() bool { return s.running == 0 && len(s.queue) == 0 }

// Running returns the number of occupied slots.
func (s *Controller) Running() int { return s.running }

// Queued returns the number of waiting calls.
func (s *Controller) Queued() int { return len(s.queue) }

// Limit returns the number of slots in use now, at most Settings.Slots.
func (s *Controller) Limit() int { return s.limit.slots() }

// Acquire asks for a slot for a call that must end by the deadline.
func (s *Controller) Acquire(now, deadline time.Time) Decision {
	switch {
	case s.draining:
		return Decision{Verdict: Refuse, Reason: Draining, RetryAfter: time.Second}
	case s.target != model.TargetReady:
		return Decision{Verdict: Refuse, Reason: NotReady, RetryAfter: time.Second}
	case !now.Before(deadline), !s.Idle() && !s.finishes(now, deadline, 0):
		// An idle target takes any call: after a slow time, only calls can show that it is fast again.
		return Decision{Verdict: Refuse, Reason: Deadline}
	}
	s.next++
	if s.running < s.limit.slots() && len(s.queue) == 0 {
		s.running++
		return Decision{Verdict: Run, Ticket: s.next}
	}
	wait := s.expectedWait(len(s.queue))
	if len(s.queue) >= s.settings.Queue {
		return Decision{Verdict: Refuse, Reason: QueueFull, RetryAfter: wait}
	}
	if !s.finishes(now, deadline, wait) {
		return Decision{Verdict: Refuse, Reason: Deadline, RetryAfter: wait}
	}
	s.queue = append(s.queue, waiting{s.next, deadline})
	return Decision{Verdict: Wait, Ticket: s.next}
}

// Release frees the slot of a call that ran for took. Overloaded says that the target itself shed the call. It returns
// the queued calls whose wait ends.
func (s *Controller) Release(now time.Time, took time.Duration, overloaded bool) []Dequeued {
	s.running--
	s.limit.observe(now, took, overloaded, s.running+1)
	return s.advance(now)
}

// Return frees the slot of a call that never reached the target; it says nothing about the target's latency.
func (s *Controller) ReleaseUnmeasured(now time.Time) []Dequeued {
	s.running--
	return s.advance(now)
}

// Abandon removes a waiting call whose caller is gone or whose deadline has passed. It reports whether the call still
// waited; if not, its wait was already settled and the call holds a slot or a refusal.
func (s *Controller) Abandon(ticket Ticket) bool {
	for i, w := range s.queue {
		if w.ticket == ticket {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// advance gives free slots to waiting calls in order of arrival and sheds those that cannot finish in time.
func (s *Controller) advance(now time.Time) []Dequeued {
	var settled []Dequeued
	for len(s.queue) > 0 && s.running < s.limit.slots() {
		head := s.queue[0]
		s.queue = append(s.queue[:0], s.queue[1:]...)
		if !s.finishes(now, head.deadline, 0) {
			settled = append(settled, Dequeued{head.ticket, Deadline})
			continue
		}
		s.running++
		settled = append(settled, Dequeued{head.ticket, Admitted})
	}
	return settled
}

// finishes reports whether a call that starts after wait is expected to end by its deadline.
func (s *Controller) finishes(now, deadline time.Time, wait time.Duration) bool {
	return now.Add(wait + s.limit.expected()).Before(deadline)
}

// expectedWait estimates when a slot is free for a call with ahead calls before it in the queue.
func (s *Controller) expectedWait(ahead int) time.Duration {
	return s.limit.expected() * time.Duration(ahead+1) / time.Duration(max(s.limit.slots(), 1))
}

// OpenConnection takes one of the target's connections; false means that none is left.
func (s *Controller) OpenConnection() bool {
	if s.connections >= s.settings.Connections {
		return false
	}
	s.connections++
	return true
}

// CloseConnection returns a connection.
func (s *Controller) CloseConnection() { s.connections-- }
