// Package moves judges versions under move and decides the steps of a move. A Judge runs with the same code in every
// daemon, in the leader of a data centre and in the driver; a Driver turns its verdicts into decisions. Both are plain
// state machines: no I/O, no clock.
package moves

import "time"

// Policy holds the constants of judgement. docs/moves.md says which measurement chose them.
type Policy struct {
	// FalseWithdrawal bounds the probability that a good version is withdrawn, over the whole move, all routes, all
	// tests and all judges of the system.
	FalseWithdrawal float64
	// MissedFault bounds the probability that a version with the excess failure rate that a step tests for passes
	// that step.
	MissedFault float64
	// ErrorTolerance is the ratio of failure odds, new to old, that is not held against a version.
	ErrorTolerance float64
	// ErrorOdds are the odds ratios that the test on errors bets on.
	ErrorOdds []float64
	// LatencyShift is the number of histogram buckets, each a factor of 1.6, by which a version may be slower.
	LatencyShift int
	// LatencyTolerance is the ratio of odds of a slow call, new to old, that is not held against a version.
	LatencyTolerance float64
	// LatencyOdds are the odds ratios that the tests on latency bet on.
	LatencyOdds []float64
	// LatencyFloor is the latency below which calls count as equally fast: a hop to another data centre is no fault.
	LatencyFloor time.Duration
	// WindowCalls is the number of the new version's calls to expect in a window before it is compared.
	WindowCalls float64
	// LongestWindow bounds a window whatever its calls.
	LongestWindow time.Duration
	// SuspicionFactor is the factor of evidence at which a step is held although nothing is proven.
	SuspicionFactor float64
	// SuspectFactor is the factor of evidence at which a version at 100% is suspect. A step back costs only time.
	SuspectFactor float64
	// FaultyRate is the failure rate of both versions above which the comparison says "both bad".
	FaultyRate float64
	// UnknownRate is the failure rate taken for the old version when none was measured.
	UnknownRate float64
	// SlotUse is the part of the ready slots that the measured demand may fill.
	SlotUse float64
	// BlindAfter is the age of the last report at which a data centre counts as blind.
	BlindAfter time.Duration
	// Settle is how long after a step is in force late responses of the step before may still arrive.
	Settle time.Duration
}

// DefaultPolicy returns the constants chosen by sniperail-bench moves.
func DefaultPolicy() Policy {
	return Policy{
		FalseWithdrawal:  0.003,
		MissedFault:      0.01,
		ErrorTolerance:   1.5,
		ErrorOdds:        []float64{4, 20, 100},
		LatencyShift:     1,
		LatencyTolerance: 1,
		LatencyOdds:      []float64{2, 5, 20},
		LatencyFloor:     5 * time.Millisecond,
		WindowCalls:      1,
		LongestWindow:    10 * time.Second,
		SuspicionFactor:  10,
		SuspectFactor:    30,
		FaultyRate:       0.2,
		UnknownRate:      0.05,
		SlotUse:          0.8,
		BlindAfter:       5 * time.Second,
		Settle:           time.Second,
	}
}

// Level says how many judges share the error bound: every daemon, every data centre, or the one driver. Each of the
// three levels spends a third of Policy.FalseWithdrawal, divided among its judges.
type Level struct{ Judges int }

const levels = 3

// bound returns the natural logarithm of the evidence that proves a fault at this level.
func (p Policy) bound(l Level) float64 {
	return logRatio(levels*float64(max(l.Judges, 1)), p.FalseWithdrawal)
}
