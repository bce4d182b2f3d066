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

// observed keeps the daemon's own outcomes of services under move for its judge.
func (c *Controller) observed(sums []model.KeyedSum) {
	cfg := c.agent.View().Configuration
	if cfg == nil {
		return
	}
	for _, s := range sums {
		if cfg.ActiveMove(s.Service) != nil {
			c.own = append(c.own, s)
		}
	}
	if len(c.own) > 0 && c.nextJudge.IsZero() {
		c.ownFrom = c.now
		c.nextJudge = c.now.Add(judgeInterval)
	}
}

// judgeOwn lets this daemon withhold a version on its own evidence, without leader, driver or platform.
func (c *Controller) judgeOwn() {
	if c.nextJudge.IsZero() || c.now.Before(c.nextJudge) {
		return
	}
	c.nextJudge = time.Time{}
	view := c.agent.View()
	c.judge.SetLevel(moves.Level{Judges: len(view.Targets)})
	c.judge.Track(view.Configuration)
	c.judge.Observe(moves.Batch{From: c.ownFrom, Sums: c.own})
	c.own = nil
	if marks := c.judge.Marks(view.Configuration, c.now, c.agent.Self().Daemon); len(marks) > 0 {
		c.agent.AddMarks(marks)
	}
}

// nextRoundWake is the time of the driver's next round, or zero if this daemon does not drive.
func (c *Controller) nextRoundWake() time.Time {
	if c.driver == nil {
		return time.Time{}
	}
	return c.nextRound
}

// takeOver starts a driver without evidence: it knows the configuration only and gathers the rest anew.
func (c *Controller) takeOver() {
	c.driver = moves.NewDriver(moves.DefaultPolicy())
	c.nextRound = c.now
	c.agent.SetDriver(true)
	c.agent.TakeEvidence()
	c.agent.Emit(effect.Log{Event: "driving moves"})
}

func (c *Controller) standDown() {
	c.driver = nil
	clear(c.pending)
	clear(c.holds)
	c.agent.SetDriver(false)
	c.agent.Emit(effect.Log{Event: "no longer driving moves"})
}

// drive runs a round of the driver.
func (c *Controller) drive() {
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
		c.decided(d)
	}
	c.reportHolds()
}

// reportHolds gives the reasons of held moves to the agent, which shows them in its status and to the other leaders.
func (c *Controller) reportHolds() {
	holds := make([]message.Hold, 0, len(c.holds))
	for _, move := range slices.Sorted(maps.Keys(c.holds)) {
		holds = append(holds, message.Hold{Move: move, Reason: c.holds[move]})
	}
	c.agent.SetHolds(holds)
}

func (c *Controller) decided(d moves.Decision) {
	switch d := d.(type) {
	case moves.Advance:
		c.write(d.Move, configuration.Advance{Move: d.Move, From: d.From, To: d.To, Detail: d.Detail})
	case moves.Withdraw:
		c.write(d.Move, configuration.Withdraw{Move: d.Move, Reason: d.Reason})
	case moves.Finish:
		c.write(d.Move, configuration.Finish{Move: d.Move, Phase: d.Phase, Detail: d.Detail})
	case moves.Withhold:
		c.agent.AddMarks([]model.Mark{d.Mark})
	case moves.Hold:
		c.hold(d)
	}
}

// hold reports why a move does not go on, once per reason.
func (c *Controller) hold(d moves.Hold) {
	if c.holds[d.Move] == d.Reason {
		return
	}
	c.holds[d.Move] = d.Reason
	c.agent.Emit(effect.Log{Event: "move held", Fields: []effect.Field{
		{Key: "move", Value: string(d.Move)}, {Key: "reason", Value: d.Reason}, {Key: "detail", Value: d.Detail},
	}})
}

// write submits a decision. The driver repeats it each round until the configuration shows it, so one write per move
// is on its way at a time. The fence makes the write fail once another daemon drives.
func (c *Controller) write(move model.PlanID, cmd configuration.Command) {
	if c.pending[move] {
		return
	}
	c.pending[move] = true
	delete(c.holds, move)
	c.writer.Submit(configuration.Request{
		By: driverName, Command: cmd,
		Fence: &store.Compare{Key: store.KeyDriver, UseCreate: true, CreateRevision: int64(c.lease.lease.Term())},
	})
}

// driven takes the outcome of a write of the driver.
func (c *Controller) driven(a configuration.Answer) {
	move := movedBy(a.Request.Command)
	delete(c.pending, move)
	fields := []effect.Field{
		{Key: "move", Value: string(move)}, {Key: "command", Value: commandName(a.Request.Command)},
		{Key: "outcome", Value: string(a.Outcome.Code)}, {Key: "number", Value: fmt.Sprint(a.Outcome.Number)},
	}
	if len(a.Outcome.Problems) > 0 {
		fields = append(fields, effect.Field{Key: "reason", Value: a.Outcome.Problems[0].Reason})
	}
	c.agent.Emit(effect.Log{Event: "move changed", Fields: fields})
	if finish, ok := a.Request.Command.(configuration.Finish); ok && a.Outcome.Code == model.OutcomeApplied {
		c.agent.Emit(effect.Count{Counter: CounterMoves, Reason: string(finish.Phase)})
	}
}

func movedBy(cmd configuration.Command) model.PlanID {
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
