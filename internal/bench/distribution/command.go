package distribution

import (
	"strings"

	"sniperail.example/sniperail/internal/bench/output"
)

// Command is the kong command "distribution" of sniperail-bench.
type Command struct {
	Daemons  []int   `default:"130,325,650,1300" help:"Sizes of the fleet, one run each."`
	Centres  int     `default:"8" help:"Data centres, half of them in each of two regions."`
	Services int     `default:"49" help:"Services of the configuration."`
	Changes  int     `default:"10" help:"Single changes before the burst."`
	Kill     float64 `default:"0.1" help:"Part of the relays killed during every second change."`
	Seed     uint64  `default:"1" help:"Seed of delays, kills and restarts."`
	output.Format
}

// Run measures each size of the fleet and prints the reports.
func (c *Command) Run() error {
	var reports []Report
	for _, n := range c.Daemons {
		reports = append(reports, Run(Options{
			Daemons: n, Centres: c.Centres, Services: c.Services, Changes: c.Changes, Kill: c.Kill, Seed: c.Seed,
		}))
	}
	return c.Print(reports, func() string {
		var text strings.Builder
		for i := range reports {
			_ = reports[i].Print(&text) // a strings.Builder never fails
			text.WriteByte('\n')
		}
		return text.String()
	})
}
