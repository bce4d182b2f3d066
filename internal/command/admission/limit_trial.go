package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// minTrial and maxTrial bound the time in which the calls start that a trial counts. It is twice the mean execution time, so
	// that most of them end in it.
	minTrial = 250 * time.Millisecond
	maxTrial = time.Second
	// trialCalls is the number of calls that a trial needs, and trialPatience the multiple of its time after which it ends without.
	trialCalls    = 8
	trialPatience = 3
	// failingEnds is the number of calls that end under a higher limit, relative to those before in the same time, below which the
	// trial has failed.
	failingEnds = 0.4
	// failingLowerEnds is that number under a lower limit, which has to raise it, and lowerEnds the number of ends that were expected
	// before at which it counts.
	failingLowerEnds = 0.8
	lowerEnds        = 6
	// startTolerance is how much earlier a call may seem to have started, from its end less its time, than it got its slot. The times are
	// read one after the other.
	startTolerance = 2 * time.Millisecond
)

// trialCall is a running call.
type trialCall struct {
	kind  string
	start time.Time
}

// limitTrial is a trial of another concurrency limit. It counts the calls that start and end under the limit on trial.
type limitTrial struct {
	// from is the limit before, and before are calls under it.
	from   int
	before []executionSample
	// begun is when the concurrency had fallen to the limit on trial; zero until then.
	begun  time.Time
	length time.Duration
	// running are the calls of the trial that still run, ended are those that have ended.
	running []trialCall
	ended   []executionSample
	// ends counts the calls that have ended since the trial began, whenever they started, without those that were given up, as before.
	ends int
	// above counts the calls of the trial that started while more ran than the limit before.
	above int
	// createdAt bounds the wait for calls.
	createdAt time.Time
}

func newLimitTrial(now time.Time, from int, before []executionSample, mean time.Duration) *limitTrial {
	return &limitTrial{from: from, before: before, createdAt: now, length: min(max(2*mean, minTrial), maxTrial)}
}

// recordRunning begins the trial once no more calls run than the limit on trial allows.
func (t *limitTrial) recordRunning(now time.Time, running, limit int) {
	if t.begun.IsZero() && running <= limit {
		t.begun, t.ends = now, 0
	}
}

// includes reports whether a call that starts now counts: one that starts within length, or later while too few have started.
func (t *limitTrial) includes(now time.Time) bool {
	return !t.begun.IsZero() && (now.Sub(t.begun) < t.length || t.started() < trialCalls)
}

// recordStart records that a call started; running includes it.
func (t *limitTrial) recordStart(now time.Time, kind string, running int) {
	if t.includes(now) {
		t.running = append(t.running, trialCall{kind, now})
		if running > t.from {
			t.above++
		}
	}
}

// recordEnd records the end of a call; measured says that the sample says how long the call takes.
func (t *limitTrial) recordEnd(kind string, s executionSample, measured bool) {
	if measured {
		t.ends++
	}
	i := t.indexOf(kind, s.start())
	if i < 0 {
		return
	}
	t.running = slices.Delete(t.running, i, i+1)
	if measured {
		t.ended = append(t.ended, s)
	}
}

// indexOf returns the running call of a kind that began to execute at the given time, or -1: the latest that got its slot before. On a
// machine that is short of CPU time many milliseconds pass between the two. A call whose start is unknown takes the place of another
// one of its kind, which keeps the number of running calls right.
func (t *limitTrial) indexOf(kind string, start time.Time) int {
	for i, c := range slices.Backward(t.running) {
		if c.kind == kind && c.start.Sub(start) < startTolerance {
			return i
		}
	}
	return -1
}

// isUsed reports whether half of the calls of the trial of a higher limit started above the one before. Otherwise the trial says how
// the target does at the limit before.
func (t *limitTrial) isUsed() bool { return 2*t.above >= t.started() }

func (t *limitTrial) started() int { return len(t.running) + len(t.ended) }

// observations returns the calls of the trial. Those that still run count as long as they have run; otherwise calls that started
// late in the trial would make the target look slow.
func (t *limitTrial) observations(now time.Time, kinds map[string]*kindMean) []timeObservation {
	all := observationsOf(t.ended)
	for _, c := range t.running {
		if mean := kinds[c.kind]; mean != nil {
			all = append(all, timeObservation{mean, math.Log(float64(max(now.Sub(c.start), 1))) - mean.log, false})
		}
	}
	return all
}

// expectedEnds returns the calls that would have ended since the trial began at the rate before.
func (t *limitTrial) expectedEnds(now time.Time) float64 {
	return float64(len(t.before)) / span(t.before).Seconds() * now.Sub(t.begun).Seconds()
}

// isFailing reports whether so few calls end that the trial cannot succeed any more. It then ends early: under a higher limit all
// calls that run are slow, and slow until as many have ended as are too many; under a lower one slots are unused.
func (t *limitTrial) isFailing(now time.Time, limit int) bool {
	expected := t.expectedEnds(now)
	if limit > t.from {
		return now.Sub(t.begun) >= minTrial && float64(t.ends) < failingEnds*expected
	}
	return expected >= lowerEnds && float64(t.ends) < failingLowerEnds*expected
}

// isOver reports whether the trial can be judged. A higher limit is judged without waiting for more calls: if few have started,
// those that ran have become slow.
func (t *limitTrial) isOver(now time.Time, limit int) bool {
	if t.begun.IsZero() {
		return now.Sub(t.createdAt) >= trialPatience*maxTrial
	}
	if t.isFailing(now, limit) {
		return true
	}
	passed := now.Sub(t.begun)
	return passed >= t.length && (t.started() >= trialCalls || limit > t.from) || passed >= trialPatience*t.length
}
