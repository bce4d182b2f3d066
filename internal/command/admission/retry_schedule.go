package admission

import "time"

const (
	// retryShare is the fraction of the target's capacity that the retry schedule gives to refused callers. The rest is for
	// other callers, whose calls keep arriving.
	retryShare = 0.5
	// maxRetryAfter bounds the schedule. Some refused callers do not come back, or are served by another target, so that the
	// room that was set aside for them is free.
	maxRetryAfter = 5 * time.Second
)

// retrySchedule gives callers that are refused for load different times at which to come back. With the same time for all,
// those of a burst return together and most are refused again.
type retrySchedule struct{ next time.Time }

// book returns the time after which the next refused caller should come back: not before earliest, and each one later than
// the one before.
func (s *retrySchedule) book(now time.Time, earliest, between time.Duration) time.Duration {
	at := now.Add(earliest)
	if at.Before(s.next) {
		at = s.next
	}
	if latest := now.Add(max(earliest, maxRetryAfter)); at.After(latest) {
		at = latest
	}
	s.next = at.Add(between)
	return at.Sub(now)
}

// RetryAfter returns the time after which the caller of a call that is refused for load should come back. Earliest is the time
// at which the target is expected to have room. Callers without a tenant are told that time.
func (q *PriorityQueue) RetryAfter(now time.Time, call Call, earliest time.Duration) time.Duration {
	if call.Tenant == "" {
		return earliest
	}
	between := q.MeanExecutionTime() / time.Duration(max(q.usableSlots(now), 1))
	if perSecond := q.limits.perSecond(now); perSecond > 0 {
		between = max(between, time.Duration(float64(time.Second)/perSecond))
	}
	return q.retries.book(now, earliest, scale(between, 1/retryShare))
}

// RetryAfterWait returns the time after which the caller of a call that was refused for its deadline while it waited should come back.
// For a call with a tenant it is booked from the same time as that of one that is refused at once, otherwise those refused after a
// wait would come back first, while there is no room.
func (q *PriorityQueue) RetryAfterWait(now time.Time, call Call) time.Duration {
	if call.Tenant == "" {
		return q.limits.wait(now, len(q.queue)+1)
	}
	return q.RetryAfter(now, call, q.expectedWait(now, len(q.queue))+q.ExpectedExecutionTime(call.Kind))
}
