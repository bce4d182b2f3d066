package moves

import (
	"time"

	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/model"
)

// policy decides a move in one run. seen are each data centre's own sums of the last second, for judges in the data
// centres.
type policy interface {
	decide(in moves.Inputs, seen [][]model.KeyedSum, driverAlive bool) []moves.Decision
	// takeover replaces the driver by a fresh one.
	takeover()
}

// Names of the compared policies.
const (
	PolicySequential = "sequential"
	// PolicyDriverOnly is the sequential test in the driver alone, without judges in the data centres.
	PolicyDriverOnly = "driver-only"
	PolicyBayesian   = "posterior"
	PolicyThreshold  = "threshold"
	PolicyRamp       = "ramp"
)

// Policies names all policies; the first three are compared unless Options say otherwise.
var Policies = []string{PolicySequential, PolicyThreshold, PolicyRamp, PolicyBayesian, PolicyDriverOnly}

// sequential is this project's policy: the driver and a judge in each data centre.
type sequential struct {
	constants moves.Policy
	driver    *moves.Driver
	judges    []*moves.Judge
	marks     []model.Mark
}

func newSequential(constants moves.Policy, dataCentres int) *sequential {
	s := &sequential{constants: constants, driver: moves.NewDriver(constants)}
	for range dataCentres {
		s.judges = append(s.judges, moves.NewJudge(constants, moves.Level{Judges: dataCentres}))
	}
	return s
}

func (s *sequential) takeover() { s.driver = moves.NewDriver(s.constants) }

func (s *sequential) decide(in moves.Inputs, seen [][]model.KeyedSum, driverAlive bool) []moves.Decision {
	var decisions []moves.Decision
	for i, j := range s.judges {
		j.Track(in.Configuration)
		j.Observe(moves.Batch{From: in.Now.Add(-time.Second), Sums: seen[i]})
		if len(s.marks) == 0 {
			for _, mark := range j.Marks(in.Configuration, in.Now, "leader") {
				s.marks = append(s.marks, mark)
				decisions = append(decisions, moves.Withhold{Mark: mark})
			}
		}
	}
	if !driverAlive {
		return decisions
	}
	in.Marks = s.marks
	return append(decisions, s.driver.Decide(in)...)
}

// threshold is the first baseline: fixed steps in equal time, withdrawn when more than 5% of at least 20 calls of the
// last ten seconds failed.
type threshold struct {
	start  time.Time
	length time.Duration
	window []rateWindow
}

type rateWindow struct{ calls, failures uint32 }

const (
	thresholdRate    = 0.05
	thresholdCalls   = 20
	thresholdSeconds = 10
	baselineEnd      = 0.9 // part of the time at which a baseline reaches 100%
)

var thresholdSteps = []model.Share{500, 2500, 5000, model.FullShare}

func (p *threshold) takeover() { p.window = nil }

func (p *threshold) decide(in moves.Inputs, _ [][]model.KeyedSum, driverAlive bool) []moves.Decision {
	if !driverAlive {
		return nil
	}
	m := &in.Configuration.Moves[0]
	var w rateWindow
	for _, e := range in.Evidence {
		for _, s := range e.Sums {
			if s.Version == m.To {
				w.calls += s.Calls
				w.failures += s.Failures
			}
		}
	}
	p.window = append(p.window, w)
	if len(p.window) > thresholdSeconds {
		p.window = p.window[1:]
	}
	var sum rateWindow
	for _, w := range p.window {
		sum.calls += w.calls
		sum.failures += w.failures
	}
	if m.Phase == model.PhaseWithdrawing {
		return finishWhenInForce(in, m, model.PhaseWithdrawn)
	}
	if sum.calls >= thresholdCalls && float64(sum.failures) > thresholdRate*float64(sum.calls) {
		return []moves.Decision{moves.Withdraw{Move: m.ID, Reason: "threshold"}}
	}
	return advanceByTime(in, m, p.start, p.length)
}

// ramp is the second baseline: ten equal steps by time alone.
type ramp struct {
	start  time.Time
	length time.Duration
}

func (p *ramp) takeover() {}

func (p *ramp) decide(in moves.Inputs, _ [][]model.KeyedSum, driverAlive bool) []moves.Decision {
	if !driverAlive {
		return nil
	}
	return advanceByTime(in, &in.Configuration.Moves[0], p.start, p.length)
}

const rampSteps = 10

// advanceByTime spreads the steps of a move evenly and finishes it at the end of the time.
func advanceByTime(in moves.Inputs, m *model.Move, start time.Time, length time.Duration) []moves.Decision {
	passed := float64(in.Now.Sub(start)) / (float64(length) * baselineEnd)
	last := len(m.Steps) - 1
	if step := int(passed * float64(last)); step > m.Step && m.Step < last {
		return []moves.Decision{moves.Advance{Move: m.ID, From: m.Step, To: m.Step + 1}}
	}
	if m.Step == last && float64(in.Now.Sub(start)) >= float64(length)*(1+baselineEnd)/2 {
		return finishWhenInForce(in, m, model.PhaseDone)
	}
	return nil
}

func finishWhenInForce(in moves.Inputs, m *model.Move, phase model.Phase) []moves.Decision {
	if in.InForce.Number < m.Number {
		return nil
	}
	return []moves.Decision{moves.Finish{Move: m.ID, Phase: phase}}
}

// replaceSteps gives a baseline its own steps.
func replaceSteps(w *world, name string) {
	m := &w.cfg.Moves[0]
	switch name {
	case PolicyThreshold:
		m.Steps = nil
		for _, share := range thresholdSteps {
			m.Steps = append(m.Steps, model.Step{Share: share})
		}
	case PolicyRamp:
		m.Steps = nil
		for i := range rampSteps {
			m.Steps = append(m.Steps, model.Step{Share: model.FullShare * model.Share(i+1) / rampSteps})
		}
	}
}
