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

// maxFailedPolls is the number of successive polls that may fail before Watch returns the error. At the default interval of
// half a second, this covers the replacement of a daemon and a restart of the platform.
const maxFailedPolls = 60

// WithdrawnError is returned by Watch for a move that was withdrawn.
type WithdrawnError struct {
	Move   model.PlanID
	Reason string
}

// Error returns the move and the reason.
func (w *WithdrawnError) Error() string {
	return fmt.Sprintf("move %s was withdrawn: %s", w.Move, w.Reason)
}

// Progress displays the progress of a move.
type Progress interface {
	// Update is called after each poll.
	Update(m reports.Move) error
	// Finish is called once, when the move is in a final phase.
	Finish(m reports.Move) error
}

// Watch polls a move on each tick until it has ended. It returns nil if the move is done, and a *WithdrawnError if it was
// withdrawn.
func (s Session) Watch(ctx context.Context, id string, ticks <-chan time.Time, progress Progress) error {
	failures := 0
	for {
		m, err := s.fetchMove(ctx, id)
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
			if failures++; failures > maxFailedPolls || !isTransient(err) {
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

// isTransient reports whether the next poll may succeed after err.
func isTransient(err error) bool {
	var refusal *client.RefusalError
	return !errors.As(err, &refusal) || refusal.Reason == string(model.OutcomeUnavailable)
}

func (s Session) fetchMove(ctx context.Context, id string) (reports.Move, error) {
	var response queries.List[reports.Move]
	if err := s.Client.Query(ctx, "moves", &response); err != nil {
		return reports.Move{}, err
	}
	for _, m := range response.Rows {
		if m.Move == model.PlanID(id) {
			return m, nil
		}
	}
	// The daemon may not have received the confirmation yet. This error is transient, because a later poll may find the move.
	return reports.Move{}, errors.Errorf("no daemon that was asked knows move %q; is its plan confirmed?", id)
}

// LineProgress prints one line for each change of a move.
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

// BarProgress shows the new version's share as a progress bar on a terminal.
type BarProgress struct {
	lines *LineProgress
	bar   *progressbar.ProgressBar
}

// NewBarProgress returns a progress bar that writes to a terminal.
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

// Finish ends the bar and prints the outcome on a new line.
func (b *BarProgress) Finish(m reports.Move) error {
	if err := b.bar.Exit(); err != nil {
		return err
	}
	if err := b.lines.Printer.Line(""); err != nil {
		return err
	}
	return b.lines.Finish(m)
}
