// Package rollouts measures moves that must finish within seconds: how many calls a bad version receives before it is
// withdrawn, and how many good versions are in force by their deadline. The decisions, the routing and the choice of targets
// are those of the daemons; targets and calls are simulated on a virtual clock, with the load of each target.
package rollouts

import (
	"time"

	"sniperail.example/sniperail/internal/command/rollout"
)

// Kind says how a new version differs from the old one.
type Kind string

// Kinds of new versions. The first two are good.
const (
	KindGood      Kind = "good"
	KindGoodHalf  Kind = "good, half the speed"
	KindFailing   Kind = "fails"
	KindSlow      Kind = "slow"
	KindLate      Kind = "fails late"
	KindOneRoute  Kind = "fails on one route"
	KindUnderLoad Kind = "fails under load"
)

const (
	// loadedFraction is the fraction of a target's slots above which a version of KindUnderLoad is bad.
	loadedFraction = 0.5
	// lateOnset is the time after its start from which a version of KindLate is bad.
	lateOnset = 3 * time.Second
	// slowFactor is how many times longer the slow calls of KindSlow take, halfSpeedFactor all calls of KindGoodHalf.
	slowFactor      = 8
	halfSpeedFactor = 2
	goodFailureRate = 0.005
)

// Kinds lists all kinds.
var Kinds = []Kind{KindGood, KindGoodHalf, KindFailing, KindSlow, KindLate, KindOneRoute, KindUnderLoad}

// IsGood reports whether a version of this kind is no worse than the old one.
func (k Kind) IsGood() bool { return k == KindGood || k == KindGoodHalf }

// Scenario describes one move.
type Scenario struct {
	Kind Kind
	// Targets is the number of targets of each version, Slots the slots of each, and Utilization the fraction of all slots of
	// one version that the service's calls occupy.
	Targets, Slots int
	Utilization    float64
	// FailureRate is the fraction of its calls that a bad version spoils, in the state in which it is bad.
	FailureRate float64
	// Within is the time from the order to the deadline.
	Within time.Duration
	Limit  rollout.ExposureLimit
	Seed   uint64
}

// failureRate returns the fractions of calls that fail and that are slow at a target which runs the given number of other
// calls.
func (s *Scenario) failureRate(isNew bool, since time.Duration, route, running int) (fail, slow float64) {
	if !isNew {
		return goodFailureRate, 0
	}
	bad := false
	switch s.Kind {
	case KindGood, KindGoodHalf:
	case KindSlow:
		return goodFailureRate, s.FailureRate
	case KindFailing:
		bad = true
	case KindLate:
		bad = since >= lateOnset
	case KindOneRoute:
		bad = route == smallRoute
	case KindUnderLoad:
		bad = float64(running) > loadedFraction*float64(s.Slots)
	}
	if bad {
		return max(s.FailureRate, goodFailureRate), 0
	}
	return goodFailureRate, 0
}
