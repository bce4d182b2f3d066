package admission

import (
	"slices"
	"time"
)

const (
	// assumedRun stands in for the time that a call takes before one has ended.
	assumedRun = 100 * time.Millisecond
	// runWeight is the weight of one call in the smoothed time of a route, as 1/runWeight.
	runWeight = 20
	// shortRun is the part of the expected time that a call needs at least; a call with less time left is taken for lost.
	shortRun = 0.5
	// surelyRun is the part of the expected time after which most calls have ended; a call that has as much time left
	// until its objective is taken to meet it.
	surelyRun = 1.0
	// pressedFor is how long every fresh call has to come late before the target counts as overloaded. A burst that is
	// shorter is served in order, which makes nobody wait for long.
	pressedFor = 250 * time.Millisecond
	// overloadedFor is how long an overload is taken to last after it last showed; the order that it brings keeps the queue
	// short, so that it shows no more.
	overloadedFor = 5 * time.Second
	// overloadHold is how long a target that reported waiting calls of its own gets fewer calls.
	overloadHold = 300 * time.Millisecond
)

// Reasons of refusals by an Ordered queue, besides those of State.
const (
	// Busy means that the call would wait longer than its sender allows.
	Busy Reason = "busy"
	// Abandoned means that the caller left.
	Abandoned Reason = "abandoned"
)

// Call describes a call that asks for a slot.
type Call struct {
	// Kind groups calls of similar length; the queue learns how long they take.
	Kind string
	// Priority orders calls; 0 goes first.
	Priority int
	// Objective is when the call loses part of its value, Deadline when it loses all.
	Objective, Deadline time.Time
	// MaxWait is the longest wait that the sender prefers to another target; 0 accepts any.
	MaxWait time.Duration
}

// queued is a waiting call.
type queued struct {
	Call
	ticket Ticket
}

// PriorityQueue is the queue of one target. Slots are counted exactly, and calls wait by rank and objective. A call made by a
// running request has a short objective and so goes before requests of its rank, which matters because its parent holds a
// slot while it waits.
//
// Under more load than the target can serve, that order makes every call late. While even fresh calls would come late in
// it, calls that can no longer meet their objective go behind those that can, and are refused at once if no slot is free.
type PriorityQueue struct {
	slots   int
	open    bool
	next    Ticket
	running int
	queue   []queued
	// runs holds the smoothed time of each kind, and mean that of all calls.
	runs map[string]time.Duration
	mean time.Duration
	// pressedSince is since when fresh calls would come late behind all that wait; zero while they would not.
	pressedSince    time.Time
	overloadedUntil time.Time
	// excess is how many calls the target had waiting by its own account, until excessUntil.
	excess      int
	excessUntil time.Time
}

// NewPriorityQueue returns the queue of a target that takes no calls yet.
func NewPriorityQueue() *PriorityQueue { return &PriorityQueue{runs: map[string]time.Duration{}} }

// SetTarget opens or closes the queue and sets the slots. Calls that wait at a target that closes are refused.
func (q *PriorityQueue) SetTarget(now time.Time, slots int, open bool) []Dequeued {
	q.slots, q.open = slots, open
	if open {
		return q.advance(now)
	}
	settled := make([]Dequeued, 0, len(q.queue))
	for _, w := range q.queue {
		settled = append(settled, Dequeued{w.ticket, Draining})
	}
	q.queue = nil
	return settled
}

// Acquire asks for a slot.
func (q *PriorityQueue) Acquire(now time.Time, w Call) Decision {
	if !q.open {
		return Decision{Verdict: Refuse, Reason: Draining}
	}
	run := q.ExpectedExecutionTime(w.Kind)
	if !now.Add(scaled(run, surelyRun)).After(w.Objective) {
		q.notePressure(now, w.Objective, run)
	}
	at := q.position(now, w)
	wait := q.wait(now, at)
	if wait > 0 && q.overloaded(now) && now.Add(wait+scaled(run, surelyRun)).After(w.Objective) {
		// Calls in time take all slots for as long as the overload lasts.
		wait = never
	}
	switch {
	case !now.Add(wait + scaled(run, shortRun)).Before(w.Deadline):
		return Decision{Verdict: Refuse, Reason: Deadline, RetryAfter: min(wait, q.wait(now, len(q.queue))+run)}
	case w.MaxWait > 0 && wait > w.MaxWait:
		return Decision{Verdict: Refuse, Reason: Busy, RetryAfter: wait}
	}
	q.next++
	if len(q.queue) == 0 && q.running < q.usable(now) {
		q.running++
		return Decision{Verdict: Run, Ticket: q.next}
	}
	q.queue = slices.Insert(q.queue, at, queued{w, q.next})
	return Decision{Verdict: Wait, Ticket: q.next}
}

// notePressure notes whether a call that would meet its objective at an idle target comes late behind all that wait.
func (q *PriorityQueue) notePressure(now, objective time.Time, run time.Duration) {
	late := now.Add(q.wait(now, len(q.queue)) + scaled(run, surelyRun)).After(objective)
	switch {
	case !late:
		q.pressedSince = time.Time{}
	case q.pressedSince.IsZero():
		q.pressedSince = now
	case now.Sub(q.pressedSince) >= pressedFor:
		q.overloadedUntil = now.Add(overloadedFor)
	}
}

// overloaded reports whether all calls would come late if they were served in order.
func (q *PriorityQueue) overloaded(now time.Time) bool {
	return now.Before(q.overloadedUntil)
}

// never is a wait beyond any deadline.
const never = time.Hour

// Release frees the slot of a call of a kind that ran for took, and returns the waits that end.
func (q *PriorityQueue) Release(now time.Time, kind string, took time.Duration) []Dequeued {
	q.running--
	q.runs[kind] = smooth(q.runs[kind], took)
	q.mean = smooth(q.mean, took)
	return q.advance(now)
}

// Return frees the slot of a call that says nothing about the target's speed.
func (q *PriorityQueue) ReleaseUnmeasured(now time.Time) []Dequeued {
	q.running--
	return q.advance(now)
}

// Abandon removes a waiting call. It reports whether the call still waited.
func (q *PriorityQueue) Abandon(ticket Ticket) bool {
	before := len(q.queue)
	q.queue = slices.DeleteFunc(q.queue, func(w queued) bool { return w.ticket == ticket })
	return len(q.queue) < before
}

// RecordOverload notes that the target had calls waiting by its own account: calls that were given up still hold its slots.
func (q *PriorityQueue) RecordOverload(now time.Time, waiting int) {
	q.excess = waiting
	q.excessUntil = now.Add(overloadHold)
}

// Running returns the number of occupied slots, Queued that of waiting calls, Slots the slots of the target.
func (q *PriorityQueue) Running() int { return q.running }

// Queued returns the number of waiting calls.
func (q *PriorityQueue) Queued() int { return len(q.queue) }

// Slots returns the slots of the target.
func (q *PriorityQueue) Slots() int { return q.slots }

// MeanExecutionTime returns how long a call is expected to take.
func (q *PriorityQueue) MeanExecutionTime() time.Duration {
	if q.mean == 0 {
		return assumedRun
	}
	return q.mean
}

// ExpectedExecutionTime returns how long a call of a kind is expected to take.
func (q *PriorityQueue) ExpectedExecutionTime(kind string) time.Duration {
	if run := q.runs[kind]; run > 0 {
		return run
	}
	return q.MeanExecutionTime()
}

// usable returns the slots that calls may occupy now.
func (q *PriorityQueue) usable(now time.Time) int {
	if now.Before(q.excessUntil) {
		return max(q.slots-q.excess, 1)
	}
	return q.slots
}

// wait estimates when a slot is free for a call with ahead calls before it.
func (q *PriorityQueue) wait(now time.Time, ahead int) time.Duration {
	slots := max(q.usable(now), 1)
	if missing := q.running + ahead + 1 - slots; missing > 0 {
		return q.MeanExecutionTime() * time.Duration(missing) / time.Duration(slots)
	}
	return 0
}

// position returns where a call stands in the queue.
func (q *PriorityQueue) position(now time.Time, w Call) int {
	key := q.key(now, w)
	for i := range q.queue {
		if key.before(q.key(now, q.queue[i].Call)) {
			return i
		}
	}
	return len(q.queue)
}

// sortKey orders waiting calls.
type sortKey struct {
	class, rank int
	due         time.Time
}

func (a sortKey) before(b sortKey) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.due.Before(b.due)
}

const (
	classInTime = iota
	classLate
)

func (q *PriorityQueue) key(now time.Time, w Call) sortKey {
	if q.overloaded(now) && now.Add(scaled(q.ExpectedExecutionTime(w.Kind), surelyRun)).After(w.Objective) {
		return sortKey{classLate, w.Priority, w.Deadline}
	}
	return sortKey{classInTime, w.Priority, w.Objective}
}

// advance gives free slots to the waiting calls that go first, and refuses the calls that cannot end in time.
func (q *PriorityQueue) advance(now time.Time) []Dequeued {
	var settled []Dequeued
	kept := q.queue[:0]
	for _, w := range q.queue {
		if now.Add(scaled(q.ExpectedExecutionTime(w.Kind), shortRun)).Before(w.Deadline) {
			kept = append(kept, w)
			continue
		}
		settled = append(settled, Dequeued{w.ticket, Deadline})
	}
	q.queue = kept
	// Calls become late while they wait, which changes their order.
	slices.SortStableFunc(q.queue, func(a, b queued) int {
		ka, kb := q.key(now, a.Call), q.key(now, b.Call)
		switch {
		case ka.before(kb):
			return -1
		case kb.before(ka):
			return 1
		}
		return 0
	})
	for len(q.queue) > 0 && q.running < q.usable(now) {
		settled = append(settled, Dequeued{q.queue[0].ticket, Admitted})
		q.queue = slices.Delete(q.queue, 0, 1)
		q.running++
	}
	return settled
}

func scaled(run time.Duration, part float64) time.Duration { return time.Duration(float64(run) * part) }

func smooth(old, took time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + (took-old)/runWeight
}
