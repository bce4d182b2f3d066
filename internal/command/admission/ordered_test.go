package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "sniperail.example/sniperail/internal/testseed"
)

// event is the end of a running call in a simulated load.
type event struct {
	at     time.Time
	ticket Ticket
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { old := *e; last := old[len(old)-1]; *e = old[:len(old)-1]; return last }

// load is a stream of calls: rate a second with log-normal times around mean, for a duration.
type load struct {
	rate            float64
	mean            time.Duration
	objective, life time.Duration
	slots           int
	length          time.Duration
}

// result counts what callers got.
type result struct{ asked, inTime, late, refused, expired int }

// play runs a load against a queue. Offer returns the decision on a call and release the waits that end with a call.
func play(l load, seed uint64, offer func(now time.Time, w Call) Decision,
	release func(now time.Time, took time.Duration) []Dequeued) result {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	var r result
	var running events
	work, took, begun := map[Ticket]Call{}, map[Ticket]time.Duration{}, map[Ticket]time.Time{}
	begin := func(now time.Time, t Ticket) {
		begun[t] = now
		heap.Push(&running, event{now.Add(took[t]), t})
	}
	next := start
	for now := start; now.Sub(start) < l.length; {
		if len(running) > 0 && running[0].at.Before(next) {
			e := heap.Pop(&running).(event)
			now = e.at
			w := work[e.ticket]
			switch {
			case now.After(w.Deadline):
				r.expired++
			case now.After(w.Objective):
				r.late++
			default:
				r.inTime++
			}
			for _, s := range release(now, now.Sub(begun[e.ticket])) {
				if s.Reason == Admitted {
					begin(now, s.Ticket)
				} else {
					r.refused++
				}
			}
			continue
		}
		now = next
		next = now.Add(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
		r.asked++
		w := Call{Kind: "k", Objective: now.Add(l.objective), Deadline: now.Add(l.life)}
		d := offer(now, w)
		if d.Verdict == Refuse {
			r.refused++
			continue
		}
		const deviation = 0.5
		work[d.Ticket] = w
		took[d.Ticket] = time.Duration(float64(l.mean) * math.Exp(deviation*random.NormFloat64()-deviation*deviation/2))
		if d.Verdict == Run {
			begin(now, d.Ticket)
		}
	}
	return r
}

func (r result) inTimeShare() float64 { return float64(r.inTime) / float64(r.asked) }

// naive serves calls in the order of their arrival and refuses only what is past its deadline.
type naive struct {
	slots, running int
	next           Ticket
	queue          []queued
}

func (n *naive) offer(_ time.Time, w Call) Decision {
	n.next++
	if n.running < n.slots {
		n.running++
		return Decision{Verdict: Run, Ticket: n.next}
	}
	n.queue = append(n.queue, queued{w, n.next})
	return Decision{Verdict: Wait, Ticket: n.next}
}

func (n *naive) release(now time.Time, _ time.Duration) []Dequeued {
	n.running--
	var settled []Dequeued
	for len(n.queue) > 0 && n.running < n.slots {
		head := n.queue[0]
		n.queue = n.queue[1:]
		if now.After(head.Deadline) {
			settled = append(settled, Dequeued{head.ticket, Deadline})
			continue
		}
		n.running++
		settled = append(settled, Dequeued{head.ticket, Admitted})
	}
	return settled
}

func playOrdered(l load, seed uint64) result {
	q := NewPriorityQueue()
	q.SetTarget(time.Unix(0, 0), l.slots, true)
	return play(l, seed, q.Acquire, func(now time.Time, took time.Duration) []Dequeued { return q.Release(now, "k", took) })
}

func playNaive(l load, seed uint64) result {
	n := &naive{slots: l.slots}
	return play(l, seed, n.offer, n.release)
}

// Guards against a queue that makes every call late under more load than the target can serve. The load is that of a
// profile target on a heavy day: 12 slots, 230 ms a call, half a second of target latency, at 1.3 times the capacity.
func TestOverloadServesInTime(t *testing.T) {
	is := is.New(t)
	l := load{rate: 68, mean: 230 * time.Millisecond, objective: 500 * time.Millisecond, life: 1500 * time.Millisecond, slots: 12, length: 60 * time.Second}
	ordered, first := playOrdered(l, 7), playNaive(l, 7)
	t.Logf("ordered %+v, first come first served %+v", ordered, first)
	is.True(ordered.inTimeShare() > 0.4)                                                 // half of the capacity's part at least
	is.True(ordered.inTimeShare() > 4*first.inTimeShare())                               // the naive order makes nearly all late
	is.True(ordered.expired*50 < ordered.asked)                                          // no slot is spent on what is lost
	is.True(float64(ordered.inTime+ordered.late) > 0.9*float64(first.inTime+first.late)) // as much is served in all
}

// Guards against an order for overload that harms a load below the capacity.
func TestHighLoadKeepsOrder(t *testing.T) {
	is := is.New(t)
	l := load{rate: 46, mean: 230 * time.Millisecond, objective: 500 * time.Millisecond, life: 1500 * time.Millisecond, slots: 12, length: 60 * time.Second}
	ordered, first := playOrdered(l, 7), playNaive(l, 7)
	t.Logf("ordered %+v, first come first served %+v", ordered, first)
	is.True(ordered.inTimeShare() >= first.inTimeShare()-0.01)
	is.True(ordered.refused*50 < ordered.asked)
}

// Guards against slots that are given twice or lost, against calls that are settled twice or never, and against waiting
// calls that outlive a target.
func TestOrderedCountsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewPriorityQueue()
		now := time.Unix(1000, 0)
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q.SetTarget(now, slots, true)
		running, waiting := map[Ticket]bool{}, map[Ticket]bool{}
		settle := func(all []Dequeued) {
			for _, s := range all {
				if !waiting[s.Ticket] {
					t.Fatalf("ticket %d is settled and did not wait", s.Ticket)
				}
				delete(waiting, s.Ticket)
				if s.Reason == Admitted {
					running[s.Ticket] = true
				}
			}
		}
		any := func(of map[Ticket]bool) Ticket {
			var least Ticket
			for ticket := range of {
				if least == 0 || ticket < least {
					least = ticket
				}
			}
			return least
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				d := q.Acquire(now, Call{
					Kind: "k", Priority: rapid.IntRange(0, 2).Draw(t, "rank"), Objective: now.Add(300 * time.Millisecond),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "life")) * time.Millisecond),
				})
				switch d.Verdict {
				case Run:
					running[d.Ticket] = true
				case Wait:
					waiting[d.Ticket] = true
				}
			case 2:
				if ticket := any(running); ticket != 0 {
					delete(running, ticket)
					settle(q.Release(now, "k", 100*time.Millisecond))
				}
			case 3:
				if ticket := any(waiting); ticket != 0 {
					if !q.Abandon(ticket) {
						t.Fatal("a waiting call was not found")
					}
					delete(waiting, ticket)
				}
			case 4:
				settle(q.SetTarget(now, slots, rapid.Bool().Draw(t, "open")))
			}
			if q.Running() != len(running) || q.Queued() != len(waiting) {
				t.Fatalf("counts %d running and %d waiting, want %d and %d", q.Running(), q.Queued(), len(running), len(waiting))
			}
			if len(running) > slots {
				t.Fatalf("%d calls run on %d slots", len(running), slots)
			}
		}
	})
}

// Guards against a more important call that waits behind a less important one, and a short objective behind a long one.
func TestOrderByRankAndObjective(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 1, true)
	is.Equal(q.Acquire(now, Call{Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}).Verdict, Run)
	wait := func(rank int, objective time.Duration) Ticket {
		d := q.Acquire(now, Call{Priority: rank, Objective: now.Add(objective), Deadline: now.Add(5 * time.Second)})
		is.Equal(d.Verdict, Wait)
		return d.Ticket
	}
	low, long, short := wait(2, time.Second), wait(1, 2*time.Second), wait(1, time.Second)
	for _, want := range []Ticket{short, long, low} {
		settled := q.Release(now, "", 10*time.Millisecond)
		is.Equal(settled, []Dequeued{{want, Admitted}})
	}
}

// Guards against a call that waits although it cannot end before its deadline, and against a wait that its sender does not
// want.
func TestLostCallsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 1, true)
	is.Equal(q.Acquire(now, Call{Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)}).Verdict, Run)
	short := q.Acquire(now, Call{Objective: now.Add(time.Second), Deadline: now.Add(assumedRun)})
	is.Equal(short.Reason, Deadline)
	busy := q.Acquire(now, Call{Objective: now.Add(time.Second), Deadline: now.Add(time.Minute), MaxWait: time.Millisecond})
	is.Equal(busy.Reason, Busy)
	is.True(busy.RetryAfter > 0)
}

// Guards against slots that calls hold which were given up: a target that reports waiting calls gets fewer.
func TestExcessLowersSlots(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 3, true)
	q.RecordOverload(now, 2)
	w := Call{Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	is.Equal(q.Acquire(now, w).Verdict, Run)
	is.Equal(q.Acquire(now, w).Verdict, Wait)
	is.Equal(len(q.ReleaseUnmeasured(now.Add(overloadHold))), 1)
	is.Equal(q.Acquire(now.Add(overloadHold), w).Verdict, Run)
}
