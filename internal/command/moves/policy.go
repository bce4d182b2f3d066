// Package moves judges the new versions of moves and decides the steps of a move. A Judge runs in every daemon, in the
// leader of each data centre and in the driver. A Driver turns the verdicts of its judge into decisions. Both are state
// machines that perform no I/O and read no clock.
package moves

import "time"

// Policy holds the parameters of the judge and the driver.
type Policy struct {
	// FalseWithdrawal bounds the probability that a good version is withdrawn. The bound covers the whole move, all routes,
	// all tests and all judges of the system.
	FalseWithdrawal float64
	// MissedFault bounds the probability that a version passes a step although it has the excess failure rate that the
	// step tests for.
	MissedFault float64
	// ErrorTolerance is the largest ratio of the odds of failure, new to old, at which a version counts as good.
	ErrorTolerance float64
	// ErrorOdds are the odds ratios that the test on errors uses as alternative hypotheses.
	ErrorOdds []float64
	// LatencyShift is the number of histogram buckets, each a factor of 1.6, by which a version may be slower.
	LatencyShift int
	// LatencyTolerance is the largest ratio of the odds of a slow call, new to old, at which a version counts as good.
	LatencyTolerance float64
	// LatencyOdds are the odds ratios that the tests on latency use as alternative hypotheses.
	LatencyOdds []float64
	// LatencyFloor is the latency below which all calls count as equally fast, because a hop to another data centre is not
	// a fault of the version.
	LatencyFloor time.Duration
	// WindowCalls is the expected number of calls of the rarer version in a window at which the window is compared.
	WindowCalls float64
	// LongestWindow is the time after which a window is compared whatever its number of calls.
	LongestWindow time.Duration
	// SuspicionFactor is the evidence, as a likelihood ratio, at which a step is held although no fault is proven.
	SuspicionFactor float64
	// SuspectFactor is the evidence at which a version at 100% is suspect. The move then goes back one step, which costs
	// only time.
	SuspectFactor float64
	// FaultyRate is the failure rate of both versions above which the verdict is BothBad.
	FaultyRate float64
	// AssumedFailureRate is the failure rate that is assumed for the old version if none was measured.
	AssumedFailureRate float64
	// MaxSlotUtilization is the fraction of the ready slots that the measured demand may fill.
	MaxSlotUtilization float64
	// BlindAfter is the age of the last report above which a data centre counts as blind.
	BlindAfter time.Duration
	// SettleTime is how long after a step came into force responses to calls of the previous step may still arrive.
	SettleTime time.Duration
}

// DefaultPolicy returns the parameters for moves that operators plan; docs/moves.md explains them.
func DefaultPolicy() Policy {
	return Policy{
		FalseWithdrawal:    0.003,
		MissedFault:        0.01,
		ErrorTolerance:     1.5,
		ErrorOdds:          []float64{4, 20, 100},
		LatencyShift:       1,
		LatencyTolerance:   1,
		LatencyOdds:        []float64{2, 5, 20},
		LatencyFloor:       5 * time.Millisecond,
		WindowCalls:        1,
		LongestWindow:      10 * time.Second,
		SuspicionFactor:    10,
		SuspectFactor:      30,
		FaultyRate:         0.2,
		AssumedFailureRate: 0.05,
		MaxSlotUtilization: 0.8,
		BlindAfter:         5 * time.Second,
		SettleTime:         time.Second,
	}
}

// Level is a level of judges: the daemons, the leaders of data centres, or the driver. Each of the three levels gets a
// third of Policy.FalseWithdrawal, divided by its number of judges.
type Level struct{ Judges int }

const judgeLevels = 3

// logThreshold returns the natural logarithm of the evidence that proves a fault at this level.
func (p Policy) logThreshold(l Level) float64 {
	return logRatio(judgeLevels*float64(max(l.Judges, 1)), p.FalseWithdrawal)
}
