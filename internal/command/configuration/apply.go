package configuration

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/model"
)

const (
	// maxEvents is the length of the event feed in the document. At about 200 bytes an event, the feed takes about 50 KB of
	// the 1 MB that the platform stores per document.
	maxEvents = 256
	// maxRecentWrites is the number of write stamps kept in the document, which a writer searches for its own write after a
	// lost response. Reconciliation takes seconds and writes occur about every 41 s, so 64 leaves a wide margin.
	maxRecentWrites = 64
	// maxFinishedMoves is the number of finished moves kept for reports.
	maxFinishedMoves = 64
)

// Stamp is the author, time and unique write ID of a change of the configuration.
type Stamp struct {
	ID  string
	By  string
	Now time.Time
}

// Apply returns the configuration that results from a command, with a number higher by one, or nil and the refusal. The
// plan is used by Confirm only. Apply does not modify c.
func Apply(c *model.Configuration, cmd Command, plan *model.Plan, stamp Stamp) (*model.Configuration, model.Outcome) {
	e := &edit{next: c.Clone(), base: c, stamp: stamp}
	e.next.Number = c.Number + 1
	refusal := e.apply(cmd, plan)
	if refusal != nil {
		return nil, *refusal
	}
	if problems := e.next.Validate(); len(problems) > 0 {
		return nil, model.Outcome{Code: model.OutcomeInvalid, Number: c.Number, Problems: problems}
	}
	e.finalize()
	return e.next, model.Outcome{Code: model.OutcomeApplied, Number: e.next.Number, Move: e.changedMove}
}

// edit is one change in progress.
type edit struct {
	base        *model.Configuration
	next        *model.Configuration
	stamp       Stamp
	changedMove *model.Move
}

func (e *edit) apply(cmd Command, plan *model.Plan) *model.Outcome {
	switch cmd := cmd.(type) {
	case Confirm:
		return e.confirm(plan)
	case Pause:
		return e.pause(cmd)
	case Resume:
		return e.resume(cmd)
	case Withdraw:
		return e.withdraw(cmd)
	case Advance:
		return e.advance(cmd)
	case Finish:
		return e.finish(cmd)
	default:
		panic(errors.Errorf("command %T does not change the configuration", cmd))
	}
}

func (e *edit) refuse(code model.OutcomeCode, format string, args ...any) *model.Outcome {
	o := model.Refused(code, "", fmt.Sprintf(format, args...))
	o.Number = e.base.Number
	return &o
}

func (e *edit) confirm(plan *model.Plan) *model.Outcome {
	if plan.Change != nil {
		return e.confirmChange(plan)
	}
	return e.confirmMove(plan)
}

// checkConflict refuses a plan if one of its services changed after the plan was made. The refusal names both numbers and
// the author of the later change, so that the operator knows whom to ask.
func (e *edit) checkConflict(plan *model.Plan, services ...model.ServiceName) *model.Outcome {
	for _, name := range services {
		s := e.base.Service(name)
		if s == nil || s.Changed <= plan.Base {
			continue
		}
		return e.refuse(model.OutcomeConflict, "plan %s was made at number %d, but service %q changed at number %d by %s",
			plan.ID, plan.Base, name, s.Changed, e.authorOf(s.Changed))
	}
	return nil
}

func (e *edit) authorOf(number model.Number) string {
	for _, w := range e.base.Recent {
		if w.Number == number {
			return w.By
		}
	}
	return "an earlier operator"
}

func (e *edit) confirmMove(plan *model.Plan) *model.Outcome {
	if refusal := e.checkConflict(plan, plan.Service); refusal != nil {
		return refusal
	}
	service := e.next.Service(plan.Service)
	if service == nil {
		return e.refuse(model.OutcomeConflict, "service %q of plan %s does not exist any more", plan.Service, plan.ID)
	}
	if m := e.next.ActiveMove(plan.Service); m != nil {
		return e.refuse(model.OutcomeConflict, "service %q is already moved by %s", plan.Service, m.ID)
	}
	if ref := (model.VersionRef{Service: plan.Service, Version: plan.To}); e.next.IsWithdrawn(ref) {
		return e.refuse(model.OutcomeConflict, "version %s is withdrawn", ref)
	}
	if service.Version(plan.To) == nil {
		service.SetShare(plan.To, 0)
	}
	service.Changed = e.next.Number
	e.next.Moves = append(e.next.Moves, model.Move{
		ID: plan.ID, Service: plan.Service, From: plan.From, To: plan.To, Steps: plan.Steps,
		Deadline: plan.Intent.By, WatchSeconds: plan.WatchSeconds, Phase: model.PhaseRunning, Step: -1,
		Since: e.stamp.Now, Number: e.next.Number, ConfirmedBy: e.stamp.By,
	})
	e.changedMove = &e.next.Moves[len(e.next.Moves)-1]
	e.appendMoveEvent(model.EventConfirmed, e.changedMove, 0, "")
	return nil
}

// activeMove returns an active move, or a refusal if there is none with this ID.
func (e *edit) activeMove(id model.PlanID) (*model.Move, *model.Outcome) {
	m := e.next.Move(id)
	if m == nil {
		return nil, e.refuse(model.OutcomeNotFound, "move %q does not exist", id)
	}
	if !m.Phase.Active() {
		return nil, e.refuse(model.OutcomeConflict, "move %s is already %s", id, m.Phase)
	}
	e.changedMove = m
	return m, nil
}

// setPhase sets the phase of a move and records the time and number of the change.
func (e *edit) setPhase(m *model.Move, phase model.Phase, reason string) {
	m.Phase = phase
	m.Reason = reason
	m.Since = e.stamp.Now
	m.Number = e.next.Number
	if s := e.next.Service(m.Service); s != nil {
		s.Changed = e.next.Number
	}
}

func (e *edit) pause(cmd Pause) *model.Outcome {
	m, refusal := e.activeMove(cmd.Move)
	if refusal != nil {
		return refusal
	}
	if m.Phase != model.PhaseRunning && m.Phase != model.PhaseWatching {
		return e.refuse(model.OutcomeConflict, "move %s is %s and cannot be paused", m.ID, m.Phase)
	}
	m.Resume = m.Phase
	e.setPhase(m, model.PhasePaused, "paused by "+e.stamp.By)
	e.appendMoveEvent(model.EventPaused, m, e.share(m), "")
	return nil
}

func (e *edit) resume(cmd Resume) *model.Outcome {
	m, refusal := e.activeMove(cmd.Move)
	if refusal != nil {
		return refusal
	}
	if m.Phase != model.PhasePaused {
		return e.refuse(model.OutcomeConflict, "move %s is %s and not paused", m.ID, m.Phase)
	}
	e.setPhase(m, m.Resume, "")
	m.Resume = ""
	e.appendMoveEvent(model.EventResumed, m, e.share(m), "")
	return nil
}

func (e *edit) withdraw(cmd Withdraw) *model.Outcome {
	m, refusal := e.activeMove(cmd.Move)
	if refusal != nil {
		return refusal
	}
	if m.Phase == model.PhaseWithdrawing {
		return e.refuse(model.OutcomeConflict, "move %s is already being withdrawn", m.ID)
	}
	service := e.next.Service(m.Service)
	service.SetShare(m.From, model.FullShare)
	service.SetShare(m.To, 0)
	e.next.Withdrawn = append(e.next.Withdrawn, m.Version())
	e.setPhase(m, model.PhaseWithdrawing, cmd.Reason)
	e.appendMoveEvent(model.EventWithdrawing, m, 0, cmd.Reason)
	return nil
}

func (e *edit) advance(cmd Advance) *model.Outcome {
	m, refusal := e.activeMove(cmd.Move)
	if refusal != nil {
		return refusal
	}
	if !cmd.isValidFor(m) {
		return e.refuse(model.OutcomeConflict, "move %s is %s at step %d and cannot go from step %d to %d",
			m.ID, m.Phase, m.Step, cmd.From, cmd.To)
	}
	share := m.Steps[cmd.To].Share
	service := e.next.Service(m.Service)
	service.SetShare(m.To, share)
	service.SetShare(m.From, model.FullShare-share)
	m.Step = cmd.To
	phase, kind, reason := model.PhaseRunning, model.EventStep, ""
	switch {
	case share == model.FullShare:
		phase, kind = model.PhaseWatching, model.EventWatching
	case m.Phase == model.PhasePaused:
		// A step down does not end an operator's pause.
		phase, reason, m.Resume = model.PhasePaused, m.Reason, model.PhaseRunning
	}
	e.setPhase(m, phase, reason)
	e.appendMoveEvent(kind, m, share, cmd.Detail)
	return nil
}

// isValidFor reports whether the move may change its step in this way: one step up while it runs, or one step down from
// the last step, where the old version gets no calls that a suspect new version could be compared with.
func (a Advance) isValidFor(m *model.Move) bool {
	if m.Step != a.From || a.To < 0 || a.To >= len(m.Steps) {
		return false
	}
	up := m.Phase == model.PhaseRunning && a.To == a.From+1
	watching := m.Phase == model.PhaseWatching || m.Phase == model.PhasePaused && m.Resume == model.PhaseWatching
	return up || watching && a.To == a.From-1
}

func (e *edit) finish(cmd Finish) *model.Outcome {
	m, refusal := e.activeMove(cmd.Move)
	if refusal != nil {
		return refusal
	}
	kind := model.EventDone
	want := model.PhaseWatching
	if cmd.Phase == model.PhaseWithdrawn {
		kind, want = model.EventWithdrawn, model.PhaseWithdrawing
	}
	if m.Phase != want {
		return e.refuse(model.OutcomeConflict, "move %s is %s and cannot become %s", m.ID, m.Phase, cmd.Phase)
	}
	reason := m.Reason
	e.setPhase(m, cmd.Phase, reason)
	e.appendMoveEvent(kind, m, e.share(m), cmd.Detail)
	return nil
}

func (e *edit) share(m *model.Move) model.Share {
	if s := e.next.Service(m.Service); s != nil {
		if v := s.Version(m.To); v != nil {
			return v.Share
		}
	}
	return 0
}

// appendMoveEvent appends an event of a move to the event feed.
func (e *edit) appendMoveEvent(kind model.EventKind, m *model.Move, share model.Share, detail string) {
	e.appendEvent(model.MoveEvent{
		Kind: kind, Move: m.ID, Service: m.Service, Version: m.To, Share: share, Detail: detail,
	})
}

func (e *edit) appendEvent(event model.MoveEvent) {
	e.next.LastEvent++
	event.Token = e.next.LastEvent
	event.At = e.stamp.Now
	event.Number = e.next.Number
	event.By = e.stamp.By
	e.next.Events = lastN(append(e.next.Events, event), maxEvents)
}

// finalize adds the write stamp and removes old stamps and finished moves above the limits.
func (e *edit) finalize() {
	w := model.WriteStamp{ID: e.stamp.ID, By: e.stamp.By, At: e.stamp.Now, Number: e.next.Number}
	e.next.LastWrite = w
	e.next.Recent = lastN(append(e.next.Recent, w), maxRecentWrites)
	e.next.Moves = dropFinished(e.next.Moves, maxFinishedMoves)
	if e.changedMove != nil {
		e.changedMove = e.next.Move(e.changedMove.ID)
	}
}

func lastN[T any](items []T, n int) []T {
	return items[max(0, len(items)-n):]
}

// dropFinished removes the oldest finished moves above the bound. It keeps all active moves.
func dropFinished(moves []model.Move, bound int) []model.Move {
	finished := 0
	for i := range moves {
		if !moves[i].Phase.Active() {
			finished++
		}
	}
	kept := moves[:0:0]
	for _, m := range moves {
		if !m.Phase.Active() && finished > bound {
			finished--
			continue
		}
		kept = append(kept, m)
	}
	return kept
}
