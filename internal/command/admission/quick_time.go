package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	// quickQuantile is the quantile of the execution times that is compared. It is low, since a machine that is slow for a part of
	// the time and a few long calls change the mean and the higher quantiles.
	quickQuantile = 0.25
	// minMatched is the number of calls that must have one of the same kind on the other side for a comparison by kinds.
	minMatched = 8
)

// timeObservation is the logarithm of the execution time of a call, relative to its kind; a call that has not ended takes longer.
type timeObservation struct {
	kind  *kindMean
	time  float64
	ended bool
}

func observationsOf(samples []executionSample) []timeObservation {
	all := make([]timeObservation, len(samples))
	for i := range samples {
		all[i] = timeObservation{samples[i].kind, samples[i].relative(), true}
	}
	return all
}

// quickTimes returns the quickQuantile of both groups of calls. Each kind has the same weight in both. The mean of a kind that was seen
// only while the target was slow is as slow, so that its calls look as usual; if more of them are in the one group, that group
// looks faster than it is.
func quickTimes(a, b []timeObservation) (quickA, quickB float64) {
	countA, countB := countKinds(a), countKinds(b)
	matched := 0
	for kind, n := range countA {
		matched += min(n, countB[kind])
	}
	if matched < minMatched {
		return quickTime(a, nil, nil), quickTime(b, nil, nil)
	}
	return quickTime(a, countA, countB), quickTime(b, countB, countA)
}

func countKinds(all []timeObservation) map[*kindMean]int {
	counts := map[*kindMean]int{}
	for _, o := range all {
		counts[o.kind]++
	}
	return counts
}

// quickTime estimates the quickQuantile. Calls that still run count as long as they have run (Kaplan-Meier estimator). The kinds
// of a group with the counts own get the weights that they have in the smaller of it and the other; without counts all calls count.
func quickTime(all []timeObservation, own, other map[*kindMean]int) float64 {
	weight := func(o timeObservation) float64 {
		if own == nil {
			return 1
		}
		return min(1, float64(other[o.kind])/float64(own[o.kind]))
	}
	slices.SortFunc(all, func(a, b timeObservation) int { return cmp.Compare(a.time, b.time) })
	atRisk := 0.0
	for _, o := range all {
		atRisk += weight(o)
	}
	remaining := 1.0
	for _, o := range all {
		w := weight(o)
		if w == 0 {
			continue
		}
		if o.ended {
			remaining *= max(1-w/atRisk, 0)
		}
		if atRisk -= w; remaining <= 1-quickQuantile {
			return o.time
		}
	}
	return math.Inf(1)
}
