// Package controller performs operators' commands and drives moves. It extends the agent of a daemon with the writer of
// configuration changes, with a judge of the outcomes that this daemon observed and, on the leader that holds the
// driver's lease, with the driver of all moves.
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
	// roundInterval is the interval of the driver's rounds. A version is withdrawn within half a second of its evidence.
	roundInterval = 500 * time.Millisecond
	// judgeInterval is the interval at which a daemon judges the outcomes that it observed itself.
	judgeInterval = 500 * time.Millisecond
	// driverName is the author of the driver's writes.
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

	election  *election
	driver    *moves.Driver
	nextRound time.Time
	// pending holds the moves with a write of the driver in progress.
	pending map[model.PlanID]bool
	// holds are the reasons why moves do not advance, as last logged.
	holds map[model.PlanID]string

	// load is the load of routes as last collected for a plan.
	load map[model.RouteName]plans.Load

	judge         *moves.Judge
	localSums     []model.KeyedSum
	localSumsFrom time.Time
	nextJudge     time.Time
}

// New returns the controller of an agent and adds it to the agent.
func New(a *agent.Agent, codec configuration.Codec) *Controller {
	c := &Controller{
		agent: a, pending: map[model.PlanID]bool{}, holds: map[model.PlanID]string{},
		load: map[model.RouteName]plans.Load{}, judge: moves.NewJudge(moves.DefaultPolicy(), moves.Level{Judges: 1}),
	}
	c.writer = configuration.NewWriter(codec, c.plan, a.Rand())
	c.election = newElection(c, membership.NewLease(store.KeyDriver, agent.LeaseTTL))
	a.Extend(c)
	return c
}

// Handle handles each event after the agent has handled it.
func (c *Controller) Handle(now time.Time, ev effect.Event) {
	c.now = now
	switch ev := ev.(type) {
	case effect.CommandSubmitted:
		c.handleSubmitted(ev)
	case effect.OutcomesObserved:
		c.handleObserved(ev.Sums)
	}
	c.election.run()
	c.judgeLocalCalls()
	c.runDriverRound()
	c.advanceWriter()
}

// NextWake returns the earliest time at which the controller has something to do.
func (c *Controller) NextWake() time.Time {
	return earliest(c.election.nextWake(), c.nextRoundWake(), c.nextJudge, c.writer.NextWake())
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

// handleSubmitted queues an operator's command. A withdrawal is also distributed as a mark, which does not need the platform.
func (c *Controller) handleSubmitted(ev effect.CommandSubmitted) {
	cmd, ok := ev.Command.(configuration.Command)
	if !ok {
		c.agent.Emit(effect.Answer{Token: ev.Token, Outcome: model.Refused(model.OutcomeInvalid, "", "unknown command")})
		return
	}
	if w, ok := cmd.(configuration.Withdraw); ok {
		c.addWithdrawalMark(w, ev.By)
	}
	request := configuration.Request{Token: ev.Token, By: ev.By, Command: cmd}
	if d, ok := cmd.(configuration.Declare); ok && len(d.Intents) > 0 {
		c.gatherLoad(d.Intents, func() { c.writer.Submit(request) })
		return
	}
	c.writer.Submit(request)
}

// gatherLoad collects the load of the services to move and then calls done.
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

func (c *Controller) addWithdrawalMark(w configuration.Withdraw, by string) {
	m := c.agent.View().Configuration.Move(w.Move)
	if m == nil || !m.Phase.Active() {
		return
	}
	c.agent.AddMarks([]model.Mark{{
		VersionRef: m.Version(), Move: m.ID, Reason: "withdrawn by " + by + ": " + w.Reason,
		By: c.agent.Self().Daemon, At: c.now,
	}})
}

// advanceWriter performs the writer's next call, if any, and handles its responses.
func (c *Controller) advanceWriter() {
	call, responses := c.writer.NextCall(c.now)
	c.handleResponses(responses)
	if call == nil {
		return
	}
	c.agent.CallStore(*call, func(result store.Result) {
		c.now = c.agent.Now()
		c.handleResponses(c.writer.HandleResult(c.now, result))
		c.advanceWriter()
	})
}

func (c *Controller) handleResponses(responses []configuration.Response) {
	for _, r := range responses {
		c.agent.Emit(effect.Count{Counter: CounterCommands, Reason: string(r.Outcome.Code)})
		if r.Request.By == driverName && r.Request.Token == 0 {
			c.handleDriverWrite(r)
			continue
		}
		c.logCommand(r)
		c.agent.Emit(effect.Answer{Token: r.Request.Token, Outcome: r.Outcome})
	}
}

func (c *Controller) logCommand(r configuration.Response) {
	fields := []effect.Field{
		{Key: "command", Value: commandName(r.Request.Command)}, {Key: "by", Value: r.Request.By},
		{Key: "outcome", Value: string(r.Outcome.Code)},
	}
	if len(r.Outcome.Problems) > 0 {
		fields = append(fields, effect.Field{Key: "reason", Value: r.Outcome.Problems[0].Reason})
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

// plan creates the plan of an intent from the targets that this daemon knows.
func (c *Controller) plan(cfg *model.Configuration, intent model.Intent, now time.Time, id model.PlanID, by string) (model.Plan, []model.Problem) {
	return plans.ForIntent(plans.Request{
		Configuration: cfg, Intent: intent, Targets: c.agent.View().Targets, Load: c.load, Now: now, ID: id, By: by,
	})
}
