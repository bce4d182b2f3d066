// Package reports computes the rows that operators and their dashboards read from a configuration, a status and plans. All
// functions are pure. A nil status means that the daemon does not know the status of the mesh; the rows then contain
// "unknown" where they depend on it.
package reports

import (
	"cmp"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// Answer is yes, no or unknown.
type Answer string

// Answers of a report.
const (
	Yes     Answer = "yes"
	No      Answer = "no"
	Unknown Answer = "unknown"
)

func answer(yes bool) Answer {
	if yes {
		return Yes
	}
	return No
}

// inForce returns whether every live daemon has acknowledged a configuration number. The answer is unknown if a data centre
// has sent no report, or if the status counts fewer live daemons than it lists, as the status of a daemon that is not a
// leader does.
func inForce(s *message.StatusReply, n model.Number) Answer {
	switch {
	case s == nil:
		return Unknown
	case s.InForce.Number < n:
		return No
	case len(s.InForce.Blind) > 0 || s.InForce.Live == 0 || s.InForce.Live < countNotSilent(s):
		return Unknown
	}
	return Yes
}

// moveInForce returns whether the last change of a move's shares is in force. For a finished move the answer is yes: a move
// is finished only after every live daemon has acknowledged that change, and finishing it changes no share.
func moveInForce(s *message.StatusReply, m *model.Move) Answer {
	if !m.Phase.Active() {
		return Yes
	}
	return inForce(s, m.Number)
}

// share returns the new version's share. For a finished move it is the share at the end of the move, because later moves
// change the version's current share.
func share(c *model.Configuration, m *model.Move) model.Share {
	switch m.Phase {
	case model.PhaseDone:
		return model.FullShare
	case model.PhaseWithdrawn:
		return 0
	}
	if service := c.Service(m.Service); service != nil {
		if v := service.Version(m.To); v != nil {
			return v.Share
		}
	}
	return 0
}

// countNotSilent returns the number of daemons of a status that are not silent.
func countNotSilent(s *message.StatusReply) int {
	silent := map[model.DaemonID]bool{}
	for _, d := range s.InForce.Silent {
		silent[d.Daemon] = true
	}
	count := 0
	for i := range s.Targets {
		if t := &s.Targets[i]; t.State != model.TargetSilent && !silent[t.Daemon] {
			count++
		}
	}
	return count
}

// Move is one move, active or finished.
type Move struct {
	Move    model.PlanID      `json:"move"`
	Service model.ServiceName `json:"service"`
	From    model.VersionName `json:"from"`
	To      model.VersionName `json:"to"`
	Phase   model.Phase       `json:"phase"`
	// Share is the new version's share in basis points; for a finished move, the share at its end.
	Share model.Share `json:"share"`
	// Step counts from 1; 0 is before the first step.
	Step     int          `json:"step"`
	Steps    int          `json:"steps"`
	Deadline time.Time    `json:"deadline"`
	Since    time.Time    `json:"since"`
	Number   model.Number `json:"number"`
	InForce  Answer       `json:"inForce"`
	// Withheld says whether a daemon withholds the new version, which may be before the withdrawal is written.
	Withheld    Answer `json:"withheld"`
	Reason      string `json:"reason,omitempty"`
	ConfirmedBy string `json:"confirmedBy"`
}

// Moves returns the active moves and then the finished ones. Within each group, the latest change comes first.
func Moves(c *model.Configuration, s *message.StatusReply) []Move {
	rows := make([]Move, 0, len(c.Moves))
	for i := range c.Moves {
		m := &c.Moves[i]
		row := Move{
			Move: m.ID, Service: m.Service, From: m.From, To: m.To, Phase: m.Phase, Step: m.Step + 1,
			Steps: len(m.Steps), Deadline: m.Deadline, Since: m.Since, Number: m.Number, InForce: moveInForce(s, m),
			Withheld: withheld(s, m.Version()), Reason: reason(s, m), ConfirmedBy: m.ConfirmedBy, Share: share(c, m),
		}
		rows = append(rows, row)
	}
	slices.SortStableFunc(rows, func(a, b Move) int {
		if a.Phase.Active() != b.Phase.Active() {
			if a.Phase.Active() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Number, a.Number), cmp.Compare(a.Move, b.Move))
	})
	return rows
}

// reason returns why a move was paused or withdrawn, or why the driver holds it, such as too few calls to judge.
func reason(s *message.StatusReply, m *model.Move) string {
	if m.Reason != "" || s == nil || !m.Phase.Active() {
		return m.Reason
	}
	for _, h := range s.Holds {
		if h.Move == m.ID {
			return "held: " + h.Reason
		}
	}
	return ""
}

// withheld returns whether a daemon withholds a version.
func withheld(s *message.StatusReply, ref model.VersionRef) Answer {
	if s == nil {
		return Unknown
	}
	return answer(slices.ContainsFunc(s.Marks, func(m model.Mark) bool { return m.VersionRef == ref }))
}

// Version is one version of a service with its share and the targets that run it.
type Version struct {
	Service  model.ServiceName `json:"service"`
	Customer string            `json:"customer,omitempty"`
	Version  model.VersionName `json:"version"`
	Share    model.Share       `json:"share"`
	// Ready and Targets count the ready targets and all targets, Slots counts the slots of the ready ones. All are 0 if
	// TargetsKnown is false.
	TargetsKnown bool   `json:"targetsKnown"`
	Ready        int    `json:"ready"`
	Targets      int    `json:"targets"`
	Slots        int    `json:"slots"`
	Withdrawn    bool   `json:"withdrawn"`
	Withheld     Answer `json:"withheld"`
}

// Versions returns the configured versions, and those that are only announced by targets, sorted by service and version.
func Versions(c *model.Configuration, s *message.StatusReply) []Version {
	rows := map[model.VersionRef]*Version{}
	row := func(ref model.VersionRef) *Version {
		if rows[ref] == nil {
			rows[ref] = &Version{Service: ref.Service, Version: ref.Version, TargetsKnown: s != nil,
				Withdrawn: c.IsWithdrawn(ref), Withheld: withheld(s, ref)}
		}
		return rows[ref]
	}
	for _, service := range c.Services {
		for _, v := range service.Versions {
			r := row(model.VersionRef{Service: service.Name, Version: v.Version})
			r.Customer, r.Share = service.Customer, v.Share
		}
	}
	if s != nil {
		for i := range s.Targets {
			t := &s.Targets[i]
			r := row(t.Ref())
			r.Targets++
			if t.State == model.TargetReady {
				r.Ready++
				r.Slots += t.Slots
			}
		}
	}
	sorted := make([]Version, 0, len(rows))
	for _, r := range rows {
		sorted = append(sorted, *r)
	}
	slices.SortFunc(sorted, func(a, b Version) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return sorted
}

// PlanState says whether a plan was confirmed or can still be confirmed.
type PlanState string

// States of a plan. Confirming an outdated plan is refused. The state is unknown without a configuration.
const (
	PlanUnknown   PlanState = "unknown"
	PlanOpen      PlanState = "open"
	PlanConfirmed PlanState = "confirmed"
	PlanOutdated  PlanState = "outdated"
)

// Plan is a plan and its state.
type Plan struct {
	model.Plan
	State PlanState `json:"state"`
}

// Plans returns plans, latest first. The configuration may be nil.
func Plans(c *model.Configuration, plans []model.Plan) []Plan {
	rows := make([]Plan, 0, len(plans))
	for i := range plans {
		p := &plans[i]
		rows = append(rows, Plan{Plan: *p, State: planState(c, p)})
	}
	slices.SortStableFunc(rows, func(a, b Plan) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.ID, b.ID))
	})
	return rows
}

func planState(c *model.Configuration, p *model.Plan) PlanState {
	switch {
	case p.Confirmed != nil:
		return PlanConfirmed
	case c == nil:
		return PlanUnknown
	case confirmed(c, p.ID):
		return PlanConfirmed
	case outdated(c, p):
		return PlanOutdated
	}
	return PlanOpen
}

// confirmed reports whether a plan was confirmed, from the moves and, for a plan of a change, from the event feed.
// Plan.Confirmed does not suffice, because it is written after the confirmation.
func confirmed(c *model.Configuration, id model.PlanID) bool {
	return c.Move(id) != nil || slices.ContainsFunc(c.Events, func(e model.MoveEvent) bool { return e.Move == id })
}

// outdated reports whether a service that the plan affects has changed since the plan was made.
func outdated(c *model.Configuration, p *model.Plan) bool {
	names := []model.ServiceName{p.Service}
	if p.Change != nil {
		names = slices.Clone(p.Change.RemoveServices)
		for _, s := range p.Change.Services {
			names = append(names, s.Name)
		}
		for _, r := range p.Change.Routes {
			names = append(names, r.Service)
		}
	}
	return slices.ContainsFunc(names, func(name model.ServiceName) bool {
		s := c.Service(name)
		return s != nil && s.Changed > p.Base
	})
}
