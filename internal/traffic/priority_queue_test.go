package traffic

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
)

// Guards against slots that a tenant gets at the moment at which its caller leaves and that count as used by it.
func TestWithdrawnCallsUseNothing(t *testing.T) {
	is := is.New(t)
	q := newPriorityQueue()
	q.setTarget(&model.Target{Slots: 1, State: model.TargetReady}, TargetConditions{})
	deadline := time.Now().Add(time.Minute)
	call := func(tenant string, objective time.Duration) admission.Call {
		return admission.Call{Kind: "k", Objective: deadline.Add(objective), Deadline: deadline, Tenant: tenant, Weight: 1}
	}
	left, cancel := context.WithCancel(t.Context())
	cancel()
	for withdrawn := 0; withdrawn < 5; {
		decision := q.queue.Acquire(time.Now(), call("a", 0))
		granted := make(chan admission.Reason, 1)
		granted <- admission.Admitted
		if q.wait(left, deadline, withdrawableCall{q.queue, call("a", 0)}, decision.Ticket, granted) == admission.Admitted {
			(&prioritySlot{queue: q, call: call("a", 0)}).releaseUnmeasured() // the wait saw the slot first
			continue
		}
		withdrawn++
	}
	is.Equal(q.acquire(t.Context(), deadline, call("b", 0)), nil)
	b := q.queue.Acquire(time.Now(), call("b", -2*time.Second))
	a := q.queue.Acquire(time.Now(), call("a", -time.Second))
	is.Equal(b.Verdict, admission.Wait)
	dequeued := q.queue.ReleaseUnmeasured(time.Now())
	is.Equal(dequeued[0].Ticket, a.Ticket) // b has used the target, a has not
}
