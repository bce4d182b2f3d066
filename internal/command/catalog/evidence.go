package catalog

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// evidence sums the outcomes of the own target's calls.
type evidence struct {
	sums    map[model.OutcomeKey]*model.OutcomeSum
	running int
	arrived time.Time
}

func (e *evidence) add(ev effect.TargetOutcomesObserved) {
	for i := range ev.Sums {
		s := &ev.Sums[i]
		sum := e.sums[s.OutcomeKey]
		if sum == nil {
			sum = &model.OutcomeSum{}
			e.sums[s.OutcomeKey] = sum
		}
		sum.Add(s.OutcomeSum)
	}
	e.running, e.arrived = ev.Running, ev.Arrived
}

func (e *evidence) reply(now time.Time, target model.Target) *message.EvidenceReply {
	reply := &message.EvidenceReply{Target: target, Running: e.running, Idle: now.Sub(e.arrived)}
	for key, sum := range e.sums {
		reply.Sums = append(reply.Sums, model.KeyedSum{OutcomeKey: key, OutcomeSum: *sum})
	}
	return reply
}

// take adds the report of a daemon: its sums count from the daemon's start, and what was taken before is left out.
func (d *driving) take(now time.Time, reply *message.EvidenceReply) {
	known := d.reports[reply.Target.Daemon]
	if known == nil || known.incarnation != reply.Target.Incarnation {
		known = &report{incarnation: reply.Target.Incarnation, sums: map[model.OutcomeKey]model.OutcomeSum{}}
		d.reports[reply.Target.Daemon] = known
	}
	fresh := known.Sums
	for _, s := range reply.Sums {
		before := known.sums[s.OutcomeKey]
		known.sums[s.OutcomeKey] = s.OutcomeSum
		if since := s.Since(before); since.Calls > 0 {
			fresh = append(fresh, model.KeyedSum{OutcomeKey: s.OutcomeKey, OutcomeSum: since})
		}
	}
	known.Observation = rollout.Observation{
		Target: reply.Target, Sums: fresh, Running: reply.Running, Idle: reply.Idle, At: now,
	}
}

// markOn returns the mark on a version in a move, or nil.
func (c *Core) markOn(version model.VersionRef, move model.PlanID) *model.Mark {
	i := slices.IndexFunc(c.marks, func(m model.Mark) bool { return m.VersionRef == version && m.Move == move })
	if i < 0 {
		return nil
	}
	return &c.marks[i]
}

// withhold takes marks of peers; they only grow.
func (c *Core) withhold(marks []model.Mark) {
	for _, m := range marks {
		if c.markOn(m.VersionRef, m.Move) != nil {
			continue
		}
		c.marks = append(c.marks[:len(c.marks):len(c.marks)], m)
		c.dirty = true
		c.log("version-withheld", "version", m.String(), "move", string(m.Move), "by", string(m.By), "reason", m.Reason)
	}
}
