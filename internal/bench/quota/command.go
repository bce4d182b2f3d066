package quota

import (
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"sniperail.example/sniperail/internal/bench/output"
)

// Command is the kong command "quota" of sniperail-bench.
type Command struct {
	Daemons   []int         `default:"66,300,1300" help:"Numbers of daemons."`
	Scenarios []string      `help:"Names of the scenarios; empty runs all."`
	Duration  time.Duration `default:"20s" help:"Virtual time that is measured in each scenario."`
	Delay     time.Duration `default:"2ms" help:"Longest time of a message, beyond half a millisecond."`
	Seed      uint64        `default:"1" help:"Seed of arrivals, delays and losses."`
	output.Format
}

// Run prints a row for each scenario and number of daemons.
func (c *Command) Run() error {
	var rows []Row
	for _, n := range c.Daemons {
		for _, s := range scenarios {
			if len(c.Scenarios) == 0 || contains(c.Scenarios, s.name) {
				rows = append(rows, measure(s, n, c.Duration, c.Delay, c.Seed))
			}
		}
	}
	return c.Print(rows, func() string { return render(rows) })
}

func contains(names []string, name string) bool {
	return strings.Contains(","+strings.Join(names, ",")+",", ","+name+",")
}

// render formats the rows as a Markdown table.
func render(rows []Row) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"daemons", "scenario", "messages/s", "busiest", "bytes/s", "busiest", "worst window / limit",
		"missing", "equal shares: worst", "missing"})
	for _, r := range rows {
		t.AppendRow(table.Row{r.Daemons, r.Scenario, format(r.Messages, 1), format(r.BusiestMessages, 1), format(r.Bytes, 0),
			format(r.BusiestBytes, 0), format(r.Worst, 3), percent(r.Missing), format(r.EqualWorst, 3), percent(r.EqualMissing)})
	}
	return t.RenderMarkdown() + "\n"
}
