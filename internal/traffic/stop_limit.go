package traffic

import (
	"net/http"
	"sync/atomic"
	"time"
)

// stopLimit bounds the deadlines of the requests that a daemon takes while it stops.
type stopLimit struct {
	// at is the time by which every request must be answered, by monotonic; 0 while the daemon does not stop.
	at atomic.Int64
	// refusesLong says that requests with a later deadline are refused. Before, their deadline is shortened.
	refusesLong atomic.Bool
}

func (l *stopLimit) set(t time.Time) { l.at.Store(monotonic(t)) }

// hasEnded reports whether the time has passed by which every request must be answered.
func (l *stopLimit) hasEnded() bool {
	at := l.at.Load()
	return at != 0 && time.Now().UnixNano() >= at
}

// apply returns the deadline of a request that has just arrived, or a refusal.
func (l *stopLimit) apply(deadline time.Time) (time.Time, *refusal) {
	at := l.at.Load()
	switch {
	case at == 0 || monotonic(deadline) <= at:
		return deadline, nil
	case l.refusesLong.Load():
		return deadline, notExecuted(http.StatusServiceUnavailable, reasonDraining, "this daemon is shutting down").
			withRetryAfter(shortRetryAfter)
	}
	return fromMonotonic(at), nil
}
