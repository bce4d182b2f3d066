package catalog

import (
	"slices"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// localOutcomes sums the outcomes of calls to the local target, which the driver of a move queries.
type localOutcomes struct {
	sums        map[model.OutcomeKey]*model.OutcomeSum
	running     int
	lastArrival time.Time
}

func (o *localOutcomes) addOutcomes(ev effect.TargetOutcomesObserved) {
	for i := range ev.Sums {
		s := &ev.Sums[i]
		sum := o.sums[s.OutcomeKey]
		if sum == nil {
			sum = &model.OutcomeSum{}
			o.sums[s.OutcomeKey] = sum
		}
		sum.Add(s.OutcomeSum)
	}
	o.running, o.lastArrival = ev.Running, ev.Arrived
}

func (o *localOutcomes) evidenceReply(now time.Time, target model.Target) *message.EvidenceReply {
	reply := &message.EvidenceReply{Target: target.ForPeers(now), Running: o.running, Idle: now.Sub(o.lastArrival)}
	for key, sum := range o.sums {
		reply.Sums = append(reply.Sums, model.KeyedSum{OutcomeKey: key, OutcomeSum: *sum})
	}
	return reply
}

// evidenceReport is the latest report of the daemon beside a target. totals are the daemon's cumulative sums.
type evidenceReport struct {
	rollout.Observation
	incarnation model.Incarnation
	totals      map[model.OutcomeKey]model.OutcomeSum
}

// addReport adds the report of a daemon. The sums in a report are cumulative since the start of the daemon's process, so the
// previous report of the same incarnation is subtracted.
func (d *moveDriver) addReport(now time.Time, reply *message.EvidenceReply) {
	reply.Target.Received(now)
	report := d.reports[reply.Target.Daemon]
	if report == nil || report.incarnation != reply.Target.Incarnation {
		report = &evidenceReport{incarnation: reply.Target.Incarnation, totals: map[model.OutcomeKey]model.OutcomeSum{}}
		d.reports[reply.Target.Daemon] = report
	}
	unread, window := report.Sums, report.Window
	if !report.At.IsZero() {
		window += now.Sub(report.At)
	}
	for _, s := range reply.Sums {
		previous := report.totals[s.OutcomeKey]
		report.totals[s.OutcomeKey] = s.OutcomeSum
		if added := s.Since(previous); added.Calls > 0 {
			unread = append(unread, model.KeyedSum{OutcomeKey: s.OutcomeKey, OutcomeSum: added})
		}
	}
	report.Observation = rollout.Observation{
		Target: reply.Target, Sums: unread, Window: window, Running: reply.Running, Idle: reply.Idle, At: now,
	}
}

// findMark returns the mark that withholds a version in a move, or nil.
func (c *Core) findMark(version model.VersionRef, move model.PlanID) *model.Mark {
	i := slices.IndexFunc(c.marks, func(m model.Mark) bool { return m.VersionRef == version && m.Move == move })
	if i < 0 {
		return nil
	}
	return &c.marks[i]
}

// addMarks adds marks that are not known yet. The set of marks only grows.
func (c *Core) addMarks(marks []model.Mark) {
	for _, m := range marks {
		if c.findMark(m.VersionRef, m.Move) != nil {
			continue
		}
		c.marks = append(c.marks[:len(c.marks):len(c.marks)], m)
		c.dirty = true
		c.log("version-withheld", "version", m.String(), "move", string(m.Move), "by", string(m.By), "reason", m.Reason)
	}
}

// queryEvidence asks the daemons beside the service's targets for call outcomes, and adds those of the local target.
func (c *Core) queryEvidence(now time.Time, service model.ServiceName, d *moveDriver) {
	for daemon, m := range c.roster {
		if m.target.Service != service {
			continue
		}
		c.send(m.target.PeerAddress, &message.EvidenceQuery{Service: service, Held: d.lease != 0},
			func(now time.Time, r message.Reply) {
				if reply, ok := r.(*message.EvidenceReply); ok && reply.Target.Daemon == daemon && d.reports != nil {
					d.addReport(now, reply)
				}
			})
	}
	if c.local.isAnnounceable() {
		d.addReport(now, c.outcomes.evidenceReply(now, c.local.target))
	}
}

// logProgress logs what the new version of a running move has received, at intervals of progressInterval.
func (c *Core) logProgress(now time.Time, d *moveDriver, m *moveRecord, observations []rollout.Observation) {
	if m.Phase != model.PhaseRunning || m.Step < 0 || now.Sub(d.progressAt) < progressInterval {
		return
	}
	d.progressAt = now
	p := d.rollout.Progress(now, &m.Rollout, observations)
	decimal := func(x float64) string { return strconv.FormatFloat(x, 'f', 2, 64) }
	c.log("move-progress", "service", string(m.Service), "move", string(m.ID), "step", strconv.Itoa(m.Step),
		"calls", strconv.Itoa(p.Calls), "failures", strconv.Itoa(p.Failures), "allowed", strconv.Itoa(p.Allowed),
		"service_per_s", decimal(p.Rate), "new_per_s", decimal(p.NewRate),
		"busiest", decimal(p.Busiest), "old_busiest", decimal(p.OldBusiest))
}
