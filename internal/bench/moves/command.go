package moves

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// Command is the kong command "moves" of sniperail-bench.
type Command struct {
	Customer string   `default:"most-mladych" help:"Customer whose sizes are used: most-mladych or granite-ledger."`
	Seed     uint64   `default:"1" help:"Seed of the drawn versions and calls."`
	Runs     int      `default:"2000" help:"Moves per policy."`
	Policies []string `help:"Policies to run; the default is all."`
	Output   string   `short:"o" default:"markdown" enum:"markdown,json" help:"markdown or json."`
}

// Run runs the experiment and prints the report.
func (c *Command) Run() error {
	report, err := Run(Options{Customer: c.Customer, Seed: c.Seed, Runs: c.Runs, Policies: c.Policies})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(report), "print report")
	}
	_, err = fmt.Print(report.Markdown())
	return errors.Wrap(err, "print report")
}
