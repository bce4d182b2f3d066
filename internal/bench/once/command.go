package once

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/bench/output"
)

// Command is the kong command "once" of sniperail-bench.
type Command struct {
	Seed        uint64 `default:"1" help:"Seed of submissions, kills and faults."`
	Identities  int    `default:"400" help:"Distinct requests."`
	Submissions int    `default:"4000" help:"Submissions of them."`
	output.Format
}

// Run counts the executions of each identity. It fails if a request was executed more than once, or if a repeated
// submission got a wrong response.
func (c *Command) Run() error {
	config := DefaultConfig(c.Seed)
	config.Identities, config.Submissions = c.Identities, c.Submissions
	report, err := Run(context.Background(), config)
	if err != nil {
		return err
	}
	if err := c.Print(report, report.text); err != nil {
		return err
	}
	if report.Repeated > 0 || report.WrongReplays > 0 {
		return errors.Errorf("%d executions beyond one per identity, %d wrong replays", report.Repeated, report.WrongReplays)
	}
	return nil
}

func (r Report) text() string {
	text := fmt.Sprintf("seed=%d submissions=%d executions=%d identities_executed=%d repeated=%d wrong_replays=%d kills=%d lost=%d seconds=%.1f\n",
		r.Seed, r.Submissions, r.Executions, r.Executed, r.Repeated, r.WrongReplays, r.Kills, r.Dropped, r.Seconds)
	for _, name := range slices.Sorted(maps.Keys(r.Decisions)) {
		text += fmt.Sprintf("decision=%q count=%d\n", name, r.Decisions[name])
	}
	return text
}
