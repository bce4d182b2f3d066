package moves

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"

	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/model"
)

// bayesian is an alternative on the plan's own steps: it withdraws when the posterior probability that the new version
// is worse passes a threshold, looking every second, and goes on when an excess is improbable. It compares the calls of
// the present step, errors and calls slower than the old version's 95th percentile. The prior is the same for every
// service.
type bayesian struct {
	step     int
	fresh    model.OutcomeSum
	old, all model.OutcomeSum
}

const (
	// priorCalls and priorFailures stand for what is known of a service before: one failure in a hundred calls.
	priorCalls, priorFailures = 100, 1
	worseProbability          = 0.999
	excessRate                = 0.02
	excessProbability         = 0.1
)

func (p *bayesian) takeover() { *p = bayesian{step: -2} }

func (p *bayesian) decide(in moves.Inputs, _ [][]model.KeyedSum, driverAlive bool) []moves.Decision {
	if !driverAlive {
		return nil
	}
	m := &in.Configuration.Moves[0]
	if m.Phase == model.PhaseWithdrawing {
		return finishWhenInForce(in, m, model.PhaseWithdrawn)
	}
	if p.step != m.Step {
		p.step, p.fresh, p.old = m.Step, model.OutcomeSum{}, model.OutcomeSum{}
	}
	for _, e := range in.Evidence {
		for _, s := range e.Sums {
			if s.Version == m.To {
				p.fresh.Add(s.OutcomeSum)
			} else {
				p.old.Add(s.OutcomeSum)
				p.all.Add(s.OutcomeSum)
			}
		}
	}
	if p.worse(0) > worseProbability {
		return []moves.Decision{moves.Withdraw{Move: m.ID, Reason: "posterior"}}
	}
	last := len(m.Steps) - 1
	if m.Step == last {
		if in.Now.Sub(m.Since).Seconds() < float64(m.WatchSeconds) {
			return nil
		}
		return finishWhenInForce(in, m, model.PhaseDone)
	}
	if in.Now.Before(m.Steps[m.Step+1].Earliest) || m.Step >= 0 && p.worse(excessRate) > excessProbability {
		return nil
	}
	return []moves.Decision{moves.Advance{Move: m.ID, From: m.Step, To: m.Step + 1}}
}

// worse returns the posterior probability that the new version fails, or is slow, more often by an excess.
func (p *bayesian) worse(excess float64) float64 {
	if p.fresh.Calls == 0 {
		return 0.5
	}
	old := &p.old
	if old.Calls == 0 {
		old = &p.all
	}
	return max(posterior(float64(p.fresh.Failures), float64(p.fresh.Calls), float64(old.Failures), float64(old.Calls), excess),
		posterior(p.slow(&p.fresh), float64(p.fresh.Calls), p.slow(old), float64(old.Calls), excess+0.1))
}

// slow counts the calls above the bucket that holds the old version's 95th percentile.
func (p *bayesian) slow(s *model.OutcomeSum) float64 {
	var above, total uint32
	for _, c := range p.all.Latency {
		total += c
	}
	slow := 0.0
	for b := model.LatencyBuckets - 1; b >= 0; b-- {
		above += p.all.Latency[b]
		if float64(above) > 0.05*float64(total) {
			break
		}
		slow += float64(s.Latency[b])
	}
	return slow
}

// posterior approximates both beta posteriors by normal distributions.
func posterior(freshHits, fresh, oldHits, old, excess float64) float64 {
	moments := func(hits, calls float64) (mean, variance float64) {
		n := calls + priorCalls
		mean = (hits + priorFailures) / n
		return mean, mean * (1 - mean) / (n + 1)
	}
	m1, v1 := moments(freshHits, fresh)
	m0, v0 := moments(oldHits, old)
	return distuv.UnitNormal.CDF((m1 - m0 - excess) / math.Sqrt(v1+v0))
}
