package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// kindLoad runs calls of one kind at fixed intervals on a queue, each for the time work or until its deadline. A call that
// would have to wait counts as refused.
type kindLoad struct {
	q                  *PriorityQueue
	kind               string
	interval, lifetime time.Duration
	work               time.Duration
	ends               []time.Time
	started            []time.Time
	served, refused    int
}

// step ends the calls that are due and begins one if it is due.
func (l *kindLoad) step(now time.Time) {
	for len(l.ends) > 0 && !l.ends[0].After(now) {
		took := l.ends[0].Sub(l.started[0])
		complete := took < l.lifetime
		l.q.RecordUse(now, l.call(l.started[0]), took, complete)
		if complete {
			l.served++
			l.q.Release(now, l.kind, took)
		} else {
			l.q.ReleaseUnmeasured(now)
		}
		l.ends, l.started = l.ends[1:], l.started[1:]
	}
	if now.UnixMilli()%l.interval.Milliseconds() != 0 {
		return
	}
	d := l.q.Acquire(now, l.call(now))
	if d.Verdict != Run {
		l.q.Abandon(d.Ticket)
		l.refused++
		return
	}
	l.started = append(l.started, now)
	l.ends = append(l.ends, now.Add(min(l.work, l.lifetime)))
}

func (l *kindLoad) call(now time.Time) Call {
	return Call{Kind: l.kind, Objective: now.Add(l.lifetime / 2), Deadline: now.Add(l.lifetime)}
}

// play runs the loads for a time from the given start, and returns its end.
func play(start time.Time, d time.Duration, loads ...*kindLoad) time.Time {
	const step = 5 * time.Millisecond
	end := start.Add(d)
	for now := start; now.Before(end); now = now.Add(step) {
		for _, l := range loads {
			l.step(now)
		}
	}
	return end
}

// Guards against a route that is added to a service with longer requests and is refused for good (review/7): its execution time was
// taken for the mean of the others, and no request of it could run to correct that.
func TestShortKindIsServedBesideLongOnes(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 12, true)
	long := &kindLoad{q: q, kind: "long", interval: 400 * time.Millisecond, lifetime: 5 * time.Second, work: 1200 * time.Millisecond}
	now = play(now, 6*time.Second, long)
	short := &kindLoad{q: q, kind: "short", interval: 100 * time.Millisecond, lifetime: 400 * time.Millisecond, work: 30 * time.Millisecond}
	play(now, 10*time.Second, long, short)
	is.Equal(short.refused, 0)
	is.Equal(long.refused, 0)
}

// Guards against the same for a call that waits: it must not leave the queue because of the mean of other kinds.
func TestShortKindIsKeptInTheQueue(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 1, true)
	long := Call{Kind: "long", Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	is.Equal(q.Acquire(now, long).Verdict, Run)
	short := q.Acquire(now, Call{Kind: "short", Objective: now.Add(time.Second), Deadline: now.Add(400 * time.Millisecond)})
	is.Equal(short.Verdict, Wait)
	now = now.Add(100 * time.Millisecond)
	dequeued := q.Release(now, "long", 2*time.Second)
	is.Equal(dequeued, []Dequeued{{short.Ticket, Admitted}})
}

// Guards against a kind that is refused for good after a time in which the target was slow: the estimate says that no call can end by
// its deadline, and only calls can show that the target is fast again.
func TestKindIsServedAfterSlowPeriod(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 12, true)
	slow := &kindLoad{q: q, kind: "k", interval: 500 * time.Millisecond, lifetime: 5 * time.Second, work: 2 * time.Second}
	now = play(now, 10*time.Second, slow)
	// A version shortens the timeout of the route while the target is slow.
	stillSlow := &kindLoad{q: q, kind: "k", interval: 50 * time.Millisecond, lifetime: 400 * time.Millisecond, work: 2 * time.Second}
	now = play(now, 10*time.Second, stillSlow)
	is.True(stillSlow.refused >= 180) // of 200: hopeless calls take one slot from time to time
	fast := &kindLoad{q: q, kind: "k", interval: 50 * time.Millisecond, lifetime: 400 * time.Millisecond, work: 30 * time.Millisecond}
	now = play(now, 4*time.Second, fast)
	fast.refused = 0
	play(now, 10*time.Second, fast)
	is.Equal(fast.refused, 0)
}

// Guards against an unknown kind whose calls never end by their deadline and take the slots of all others.
func TestHopelessUnknownKindTakesFewSlots(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 4, true)
	known := &kindLoad{q: q, kind: "known", interval: 100 * time.Millisecond, lifetime: 2 * time.Second, work: 300 * time.Millisecond}
	now = play(now, 3*time.Second, known)
	known.refused = 0
	hopeless := &kindLoad{q: q, kind: "hopeless", interval: 20 * time.Millisecond, lifetime: 100 * time.Millisecond, work: time.Hour}
	play(now, 10*time.Second, known, hopeless)
	is.Equal(hopeless.served, 0)
	is.True(hopeless.refused > 300)
	is.True(known.refused <= 5) // of 100
}

// Guards against callers that take the mean for the execution time of a route of which the target knows nothing.
func TestUnknownKindIsReportedAsUnknown(t *testing.T) {
	is := is.New(t)
	q := NewPriorityQueue()
	now := time.Unix(1000, 0)
	q.SetTarget(now, 1, true)
	is.Equal(q.Acquire(now, Call{Kind: "long", Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}).Verdict, Run)
	q.Release(now, "long", time.Second)
	execution, mean := q.ReportedTimes("short")
	is.Equal(execution, time.Duration(0))
	is.Equal(mean, time.Second)
}
