package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
	_ "sniperail.example/sniperail/internal/testseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newReady returns a controller whose target is ready.
func newReady(s admission.Settings) *admission.Controller {
	controller := admission.New(s)
	controller.SetTarget(model.TargetReady)
	return controller
}

// referenceModel is a simple model of the controller: the set of running calls and the list of waiting calls.
type referenceModel struct {
	running map[admission.Ticket]bool
	waiting []admission.Ticket
}

func (n *referenceModel) recordDequeued(t *rapid.T, dequeued []admission.Dequeued) {
	for _, s := range dequeued {
		if len(n.waiting) == 0 || n.waiting[0] != s.Ticket {
			t.Fatalf("%d left the queue, but the first in the queue is %v", s.Ticket, n.waiting)
		}
		n.waiting = n.waiting[1:]
		if s.Reason == admission.Admitted {
			n.running[s.Ticket] = true
		}
	}
}

// Guards against more running calls than slots, a slot that is lost or freed twice, a call that overtakes the queue or
// waits while a slot is free, and a call that is neither run nor refused.
func TestControllerMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := admission.Settings{
			Slots: rapid.IntRange(1, 5).Draw(t, "slots"), Connections: 9, Queue: rapid.IntRange(0, 4).Draw(t, "queue"),
		}
		controller, n, now := newReady(settings), referenceModel{running: map[admission.Ticket]bool{}}, start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				before := len(n.running)
				d := controller.Acquire(now, now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline"))*time.Millisecond))
				switch d.Verdict {
				case admission.Run:
					n.running[d.Ticket] = true
				case admission.Wait:
					n.waiting = append(n.waiting, d.Ticket)
				case admission.Refuse:
					if d.Reason == admission.QueueFull && (len(n.waiting) < settings.Queue || before < controller.Limit()) {
						t.Fatalf("refused as full with %d running and %d waiting", before, len(n.waiting))
					}
				}
			case 2:
				for ticket := range n.running {
					delete(n.running, ticket)
					took := time.Duration(rapid.IntRange(1, 50).Draw(t, "took")) * time.Millisecond
					n.recordDequeued(t, controller.Release(now, took, rapid.Bool().Draw(t, "overloaded")))
					break
				}
			case 3:
				if len(n.waiting) > 0 {
					if !controller.Abandon(n.waiting[len(n.waiting)-1]) {
						t.Fatal("a waiting call could not be abandoned")
					}
					n.waiting = n.waiting[:len(n.waiting)-1]
				}
			}
			if controller.Running() != len(n.running) || controller.Queued() != len(n.waiting) {
				t.Fatalf("controller has %d running and %d waiting, model %d and %d",
					controller.Running(), controller.Queued(), len(n.running), len(n.waiting))
			}
			if len(n.running) > settings.Slots || len(n.waiting) > settings.Queue {
				t.Fatalf("%d running and %d waiting exceed %+v", len(n.running), len(n.waiting), settings)
			}
			if len(n.waiting) > 0 && len(n.running) < controller.Limit() {
				t.Fatal("a call waits beside a free slot")
			}
		}
	})
}

// Guards against running calls that cannot finish by their deadline.
func TestShedsWhatCannotFinish(t *testing.T) {
	is := is.New(t)
	s := newReady(admission.Settings{Slots: 1, Connections: 1, Queue: 5})
	is.Equal(s.Acquire(start, start.Add(time.Second)).Verdict, admission.Run)
	s.Release(start, 100*time.Millisecond, false)
	is.Equal(s.Acquire(start, start).Reason, admission.Deadline)
	is.Equal(s.Acquire(start, start.Add(50*time.Millisecond)).Verdict, admission.Run)      // no call runs: the estimate may be old
	is.Equal(s.Acquire(start, start.Add(50*time.Millisecond)).Reason, admission.Deadline)  // shorter than the service time
	is.Equal(s.Acquire(start, start.Add(150*time.Millisecond)).Reason, admission.Deadline) // shorter than wait and service time
	is.Equal(s.Acquire(start, start.Add(250*time.Millisecond)).Verdict, admission.Wait)
	is.Equal(s.Acquire(start, start.Add(time.Second)).Verdict, admission.Wait)
	is.Equal(s.Acquire(start, start.Add(time.Second)).Verdict, admission.Wait)
	dequeued := s.Release(start.Add(200*time.Millisecond), 100*time.Millisecond, false)
	is.Equal(len(dequeued), 2) // the first can no longer finish, the second runs, the third waits
	is.Equal(dequeued[0].Reason, admission.Deadline)
	is.Equal(dequeued[1].Reason, admission.Admitted)
}

// Guards against calls to a target that is draining, down or not started, and against more connections than it accepts.
func TestRefusesWhatTheTargetCannotTake(t *testing.T) {
	is := is.New(t)
	s := admission.New(admission.Settings{Slots: 1, Connections: 2, Queue: 1})
	is.Equal(s.Acquire(start, start.Add(time.Second)).Reason, admission.NotReady)
	s.SetTarget(model.TargetReady)
	is.Equal(s.Acquire(start, start.Add(time.Second)).Verdict, admission.Run)
	is.Equal(s.Acquire(start, start.Add(time.Second)).Verdict, admission.Wait)
	s.Drain()
	is.Equal(s.Acquire(start, start.Add(time.Second)).Reason, admission.Draining)
	is.Equal(len(s.ReleaseUnmeasured(start)), 1) // a call that waited before the drain still runs
	is.True(!s.Idle())
	is.True(s.OpenConnection())
	is.True(s.OpenConnection())
	is.True(!s.OpenConnection())
	s.CloseConnection()
	is.True(s.OpenConnection())
}

// Guards against full load on a target that becomes slow, and against a limit that stays low after the target recovered.
func TestLimitFollowsLatency(t *testing.T) {
	is := is.New(t)
	s, now := newReady(admission.Settings{Slots: 10, Connections: 10, Queue: 0}), start
	runRounds := func(n int, took time.Duration, overloaded bool) {
		for range n {
			now = now.Add(20 * time.Millisecond)
			running := 0
			for s.Acquire(now, now.Add(time.Minute)).Verdict == admission.Run {
				running++
			}
			for range running {
				s.Release(now, took, overloaded)
			}
		}
	}
	runRounds(50, 10*time.Millisecond, false)
	is.Equal(s.Limit(), 10)
	runRounds(50, 50*time.Millisecond, false)
	is.Equal(s.Limit(), 5) // half of the slots stay in use
	runRounds(100, 10*time.Millisecond, false)
	is.Equal(s.Limit(), 10)
	runRounds(50, 10*time.Millisecond, true) // the target sheds the calls
	is.Equal(s.Limit(), 5)
}

// Guards against calls to a target before its warm-up has ended or after it died, and against a state that flaps because
// of one failed dial.
func TestReadiness(t *testing.T) {
	is := is.New(t)
	r := admission.NewReadiness(2 * time.Second)
	step := func(at int, dialled, healthy bool, want model.TargetState, changed bool) {
		t.Helper()
		state, didChange := r.RecordProbe(start.Add(time.Duration(at)*time.Second), dialled, healthy)
		is.Equal(state, want)
		is.Equal(didChange, changed)
	}
	step(0, false, false, model.TargetStarting, false)
	step(1, true, false, model.TargetStarting, false)
	step(2, true, true, model.TargetStarting, false)
	step(3, true, true, model.TargetStarting, false)
	step(4, true, true, model.TargetReady, true)
	step(5, false, false, model.TargetReady, false)
	step(6, true, false, model.TargetReady, false) // an unhealthy report does not change a ready target
	step(7, false, false, model.TargetReady, false)
	step(8, false, false, model.TargetReady, false)
	step(9, false, false, model.TargetDown, true)
	step(10, true, true, model.TargetStarting, true)
	step(12, true, true, model.TargetReady, true)
}

// Guards against a call that is refused beside free slots because calls of other routes take longer than it has time.
func TestShortCallIsServedBesideLongOnes(t *testing.T) {
	is := is.New(t)
	s := newReady(admission.Settings{Slots: 4, Connections: 4, Queue: 4})
	is.Equal(s.Acquire(start, start.Add(5*time.Second)).Verdict, admission.Run)
	s.Release(start, 1200*time.Millisecond, false)
	is.Equal(s.Acquire(start, start.Add(5*time.Second)).Verdict, admission.Run) // a long call runs
	is.Equal(s.Acquire(start, start.Add(400*time.Millisecond)).Verdict, admission.Run)
	is.Equal(s.Acquire(start, start).Reason, admission.Deadline)
}
