package platform

import (
	"sync/atomic"
	"time"
)

// backoff is an exponential backoff with full jitter, shared by concurrent calls. With the zero value there is no pause.
type backoff struct {
	state atomic.Pointer[backoffState]
}

type backoffState struct {
	// failures is the number of consecutive failures.
	failures int
	// until is the end of the pause.
	until time.Time
}

// remaining returns the rest of the pause.
func (b *backoff) remaining(now time.Time) time.Duration {
	state := b.state.Load()
	if state == nil {
		return 0
	}
	return max(0, state.until.Sub(now))
}

// recordFailure starts a pause. Concurrent calls that fail count as one failure: a call that started before the end of the
// current pause is ignored.
func (b *backoff) recordFailure(started, now time.Time, config GateConfig) {
	old := b.state.Load()
	next := &backoffState{failures: 1}
	if old != nil {
		if started.Before(old.until) {
			return
		}
		next.failures = old.failures + 1
	}
	limit := config.BackoffBase
	for i := 1; i < next.failures && limit < config.BackoffMax; i++ {
		limit *= 2
	}
	limit = min(limit, config.BackoffMax)
	next.until = now.Add(time.Duration(config.Random(int64(limit) + 1)))
	b.state.CompareAndSwap(old, next)
}

// recordSuccess ends the pause and resets the number of failures.
func (b *backoff) recordSuccess() {
	if b.state.Load() != nil {
		b.state.Store(nil)
	}
}
