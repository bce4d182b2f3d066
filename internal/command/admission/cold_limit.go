package admission

import "time"

// rateLimits are the two limits on the calls per second to a target. A call needs room in both.
type rateLimits struct {
	// named is the limit that the target names in its responses.
	named rateLimit
	// cold is the limit of a target that has started recently and crashes under more calls. It holds until coldUntil.
	cold      rateLimit
	coldUntil time.Time
	// recent counts the calls that were admitted in the last second.
	recent recentCalls
}

// setCold sets the limit of a cold target and the time until which it holds. The bucket of a limit that begins is empty, or lacks
// what was admitted in the last second beyond the limit: the target may have become cold before its daemon learned of it, and counts
// these calls too.
func (l *rateLimits) setCold(now time.Time, perSecond float64, until time.Time) {
	if perSecond <= 0 || !until.After(now) {
		l.cold, l.coldUntil = rateLimit{}, time.Time{}
		return
	}
	begins := !l.isCold(now)
	if begins {
		l.cold = rateLimit{}
	}
	l.cold.name(now, perSecond)
	if begins {
		// Calls of the last second no longer count after another one.
		l.cold.tokens = min(max(l.cold.perSecond-float64(l.recent.count(now)), -l.cold.perSecond), 0)
	}
	l.coldUntil = until
}

// recentCalls counts calls by tenths of a second, for the last second.
type recentCalls struct {
	counts [10]int
	// latest is the tenth of the latest call, counted from start.
	latest int64
	start  time.Time
}

// advance drops the tenths that are older than a second.
func (r *recentCalls) advance(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	tenth := int64(now.Sub(r.start) / (time.Second / time.Duration(len(r.counts))))
	if tenth-r.latest >= int64(len(r.counts)) {
		r.counts = [10]int{}
	}
	for t := max(r.latest+1, tenth-int64(len(r.counts))+1); t <= tenth; t++ {
		r.counts[t%int64(len(r.counts))] = 0
	}
	r.latest = max(r.latest, tenth)
}

func (r *recentCalls) add(now time.Time) {
	r.advance(now)
	r.counts[r.latest%int64(len(r.counts))]++
}

// count returns the calls of the last second.
func (r *recentCalls) count(now time.Time) int {
	r.advance(now)
	total := 0
	for _, n := range r.counts {
		total += n
	}
	return total
}

// isCold reports whether the target is cold and has a limit for it.
func (l *rateLimits) isCold(now time.Time) bool {
	return l.cold.perSecond > 0 && now.Before(l.coldUntil)
}

// perSecond returns the lower of the limits that hold now; 0 if there is none.
func (l *rateLimits) perSecond(now time.Time) float64 {
	switch {
	case !l.isCold(now):
		return l.named.perSecond
	case l.named.perSecond == 0:
		return l.cold.perSecond
	}
	return min(l.named.perSecond, l.cold.perSecond)
}

// take admits a call if both limits have room for it.
func (l *rateLimits) take(now time.Time) bool {
	if l.isCold(now) && l.cold.wait(now, 1) > 0 {
		return false
	}
	if !l.named.take(now) {
		return false
	}
	if l.isCold(now) && !l.cold.take(now) {
		return false
	}
	l.recent.add(now)
	return true
}

// wait returns the time until both limits have room for the given number of calls. The limit of a cold target ends when the
// target is warm.
func (l *rateLimits) wait(now time.Time, calls int) time.Duration {
	wait := l.named.wait(now, calls)
	if l.isCold(now) {
		wait = max(wait, min(l.cold.wait(now, calls), l.coldUntil.Sub(now)))
	}
	return wait
}

// SetCold sets the calls per second that the target tolerates until the given time, for which it is cold; 0 means any number. It
// returns the calls that leave the queue.
func (q *PriorityQueue) SetCold(now time.Time, perSecond float64, until time.Time) []Dequeued {
	wasCold := q.limits.isCold(now)
	q.limits.setCold(now, perSecond, until)
	if wasCold && !q.limits.isCold(now) {
		q.lateSince, q.overloadedUntil = time.Time{}, time.Time{} // calls were late because of the limit
	}
	return q.dispatch(now)
}

// NamedRateLimit returns the calls per second that the target has named, 0 if it has named no limit.
func (q *PriorityQueue) NamedRateLimit() float64 { return q.limits.named.perSecond }

// ColdRateLimit returns the calls per second that the target gets because it is cold, 0 if it is not.
func (q *PriorityQueue) ColdRateLimit(now time.Time) float64 {
	if !q.limits.isCold(now) {
		return 0
	}
	return q.limits.cold.perSecond
}
