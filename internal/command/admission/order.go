package admission

import "time"

// position returns the index at which a call is to be inserted into the queue.
func (q *PriorityQueue) position(now time.Time, call Call) int {
	key := q.orderKeyOf(now, call)
	for i := range q.queue {
		if key.less(q.orderKeyOf(now, q.queue[i].Call)) {
			return i
		}
	}
	return len(q.queue)
}

// orderKey orders waiting calls: by class, then by priority, then those of tenants over their share last, then by due time.
type orderKey struct {
	class, priority int
	overShare       bool
	due             time.Time
}

func (a orderKey) less(b orderKey) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.overShare != b.overShare {
		return b.overShare
	}
	return a.due.Before(b.due)
}

const (
	// classBrief calls delay the others little, and most are made by running requests, whose work is lost if they are late. They
	// come first whatever their priority, which is that of their own route and not of the request that waits for them.
	classBrief = iota
	classInTime
	classLate
)

func (q *PriorityQueue) orderKeyOf(now time.Time, call Call) orderKey {
	over := q.shares.isOver(now, &call)
	if q.isBrief(call.Kind) {
		return orderKey{classBrief, call.Priority, over, call.Objective}
	}
	if q.isDemoted(now, call, 0) {
		return orderKey{classLate, call.Priority, over, call.Deadline}
	}
	return orderKey{classInTime, call.Priority, over, call.Objective}
}

// isBrief reports whether calls of a kind are brief. A kind of which no call has ended counts as brief, so that its execution time
// becomes known also while the target is overloaded. It no longer does once a call was given up that was not brief: if all calls
// run until their deadline, none ever ends.
func (q *PriorityQueue) isBrief(kind string) bool {
	return q.isUnknown(kind) || q.kinds[kind].average > 0 && IsBrief(q.kinds[kind].average, q.mixExecutionTime)
}

// IsBrief reports whether calls of the given execution time are brief at a target with the given mean execution time.
func IsBrief(executionTime, mean time.Duration) bool {
	return executionTime <= scale(mean, briefFraction)
}
