package overload

import (
	"context"
	"time"

	"sniperail.example/sniperail/internal/bench/output"
)

// Command is the kong command "overload" of sniperail-bench.
type Command struct {
	Factors  []float64     `default:"2,5" help:"Multiples of the measured capacity."`
	Duration time.Duration `default:"5s" help:"Length of each run."`
	Seed     uint64        `default:"1" help:"Seed of arrivals and service times."`
	output.Format
}

// Run measures goodput and prints a line for each factor and each way to the targets.
func (c *Command) Run() error {
	rows, err := Run(context.Background(), Options{Factors: c.Factors, Duration: c.Duration, Seed: c.Seed})
	if err != nil {
		return err
	}
	return c.Print(rows, func() string { return output.Lines(rows) })
}
