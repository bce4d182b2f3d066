package admission

import (
	"math"
	"time"
)

const (
	// evaluateEvery is the time between two evaluations of the limit.
	evaluateEvery = 250 * time.Millisecond
	// tryAgainAfter and maxTryAfter bound the time between two trials of a lower limit that did not help, during which a target
	// that is slow for another reason than its load has fewer slots for a second.
	tryAgainAfter = 30 * time.Second
	maxTryAfter   = 5 * time.Minute
	// exploreAfter is how long the target must have been fully used before a lower limit is tried although nothing is known of
	// low concurrency, as after a start under load.
	exploreAfter = 4 * time.Second
	// minTightness is the execution time, relative to the time until the objective, from which on a lower limit is tried. A target
	// at which calls take less is short of slots, not slow; after targets have become slower, trials of a lower limit take capacity
	// when it is needed most.
	minTightness = 0.5
	// 1/tightnessWeight is the weight of one call in the mean of that ratio.
	tightnessWeight = 50
	// probeAfter and maxProbeAfter bound the time between two trials of a higher limit. A trial that fails slows down the calls
	// that run meanwhile, and a target that has recovered gets its slots back only by one.
	probeAfter    = time.Second
	maxProbeAfter = 6 * time.Second
	// minThroughputGain is the factor by which a lower limit must raise the throughput.
	minThroughputGain = 1.2
	// quietAfter is how long the limit must not have been reached until all slots are used again. What was learned may be out
	// of date by then.
	quietAfter = 10 * time.Second
	// highFraction is the fraction of the limit from which on the target counts as fully used.
	highFraction = 0.75
	// probeFraction is the fraction of the slots by which the first trial of a higher limit raises it.
	probeFraction = 1.0 / 6
)

// concurrencyLimit learns the number of calls beyond which the throughput of the target falls. It compares the execution times
// of calls, each with others of its kind, between times of high and low concurrency. If the target seems to do more with fewer
// calls, a lower limit is tried, and is kept if the throughput has risen. While a lower limit is in force and calls wait, a
// higher one is tried from time to time.
//
// Execution times alone never lower the limit. A target that is slow whatever its load runs more calls at once because of that,
// so that high concurrency and long times come together; but it does less with fewer slots, which the trial shows. And since it
// may have become fast again just then, the earlier limit is tried once more before the lower one is kept.
type concurrencyLimit struct {
	enabled      bool
	slots, limit int
	samples      executionSamples
	trial        *limitTrial
	evaluatedAt  time.Time
	// reachedAt is when the limit was last reached, limitSince when it was last changed.
	reachedAt, limitSince time.Time
	// busySince is since when the target has been fully used; zero if it is not.
	busySince time.Time
	// tightness is the moving average of the expected execution time relative to the time until the objective.
	tightness float64
	// confirm is the limit before a trial that has succeeded and is to be confirmed, 0 if there is none.
	confirm int
	// step is the number of slots that the next trial of a higher limit adds.
	step int
	// tryAt and probeAt are the earliest times of the next trials, tryDelay and probeDelay the waits after one that fails.
	tryAt, probeAt       time.Time
	tryDelay, probeDelay time.Duration
}

// reset forgets what was learned.
func (l *concurrencyLimit) reset(slots int) {
	*l = concurrencyLimit{enabled: l.enabled, slots: slots, limit: slots, tryDelay: tryAgainAfter, probeDelay: probeAfter}
}

// usable returns the slots that calls may occupy.
func (l *concurrencyLimit) usable(slots int) int {
	if !l.enabled {
		return slots
	}
	if slots != l.slots {
		l.reset(slots)
	}
	return l.limit
}

// recordArrival records a call with the given expected execution time and time until its objective.
func (l *concurrencyLimit) recordArrival(expected, left time.Duration) {
	if l.enabled && left > 0 {
		l.tightness += (min(expected.Seconds()/left.Seconds(), 1) - l.tightness) / tightnessWeight
	}
}

// recordStart records that a call started; running includes it.
func (l *concurrencyLimit) recordStart(now time.Time, kind string, running int) {
	if !l.enabled {
		return
	}
	if running >= l.limit {
		l.reachedAt = now
	}
	if l.trial != nil {
		l.trial.recordStart(now, kind, running)
	}
}

// callEnded describes the end of a call.
type callEnded struct {
	kind string
	took time.Duration
	// complete says that took is the execution time; otherwise the call was given up after that time.
	complete bool
	// running is the number of running calls, including this one.
	running int
	// short says that calls wait, overloaded that all would be late in the normal order.
	short, overloaded bool
	// mean is the mean execution time of all calls.
	mean time.Duration
}

// recordEnd records the end of a call.
func (l *concurrencyLimit) recordEnd(now time.Time, e callEnded) {
	if !l.enabled {
		return
	}
	sample, ok := l.samples.record(now, &e, l.slots)
	if l.trial != nil {
		l.trial.recordEnd(e.kind, sample, ok)
		l.trial.recordRunning(now, e.running-1, l.limit)
	}
	switch {
	case e.running < l.highConcurrency():
		l.busySince = time.Time{}
	case l.busySince.IsZero():
		l.busySince = now
	}
	if now.Sub(l.evaluatedAt) >= evaluateEvery {
		l.evaluatedAt = now
		l.evaluate(now, &e)
	}
}

// highConcurrency returns the number of running calls from which on the target counts as fully used.
func (l *concurrencyLimit) highConcurrency() int {
	return int(math.Ceil(highFraction * float64(l.limit)))
}

func (l *concurrencyLimit) evaluate(now time.Time, e *callEnded) {
	if l.trial != nil {
		if l.trial.isOver(now, l.limit) {
			l.endTrial(now)
		}
		return
	}
	if l.limit < l.slots && now.Sub(l.reachedAt) >= quietAfter {
		l.reset(l.slots)
	}
	high := l.samples.high(now, l.limitSince, l.highConcurrency())
	if high == nil || !e.short && !e.overloaded {
		return
	}
	raised := l.limit
	if l.limit < l.slots && e.running >= l.limit && !now.Before(l.probeAt) {
		l.step = max(l.step, 1, int(probeFraction*float64(l.slots)))
		raised = min(max(l.limit+l.step, l.confirm), l.slots)
	}
	lower := 0
	if !now.Before(l.tryAt) && l.tightness >= minTightness && span(high) >= minLowerSpan {
		lower = l.lowerLimit(now, high, e.overloaded)
	}
	switch {
	case raised > l.limit:
		l.begin(now, raised, high, e.mean)
	case lower > 0:
		l.begin(now, lower, high, e.mean)
	}
}

// begin begins the trial of another limit. A higher one applies at once, a lower one when enough calls have ended.
func (l *concurrencyLimit) begin(now time.Time, limit int, before []executionSample, mean time.Duration) {
	l.trial = newLimitTrial(now, l.limit, before, mean)
	if limit > l.limit {
		l.trial.begun = now
	}
	l.setLimit(now, limit)
}

func (l *concurrencyLimit) setLimit(now time.Time, limit int) { l.limit, l.limitSince = limit, now }

// lowerLimit returns a limit that is worth a trial, or 0: one at which the target seems to do more than at the present one, from
// earlier calls at low concurrency, or any if nothing is known of these.
func (l *concurrencyLimit) lowerLimit(now time.Time, high []executionSample, overloaded bool) int {
	known := false
	for _, divisor := range [...]int{2, 4} {
		lower := l.limit / divisor
		if lower == 0 {
			return 0
		}
		low := l.samples.low(now, lower)
		if low == nil {
			continue
		}
		known = true
		quickLow, quickHigh := quickTimes(observationsOf(low), observationsOf(high))
		if logThroughput(lower, quickLow) > logThroughput(l.limit, quickHigh)+math.Log(minThroughputGain) {
			return lower
		}
	}
	if known || !overloaded || l.limit < l.slots ||
		l.busySince.IsZero() || now.Sub(l.busySince) < exploreAfter {
		return 0
	}
	return l.limit / 2
}

// endTrial keeps the limit of the trial if the target did more with it, and otherwise returns to the one before.
func (l *concurrencyLimit) endTrial(now time.Time) {
	t := l.trial
	l.trial = nil
	quick, quickBefore := quickTimes(t.observations(now, l.samples.kinds), observationsOf(t.before))
	gain := logThroughput(l.limit, quick) - logThroughput(t.from, quickBefore)
	failing := !t.begun.IsZero() && t.isFailing(now, l.limit)
	if l.limit < t.from {
		more := float64(t.ends) >= minThroughputGain*t.expectedEnds(now)
		l.endLower(now, t, gain >= math.Log(minThroughputGain) && more && !failing)
		return
	}
	l.confirm = 0
	if gain > 0 && !failing && t.isUsed() {
		l.step, l.probeDelay = 2*l.step, probeAfter
		l.probeAt = now
		return
	}
	l.setLimit(now, t.from)
	if !failing {
		// The trial was not broken off for too few ends: the target may have recovered, and the calls were slow by chance.
		l.step, l.probeAt = 0, now.Add(probeAfter)
		return
	}
	l.step, l.probeAt = 0, now.Add(l.probeDelay)
	l.probeDelay = min(2*l.probeDelay, maxProbeAfter)
}

// endLower ends the trial of a lower limit. If it has failed, the earlier calls at low concurrency are forgotten, since the target is
// no longer as fast as they say.
func (l *concurrencyLimit) endLower(now time.Time, t *limitTrial, success bool) {
	if success {
		l.confirm, l.step = t.from, 0
		l.probeDelay, l.probeAt = probeAfter, now
		return
	}
	l.samples.few = sampleRing{samples: t.ended}
	l.setLimit(now, t.from)
	l.tryAt = now.Add(l.tryDelay)
	l.tryDelay = min(2*l.tryDelay, maxTryAfter)
}

// logThroughput returns the logarithm of the calls per unit of time, up to a constant.
func logThroughput(concurrency int, logTime float64) float64 {
	return math.Log(float64(concurrency)) - logTime
}

// SetLearning enables or disables the learned concurrency limit. While it is disabled, the limit is the announced slots.
func (q *PriorityQueue) SetLearning(enabled bool) {
	if q.concurrency.enabled != enabled {
		q.concurrency.enabled = enabled
		q.concurrency.reset(q.slots)
		q.reported = reportedTimes{}
	}
}

// ResetLearning forgets what was learned, because another run of the target begins.
func (q *PriorityQueue) ResetLearning() {
	q.concurrency.reset(q.slots)
	q.reported = reportedTimes{}
}
