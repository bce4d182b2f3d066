package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a kind whose calls all run until their deadline and that therefore stays before all others, whatever its priority.
func TestKindOfWhichNoCallEndsIsNotBrief(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 1, true)
	call := func(kind string, priority int) Call {
		return Call{Kind: kind, Priority: priority, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	}
	run := func(kind string, took time.Duration, complete bool) {
		is.Equal(q.Acquire(now, call(kind, 0)).Verdict, Run)
		now = now.Add(took)
		q.RecordUse(now, call(kind, 0), took, complete)
		if complete {
			q.Release(now, kind, took)
		} else {
			q.ReleaseUnmeasured(now)
		}
	}
	run("known", 100*time.Millisecond, true)
	run("hanging", 3*time.Second, false)
	is.Equal(q.Acquire(now, call("known", 0)).Verdict, Run)
	q.Acquire(now, call("hanging", 5))
	known := q.Acquire(now, call("known", 1))
	dequeued := q.Release(now, "known", 100*time.Millisecond)
	is.Equal(dequeued, []Dequeued{{known.Ticket, Admitted}})
}
