package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller whose call was refused while it waited and is told to come back at once, before those refused on arrival; and
// against a change for calls without a tenant.
func TestRefusedAfterWaitComesBackWhenThereIsRoom(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 1, true)
	call := Call{Kind: "k", Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second), Tenant: "t", Weight: 1}
	is.Equal(q.Acquire(now, call).Verdict, Run)
	now = now.Add(time.Second)
	q.RecordUse(now, call, time.Second, true)
	q.Release(now, "k", time.Second)
	call.Objective, call.Deadline = now.Add(2*time.Second), now.Add(4*time.Second)
	is.Equal(q.Acquire(now, call).Verdict, Run)
	// One call of a second runs, and the one that is refused takes another one.
	is.Equal(q.RetryAfterWait(now, call), 2*time.Second)
	is.True(q.RetryAfterWait(now, call) > 2*time.Second)
	call.Tenant = ""
	is.Equal(q.RetryAfterWait(now, call), time.Duration(0))
}
