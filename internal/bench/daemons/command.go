package daemons

import (
	"context"

	"sniperail.example/sniperail/internal/bench/output"
)

// Command is the kong command "daemons" of sniperail-bench.
type Command struct {
	Options
	output.Format
}

// Run measures the daemons and prints the report.
func (c *Command) Run() error {
	report, err := Run(context.Background(), c.Options)
	if err != nil {
		return err
	}
	return c.Print(report, report.Text)
}
