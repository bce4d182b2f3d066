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

// callEnd is the end of a running call in the simulation.
type callEnd struct {
	at     time.Time
	ticket Ticket
}

// callEnds is a heap of the ends of running calls, the earliest first.
type callEnds []callEnd

func (e callEnds) Len() int           { return len(e) }
func (e callEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e callEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *callEnds) Push(x any)        { *e = append(*e, x.(callEnd)) }
func (e *callEnds) Pop() any          { old := *e; last := old[len(old)-1]; *e = old[:len(old)-1]; return last }

// load describes Poisson arrivals: rate calls a second with log-normal execution times, for the given length.
type load struct {
	rate                float64
	mean                time.Duration
	objective, lifetime time.Duration
	slots               int
	length              time.Duration
}

// result counts the calls that arrived and their outcomes. Late calls ended after their objective, expired ones after their
// deadline.
type result struct{ arrived, inTime, late, refused, expired int }

// simulateLoad simulates a load on a queue. Acquire requests a slot for a call; release ends a call and returns the calls that
// leave the queue.
func simulateLoad(l load, seed uint64, acquire func(now time.Time, call Call) Decision,
	release func(now time.Time, took time.Duration) []Dequeued) result {
	random := rand.New(rand.NewPCG(seed, 1))
	epoch := time.Unix(1000, 0)
	var r result
	var running callEnds
	calls, took, startedAt := map[Ticket]Call{}, map[Ticket]time.Duration{}, map[Ticket]time.Time{}
	start := func(now time.Time, t Ticket) {
		startedAt[t] = now
		heap.Push(&running, callEnd{now.Add(took[t]), t})
	}
	next := epoch
	for now := epoch; now.Sub(epoch) < l.length; {
		if len(running) > 0 && running[0].at.Before(next) {
			e := heap.Pop(&running).(callEnd)
			now = e.at
			call := calls[e.ticket]
			switch {
			case now.After(call.Deadline):
				r.expired++
			case now.After(call.Objective):
				r.late++
			default:
				r.inTime++
			}
			for _, s := range release(now, now.Sub(startedAt[e.ticket])) {
				if s.Reason == Admitted {
					start(now, s.Ticket)
				} else {
					r.refused++
				}
			}
			continue
		}
		now = next
		next = now.Add(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
		r.arrived++
		call := Call{Kind: "k", Objective: now.Add(l.objective), Deadline: now.Add(l.lifetime)}
		d := acquire(now, call)
		if d.Verdict == Refuse {
			r.refused++
			continue
		}
		const deviation = 0.5
		calls[d.Ticket] = call
		took[d.Ticket] = time.Duration(float64(l.mean) * math.Exp(deviation*random.NormFloat64()-deviation*deviation/2))
		if d.Verdict == Run {
			start(now, d.Ticket)
		}
	}
	return r
}

func (r result) inTimeFraction() float64 { return float64(r.inTime) / float64(r.arrived) }

// fifoQueue is a first-in, first-out queue that refuses only calls past their deadline.
type fifoQueue struct {
	slots, running int
	next           Ticket
	queue          []waitingCall
}

func (q *fifoQueue) acquire(_ time.Time, call Call) Decision {
	q.next++
	if q.running < q.slots {
		q.running++
		return Decision{Verdict: Run, Ticket: q.next}
	}
	q.queue = append(q.queue, waitingCall{call, q.next})
	return Decision{Verdict: Wait, Ticket: q.next}
}

func (q *fifoQueue) release(now time.Time, _ time.Duration) []Dequeued {
	q.running--
	var dequeued []Dequeued
	for len(q.queue) > 0 && q.running < q.slots {
		head := q.queue[0]
		q.queue = q.queue[1:]
		if now.After(head.Deadline) {
			dequeued = append(dequeued, Dequeued{head.ticket, Deadline})
			continue
		}
		q.running++
		dequeued = append(dequeued, Dequeued{head.ticket, Admitted})
	}
	return dequeued
}

func simulatePriorityQueue(l load, seed uint64) result {
	q := NewPriorityQueue()
	q.SetTarget(time.Unix(0, 0), l.slots, true)
	return simulateLoad(l, seed, q.Acquire, func(now time.Time, took time.Duration) []Dequeued { return q.Release(now, "k", took) })
}

func simulateFIFO(l load, seed uint64) result {
	q := &fifoQueue{slots: l.slots}
	return simulateLoad(l, seed, q.acquire, q.release)
}

// Guards against a queue that makes every call late under more load than the target can serve. The load is that of a
// target of profiles on a day of high load: 12 slots, 230 ms a call, an objective of 500 ms, 1.3 times the capacity.
func TestOverloadServesInTime(t *testing.T) {
	is := is.New(t)
	l := load{
		rate: 68, mean: 230 * time.Millisecond, objective: 500 * time.Millisecond, lifetime: 1500 * time.Millisecond,
		slots: 12, length: 60 * time.Second,
	}
	ordered, fifo := simulatePriorityQueue(l, 7), simulateFIFO(l, 7)
	t.Logf("priority queue %+v, first-in first-out %+v", ordered, fifo)
	is.True(ordered.inTimeFraction() > 0.4)                                            // at least half of what the capacity allows
	is.True(ordered.inTimeFraction() > 4*fifo.inTimeFraction())                        // in FIFO order nearly all are late
	is.True(ordered.expired*50 < ordered.arrived)                                      // slots are not wasted on expired calls
	is.True(float64(ordered.inTime+ordered.late) > 0.9*float64(fifo.inTime+fifo.late)) // total throughput is as high
}

// Guards against overload handling that makes calls late or refuses them when the load is below the capacity.
func TestLoadBelowCapacityIsServed(t *testing.T) {
	is := is.New(t)
	l := load{
		rate: 46, mean: 230 * time.Millisecond, objective: 500 * time.Millisecond, lifetime: 1500 * time.Millisecond,
		slots: 12, length: 60 * time.Second,
	}
	ordered, fifo := simulatePriorityQueue(l, 7), simulateFIFO(l, 7)
	t.Logf("priority queue %+v, first-in first-out %+v", ordered, fifo)
	is.True(ordered.inTimeFraction() >= fifo.inTimeFraction()-0.01)
	is.True(ordered.refused*50 < ordered.arrived)
}

// Guards against slots that are given twice or lost, calls that leave the queue twice or never, and calls that still wait
// after the queue was closed.
func TestPriorityQueueCountsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewPriorityQueue()
		now := time.Unix(1000, 0)
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q.SetTarget(now, slots, true)
		running, waiting := map[Ticket]bool{}, map[Ticket]bool{}
		recordDequeued := func(all []Dequeued) {
			for _, s := range all {
				if !waiting[s.Ticket] {
					t.Fatalf("ticket %d left the queue but was not in it", s.Ticket)
				}
				delete(waiting, s.Ticket)
				if s.Reason == Admitted {
					running[s.Ticket] = true
				}
			}
		}
		lowestTicket := func(of map[Ticket]bool) Ticket {
			var lowest Ticket
			for ticket := range of {
				if lowest == 0 || ticket < lowest {
					lowest = ticket
				}
			}
			return lowest
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				d := q.Acquire(now, Call{
					Kind: "k", Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Objective: now.Add(300 * time.Millisecond),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "lifetime")) * time.Millisecond),
				})
				switch d.Verdict {
				case Run:
					running[d.Ticket] = true
				case Wait:
					waiting[d.Ticket] = true
				}
			case 2:
				if ticket := lowestTicket(running); ticket != 0 {
					delete(running, ticket)
					recordDequeued(q.Release(now, "k", 100*time.Millisecond))
				}
			case 3:
				if ticket := lowestTicket(waiting); ticket != 0 {
					if !q.Abandon(ticket) {
						t.Fatal("a waiting call was not found")
					}
					delete(waiting, ticket)
				}
			case 4:
				recordDequeued(q.SetTarget(now, slots, rapid.Bool().Draw(t, "open")))
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

// Guards against a call that waits behind one of lower priority, or behind one of the same priority with a later objective.
func TestOrderByPriorityAndObjective(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 1, true)
	is.Equal(q.Acquire(now, Call{Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}).Verdict, Run)
	wait := func(priority int, objective time.Duration) Ticket {
		d := q.Acquire(now, Call{Priority: priority, Objective: now.Add(objective), Deadline: now.Add(5 * time.Second)})
		is.Equal(d.Verdict, Wait)
		return d.Ticket
	}
	low, long, short := wait(2, time.Second), wait(1, 2*time.Second), wait(1, time.Second)
	for _, want := range []Ticket{short, long, low} {
		dequeued := q.Release(now, "", 10*time.Millisecond)
		is.Equal(dequeued, []Dequeued{{want, Admitted}})
	}
}

// Guards against queueing a call that cannot end by its deadline or would wait longer than its MaxWait.
func TestHopelessCallsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 1, true)
	is.Equal(q.Acquire(now, Call{Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)}).Verdict, Run)
	short := q.Acquire(now, Call{Objective: now.Add(time.Second), Deadline: now.Add(initialExecutionTime)})
	is.Equal(short.Reason, Deadline)
	busy := q.Acquire(now, Call{Objective: now.Add(time.Second), Deadline: now.Add(time.Minute), MaxWait: time.Millisecond})
	is.Equal(busy.Reason, Busy)
	is.True(busy.RetryAfter > 0)
}

// Guards against too many calls to a target whose slots are held by calls that were given up: a target that reports calls
// in its own queue gets fewer calls for a while.
func TestExcessLowersSlots(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 3, true)
	q.RecordOverload(now, 2)
	call := Call{Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	is.Equal(q.Acquire(now, call).Verdict, Run)
	is.Equal(q.Acquire(now, call).Verdict, Wait)
	is.Equal(len(q.ReleaseUnmeasured(now.Add(excessDuration))), 1)
	is.Equal(q.Acquire(now.Add(excessDuration), call).Verdict, Run)
}

// Guards against an overload in which the brief calls that running requests of another service make are refused, so that the work
// of those requests is lost, and against brief calls that take the slots of all others. The load is that of a ledger service: calls
// of 300 ms at 1.2 times the capacity, and calls of 30 ms that take a tenth of the slots. The long calls may be of more important routes.
func TestBriefCallsAreServedInAnOverload(t *testing.T) {
	for _, longPriority := range []int{2, 0} {
		checkBriefCalls(t, longPriority)
	}
}

func checkBriefCalls(t *testing.T, longPriority int) {
	t.Helper()
	is := is.New(t)
	const slots = 6
	q := NewPriorityQueue()
	start := time.Unix(0, 0)
	q.SetTarget(start, slots, true)
	random := rand.New(rand.NewPCG(3, 4))
	served, refused := map[string]int{}, map[string]int{}
	kinds := map[Ticket]string{}
	ends := map[string][]time.Time{}
	work := map[string]time.Duration{"long": 300 * time.Millisecond, "brief": 30 * time.Millisecond}
	rates := map[string]float64{"long": 24, "brief": 20}
	begin := func(now time.Time, kind string) { ends[kind] = append(ends[kind], now.Add(work[kind])) }
	dequeue := func(now time.Time, dequeued []Dequeued) {
		for _, d := range dequeued {
			if d.Reason == Admitted {
				begin(now, kinds[d.Ticket])
			} else {
				refused[kinds[d.Ticket]]++
			}
		}
	}
	const step = time.Millisecond
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(step) {
		for _, kind := range []string{"long", "brief"} {
			for len(ends[kind]) > 0 && !ends[kind][0].After(now) {
				ends[kind] = ends[kind][1:]
				served[kind]++
				dequeue(now, q.Release(now, kind, work[kind]))
			}
		}
		for _, kind := range []string{"long", "brief"} {
			if random.Float64() >= rates[kind]*step.Seconds() {
				continue
			}
			call := Call{Kind: kind, Priority: longPriority, Objective: now.Add(800 * time.Millisecond), Deadline: now.Add(1200 * time.Millisecond)}
			if kind == "brief" {
				call.Priority = 2
				call.Objective, call.Deadline = now.Add(120*time.Millisecond), now.Add(400*time.Millisecond)
			}
			decision := q.Acquire(now, call)
			kinds[decision.Ticket] = kind
			switch decision.Verdict {
			case Run:
				begin(now, kind)
			case Refuse:
				refused[kind]++
			}
		}
	}
	t.Logf("served %v, refused %v", served, refused)
	is.True(refused["brief"]*20 < served["brief"])
	is.True(float64(served["long"]) > 0.75*24*30/1.3) // most of what the capacity allows
}
