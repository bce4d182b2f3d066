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

// Guards against calls with long bodies that are refused before their transfer and missing in the requests of their tenant, which then
// seems to be served in full; and against calls that are not refused and count twice.
func TestCallsRefusedBeforeTheirTransferCount(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 1, true)
	call := Call{Kind: "k", Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute), Tenant: "t", Weight: 1}
	_, refused := q.Refuses(now, call)
	is.True(!refused)
	is.Equal(q.Acquire(now, call).Verdict, Run)
	is.Equal(q.shares.tenants["t"].arrived, 1.0)
	call.MaxWait = time.Millisecond
	_, refused = q.Refuses(now, call)
	is.True(refused)
	is.Equal(q.shares.tenants["t"].arrived, 2.0)
}
