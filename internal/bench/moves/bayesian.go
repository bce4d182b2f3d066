package moves

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"

	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/model"
)

// bayesian is an alternative policy that uses the plan's own steps. Every second it computes the posterior probability
// that the new version is worse. It withdraws the move above a threshold and advances when an excess is improbable. It
// compares the failed calls of the present step, and the calls slower than the old version's 95th percentile. The prior
// is the same for every service.
type bayesian struct {
	step int
	// newSum and oldSum are the outcomes of the present step, oldTotal those of the old version in all steps.
	newSum           model.OutcomeSum
	oldSum, oldTotal model.OutcomeSum
}

const (
	// priorCalls and priorFailures are the prior: one failure in a hundred calls.
	priorCalls, priorFailures = 100, 1
	// A move is withdrawn if the new version is worse with a probability above withdrawProbability. It advances if the
	// probability that the new version is worse by toleratedExcess is at most maxExcessProbability.
	withdrawProbability  = 0.999
	toleratedExcess      = 0.02
	maxExcessProbability = 0.1
)

func (p *bayesian) replaceDriver() { *p = bayesian{step: -2} }

func (p *bayesian) decide(in moves.Inputs, _ [][]model.KeyedSum, driverAlive bool) []moves.Decision {
	if !driverAlive {
		return nil
	}
	m := &in.Configuration.Moves[0]
	if m.Phase == model.PhaseWithdrawing {
		return finishWhenInForce(in, m, model.PhaseWithdrawn)
	}
	if p.step != m.Step {
		p.step, p.newSum, p.oldSum = m.Step, model.OutcomeSum{}, model.OutcomeSum{}
	}
	for _, e := range in.Evidence {
		for _, s := range e.Sums {
			if s.Version == m.To {
				p.newSum.Add(s.OutcomeSum)
			} else {
				p.oldSum.Add(s.OutcomeSum)
				p.oldTotal.Add(s.OutcomeSum)
			}
		}
	}
	if p.probabilityWorse(0) > withdrawProbability {
		return []moves.Decision{moves.Withdraw{Move: m.ID, Reason: "posterior"}}
	}
	last := len(m.Steps) - 1
	if m.Step == last {
		if in.Now.Sub(m.Since).Seconds() < float64(m.WatchSeconds) {
			return nil
		}
		return finishWhenInForce(in, m, model.PhaseDone)
	}
	if in.Now.Before(m.Steps[m.Step+1].Earliest) || m.Step >= 0 && p.probabilityWorse(toleratedExcess) > maxExcessProbability {
		return nil
	}
	return []moves.Decision{moves.Advance{Move: m.ID, From: m.Step, To: m.Step + 1}}
}

// probabilityWorse returns the higher of two posterior probabilities: that the new version fails more often than the old
// one by the excess, and that it is slow more often by the excess plus 0.1. It returns 0.5 if the new version has no calls.
func (p *bayesian) probabilityWorse(excess float64) float64 {
	if p.newSum.Calls == 0 {
		return 0.5
	}
	old := &p.oldSum
	if old.Calls == 0 {
		old = &p.oldTotal
	}
	return max(
		posteriorProbability(float64(p.newSum.Failures), float64(p.newSum.Calls), float64(old.Failures), float64(old.Calls), excess),
		posteriorProbability(p.countSlow(&p.newSum), float64(p.newSum.Calls), p.countSlow(old), float64(old.Calls), excess+0.1))
}

// countSlow counts the calls above the bucket that holds the old version's 95th percentile.
func (p *bayesian) countSlow(s *model.OutcomeSum) float64 {
	var above, total uint32
	for _, c := range p.oldTotal.Latency {
		total += c
	}
	slow := 0.0
	for b := model.LatencyBuckets - 1; b >= 0; b-- {
		above += p.oldTotal.Latency[b]
		if float64(above) > 0.05*float64(total) {
			break
		}
		slow += float64(s.Latency[b])
	}
	return slow
}

// posteriorProbability returns the probability that the rate of hits of the new version exceeds that of the old one by
// more than excess. It approximates both beta posteriors by normal distributions.
func posteriorProbability(newHits, newCalls, oldHits, oldCalls, excess float64) float64 {
	moments := func(hits, calls float64) (mean, variance float64) {
		n := calls + priorCalls
		mean = (hits + priorFailures) / n
		return mean, mean * (1 - mean) / (n + 1)
	}
	m1, v1 := moments(newHits, newCalls)
	m0, v0 := moments(oldHits, oldCalls)
	return distuv.UnitNormal.CDF((m1 - m0 - excess) / math.Sqrt(v1+v0))
}
