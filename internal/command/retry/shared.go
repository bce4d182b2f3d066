package retry

import "time"

// SharedLimit bounds the retries that all daemons together make for one service within any window of the given length: a
// fraction of the calls, and a fixed number beyond that.
type SharedLimit struct {
	// Ratio is the number of retries allowed per call, and Slack the number allowed beyond that within a Window.
	Ratio, Slack float64
	Window       time.Duration
}

const (
	// usableRatioFraction is the fraction of the ratio that daemons use. It is below 1 because calls that a daemon has
	// counted may reach their targets in a later window.
	usableRatioFraction = 0.5
	// executedCost is the cost of a retry after an attempt that may have been executed. It is above 1 because the nested
	// calls of the repeated request count as retries at the services that it calls.
	executedCost = 2.5
	// usableSlackFraction is the fraction of the slack that may be used at once. It refills within one window, so any window
	// contains at most twice that.
	usableSlackFraction = 0.5
	// maxSavedCalls bounds the calls whose retries are saved for later.
	maxSavedCalls = 30
)

// SharedBudget is one daemon's portion of a SharedLimit. In the zero value, none of the slack is used.
type SharedBudget struct {
	// savedCalls is the number of calls whose retries have not been used.
	savedCalls float64
	// usedSlack is the slack in use at the time usedAt.
	usedSlack float64
	usedAt    time.Time
}

// RecordCall records a first attempt.
func (s *SharedBudget) RecordCall() { s.savedCalls = min(s.savedCalls+1, maxSavedCalls) }

// TakeRetry charges a retry to the budget, and reports false if the budget is exhausted. executed says that the previous
// attempt may have been executed, and daemons is the number of daemons that share the limit.
func (s *SharedBudget) TakeRetry(now time.Time, limit SharedLimit, daemons int, executed bool) bool {
	daemonSlack := limit.Slack * usableSlackFraction / float64(max(daemons, 1))
	if limit.Window > 0 && !s.usedAt.IsZero() {
		s.usedSlack = max(s.usedSlack-daemonSlack*float64(now.Sub(s.usedAt))/float64(limit.Window), 0)
	}
	s.usedAt = now
	cost := 1.0
	if executed {
		cost = executedCost
	}
	retriesPerCall := limit.Ratio * usableRatioFraction
	if retriesPerCall > 0 && s.savedCalls*retriesPerCall >= cost {
		s.savedCalls -= cost / retriesPerCall
		return true
	}
	if s.usedSlack+cost <= daemonSlack {
		s.usedSlack += cost
		return true
	}
	return false
}
