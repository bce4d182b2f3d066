package latency

import (
	"context"
	"time"

	"sniperail.example/sniperail/internal/bench/output"
)

// Command is the kong command "latency" of sniperail-bench.
type Command struct {
	Sizes    []int         `default:"1024,65536" help:"Sizes of responses in bytes."`
	Loads    []float64     `default:"0.3,0.7" help:"Parts of the measured capacity."`
	Duration time.Duration `default:"5s" help:"Length of each run."`
	Seed     uint64        `default:"1" help:"Seed of the arrivals."`
	Workers  int           `default:"64" help:"Workers of the load generator."`
	output.Format
}

// Run measures the added latency and prints a line for each size and load.
func (c *Command) Run() error {
	rows, err := Run(context.Background(), Options{
		Sizes: c.Sizes, Loads: c.Loads, Duration: c.Duration, Seed: c.Seed, Workers: c.Workers,
	})
	if err != nil {
		return err
	}
	return c.Print(rows, func() string { return output.Lines(rows) })
}
