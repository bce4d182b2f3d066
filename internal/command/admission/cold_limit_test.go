package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// coldSpan is a time in which a target is cold, and says so.
type coldSpan struct{ from, until time.Time }

// playCold plays Poisson arrivals, also of a herd, on a queue whose target is cold at times. It returns the times at which calls were
// admitted while it was cold.
func playCold(start time.Time, spans []coldSpan, perSecond, arrivals, named float64, slots int, seed uint64) (admitted []time.Time) {
	random := rand.New(rand.NewPCG(seed, 1))
	q := NewPriorityQueue()
	q.SetTarget(start, slots, true)
	const took, step = 40 * time.Millisecond, time.Millisecond
	var ends []time.Time
	cold := false
	admit := func(now time.Time, n int) {
		for range n {
			ends = append(ends, now.Add(took))
			if cold {
				admitted = append(admitted, now)
			}
		}
	}
	if named > 0 {
		q.NameRateLimit(start, named)
	}
	next := start
	for now := start; now.Sub(start) < 12*time.Second; now = now.Add(step) {
		cold = false
		for _, s := range spans {
			inside := !now.Before(s.from) && now.Before(s.until)
			cold = cold || inside
			if inside && now.Sub(s.from)%(500*time.Millisecond) == 0 { // as a heartbeat
				admit(now, countAdmitted(q.SetCold(now, perSecond, s.until)))
			}
		}
		for len(ends) > 0 && !ends[0].After(now) {
			ends = ends[1:]
			admit(now, countAdmitted(q.Release(now, "k", took)))
		}
		if wait, ok := q.NextDispatch(now); ok && wait <= 0 {
			admit(now, countAdmitted(q.Dispatch(now)))
		}
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / arrivals * float64(time.Second))) {
			call := Call{Kind: "k", Objective: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second)}
			call.MaxWait = time.Duration(random.IntN(3)) * 50 * time.Millisecond
			if q.Acquire(now, call).Verdict == Run {
				admit(now, 1)
			}
		}
	}
	return admitted
}

// Guards against a cold target that gets more calls in any second than it tolerates, or nearly none.
func TestColdTargetGetsNoMoreThanItTolerates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		perSecond := rapid.Float64Range(1, 40).Draw(t, "perSecond")
		named := rapid.SampledFrom([]float64{0, 3, 1000}).Draw(t, "named")
		spans := []coldSpan{{start, start.Add(4 * time.Second)}}
		again := start.Add(time.Duration(rapid.IntRange(4000, 7000).Draw(t, "again")) * time.Millisecond)
		spans = append(spans, coldSpan{again, again.Add(4 * time.Second)})
		limit := perSecond
		if named > 0 {
			limit = min(limit, named)
		}
		admitted := playCold(start, spans, perSecond, perSecond*rapid.Float64Range(3, 10).Draw(t, "load"), named,
			rapid.IntRange(4, 20).Draw(t, "slots"), rapid.Uint64().Draw(t, "seed"))
		first := 0
		for last, at := range admitted {
			for at.Sub(admitted[first]) >= time.Second {
				first++
			}
			// A second has what the bucket holds, what flows in, and a part of a call at each of its ends.
			if n, most := float64(last-first+1), limit+max(limit/10, 1)+1; n > most {
				t.Fatalf("%.0f calls in a second, at most %.1f may be admitted", n, most)
			}
		}
		// The first bucket begins empty, the second lacks up to a second, and arrivals have gaps.
		if n, least := float64(len(admitted)), 0.8*7*limit-4; n < least {
			t.Fatalf("%.0f calls, at least %.1f fit into the limit", n, least)
		}
	})
}

// Guards against calls that are lost because they were refused at a cold target for their deadline, which their senders take as
// final, although another target could serve them, and against a limit that stays when the target is warm.
func TestCallsThatAColdTargetHasNoRoomForAreBusy(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	q := NewPriorityQueue()
	q.SetTarget(now, 4, true)
	q.SetCold(now, 0.5, now.Add(3*time.Second))
	call := Call{Kind: "k", Objective: now.Add(time.Second), Deadline: now.Add(time.Second), MaxWait: 20 * time.Millisecond}
	is.Equal(q.Acquire(now, call).Reason, Busy)
	call.MaxWait = 0
	is.Equal(q.Acquire(now, call).Reason, Deadline) // there is no other target
	is.Equal(q.ColdRateLimit(now), 0.5)
	now = now.Add(3 * time.Second)
	is.Equal(q.ColdRateLimit(now), 0.0)
	call.Deadline = now.Add(time.Second)
	for range 4 {
		is.Equal(q.Acquire(now, call).Verdict, Run)
	}
}

// Guards against a target that becomes cold a second before its daemon learns of it, and gets what it tolerates on top of the calls of
// that second.
func TestCallsSentBeforeTheTargetWasKnownAsColdCount(t *testing.T) {
	is := is.New(t)
	const perSecond, before = 17, 32
	now := time.Unix(1000, 0)
	q := NewPriorityQueue()
	q.SetTarget(now, 1000, true)
	sent := func() bool {
		return q.Acquire(now, Call{Kind: "k", Objective: now.Add(time.Second), Deadline: now.Add(time.Minute), MaxWait: time.Nanosecond}).Verdict == Run
	}
	var at []time.Time
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(time.Second / before) {
		is.True(sent())
		at = append(at, now)
	}
	at = at[len(at)-before:]
	q.SetCold(now, perSecond, now.Add(time.Minute))
	for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(time.Millisecond) {
		for range countAdmitted(q.Dispatch(now)) {
			at = append(at, now)
		}
		if sent() {
			at = append(at, now)
		}
	}
	first, most := 0, 0
	for last := range at {
		for at[last].Sub(at[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	is.True(most <= before) // 1.5 times the limit and 8 calls is 33.5
	is.True(len(at) > before+2*perSecond)
}
