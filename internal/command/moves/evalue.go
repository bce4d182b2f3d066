package moves

import "math"

// table compares two versions within one window: of New calls of the new version NewHits are hits (failed or slow), and
// of Old calls of the old version OldHits.
type table struct{ New, NewHits, Old, OldHits int }

// logEValues adds to into, for each odds ratio, the logarithm of the likelihood ratio of that odds ratio against tolerance,
// given the totals of the table. Conditional on the totals, the hits of the new version have Fisher's noncentral
// hypergeometric distribution, so each value has an expectation of at most 1 when the true odds ratio is at most
// tolerance, whatever rate of hits both versions share. A window with one version only adds nothing.
func (t table) logEValues(odds []float64, tolerance float64, into []float64) {
	hits := t.NewHits + t.OldHits
	low := max(0, hits-t.Old)
	if t.New == 0 || t.Old == 0 || hits == 0 || low == min(t.New, hits) {
		return
	}
	base := t.logNormalizer(tolerance, low, hits)
	for i, ratio := range odds {
		into[i] += float64(t.NewHits-low)*math.Log(ratio/tolerance) - t.logNormalizer(ratio, low, hits) + base
	}
}

// rescaleAbove keeps the terms of a sum within the range of float64.
const rescaleAbove = 1e200

// logNormalizer returns the logarithm of the sum of the distribution's weights, relative to the weight at low.
func (t table) logNormalizer(ratio float64, low, hits int) float64 {
	term, sum, offset := 1.0, 1.0, 0.0
	for x := low; x < min(t.New, hits); x++ {
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

// logReference adds to into, for each odds ratio, the log-likelihood ratio of the new version's hits against a known rate.
func (t table) logReference(odds []float64, tolerance, rate float64, into []float64) {
	null := scaleOdds(rate, tolerance)
	for i, ratio := range odds {
		p := scaleOdds(rate, ratio)
		into[i] += float64(t.NewHits)*math.Log(p/null) + float64(t.New-t.NewHits)*math.Log((1-p)/(1-null))
	}
}

func scaleOdds(rate, ratio float64) float64 { return ratio * rate / (1 - rate + ratio*rate) }

// process is a sequential test: a mixture, over odds ratios and over the round in which a fault may begin, of products of
// e-values. Its value has an expectation of at most 1 at any stopping time while the new version is no worse, so by
// Ville's inequality it ever exceeds 1/a with probability at most a.
type process struct {
	log, scratch   []float64
	rounds, starts int
}

func newProcess(odds []float64) process {
	p := process{log: make([]float64, len(odds)), scratch: make([]float64, len(odds))}
	for i := range p.log {
		p.log[i] = math.Inf(-1)
	}
	return p
}

// The weight of possible start rounds sums to 1: a quarter on the first round, a quarter on the first rounds of later
// steps, since a fault under load begins with a step, and half on all rounds. A fault that begins at any other time
// costs about ln(1000) of evidence, whatever good record the version had before.
const (
	firstWeight = 0.25
	stepWeight  = 0.25 / maxStepStarts
	// maxStepStarts bounds the number of steps, steps back included, that get a weight of their own.
	maxStepStarts = 16
	// startBlock is the number of rounds over which half of the remaining weight is spread evenly.
	startBlock = 500
)

// update multiplies the round's e-values, held in scratch, into the process. first says that a step begins.
func (p *process) update(first bool) {
	weight := math.Pow(2, -float64(2+p.rounds/startBlock)) / startBlock
	switch {
	case p.rounds == 0:
		weight += firstWeight
	case first && p.starts < maxStepStarts:
		p.starts++
		weight += stepWeight
	}
	p.rounds++
	for i, e := range p.scratch {
		p.log[i] = logAdd(p.log[i], math.Log(weight)) + e
		p.scratch[i] = 0
	}
}

// value returns the logarithm of the evidence.
func (p *process) value() float64 {
	total := math.Inf(-1)
	for _, l := range p.log {
		total = logAdd(total, l)
	}
	return total - math.Log(float64(len(p.log)))
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
