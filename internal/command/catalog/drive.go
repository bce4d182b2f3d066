package catalog

import (
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// evidence sums the outcomes of the own target's calls.
type evidence struct {
	sums    map[model.OutcomeKey]*model.OutcomeSum
	running int
	arrived time.Time
}

func (e *evidence) add(ev effect.TargetObserved) {
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

// withhold takes marks of peers; they only grow.
func (c *Core) withhold(marks []model.Mark) {
	for _, m := range marks {
		known := false
		for i := range c.marks {
			known = known || c.marks[i].VersionRef == m.VersionRef && c.marks[i].Move == m.Move
		}
		if known {
			continue
		}
		c.marks = append(c.marks[:len(c.marks):len(c.marks)], m)
		c.dirty = true
		c.log("version-withheld", "version", m.String(), "move", string(m.Move), "by", string(m.By), "reason", m.Reason)
	}
}

// driving is the state of a move that this daemon drives.
type driving struct{}

func (d *driving) due() time.Time { return time.Time{} }

func (c *Core) driveMoves(time.Time) {}

func (c *Core) applyDriver(service model.ServiceName, e *store.Entry) {
	if e == nil {
		delete(c.drivers, service)
		return
	}
	c.drivers[service] = *e
}
