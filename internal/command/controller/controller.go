// Package controller runs operators' commands and drives moves: it extends the agent of a daemon with the writer of
// configuration changes, the judge of the daemon's own calls and, on the leader that holds the driver's lease, the
// driver of all moves.
package controller

import (
	"time"

	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/plans"
	"sniperail.example/sniperail/internal/store"
)

const (
	// roundInterval is how often the driver decides. A withdrawal then follows its evidence within half a second.
	roundInterval = 500 * time.Millisecond
	// judgeInterval is how often a daemon judges its own calls.
	judgeInterval = 500 * time.Millisecond
	// driverName signs the writes of the driver.
	driverName = "driver"
)

// Counters of this package, labelled by reason.
const (
	CounterCommands = "sniperail_commands"
	CounterMoves    = "sniperail_moves"
)

// Controller extends an agent. It runs in the agent's goroutine.
type Controller struct {
	agent  *agent.Agent
	now    time.Time
	writer *configuration.Writer

	lease     *election
	driver    *moves.Driver
	nextRound time.Time
	// pending holds the moves for which a write of the driver is on its way.
	pending map[model.PlanID]bool
	holds   map[model.PlanID]string

	// load is the load of routes as last gathered for a plan.
	load map[model.RouteName]plans.Load

	judge     *moves.Judge
	own       []model.KeyedSum
	ownFrom   time.Time
	nextJudge time.Time
}

// New returns the controller of an agent and adds it to the agent.
func New(a *agent.Agent, codec configuration.Codec) *Controller {
	c := &Controller{
		agent: a, pending: map[model.PlanID]bool{}, holds: map[model.PlanID]string{},
		load: map[model.RouteName]plans.Load{}, judge: moves.NewJudge(moves.DefaultPolicy(), moves.Level{Judges: 1}),
	}
	c.writer = configuration.NewWriter(codec, c.plan, a.Rand())
	c.lease = newElection(c, membership.NewLease(store.KeyDriver, agent.LeaseTTL))
	a.Extend(c)
	return c
}

// Handle sees each event after the agent.
func (c *Controller) Handle(now time.Time, ev effect.Event) {
	c.now = now
	switch ev := ev.(type) {
	case effect.CommandSubmitted:
		c.submitted(ev)
	case effect.OutcomesObserved:
		c.observed(ev.Sums)
	}
	c.lease.run()
	c.judgeOwn()
	c.drive()
	c.pump()
}

// NextWake returns the earliest time at which the controller has something to do.
func (c *Controller) NextWake() time.Time {
	return earliest(c.lease.wake(), c.nextRoundWake(), c.nextJudge, c.writer.NextWake())
}

func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// submitted queues an operator's command. A withdrawal is also spread as a mark, which needs no platform.
func (c *Controller) submitted(ev effect.CommandSubmitted) {
	cmd, ok := ev.Command.(configuration.Command)
	if !ok {
		c.agent.Emit(effect.Answer{Token: ev.Token, Outcome: model.Refused(model.OutcomeInvalid, "", "unknown command")})
		return
	}
	if w, ok := cmd.(configuration.Withdraw); ok {
		c.withhold(w, ev.By)
	}
	request := configuration.Request{Token: ev.Token, By: ev.By, Command: cmd}
	if d, ok := cmd.(configuration.Declare); ok && len(d.Intents) > 0 {
		c.gatherLoad(d.Intents, func() { c.writer.Submit(request) })
		return
	}
	c.writer.Submit(request)
}

// gatherLoad measures the load of the services to move before their plans are made.
func (c *Controller) gatherLoad(intents []model.Intent, done func()) {
	pending := len(intents)
	for _, intent := range intents {
		c.agent.GatherLoad(intent.Service, func(reply *message.LoadReply) {
			for _, r := range reply.Routes {
				c.load[r.Route] = plans.Load{
					CallsPerSecond: r.CallsPerSecond, MeanLatency: time.Duration(r.MeanLatencyMS * float64(time.Millisecond)),
				}
			}
			if pending--; pending == 0 {
				done()
			}
		})
	}
}

func (c *Controller) withhold(w configuration.Withdraw, by string) {
	m := c.agent.View().Configuration.Move(w.Move)
	if m == nil || !m.Phase.Active() {
		return
	}
	c.agent.AddMarks([]model.Mark{{
		VersionRef: m.Version(), Move: m.ID, Reason: "withdrawn by " + by + ": " + w.Reason,
		By: c.agent.Self().Daemon, At: c.now,
	}})
}

// pump moves the writer on: its next call goes out, its answers go back.
func (c *Controller) pump() {
	call, answers := c.writer.Next(c.now)
	c.answer(answers)
	if call == nil {
		return
	}
	c.agent.CallStore(*call, func(result store.Result) {
		c.now = c.agent.Now()
		c.answer(c.writer.Result(c.now, result))
		c.pump()
	})
}

func (c *Controller) answer(answers []configuration.Answer) {
	for _, a := range answers {
		c.agent.Emit(effect.Count{Counter: CounterCommands, Reason: string(a.Outcome.Code)})
		if a.Request.By == driverName && a.Request.Token == 0 {
			c.driven(a)
			continue
		}
		c.logCommand(a)
		c.agent.Emit(effect.Answer{Token: a.Request.Token, Outcome: a.Outcome})
	}
}

func (c *Controller) logCommand(a configuration.Answer) {
	fields := []effect.Field{
		{Key: "command", Value: commandName(a.Request.Command)}, {Key: "by", Value: a.Request.By},
		{Key: "outcome", Value: string(a.Outcome.Code)},
	}
	if len(a.Outcome.Problems) > 0 {
		fields = append(fields, effect.Field{Key: "reason", Value: a.Outcome.Problems[0].Reason})
	}
	c.agent.Emit(effect.Log{Event: "command ended", Fields: fields})
}

func commandName(cmd configuration.Command) string {
	switch cmd.(type) {
	case configuration.Declare:
		return "declare"
	case configuration.Confirm:
		return "confirm"
	case configuration.Pause:
		return "pause"
	case configuration.Resume:
		return "resume"
	case configuration.Withdraw:
		return "withdraw"
	case configuration.Advance:
		return "advance"
	default:
		return "finish"
	}
}

// plan answers an intent from what this daemon knows of targets.
func (c *Controller) plan(cfg *model.Configuration, intent model.Intent, now time.Time, id model.PlanID, by string) (model.Plan, []model.Problem) {
	return plans.ForIntent(plans.Request{
		Configuration: cfg, Intent: intent, Targets: c.agent.View().Targets, Load: c.load, Now: now, ID: id, By: by,
	})
}
