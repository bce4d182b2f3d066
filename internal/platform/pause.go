package platform

import (
	"sync/atomic"
	"time"
)

// pause is a backoff with full jitter that concurrent calls share. The zero value pauses nothing.
type pause struct {
	current atomic.Pointer[pauseState]
}

type pauseState struct {
	// failures counts the failures in a row.
	failures int
	until    time.Time
}

// remaining returns how long calls still have to pause.
func (p *pause) remaining(now time.Time) time.Duration {
	state := p.current.Load()
	if state == nil {
		return 0
	}
	return max(0, state.until.Sub(now))
}

// failed starts a pause. Calls that failed together count once: a call that started before the end of the present
// pause tells nothing new.
func (p *pause) failed(started, now time.Time, config GateConfig) {
	old := p.current.Load()
	next := &pauseState{failures: 1}
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
	p.current.CompareAndSwap(old, next)
}

// succeeded ends the row of failures.
func (p *pause) succeeded() {
	if p.current.Load() != nil {
		p.current.Store(nil)
	}
}
