package rollout

import (
	"math"

	"sniperail.example/sniperail/internal/model"
)

const (
	// minExcessFailures is the number of failed calls from which a version can be withdrawn for them.
	minExcessFailures = 20
	// minFailureRatio is how many times as often as the old version the new one has to fail.
	minFailureRatio = 1.4
	// failureDeviations is the number of standard deviations by which the failures must exceed those expected of a version that
	// is no worse. The test is evaluated after each round, so it is larger than for a single test.
	failureDeviations = 3.5
)

// excessFailureTest compares how often the two versions fail within each round, as the Mantel-Haenszel test does: a fault that
// both have in a round raises the failures that are expected of the new version in it. It supplements the comparison of package
// moves, which tolerates a multiple of the old version's failures and therefore takes long while the old version fails too.
type excessFailureTest struct {
	failures, calls int
	// expected is the number of failures that a version which is no worse would have, with its variance.
	expected, variance float64
}

// roundCounts are the calls of a version in one round.
type roundCounts struct{ calls, failures float64 }

// observeRound adds the outcomes of one round. A round in which only one version had calls shows nothing.
func (t *excessFailureTest) observeRound(m *model.Rollout, observations []Observation) {
	var previous, next roundCounts
	for i := range observations {
		for j := range observations[i].Sums {
			s := &observations[i].Sums[j]
			switch s.Version {
			case m.From:
				previous.add(s)
			case m.To:
				next.add(s)
			}
		}
	}
	if previous.calls == 0 || next.calls == 0 {
		return
	}
	total := previous.calls + next.calls
	failures := previous.failures + next.failures
	t.calls += int(next.calls)
	t.failures += int(next.failures)
	t.expected += next.calls * failures / total
	t.variance += next.calls * previous.calls * failures * (total - failures) / (total * total * max(total-1, 1))
}

func (c *roundCounts) add(s *model.KeyedSum) {
	c.calls += float64(s.Calls)
	c.failures += float64(s.Failures)
}

// comparesMost reports whether the old version had calls beside most of the given number of calls of the new version.
func (t *excessFailureTest) comparesMost(calls int) bool { return 2*t.calls >= calls }

// provesWorse reports whether the new version fails more often than the old one by more than chance.
func (t *excessFailureTest) provesWorse() bool {
	failures := float64(t.failures)
	return t.failures >= minExcessFailures && failures >= minFailureRatio*t.expected &&
		failures-t.expected >= failureDeviations*math.Sqrt(t.variance)
}
