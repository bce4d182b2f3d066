// Package queries implements the subcommands of sniperail that do not change state.
package queries

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"sniperail.example/sniperail/internal/api/queries"
	"sniperail.example/sniperail/internal/cli/output"
	"sniperail.example/sniperail/internal/client"
	"sniperail.example/sniperail/internal/configfile"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/reports"
)

// Session executes the subcommands of one run of the program.
type Session struct {
	Client  *client.Client
	Printer output.Printer
}

// ReportNames lists the reports that Get accepts, separated by commas.
const ReportNames = "moves,plans,versions,daemons,targets,status"

// Get prints one report.
func (s Session) Get(ctx context.Context, report string) error {
	switch report {
	case "moves":
		return printList(ctx, s, report, moveHeader, moveRow)
	case "plans":
		return printList(ctx, s, report, planHeader, planRow)
	case "versions":
		return printList(ctx, s, report, versionHeader, versionRow)
	case "daemons":
		return printList(ctx, s, report, daemonHeader, daemonRow)
	case "targets":
		return printList(ctx, s, report, targetHeader, targetRow)
	}
	return s.status(ctx)
}

// printList prints a report that consists of rows.
func printList[T any](ctx context.Context, s Session, report string, header table.Row, row func(T) table.Row) error {
	var response queries.List[T]
	if err := s.Client.Query(ctx, report, &response); err != nil {
		return err
	}
	if s.Printer.IsJSON() {
		return s.Printer.JSON(response)
	}
	rows := make([]table.Row, len(response.Rows))
	for i := range response.Rows {
		rows[i] = row(response.Rows[i])
	}
	return s.Printer.Table(header, rows, "no "+report)
}

var (
	moveHeader    = table.Row{"Move", "Service", "From", "To", "Phase", "Share", "Step", "Set time", "In force", "Withheld", "Reason"}
	planHeader    = table.Row{"Plan", "Kind", "Service", "To", "Set time", "In time", "State", "Declared", "By"}
	versionHeader = table.Row{"Service", "Version", "Share", "Ready", "Slots", "Withdrawn", "Withheld"}
	daemonHeader  = table.Row{"Daemon", "Data centre", "Region", "State", "Since", "Refused", "Reason"}
	targetHeader  = table.Row{"Daemon", "Service", "Version", "Data centre", "State", "Since", "Slots", "Connections", "Address"}
)

func moveRow(m reports.Move) table.Row {
	return table.Row{m.Move, m.Service, m.From, m.To, m.Phase, m.Share, fmt.Sprintf("%d/%d", m.Step, m.Steps),
		output.Time(m.Deadline), m.InForce, m.Withheld, output.Text(m.Reason)}
}

func planRow(p reports.Plan) table.Row {
	if p.Change != nil {
		return table.Row{p.ID, "change", "-", "-", "-", "-", p.State, output.Time(p.At), output.Text(p.By)}
	}
	return table.Row{p.ID, "move", p.Service, p.To, output.Time(p.Intent.By), yesOrNo(p.Feasible), p.State, output.Time(p.At),
		output.Text(p.By)}
}

func versionRow(v reports.Version) table.Row {
	ready, slots := "unknown", "unknown"
	if v.TargetsKnown {
		ready, slots = fmt.Sprintf("%d/%d", v.Ready, v.Targets), strconv.Itoa(v.Slots)
	}
	return table.Row{v.Service, v.Version, v.Share, ready, slots, yesOrNo(v.Withdrawn), v.Withheld}
}

func daemonRow(d reports.Daemon) table.Row {
	refused := "-"
	if d.Refused > 0 {
		refused = strconv.FormatUint(uint64(d.Refused), 10)
	}
	return table.Row{d.Daemon, d.DataCentre, output.Text(d.Region), d.State, output.Time(d.Since), refused, output.Text(d.Reason)}
}

func targetRow(t model.Target) table.Row {
	return table.Row{t.Daemon, t.Service, t.Version, t.DataCentre, t.State, output.Time(t.Since), t.Slots, t.Connections, t.Address}
}

func yesOrNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func (s Session) status(ctx context.Context) error {
	var status reports.Status
	if err := s.Client.Query(ctx, "status", &status); err != nil {
		return err
	}
	if s.Printer.IsJSON() {
		return s.Printer.JSON(status)
	}
	rows := []table.Row{
		{"NUMBER", status.Number}, {"IN FORCE", status.InForce}, {"LOWEST NUMBER", status.Lowest},
		{"LIVE DAEMONS", status.Live}, {"ACTIVE MOVES", status.ActiveMoves},
		{"DATA CENTRE", output.Text(status.DataCentre)}, {"LEADER", output.Text(status.Leader)}, {"TERM", status.Term},
		{"AT", output.Time(status.At)},
	}
	for _, silent := range status.Silent {
		rows = append(rows, table.Row{"SILENT", fmt.Sprintf("%s in %s since %s", silent.Daemon, silent.DataCentre, output.Time(silent.Since))})
	}
	for _, blind := range status.Blind {
		rows = append(rows, table.Row{"NO REPORT FROM", blind})
	}
	for _, r := range status.Refusals {
		rows = append(rows, table.Row{"REFUSED", fmt.Sprintf("%s refused %d: %s", r.Daemon, r.Number, r.Reason)})
	}
	for i := range status.Marks {
		m := &status.Marks[i]
		rows = append(rows, table.Row{"WITHHELD", fmt.Sprintf("%s by %s: %s", m.VersionRef, m.By, m.Reason)})
	}
	return s.Printer.Table(nil, rows, "")
}

// Events prints the events after a token, and the token after which the next call continues.
func (s Session) Events(ctx context.Context, after uint64) error {
	var feed reports.Feed
	if err := s.Client.Query(ctx, "events?"+url.Values{"after": {strconv.FormatUint(after, 10)}}.Encode(), &feed); err != nil {
		return err
	}
	if s.Printer.IsJSON() {
		return s.Printer.JSON(feed)
	}
	rows := make([]table.Row, len(feed.Events))
	for i, e := range feed.Events {
		rows[i] = table.Row{e.Token, output.Time(e.At), e.Kind, output.Text(e.Move), output.Text(e.Service), output.Text(e.Version),
			e.Share, e.Number, output.Text(e.By), output.Text(e.Detail)}
	}
	if feed.Missed {
		if err := s.Printer.Line("events after %d are no longer kept in full", after); err != nil {
			return err
		}
	}
	header := table.Row{"Token", "At", "Event", "Move", "Service", "Version", "Share", "Number", "By", "Detail"}
	if err := s.Printer.Table(header, rows, "no events"); err != nil {
		return err
	}
	return s.Printer.Line("next=%d", feed.Next)
}

// Check validates files without a server. Every reference must resolve within the files.
func (s Session) Check(files []string, now time.Time) error {
	d, err := configfile.Load(files, configfile.Options{Now: now, SelfContained: true})
	if err != nil {
		return err
	}
	if s.Printer.IsJSON() {
		return s.Printer.JSON(d)
	}
	var services, routes int
	if d.Change != nil {
		services, routes = len(d.Change.Services), len(d.Change.Routes)
	}
	return s.Printer.Line("files=%d services=%d routes=%d moves=%d", len(files), services, routes, len(d.Intents))
}
