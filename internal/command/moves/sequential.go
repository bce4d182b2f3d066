package moves

import "math"

// contingencyTable counts the calls of two versions within one window. A hit is a call that failed or was slow: NewHits of
// the New calls of the new version and OldHits of the Old calls of the old version.
type contingencyTable struct{ New, NewHits, Old, OldHits int }

// addLogEValues adds to sums, for each odds ratio, the logarithm of the likelihood ratio of that odds ratio against
// tolerance, given the totals of the table. Conditional on the totals, the hits of the new version have Fisher's
// noncentral hypergeometric distribution. Each value therefore has an expectation of at most 1 if the true odds ratio is
// at most tolerance, whatever the common rate of hits. A window with only one version adds nothing.
func (t contingencyTable) addLogEValues(odds []float64, tolerance float64, sums []float64) {
	hits := t.NewHits + t.OldHits
	minHits := max(0, hits-t.Old)
	if t.New == 0 || t.Old == 0 || hits == 0 || minHits == min(t.New, hits) {
		return
	}
	baseNormalizer := t.logNormalizer(tolerance, minHits, hits)
	for i, ratio := range odds {
		sums[i] += float64(t.NewHits-minHits)*math.Log(ratio/tolerance) - t.logNormalizer(ratio, minHits, hits) + baseNormalizer
	}
}

// rescaleAbove keeps the terms of a sum within the range of float64.
const rescaleAbove = 1e200

// logNormalizer returns the logarithm of the sum of the distribution's weights, relative to the weight at minHits.
func (t contingencyTable) logNormalizer(ratio float64, minHits, hits int) float64 {
	term, sum, offset := 1.0, 1.0, 0.0
	for x := minHits; x < min(t.New, hits); x++ {
		term *= ratio * float64(t.New-x) * float64(hits-x) / (float64(x+1) * float64(t.Old-hits+x+1))
		sum += term
		if sum > rescaleAbove {
			term /= rescaleAbove
			sum /= rescaleAbove
			offset += math.Log(rescaleAbove)
		}
		if term < sum*1e-17 {
			break
		}
	}
	return math.Log(sum) + offset
}

// addLogLikelihoodRatios adds to sums, for each odds ratio, the log-likelihood ratio of the new version's hits against a
// known rate of hits.
func (t contingencyTable) addLogLikelihoodRatios(odds []float64, tolerance, rate float64, sums []float64) {
	null := scaleOdds(rate, tolerance)
	for i, ratio := range odds {
		p := scaleOdds(rate, ratio)
		sums[i] += float64(t.NewHits)*math.Log(p/null) + float64(t.New-t.NewHits)*math.Log((1-p)/(1-null))
	}
}

func scaleOdds(rate, ratio float64) float64 { return ratio * rate / (1 - rate + ratio*rate) }

// sequentialTest is a test that may be evaluated after every round: a mixture, over odds ratios and over the round in
// which a fault may begin, of products of e-values. While the new version is no worse, its value has an expectation of at
// most 1 at any stopping time, so by Ville's inequality the probability that it ever exceeds 1/a is at most a.
type sequentialTest struct {
	logValues, roundValues []float64
	rounds, stepStarts     int
}

func newSequentialTest(odds []float64) sequentialTest {
	t := sequentialTest{logValues: make([]float64, len(odds)), roundValues: make([]float64, len(odds))}
	for i := range t.logValues {
		t.logValues[i] = math.Inf(-1)
	}
	return t
}

// The weights of the rounds in which a fault may begin sum to 1: a quarter on the first round, a quarter on the first
// rounds of later steps, since a fault that depends on load begins with a step, and half on all rounds. The proof of a
// fault that begins at any other time needs about ln(1000) more evidence, however long the version was good before.
const (
	firstRoundWeight = 0.25
	stepStartWeight  = 0.25 / maxStepStarts
	// maxStepStarts bounds the number of steps, steps back included, that get a weight of their own.
	maxStepStarts = 16
	// startBlockRounds is the number of rounds over which half of the remaining weight is spread evenly.
	startBlockRounds = 500
)

// endRound multiplies the test's value by the e-values in roundValues and clears them. StepBegins means that the round is
// the first of a step.
func (t *sequentialTest) endRound(stepBegins bool) {
	weight := math.Pow(2, -float64(2+t.rounds/startBlockRounds)) / startBlockRounds
	switch {
	case t.rounds == 0:
		weight += firstRoundWeight
	case stepBegins && t.stepStarts < maxStepStarts:
		t.stepStarts++
		weight += stepStartWeight
	}
	t.rounds++
	for i, e := range t.roundValues {
		t.logValues[i] = logAdd(t.logValues[i], math.Log(weight)) + e
		t.roundValues[i] = 0
	}
}

// logEvidence returns the logarithm of the test's value.
func (t *sequentialTest) logEvidence() float64 {
	total := math.Inf(-1)
	for _, l := range t.logValues {
		total = logAdd(total, l)
	}
	return total - math.Log(float64(len(t.logValues)))
}

func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

func logRatio(a, b float64) float64 { return math.Log(a) - math.Log(b) }
