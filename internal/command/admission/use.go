package admission

import "time"

// recordArrival records that a call requests a slot.
func (q *PriorityQueue) recordArrival(now time.Time, call *Call) {
	q.shares.recordArrival(now, call)
	q.concurrency.recordArrival(q.ExpectedExecutionTime(call.Kind), call.Objective.Sub(now))
}

// recordStart records that a call got a slot.
func (q *PriorityQueue) recordStart(now time.Time, call *Call) {
	q.shares.recordStart(now, call, q.ExpectedExecutionTime(call.Kind))
	q.recordKindStart(now, call)
	q.concurrency.recordStart(now, call.Kind, q.running)
}

// RecordUse records that a call that got a slot has used it for the given time. Complete says that this is its execution time;
// otherwise it was given up. It is called before the slot is released.
func (q *PriorityQueue) RecordUse(now time.Time, call Call, took time.Duration, complete bool) {
	q.shares.recordEnd(now, &call, q.ExpectedExecutionTime(call.Kind), took)
	if q.concurrency.enabled && complete {
		q.reported.record(call.Kind, took)
	}
	if !complete {
		q.recordGivenUp(call.Kind, took)
	}
	q.concurrency.recordEnd(now, callEnded{
		kind: call.Kind, took: took, complete: complete, running: q.running,
		short: len(q.queue) > 0, overloaded: q.isOverloaded(now), mean: q.MeanExecutionTime(),
	})
}
