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
	// Policies names the policies to run; none means the first three of the list.
	Policies []string
}

// Run measures each policy on the same draws. It returns an error for an unknown customer or policy.
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
				results[i] = runOne(drawRun(c, o.Seed, i), name, constants, o.Schedule)
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

func newPolicy(name string, d *draw, constants moves.Policy) policy {
	switch name {
	case PolicyThreshold:
		return &threshold{start: epoch, length: d.length}
	case PolicyDriverOnly:
		return newSequential(constants, 0)
	case PolicyBayesian:
		return &bayesian{step: -2}
	case PolicyRamp:
		return &ramp{start: epoch, length: d.length}
	}
	return newSequential(constants, len(d.customer.dataCentres))
}

// overtime is how far past the requested time a run goes on, as a factor of the time.
const overtime = 1.5

// runOne runs one move by the second until it ends.
func runOne(d draw, name string, constants moves.Policy, schedule *plans.ScheduleParams) result {
	w := newWorld(&d, schedule)
	replaceSteps(w, name)
	p := newPolicy(name, &d, constants)
	alive := true
	for t := 0.0; t < d.length.Seconds()*overtime; t++ {
		seen := w.second(t)
		now := t + 1
		up := !d.takeover.at(now)
		if up && !alive {
			p.takeover()
		}
		alive = up
		in := w.inputsFor(now, alive)
		for _, decision := range p.decide(in, seen, alive) {
			w.apply(now, decision)
		}
		if w.result.finished != "" {
			break
		}
	}
	return w.result
}

// inputsFor leaves the reports where they are while no driver is alive: they reach the next one late, or never.
func (w *world) inputsFor(t float64, driverAlive bool) moves.Inputs {
	in := w.inputs(t)
	if !driverAlive {
		in.Evidence = nil
	}
	return in
}
