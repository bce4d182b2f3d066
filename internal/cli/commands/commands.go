// Package commands implements the subcommands of sniperail that change state.
package commands

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"sniperail.example/sniperail/internal/cli/output"
	"sniperail.example/sniperail/internal/client"
	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/configfile"
	"sniperail.example/sniperail/internal/model"
)

// Session executes the subcommands of one run of the program.
type Session struct {
	Client  *client.Client
	Printer output.Printer
}

// Declare sends files and prints the resulting plans.
func (s Session) Declare(ctx context.Context, files []string, now time.Time) error {
	declaration, err := configfile.Load(files, configfile.Options{Now: now})
	if err != nil {
		return err
	}
	outcome, err := s.Client.Command(ctx, "declare", configuration.Declare{Change: declaration.Change, Intents: declaration.Intents})
	if err != nil {
		return err
	}
	if s.Printer.IsJSON() {
		return s.Printer.JSON(outcome)
	}
	for i := range outcome.Plans {
		if err := PrintPlan(s.Printer, &outcome.Plans[i]); err != nil {
			return err
		}
	}
	return s.Printer.Line("Nothing has changed yet: a plan takes effect when it is confirmed.")
}

// Confirm puts a plan into effect.
func (s Session) Confirm(ctx context.Context, plan string) error {
	return s.submit(ctx, "confirm", configuration.Confirm{Plan: model.PlanID(plan)}, plan)
}

// Pause stops a move from advancing.
func (s Session) Pause(ctx context.Context, move string) error {
	return s.submit(ctx, "pause", configuration.Pause{Move: model.PlanID(move)}, move)
}

// Resume lets a paused move advance.
func (s Session) Resume(ctx context.Context, move string) error {
	return s.submit(ctx, "resume", configuration.Resume{Move: model.PlanID(move)}, move)
}

// Withdraw withdraws a move: the old version receives all calls again.
func (s Session) Withdraw(ctx context.Context, move, reason string) error {
	return s.submit(ctx, "withdraw", configuration.Withdraw{Move: model.PlanID(move), Reason: reason}, move)
}

func (s Session) submit(ctx context.Context, verb string, command configuration.Command, id string) error {
	outcome, err := s.Client.Command(ctx, verb, command)
	if err != nil {
		return err
	}
	if s.Printer.IsJSON() {
		return s.Printer.JSON(outcome)
	}
	phase := ""
	if outcome.Move != nil {
		phase = fmt.Sprintf(" phase=%s", outcome.Move.Phase)
	}
	return s.Printer.Line("%s=%s outcome=%s number=%d%s", verb, id, outcome.Code, outcome.Number, phase)
}

// PrintPlan prints a plan as tables.
func PrintPlan(p output.Printer, plan *model.Plan) error {
	rows := []table.Row{{"PLAN", plan.ID}, {"BASE NUMBER", plan.Base}}
	if plan.Change != nil {
		rows = append(rows, changeRows(plan.Change)...)
	} else {
		rows = append(rows, table.Row{"MOVE", fmt.Sprintf("%s: %s -> %s", plan.Service, plan.From, plan.To)},
			table.Row{"SET TIME", output.Time(plan.Intent.By)}, table.Row{"EXPECTED BY", output.Time(plan.Latest)},
			table.Row{"IN TIME", map[bool]string{true: "yes", false: "no"}[plan.Feasible]},
			table.Row{"WATCHED FOR", time.Duration(plan.WatchSeconds) * time.Second},
			table.Row{"ROUTES", len(plan.Routes)}, table.Row{"DAEMONS", len(plan.Daemons)})
	}
	if plan.Note != "" {
		rows = append(rows, table.Row{"NOTE", plan.Note})
	}
	for _, condition := range plan.WithdrawnIf {
		rows = append(rows, table.Row{"WITHDRAWN IF", condition})
	}
	if err := p.Table(nil, rows, ""); err != nil {
		return err
	}
	if len(plan.Steps) > 0 {
		steps := make([]table.Row, len(plan.Steps))
		for i, step := range plan.Steps {
			steps[i] = table.Row{i + 1, step.Share, output.Time(step.Earliest), step.MinCalls}
		}
		if err := p.Table(table.Row{"Step", "Share", "Not before", "Calls judged before"}, steps, ""); err != nil {
			return err
		}
	}
	return p.Line("Confirm with: sniperail confirm %s\n", plan.ID)
}

// destination formats the services of a route, with the weights of a split.
func destination(r *model.Route) string {
	if len(r.Split) == 0 {
		return string(r.Service)
	}
	parts := make([]string, len(r.Split))
	for i, part := range r.Split {
		parts[i] = fmt.Sprintf("%s (%d)", part.Service, part.Weight)
	}
	return strings.Join(parts, ", ")
}

func changeRows(c *model.Change) []table.Row {
	var rows []table.Row
	for _, s := range c.Services {
		rows = append(rows, table.Row{"SERVICE", s.Name})
	}
	for _, r := range c.Routes {
		rows = append(rows, table.Row{"ROUTE", fmt.Sprintf("%s: %s%s -> %s", r.Name, r.Host, r.PathPrefix, destination(&r))})
	}
	for _, name := range c.RemoveServices {
		rows = append(rows, table.Row{"REMOVES", "service " + string(name)})
	}
	for _, name := range c.RemoveRoutes {
		rows = append(rows, table.Row{"REMOVES", "route " + string(name)})
	}
	if c.Dashboard != nil {
		rows = append(rows, table.Row{"DASHBOARD", output.Text(c.Dashboard.MoveMetric)})
	}
	return rows
}
