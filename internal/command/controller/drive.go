package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// handleObserved keeps the outcomes that this daemon observed of services under move, for its judge.
func (c *Controller) handleObserved(sums []model.KeyedSum) {
	cfg := c.agent.View().Configuration
	if cfg == nil {
		return
	}
	for _, s := range sums {
		if cfg.ActiveMove(s.Service) != nil {
			c.localSums = append(c.localSums, s)
		}
	}
	if len(c.localSums) > 0 && c.nextJudge.IsZero() {
		c.localSumsFrom = c.now
		c.nextJudge = c.now.Add(judgeInterval)
	}
}

// judgeLocalCalls withholds versions that the outcomes observed by this daemon prove bad. It needs neither the leader nor
// the driver nor the platform.
func (c *Controller) judgeLocalCalls() {
	if c.nextJudge.IsZero() || c.now.Before(c.nextJudge) {
		return
	}
	c.nextJudge = time.Time{}
	view := c.agent.View()
	c.judge.SetLevel(moves.Level{Judges: len(view.Targets)})
	c.judge.Track(view.Configuration)
	c.judge.Observe(moves.Batch{From: c.localSumsFrom, Sums: c.localSums})
	c.localSums = nil
	if marks := c.judge.Marks(view.Configuration, c.now, c.agent.Self().Daemon); len(marks) > 0 {
		c.agent.AddMarks(marks)
	}
}

// nextRoundWake returns the time of the driver's next round, or the zero time if this daemon does not drive.
func (c *Controller) nextRoundWake() time.Time {
	if c.driver == nil {
		return time.Time{}
	}
	return c.nextRound
}

// startDriver starts a driver without evidence. It discards the evidence collected so far, so that the driver starts from
// the configuration only.
func (c *Controller) startDriver() {
	c.driver = moves.NewDriver(moves.DefaultPolicy())
	c.nextRound = c.now
	c.agent.SetDriver(true)
	c.agent.TakeEvidence()
	c.agent.Emit(effect.Log{Event: "driving moves"})
}

func (c *Controller) stopDriver() {
	c.driver = nil
	clear(c.pending)
	clear(c.holds)
	c.agent.SetDriver(false)
	c.agent.Emit(effect.Log{Event: "no longer driving moves"})
}

// runDriverRound runs a round of the driver if one is due.
func (c *Controller) runDriverRound() {
	if c.driver == nil || c.now.Before(c.nextRound) {
		return
	}
	c.nextRound = c.now.Add(roundInterval)
	document, _ := c.agent.Document()
	if document == nil {
		return
	}
	view := c.agent.View()
	decisions := c.driver.Decide(moves.Inputs{
		Now: c.now, Configuration: document, Evidence: c.agent.TakeEvidence(), Targets: view.Targets,
		InForce: c.agent.InForce(), Marks: view.Marks, By: c.agent.Self().Daemon,
	})
	for _, d := range decisions {
		c.applyDecision(d)
	}
	c.reportHolds()
}

// reportHolds passes the reasons of held moves to the agent, which reports them in its status and to the other leaders.
func (c *Controller) reportHolds() {
	holds := make([]message.Hold, 0, len(c.holds))
	for _, move := range slices.Sorted(maps.Keys(c.holds)) {
		holds = append(holds, message.Hold{Move: move, Reason: c.holds[move]})
	}
	c.agent.SetHolds(holds)
}

func (c *Controller) applyDecision(d moves.Decision) {
	switch d := d.(type) {
	case moves.Advance:
		c.submitWrite(d.Move, configuration.Advance{Move: d.Move, From: d.From, To: d.To, Detail: d.Detail})
	case moves.Withdraw:
		c.submitWrite(d.Move, configuration.Withdraw{Move: d.Move, Reason: d.Reason})
	case moves.Finish:
		c.submitWrite(d.Move, configuration.Finish{Move: d.Move, Phase: d.Phase, Detail: d.Detail})
	case moves.Withhold:
		c.agent.AddMarks([]model.Mark{d.Mark})
	case moves.Hold:
		c.recordHold(d)
	}
}

// recordHold records and logs why a move does not advance, once per reason.
func (c *Controller) recordHold(d moves.Hold) {
	if c.holds[d.Move] == d.Reason {
		return
	}
	c.holds[d.Move] = d.Reason
	c.agent.Emit(effect.Log{Event: "move held", Fields: []effect.Field{
		{Key: "move", Value: string(d.Move)}, {Key: "reason", Value: d.Reason}, {Key: "detail", Value: d.Detail},
	}})
}

// submitWrite submits a decision of the driver to the writer unless a write for the move is in progress: the driver
// repeats a decision in each round until the configuration reflects it. The fence makes the write fail once another
// daemon drives.
func (c *Controller) submitWrite(move model.PlanID, cmd configuration.Command) {
	if c.pending[move] {
		return
	}
	c.pending[move] = true
	delete(c.holds, move)
	c.writer.Submit(configuration.Request{
		By: driverName, Command: cmd,
		Fence: &store.Compare{Key: store.KeyDriver, UseCreate: true, CreateRevision: int64(c.election.lease.Term())},
	})
}

// handleDriverWrite handles the outcome of a write of the driver.
func (c *Controller) handleDriverWrite(r configuration.Response) {
	move := moveOf(r.Request.Command)
	delete(c.pending, move)
	fields := []effect.Field{
		{Key: "move", Value: string(move)}, {Key: "command", Value: commandName(r.Request.Command)},
		{Key: "outcome", Value: string(r.Outcome.Code)}, {Key: "number", Value: fmt.Sprint(r.Outcome.Number)},
	}
	if len(r.Outcome.Problems) > 0 {
		fields = append(fields, effect.Field{Key: "reason", Value: r.Outcome.Problems[0].Reason})
	}
	c.agent.Emit(effect.Log{Event: "move changed", Fields: fields})
	if finish, ok := r.Request.Command.(configuration.Finish); ok && r.Outcome.Code == model.OutcomeApplied {
		c.agent.Emit(effect.Count{Counter: CounterMoves, Reason: string(finish.Phase)})
	}
}

func moveOf(cmd configuration.Command) model.PlanID {
	switch cmd := cmd.(type) {
	case configuration.Advance:
		return cmd.Move
	case configuration.Withdraw:
		return cmd.Move
	case configuration.Finish:
		return cmd.Move
	default:
		return ""
	}
}
