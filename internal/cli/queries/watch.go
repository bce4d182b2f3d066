package queries

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/schollz/progressbar/v3"

	"sniperail.example/sniperail/internal/api/queries"
	"sniperail.example/sniperail/internal/cli/output"
	"sniperail.example/sniperail/internal/client"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/reports"
)

// maxFailedPolls is how many polls in a row may fail before Watch gives up. A daemon that is replaced and a platform
// that restarts both come back within this many polls of half a second.
const maxFailedPolls = 60

// WithdrawnError is the result of watching a move that was taken back.
type WithdrawnError struct {
	Move   model.PlanID
	Reason string
}

// Error names the move and the reason.
func (w *WithdrawnError) Error() string {
	return fmt.Sprintf("move %s was withdrawn: %s", w.Move, w.Reason)
}

// Progress shows a move to a person or a program.
type Progress interface {
	// Update is called after each poll.
	Update(m reports.Move) error
	// Finish is called once, with the move in a final phase.
	Finish(m reports.Move) error
}

// Watch polls a move on each tick until it is done (nil) or withdrawn (*Withdrawn).
func (s Session) Watch(ctx context.Context, id string, ticks <-chan time.Time, progress Progress) error {
	failures := 0
	for {
		m, err := s.move(ctx, id)
		switch {
		case err == nil && !m.Phase.Active():
			if err := progress.Finish(m); err != nil || m.Phase == model.PhaseDone {
				return err
			}
			return &WithdrawnError{Move: m.Move, Reason: m.Reason}
		case err == nil:
			failures = 0
			if err := progress.Update(m); err != nil {
				return err
			}
		default:
			if failures++; failures > maxFailedPolls || !transient(err) {
				return err
			}
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func transient(err error) bool {
	var refusal *client.RefusalError
	return !errors.As(err, &refusal) || refusal.Reason == string(model.OutcomeUnavailable)
}

func (s Session) move(ctx context.Context, id string) (reports.Move, error) {
	var answer queries.List[reports.Move]
	if err := s.Client.Query(ctx, "moves", &answer); err != nil {
		return reports.Move{}, err
	}
	for _, m := range answer.Rows {
		if m.Move == model.PlanID(id) {
			return m, nil
		}
	}
	// A daemon may not have the confirmation yet, so the move may still appear.
	return reports.Move{}, errors.Errorf("no daemon that was asked knows move %q; is its plan confirmed?", id)
}

// LineProgress prints a line for each change of a move.
type LineProgress struct {
	Printer output.Printer
	last    string
}

// Update prints a line if the move changed.
func (l *LineProgress) Update(m reports.Move) error {
	line := fmt.Sprintf("move=%s phase=%s share=%s step=%d/%d number=%d in_force=%s", m.Move, m.Phase, m.Share, m.Step,
		m.Steps, m.Number, m.InForce)
	if m.Reason != "" {
		line += fmt.Sprintf(" reason=%q", m.Reason)
	}
	if line == l.last {
		return nil
	}
	l.last = line
	if l.Printer.IsJSON() {
		return l.Printer.JSON(m)
	}
	return l.Printer.Line("%s", line)
}

// Finish prints the outcome.
func (l *LineProgress) Finish(m reports.Move) error {
	if l.Printer.IsJSON() {
		return l.Printer.JSON(m)
	}
	line := fmt.Sprintf("move=%s outcome=%s share=%s number=%d in_force=%s", m.Move, m.Phase, m.Share, m.Number, m.InForce)
	if m.Reason != "" {
		line += fmt.Sprintf(" reason=%q", m.Reason)
	}
	return l.Printer.Line("%s", line)
}

// BarProgress draws the share of the new version on a terminal.
type BarProgress struct {
	lines *LineProgress
	bar   *progressbar.ProgressBar
}

// NewBarProgress returns a bar on a terminal.
func NewBarProgress(terminal io.Writer) *BarProgress {
	return &BarProgress{
		lines: &LineProgress{Printer: output.Printer{Out: terminal}},
		bar: progressbar.NewOptions(int(model.FullShare), progressbar.OptionSetWriter(terminal),
			progressbar.OptionSetWidth(40), progressbar.OptionSetPredictTime(false), progressbar.OptionSetElapsedTime(true)),
	}
}

// Update redraws the bar.
func (b *BarProgress) Update(m reports.Move) error {
	b.bar.Describe(fmt.Sprintf("%s %s %s -> %s: %s, step %d/%d", m.Move, m.Service, m.From, m.To, m.Phase, m.Step, m.Steps))
	return b.bar.Set(int(m.Share))
}

// Finish ends the bar and prints the outcome below it.
func (b *BarProgress) Finish(m reports.Move) error {
	if err := b.bar.Exit(); err != nil {
		return err
	}
	if err := b.lines.Printer.Line(""); err != nil {
		return err
	}
	return b.lines.Finish(m)
}
