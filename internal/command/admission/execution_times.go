package admission

import "time"

const (
	// recheckAfter is the time without a start of a call of a kind after which the next one gets a slot whatever the estimate says.
	// Only calls that run can correct the estimate, and while it refuses all of them, none does.
	recheckAfter = time.Second
	// recheckWeight sets the weight of such a call in the moving average to 1/recheckWeight if it was faster than expected. With
	// sampleWeight, the estimate would refuse calls for many seconds more.
	recheckWeight = 2
)

// kindTimes is what is known of the execution times of a kind of calls.
type kindTimes struct {
	// average is the moving average; 0 until a call has ended.
	average time.Duration
	// long says that no call has ended, and that one was given up after more time than brief calls take.
	long bool
	// startedAt is when the latest call got a slot.
	startedAt time.Time
	// recheck says that this call was not expected to end by its deadline.
	recheck bool
}

// kind returns what is known of a kind, which can be changed.
func (q *PriorityQueue) kind(name string) *kindTimes {
	k := q.kinds[name]
	if k == nil {
		k = &kindTimes{}
		q.kinds[name] = k
	}
	return k
}

// recordKindStart records that a call got a slot.
func (q *PriorityQueue) recordKindStart(now time.Time, call *Call) {
	k := q.kind(call.Kind)
	k.startedAt, k.recheck = now, !q.canEnd(now, call)
}

// canEnd reports whether a call that starts now is expected to end by its deadline.
func (q *PriorityQueue) canEnd(now time.Time, call *Call) bool {
	return now.Add(scale(q.ExpectedExecutionTime(call.Kind), minExecutionFraction)).Before(call.Deadline)
}

// recordExecutionTime records the execution time of a call that has ended.
func (q *PriorityQueue) recordExecutionTime(kind string, took time.Duration) {
	k := q.kind(kind)
	weight := time.Duration(sampleWeight)
	if k.recheck && took < k.average {
		weight = recheckWeight
	}
	k.average, k.long, k.recheck = movingAverage(k.average, took, weight), false, false
	q.meanExecutionTime = movingAverage(q.meanExecutionTime, took, sampleWeight)
	// The first calls to end are brief ones, which must not weigh more than the later ones.
	q.mixSamples = min(q.mixSamples+1, mixSampleWeight)
	q.mixExecutionTime = movingAverage(q.mixExecutionTime, took, q.mixSamples)
}

// recordGivenUp records that a call was given up after it had run for the given time.
func (q *PriorityQueue) recordGivenUp(kind string, took time.Duration) {
	if k := q.kind(kind); k.average == 0 && !IsBrief(took, q.mixExecutionTime) {
		k.long = true
	}
}

// isUnknown reports whether nothing is known of the execution time of a kind: the mean over all calls says little of it.
func (q *PriorityQueue) isUnknown(kind string) bool {
	k := q.kinds[kind]
	return k == nil || k.average == 0 && !k.long
}

// leastTime returns the time that a call needs at least once it has a slot. A call with less time left until its deadline is refused.
// It is zero if nothing is known of the kind, or if no other call corrects what is known.
func (q *PriorityQueue) leastTime(now time.Time, kind string) time.Duration {
	if q.isUnknown(kind) || now.Sub(q.kinds[kind].startedAt) >= recheckAfter {
		return 0
	}
	return scale(q.ExpectedExecutionTime(kind), minExecutionFraction)
}

// MeanExecutionTime returns the average execution time of all calls.
func (q *PriorityQueue) MeanExecutionTime() time.Duration {
	if q.meanExecutionTime == 0 {
		return initialExecutionTime
	}
	return q.meanExecutionTime
}

// ExpectedExecutionTime returns the expected execution time of a call of the given kind, or of any call if it is not known.
func (q *PriorityQueue) ExpectedExecutionTime(kind string) time.Duration {
	if k := q.kinds[kind]; k != nil && k.average > 0 {
		return k.average
	}
	return q.MeanExecutionTime()
}

func scale(executionTime time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(executionTime) * fraction)
}

// movingAverage returns the average after a sample whose weight is 1/weight.
func movingAverage(old, took, weight time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + (took-old)/weight
}
