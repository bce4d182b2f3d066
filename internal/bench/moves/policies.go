package moves

import (
	"time"

	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/model"
)

// policy decides a move in one run. localSums are the sums of the last second by data centre; the judge of each data
// centre observes its own.
type policy interface {
	decide(in moves.Inputs, localSums [][]model.KeyedSum, driverAlive bool) []moves.Decision
	// replaceDriver replaces the driver by a new one, which lacks the state of the old one.
	replaceDriver()
}

// Names of the compared policies.
const (
	PolicySequential = "sequential"
	// PolicyDriverOnly runs the sequential test only in the driver, without judges in the data centres.
	PolicyDriverOnly = "driver-only"
	PolicyBayesian   = "posterior"
	PolicyThreshold  = "threshold"
	PolicyRamp       = "ramp"
)

// Policies are the names of all policies; by default the first three are compared.
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

func (s *sequential) replaceDriver() { s.driver = moves.NewDriver(s.constants) }

func (s *sequential) decide(in moves.Inputs, localSums [][]model.KeyedSum, driverAlive bool) []moves.Decision {
	var decisions []moves.Decision
	for i, j := range s.judges {
		j.Track(in.Configuration)
		j.Observe(moves.Batch{From: in.Now.Add(-time.Second), Sums: localSums[i]})
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

// threshold is the first baseline: fixed steps of equal duration. It withdraws the move when more than 5% of at least 20
// calls in the last ten seconds failed.
type threshold struct {
	start    time.Time
	duration time.Duration
	window   []callCounts
}

type callCounts struct{ calls, failures uint32 }

const (
	thresholdFailureRate   = 0.05
	thresholdMinCalls      = 20
	thresholdWindowSeconds = 10
	baselineFullFraction   = 0.9 // a baseline reaches 100% after this fraction of the requested time
)

var thresholdSteps = []model.Share{500, 2500, 5000, model.FullShare}

func (p *threshold) replaceDriver() { p.window = nil }

func (p *threshold) decide(in moves.Inputs, _ [][]model.KeyedSum, driverAlive bool) []moves.Decision {
	if !driverAlive {
		return nil
	}
	m := &in.Configuration.Moves[0]
	var w callCounts
	for _, e := range in.Evidence {
		for _, s := range e.Sums {
			if s.Version == m.To {
				w.calls += s.Calls
				w.failures += s.Failures
			}
		}
	}
	p.window = append(p.window, w)
	if len(p.window) > thresholdWindowSeconds {
		p.window = p.window[1:]
	}
	var sum callCounts
	for _, w := range p.window {
		sum.calls += w.calls
		sum.failures += w.failures
	}
	if m.Phase == model.PhaseWithdrawing {
		return finishWhenInForce(in, m, model.PhaseWithdrawn)
	}
	if sum.calls >= thresholdMinCalls && float64(sum.failures) > thresholdFailureRate*float64(sum.calls) {
		return []moves.Decision{moves.Withdraw{Move: m.ID, Reason: "threshold"}}
	}
	return advanceByTime(in, m, p.start, p.duration)
}

// ramp is the second baseline: ten equal steps that depend on time alone.
type ramp struct {
	start    time.Time
	duration time.Duration
}

func (p *ramp) replaceDriver() {}

func (p *ramp) decide(in moves.Inputs, _ [][]model.KeyedSum, driverAlive bool) []moves.Decision {
	if !driverAlive {
		return nil
	}
	return advanceByTime(in, &in.Configuration.Moves[0], p.start, p.duration)
}

const rampSteps = 10

// advanceByTime advances a move by evenly spaced steps, and finishes it halfway between the last step and the requested
// time.
func advanceByTime(in moves.Inputs, m *model.Move, start time.Time, duration time.Duration) []moves.Decision {
	progress := float64(in.Now.Sub(start)) / (float64(duration) * baselineFullFraction)
	last := len(m.Steps) - 1
	if step := int(progress * float64(last)); step > m.Step && m.Step < last {
		return []moves.Decision{moves.Advance{Move: m.ID, From: m.Step, To: m.Step + 1}}
	}
	if m.Step == last && float64(in.Now.Sub(start)) >= float64(duration)*(1+baselineFullFraction)/2 {
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

// replaceSteps replaces the steps of the plan by those of a baseline.
func replaceSteps(s *simulation, name string) {
	m := &s.configuration.Moves[0]
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
