package retry

import "time"

// SharedLimit bounds the retries of all daemons together for one service, over any window: a part of the calls, and a
// fixed number beyond it.
type SharedLimit struct {
	// Ratio is the retries that each call allows, Slack the retries allowed beyond that within a Window.
	Ratio, Slack float64
	Window       time.Duration
}

const (
	// ratioPart is the part of the ratio that daemons use: the calls that a daemon counts may reach their targets in a later
	// window.
	ratioPart = 0.5
	// executedCost is the cost of a retry after an attempt that may have been executed: the calls that the repeated request
	// makes count as repeats at the services that it calls.
	executedCost = 2.5
	// slackPart is the part of the slack that may be used at once. It is refilled within a window, so that any window
	// holds at most twice that.
	slackPart = 0.5
	// savedCalls bounds the calls whose retries are kept for later.
	savedCalls = 30
)

// SharedBudget is one daemon's part of a SharedLimit. The zero value has its whole part of the slack.
type SharedBudget struct {
	// calls counts calls whose retries are not used.
	calls float64
	// used is the retries taken from the slack, as of at.
	used float64
	at   time.Time
}

// RecordCall records a first attempt.
func (s *SharedBudget) RecordCall() { s.calls = min(s.calls+1, savedCalls) }

// TakeRetry takes a retry; false means that too little is left. Executed says that the attempt before may have been executed,
// and daemons is the number of daemons that share the limit.
func (s *SharedBudget) TakeRetry(now time.Time, limit SharedLimit, daemons int, executed bool) bool {
	part := limit.Slack * slackPart / float64(max(daemons, 1))
	if limit.Window > 0 && !s.at.IsZero() {
		s.used = max(s.used-part*float64(now.Sub(s.at))/float64(limit.Window), 0)
	}
	s.at = now
	cost := 1.0
	if executed {
		cost = executedCost
	}
	perCall := limit.Ratio * ratioPart
	if perCall > 0 && s.calls*perCall >= cost {
		s.calls -= cost / perCall
		return true
	}
	if s.used+cost <= part {
		s.used += cost
		return true
	}
	return false
}
