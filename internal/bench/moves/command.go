package moves

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/query/plans"
)

// Command is the kong command "moves" of sniperail-bench.
type Command struct {
	Customer string   `default:"most-mladych" help:"Customer whose sizes are used: most-mladych or granite-ledger."`
	Seed     uint64   `default:"1" help:"Seed of the drawn versions and calls."`
	Runs     int      `default:"2000" help:"Moves per policy."`
	Policies []string `help:"Policies to run: sequential, threshold, ramp, posterior, driver-only; the default is the first three."`
	// The constants can be varied to show their trade-offs.
	FirstEvidence   float64 `default:"0" help:"Calls that the first step should collect; 0 is the default of plans."`
	Growth          float64 `default:"0" help:"Largest ratio of neighbouring shares; 0 is the default of plans."`
	FalseWithdrawal float64 `default:"0" help:"Bound on the probability of a wrong withdrawal; 0 is the default of the policy."`
	Output          string  `short:"o" default:"markdown" enum:"markdown,json" help:"markdown or json."`
}

// Run runs the experiment and prints the report.
func (c *Command) Run() error {
	constants, schedule := moves.DefaultPolicy(), plans.DefaultScheduleParams()
	if c.FalseWithdrawal > 0 {
		constants.FalseWithdrawal = c.FalseWithdrawal
	}
	if c.FirstEvidence > 0 {
		schedule.FirstEvidence = c.FirstEvidence
	}
	if c.Growth > 1 {
		schedule.Growth = c.Growth
	}
	report, err := Run(Options{
		Customer: c.Customer, Seed: c.Seed, Runs: c.Runs, Policies: c.Policies, Policy: &constants, Schedule: &schedule,
	})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(report), "print report")
	}
	_, err = fmt.Print(report.Markdown())
	return errors.Wrap(err, "print report")
}
