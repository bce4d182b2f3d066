package placement

import (
	"time"

	"sniperail.example/sniperail/internal/bench/output"
)

// Command is the kong command "placement" of sniperail-bench.
type Command struct {
	Daemons     []int         `default:"30,100,300,1300" help:"Numbers of daemons that call the service."`
	Centres     []int         `default:"4" help:"Numbers of data centres, over which daemons and targets are spread."`
	Utilization float64       `default:"0.75" help:"Load as a part of the capacity of all targets."`
	Length      time.Duration `default:"60s" help:"Virtual time of each run; targets that change do so in its middle."`
	Seed        uint64        `default:"1" help:"Seed of arrivals, execution times and noise."`
	output.Format
}

// Run plays each scenario with each policy and prints a table.
func (c *Command) Run() error {
	var rows []Row
	for _, daemons := range c.Daemons {
		for _, centres := range c.Centres {
			rows = append(rows, Run(Options{daemons, max(centres, 1), c.Utilization, c.Length, c.Seed})...)
		}
	}
	return c.Print(rows, func() string { return Markdown(rows) })
}

// Run plays each scenario with each policy.
func Run(o Options) []Row {
	var rows []Row
	for _, s := range scenarios(o.Seed) {
		for _, p := range policies() {
			r := newRun(&s, p, o)
			r.play()
			rows = append(rows, r.row())
		}
	}
	return rows
}
