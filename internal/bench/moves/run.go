package moves

import (
	"runtime"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/query/plans"
)

// Options select what Run measures.
type Options struct {
	Customer string
	Seed     uint64
	Runs     int
	// Workers bounds the goroutines; 0 means a third of the cores.
	Workers int
	// Policy holds the constants to measure; nil means moves.DefaultPolicy.
	Policy *moves.Policy
	// Schedule holds the constants of the plan's steps; nil means plans.DefaultScheduleParams.
	Schedule *plans.ScheduleParams
	// Policies names the policies to run; empty means the first three of the variable Policies.
	Policies []string
}

// Run measures each policy on the same scenarios. It returns an error for an unknown customer or policy.
func Run(o Options) (Report, error) {
	c, err := customerByName(o.Customer)
	if err != nil {
		return Report{}, err
	}
	if len(o.Policies) == 0 {
		o.Policies = Policies[:3]
	}
	for _, name := range o.Policies {
		if !slices.Contains(Policies, name) {
			return Report{}, errors.Errorf("policy %q is unknown; allowed: %v", name, Policies)
		}
	}
	if o.Workers == 0 {
		o.Workers = max(runtime.NumCPU()/3, 1)
	}
	constants := moves.DefaultPolicy()
	if o.Policy != nil {
		constants = *o.Policy
	}
	report := Report{Customer: o.Customer, Seed: o.Seed, Runs: o.Runs}
	for _, name := range o.Policies {
		results := make([]result, o.Runs)
		var group errgroup.Group
		group.SetLimit(o.Workers)
		for i := range o.Runs {
			group.Go(func() error {
				results[i] = simulateMove(drawScenario(c, o.Seed, i), name, constants, o.Schedule)
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return Report{}, err
		}
		report.Policies = append(report.Policies, summarize(name, results))
	}
	return report, nil
}

func newPolicy(name string, sc *scenario, constants moves.Policy) policy {
	switch name {
	case PolicyThreshold:
		return &threshold{start: epoch, duration: sc.duration}
	case PolicyDriverOnly:
		return newSequential(constants, 0)
	case PolicyBayesian:
		return &bayesian{step: -2}
	case PolicyRamp:
		return &ramp{start: epoch, duration: sc.duration}
	}
	return newSequential(constants, len(sc.customer.dataCentres))
}

// maxDurationFactor bounds the duration of a run, as a multiple of the requested time of the move.
const maxDurationFactor = 1.5

// simulateMove simulates one move in steps of one second until it ends.
func simulateMove(sc scenario, name string, constants moves.Policy, schedule *plans.ScheduleParams) result {
	s := newSimulation(&sc, schedule)
	replaceSteps(s, name)
	p := newPolicy(name, &sc, constants)
	driverAlive := true
	for t := 0.0; t < sc.duration.Seconds()*maxDurationFactor; t++ {
		localSums := s.simulateSecond(t)
		now := t + 1
		driverUp := !sc.driverOutage.contains(now)
		if driverUp && !driverAlive {
			p.replaceDriver()
		}
		driverAlive = driverUp
		in := s.inputsIfAlive(now, driverAlive)
		for _, decision := range p.decide(in, localSums, driverAlive) {
			s.applyDecision(now, decision)
		}
		if s.result.finalPhase != "" {
			break
		}
	}
	return s.result
}

// inputsIfAlive returns the inputs of the driver. Reports that arrive while no driver is alive are discarded.
func (s *simulation) inputsIfAlive(t float64, driverAlive bool) moves.Inputs {
	in := s.takeInputs(t)
	if !driverAlive {
		in.Evidence = nil
	}
	return in
}
