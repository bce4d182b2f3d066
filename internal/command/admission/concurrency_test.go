package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// playedTarget is a target whose calls progress at a speed that depends on the time and on how many run.
type playedTarget struct {
	slots int
	// rate is in calls a second, mean the execution time of a call at speed 1.
	rate  float64
	mean  time.Duration
	speed func(at time.Duration, running int) float64
}

// playedResult holds the calls that ended within their objective in each second, and the limit at its end.
type playedResult struct {
	inTime []int
	limits []int
}

// sum returns the calls in time from one second to another.
func (r playedResult) sum(from, to int) (total int) {
	for _, n := range r.inTime[from:to] {
		total += n
	}
	return total
}

// play runs the calls of a target through a queue, with steps of 1 ms. One call in ten of the kind "long" takes 8 times as long
// as one of the kind "short", and both vary widely.
func (p playedTarget) play(seconds int, seed uint64, learn bool) playedResult {
	random := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(1000, 0)
	q := NewPriorityQueue()
	q.SetTarget(start, p.slots, true)
	q.SetLearning(learn)
	type runningCall struct {
		call  Call
		began time.Time
		left  float64 // milliseconds at speed 1
	}
	result := playedResult{make([]int, seconds), make([]int, seconds)}
	waiting, running := map[Ticket]*runningCall{}, []*runningCall{}
	begin := func(now time.Time, c *runningCall) {
		c.began = now
		running = append(running, c)
	}
	for ms := range seconds * 1000 {
		at := time.Duration(ms) * time.Millisecond
		now := start.Add(at)
		speed := p.speed(at, len(running))
		kept := running[:0]
		var ended []*runningCall
		for _, c := range running {
			if c.left -= speed; c.left > 0 {
				kept = append(kept, c)
			} else {
				ended = append(ended, c)
			}
		}
		running = kept
		for _, c := range ended {
			if now.Before(c.call.Objective) {
				result.inTime[ms/1000]++
			}
			q.RecordUse(now, c.call, now.Sub(c.began), true)
			for _, d := range q.Release(now, c.call.Kind, now.Sub(c.began)) {
				if d.Reason == Admitted {
					begin(now, waiting[d.Ticket])
				}
				delete(waiting, d.Ticket)
			}
		}
		if random.Float64() < p.rate/1000 {
			c := &runningCall{call: Call{Kind: "short", Objective: now.Add(1500 * time.Millisecond), Deadline: now.Add(3 * time.Second)}}
			c.left = float64(p.mean.Milliseconds()) / 1.3 * math.Exp(0.7*random.NormFloat64()-0.245)
			if random.IntN(10) == 0 {
				c.call.Kind, c.left = "long", 4*c.left
			}
			switch d := q.Acquire(now, c.call); d.Verdict {
			case Run:
				begin(now, c)
			case Wait:
				waiting[d.Ticket] = c
			}
		}
		result.limits[ms/1000] = q.Slots()
	}
	return result
}

// noise returns a speed that is 0.4 in 15% of the periods of 600 ms.
func noise(seed uint64) func(time.Duration) float64 {
	random := rand.New(rand.NewPCG(seed, 3))
	var speeds []float64
	return func(at time.Duration) float64 {
		for len(speeds) <= int(at/(600*time.Millisecond)) {
			speeds = append(speeds, 1)
			if random.Float64() < 0.15 {
				speeds[len(speeds)-1] = 0.4
			}
		}
		return speeds[at/(600*time.Millisecond)]
	}
}

// Guards against slots that are lost at a target that does not slow down with concurrency, whatever else changes its speed,
// against a target that stays slow because it has more calls than it can run, and against a limit that stays after it recovered.
func TestLearnedConcurrency(t *testing.T) {
	const slots = 12
	machine := noise(1)
	tests := []struct {
		name  string
		speed func(at time.Duration, running int) float64
		// least is the least ratio of calls in time with the learned limit to those without in the first 40 s, recovered that from
		// 50 s on.
		least, recovered float64
	}{
		{"alike", func(time.Duration, int) float64 { return 1 }, 1, 1},
		{"noise", func(at time.Duration, _ int) float64 { return machine(at) }, 1, 1},
		{"three speeds", func(at time.Duration, _ int) float64 { return []float64{1, 0.5, 0.33}[at/(20*time.Second)] }, 1, 1},
		{"a fifth at half of the slots for 40 s", func(at time.Duration, running int) float64 {
			if at < 40*time.Second && running > slots/2 {
				return 0.2
			}
			return 1
		}, 1.5, 0.9},
		{"nearly as slow as the objective for 30 s", func(at time.Duration, _ int) float64 {
			if at >= 10*time.Second && at < 40*time.Second {
				return 0.2
			}
			return 1
		}, 0.93, 0.95},
		{"a shared processor", func(_ time.Duration, running int) float64 { return min(1, slots/2/float64(running)) }, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for _, utilization := range []float64{0.45, 0.9, 1.3} {
				for seed := range uint64(2) {
					p := playedTarget{slots, utilization * slots / 0.23, 230 * time.Millisecond, test.speed}
					with, without := p.play(60, seed, true), p.play(60, seed, false)
					t.Logf("utilization %.2f: in time until 40 s %d, without %d; from 50 s %d, %d; limits %v", utilization,
						with.sum(0, 40), without.sum(0, 40), with.sum(50, 60), without.sum(50, 60), with.limits)
					is.True(float64(with.sum(0, 40)) >= test.least*float64(without.sum(0, 40)))
					is.True(float64(with.sum(50, 60)) >= test.recovered*float64(without.sum(50, 60)))
				}
			}
		})
	}
}

// Guards against a limit over the announced slots or under one, and against a panic, whatever the target does and reports.
func TestLearnedConcurrencyStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewPriorityQueue()
		now := time.Unix(1000, 0)
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		q.SetTarget(now, slots, true)
		q.SetLearning(true)
		type started struct {
			call Call
			at   time.Time
		}
		var running []started
		calls := map[Ticket]Call{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch step := rapid.IntRange(0, 20).Draw(t, "step"); {
			case step < 11:
				call := Call{Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), Objective: now.Add(300 * time.Millisecond),
					Deadline: now.Add(2 * time.Second)}
				d := q.Acquire(now, call)
				if calls[d.Ticket] = call; d.Verdict == Run {
					running = append(running, started{call, now})
				}
			case step == 11:
				slots = rapid.IntRange(1, 9).Draw(t, "slots")
				q.SetTarget(now, slots, true)
			case step == 12:
				q.RecordOverload(now, rapid.Int().Draw(t, "waiting"))
			case len(running) > 0:
				first := running[0]
				running = running[1:]
				q.RecordUse(now, first.call, now.Sub(first.at)/time.Duration(rapid.IntRange(1, 100).Draw(t, "part")),
					rapid.Bool().Draw(t, "complete"))
				for _, d := range q.Release(now, first.call.Kind, now.Sub(first.at)) {
					if d.Reason == Admitted {
						running = append(running, started{calls[d.Ticket], now})
					}
				}
			}
			if limit := q.Slots(); limit < 1 || limit > slots {
				t.Fatalf("limit %d with %d slots", limit, slots)
			}
		}
	})
}

// Guards against reported times that follow a change of speed as slowly as the averages of the queue, and against reports that
// change where nothing is learned.
func TestReportedTimesFollowSooner(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 1, true)
	play := func(calls int, took time.Duration) {
		for range calls {
			q.Acquire(now, Call{Kind: "k", Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
			now = now.Add(took)
			q.RecordUse(now, Call{Kind: "k"}, took, true)
			q.Release(now, "k", took)
		}
	}
	play(20, 100*time.Millisecond)
	execution, mean := q.ReportedTimes("k")
	is.Equal(execution, q.ExpectedExecutionTime("k"))
	is.Equal(mean, q.MeanExecutionTime())
	q.SetLearning(true)
	play(20, 100*time.Millisecond)
	play(10, 300*time.Millisecond)
	execution, mean = q.ReportedTimes("k")
	is.True(execution > 230*time.Millisecond)
	is.True(mean > 230*time.Millisecond)
	is.True(q.MeanExecutionTime() < 200*time.Millisecond)
}
