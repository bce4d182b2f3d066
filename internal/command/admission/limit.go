package admission

import "time"

const (
	// adjustEvery is how often the limit changes; several calls must end between two changes to show an effect.
	adjustEvery = 100 * time.Millisecond
	// tolerance is how much slower than its baseline a target may become before the limit falls. Service times vary
	// by a factor of two without overload.
	tolerance = 2.0
	// decrease is the factor of one step down.
	decrease = 0.85
	// floorPart keeps part of the slots in use. Fewer concurrent calls do not help a target that is slow for another
	// reason than its load, and a low limit would then only add refusals.
	floorPart = 0.5
	// fast and slow are the weights of one call in the short and the long latency average.
	fast = 0.1
	slow = 0.001
)

// limit adapts the number of used slots to the latency of the target: additive increase, multiplicative decrease.
type limit struct {
	max, value float64
	// recent and baseline are averages in nanoseconds; baseline follows a lower latency at once and a higher one slowly.
	recent, baseline float64
	overloaded       bool
	peak             int
	adjusted         time.Time
}

func newLimit(slots int) limit { return limit{max: float64(slots), value: float64(slots)} }

func (l *limit) slots() int { return int(l.value) }

// expected is the time that a call is expected to take.
func (l *limit) expected() time.Duration { return time.Duration(l.recent) }

func (l *limit) observe(now time.Time, took time.Duration, overloaded bool, running int) {
	if overloaded {
		l.overloaded = true
	} else {
		l.average(float64(took))
	}
	l.peak = max(l.peak, running)
	if now.Sub(l.adjusted) < adjustEvery {
		return
	}
	floor := max(1, l.max*floorPart)
	if l.overloaded || l.recent > tolerance*l.baseline {
		l.value = max(floor, l.value*decrease)
	} else if l.peak >= l.slots() {
		l.value = min(l.max, l.value+1)
	}
	l.adjusted, l.overloaded, l.peak = now, false, 0
}

func (l *limit) average(took float64) {
	if l.baseline == 0 {
		l.recent, l.baseline = took, took
		return
	}
	l.recent += fast * (took - l.recent)
	if l.recent < l.baseline {
		l.baseline = l.recent
	} else {
		l.baseline += slow * (l.recent - l.baseline)
	}
}
