package admission

import "time"

const (
	// minRateLimit is the lowest rate, in calls per second, that a limit is taken for. A target that names less, down to 0,
	// still gets a call from time to time: otherwise nobody would learn that its limit has ended.
	minRateLimit = 0.25
	// rateBurst is the time for which unused calls of a limit may be made up for.
	rateBurst = 100 * time.Millisecond
)

// rateLimit is a token bucket for the calls per second that a target takes. All calls to the target pass it, since only one
// daemon can reach the target. The zero value admits every call.
type rateLimit struct {
	perSecond float64
	// namedAt is when the target last named the limit.
	namedAt time.Time
	// tokens are the calls that may be admitted at updatedAt.
	tokens    float64
	updatedAt time.Time
}

// name sets the limit that the target has named now.
func (l *rateLimit) name(now time.Time, perSecond float64) {
	l.namedAt = now
	perSecond = max(perSecond, minRateLimit)
	if perSecond == l.perSecond {
		return
	}
	l.refill(now)
	l.perSecond = perSecond
	l.tokens = min(l.tokens, l.burst())
}

// end removes the limit if the target has answered without it to a call that was sent after it was last named. An answer to
// an earlier call may be older than the limit. It reports whether the limit has ended.
func (l *rateLimit) end(sent time.Time) bool {
	if l.perSecond == 0 || sent.Before(l.namedAt) {
		return false
	}
	*l = rateLimit{}
	return true
}

// take admits a call if the limit has room for it.
func (l *rateLimit) take(now time.Time) bool {
	if l.perSecond == 0 {
		return true
	}
	if l.refill(now); l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// wait returns the time until the limit has room for the given number of calls.
func (l *rateLimit) wait(now time.Time, calls int) time.Duration {
	if l.perSecond == 0 {
		return 0
	}
	l.refill(now)
	missing := max(float64(calls)-l.tokens, 0)
	return time.Duration(missing / l.perSecond * float64(time.Second))
}

func (l *rateLimit) refill(now time.Time) {
	if passed := now.Sub(l.updatedAt); passed > 0 && l.perSecond > 0 {
		l.tokens = min(l.tokens+passed.Seconds()*l.perSecond, l.burst())
	}
	l.updatedAt = now
}

func (l *rateLimit) burst() float64 { return max(l.perSecond*rateBurst.Seconds(), 1) }
