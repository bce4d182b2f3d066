package admission

import "time"

const (
	// adjustInterval is the time between two changes of the limit. Several calls must end in between, so that the effect
	// of a change can be measured.
	adjustInterval = 100 * time.Millisecond
	// latencyTolerance is the ratio of recent to baseline latency above which the limit falls. Service times vary by a
	// factor of two without overload.
	latencyTolerance = 2.0
	// decreaseFactor is the factor of one multiplicative decrease.
	decreaseFactor = 0.85
	// minLimitFraction is the fraction of the slots that always stays in use. Fewer concurrent calls do not help a target
	// that is slow for a reason other than its load, and a low limit would then only cause more refusals.
	minLimitFraction = 0.5
	// recentWeight and baselineWeight are the weights of one call in the short-term and the long-term latency average.
	recentWeight   = 0.1
	baselineWeight = 0.001
)

// adaptiveLimit adapts the number of used slots to the latency of the target: additive increase, multiplicative decrease.
type adaptiveLimit struct {
	max, value float64
	// recent and baseline are average latencies in nanoseconds. The baseline follows a lower latency at once and a higher
	// one slowly.
	recent, baseline float64
	overloaded       bool
	maxRunning       int
	lastAdjusted     time.Time
}

func newAdaptiveLimit(slots int) adaptiveLimit {
	return adaptiveLimit{max: float64(slots), value: float64(slots)}
}

func (l *adaptiveLimit) slots() int { return int(l.value) }

// expectedExecutionTime estimates how long a call runs at the target.
func (l *adaptiveLimit) expectedExecutionTime() time.Duration { return time.Duration(l.recent) }

// recordCall records the end of a call and adjusts the limit once per adjustInterval. Running is the number of calls that
// ran at the same time, including this one.
func (l *adaptiveLimit) recordCall(now time.Time, took time.Duration, overloaded bool, running int) {
	if overloaded {
		l.overloaded = true
	} else {
		l.recordLatency(float64(took))
	}
	l.maxRunning = max(l.maxRunning, running)
	if now.Sub(l.lastAdjusted) < adjustInterval {
		return
	}
	minimum := max(1, l.max*minLimitFraction)
	if l.overloaded || l.recent > latencyTolerance*l.baseline {
		l.value = max(minimum, l.value*decreaseFactor)
	} else if l.maxRunning >= l.slots() {
		l.value = min(l.max, l.value+1)
	}
	l.lastAdjusted, l.overloaded, l.maxRunning = now, false, 0
}

func (l *adaptiveLimit) recordLatency(took float64) {
	if l.baseline == 0 {
		l.recent, l.baseline = took, took
		return
	}
	l.recent += recentWeight * (took - l.recent)
	if l.recent < l.baseline {
		l.baseline = l.recent
	} else {
		l.baseline += baselineWeight * (l.recent - l.baseline)
	}
}
