package queries

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/api/queries"
	"sniperail.example/sniperail/internal/cli/output"
)

// RouteRequest describes the request to explain. Key is its API key; empty for none.
type RouteRequest struct{ Host, Method, Path, Key string }

// ExplainRoute prints where a request would go.
func (s Session) ExplainRoute(ctx context.Context, r RouteRequest) error {
	if strings.ContainsFunc(r.Key, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return errors.New("the API key must be one word of printable characters")
	}
	query := url.Values{"host": {r.Host}, "method": {r.Method}, "path": {r.Path}}
	var e queries.RouteExplanation
	if err := s.Client.QueryWithKey(ctx, "/explain?"+query.Encode(), r.Key, &e); err != nil {
		return err
	}
	if s.Printer.IsJSON() {
		return s.Printer.JSON(e)
	}
	if err := s.Printer.Table(table.Row{"Field", "Value"}, routeRows(e), ""); err != nil || e.Details == nil {
		return err
	}
	rows := make([]table.Row, 0, len(e.Details.Candidates))
	for _, c := range e.Details.Candidates {
		rows = append(rows, candidateRow(c))
	}
	_ = s.Printer.Line("")
	return s.Printer.Table(table.Row{"Daemon", "Data centre", "Version", "State", "Running", "Queued", "Slots", "Load age", "Wait", "Execution",
		"Notes", "Chance"}, rows, "no targets")
}

func routeRows(e queries.RouteExplanation) []table.Row {
	rows := []table.Row{{"outcome", strings.TrimSpace(e.Outcome + " " + e.Reason)}}
	d := e.Details
	if d == nil {
		if e.Public {
			rows = append(rows, table.Row{"public", true}, table.Row{"tenant", "none: the request has no valid key"})
		}
		return rows
	}
	rows = append(rows, table.Row{"route", d.Route}, table.Row{"public", e.Public}, table.Row{"configuration", d.Number},
		table.Row{"confirmed", confirmationText(d)}, table.Row{"tenant", tenantText(d.Tenant)}, table.Row{"priority", d.Priority})
	for _, share := range d.Shares {
		rows = append(rows, table.Row{"share", fmt.Sprintf("service %s %s, version %s %s",
			share.Service, percent(share.ServiceShare), share.Version, percent(share.VersionShare))})
	}
	for _, r := range d.Refusals {
		rows = append(rows, table.Row{"refused", r.Reason + " " + percent(r.Chance)})
	}
	return rows
}

func confirmationText(d *queries.RouteDetails) string {
	switch {
	case d.Confirmed == nil:
		return "not required"
	case d.ConfirmationAgeMS == nil:
		return strconv.FormatBool(*d.Confirmed)
	}
	return fmt.Sprintf("%t, age %s", *d.Confirmed, millisecondsText(d.ConfirmationAgeMS))
}

func tenantText(t *queries.ExplainedTenant) string {
	switch {
	case t == nil:
		return "-"
	case t.RatePerSecond == 0:
		return fmt.Sprintf("%s, no quota, weight %g", t.Name, t.Weight)
	}
	return fmt.Sprintf("%s, quota %g/s, burst %g, weight %g", t.Name, t.RatePerSecond, t.Burst, t.Weight)
}

func candidateRow(c queries.ExplainedTarget) table.Row {
	running, queued := "-", "-"
	if c.LoadAgeMS != nil {
		running, queued = strconv.Itoa(c.Running), strconv.Itoa(c.Queued)
	}
	var notes []string
	for _, note := range []struct {
		set  bool
		text string
	}{
		{c.Cold, "cold"}, {c.Suspect, "suspect"}, {c.Leaving, "leaving"}, {c.Evacuated, "evacuated"},
		{c.LeftOut != "", "left out: " + c.LeftOut},
	} {
		if note.set {
			notes = append(notes, note.text)
		}
	}
	return table.Row{c.Daemon, c.DataCentre, string(c.Service) + " " + string(c.Version), c.State, running, queued, c.Slots,
		millisecondsText(c.LoadAgeMS), millisecondsText(c.WaitMS), millisecondsText(c.ExecutionMS),
		output.Text(strings.Join(notes, ", ")), percent(c.Chance)}
}

func millisecondsText(ms *float64) string {
	if ms == nil {
		return "-"
	}
	return strconv.FormatFloat(*ms, 'f', -1, 64) + " ms"
}

func percent(fraction float64) string { return strconv.FormatFloat(100*fraction, 'f', 1, 64) + "%" }
