package agent

import (
	"time"

	"sniperail.example/sniperail/internal/command/distribution"
	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// serves reports whether this daemon has daemons below it.
func (a *Agent) serves() bool { return a.lead.lease.Held() || a.parent.relay }

// heartbeat takes the heartbeat of a daemon below this one.
func (a *Agent) heartbeat(hb *message.Heartbeat) message.Reply {
	if !a.serves() {
		return &message.HeartbeatReply{Code: message.NotLeader, Term: a.term, Leader: a.parent.leader}
	}
	a.heardTerm(hb.Term)
	if !a.serves() {
		return &message.HeartbeatReply{Code: message.NotLeader, Term: a.term}
	}
	fresh := a.members.Child(hb.From) == nil || a.members.Child(hb.From).Seq < hb.Seq
	before := a.summary().Number
	inSync, ok := a.members.Heartbeat(a.now, hb)
	reply := &message.HeartbeatReply{
		Code: message.Accepted, Term: a.term, Number: a.replica.Number(),
		AgeMS: a.now.Sub(a.rootSeen).Milliseconds(), MarkDigest: membership.MarkDigest(a.markList()),
	}
	if hb.Term != a.term || hb.AskLeader {
		reply.Leader = a.leaderOf(a.self.DataCentre)
	}
	if !ok {
		reply.Code = message.Stale
		return reply
	}
	if !inSync {
		reply.Code = message.Unknown
	}
	if fresh {
		a.addSums(message.UnpackSums(hb.Sums))
	}
	a.AddMarks(hb.Marks)
	a.membersChanged()
	if a.summary().Number != before {
		a.reportSoon()
	}
	a.soon(timerSweep, sweepInterval)
	a.push(a.members.Child(hb.From))
	a.followChild()
	return reply
}

// followChild catches up with a child that holds a higher number, as when this daemon restarted while the stored
// document is invalid.
func (a *Agent) followChild() {
	if c := a.members.Ahead(a.replica.Number()); c != nil {
		if m := a.members.Member(c.ID); m != nil {
			a.pull(m.Target.PeerAddress)
		}
	}
}

// membersChanged carries changes of the members on: into the roster at the leader, up at a relay.
func (a *Agent) membersChanged() {
	if !a.members.HasChanged() {
		return
	}
	if !a.lead.lease.Held() {
		a.reportSoon()
		return
	}
	var targets []model.Target
	for _, m := range a.members.TakeChanged() {
		targets = append(targets, m.Presented())
	}
	if a.lead.local.Edit(targets, nil) {
		a.soon(timerExchange, exchangeDelay)
	}
	a.mergeRoster(targets, nil)
}

// mergeRoster edits the roster that goes down the tree.
func (a *Agent) mergeRoster(set []model.Target, remove []model.DaemonID) {
	if a.roster.Edit(set, remove) {
		a.dirty = true
		a.soon(timerFlush, rosterDelay)
	}
}

// reportSoon sends news up before the next regular heartbeat or exchange.
func (a *Agent) reportSoon() {
	if a.lead.lease.Held() {
		a.soon(timerExchange, exchangeDelay)
	} else if a.parent.address != "" {
		a.soon(timerHeartbeat, reportDelay)
	}
}

// sweep looks for silent members.
func (a *Agent) sweep() {
	if !a.serves() {
		return
	}
	a.set(timerSweep, sweepInterval)
	if !a.lead.lease.Held() {
		a.members.Sweep(a.now, membership.RelayRetention)
		a.membersChanged()
		return
	}
	gone := a.members.Sweep(a.now, membership.LeaderRetention)
	a.membersChanged()
	if len(gone) > 0 && a.lead.local.Edit(nil, gone) {
		a.mergeRoster(nil, gone)
		a.soon(timerExchange, exchangeDelay)
	}
	a.sweepPeers()
}

// flush sends each child what it lacks.
func (a *Agent) flush() {
	if !a.serves() {
		return
	}
	for _, c := range a.members.Children() {
		a.push(c)
	}
}

// push sends one child what it lacks, unless an update to it is on its way.
func (a *Agent) push(c *membership.Child) {
	if c == nil || c.InFlight != 0 {
		return
	}
	member := a.members.Member(c.ID)
	if member == nil {
		// A daemon whose address is not known yet is asked for a full heartbeat first.
		return
	}
	up := &message.Update{Term: a.term, Roster: a.roster.Since(c.RosterTerm, c.Roster)}
	number := a.replica.Number()
	if c.Refused != number {
		up.Configuration, up.Delta = a.replica.Since(c.Own)
	}
	if c.MarkDigest != membership.MarkDigest(a.markList()) {
		up.Marks = a.markList()
	}
	if up.Configuration == nil && up.Delta == nil && up.Roster == nil && len(up.Marks) == 0 {
		return
	}
	id, incarnation := c.ID, c.Incarnation
	c.InFlight = 1
	request := a.send(member.Target.PeerAddress, up, func(reply message.Reply) {
		c := a.members.Child(id)
		if c == nil || c.Incarnation != incarnation {
			return
		}
		c.InFlight = 0
		r, ok := reply.(*message.UpdateReply)
		if !ok {
			c.Suspect = true
			return
		}
		if r.Code == message.Refused {
			c.Refused = number
		}
		a.pushed(c, r)
	})
	c.InFlight = uint64(request)
}

// pushed takes the answer of a child. A child that did not answer gets the update after its next heartbeat.
func (a *Agent) pushed(c *membership.Child, r *message.UpdateReply) {
	if r.Code == message.Stale {
		a.heardTerm(r.Term)
		return
	}
	before := a.summary().Number
	c.Own, c.Roster, c.RosterTerm = max(c.Own, r.Number), r.Roster, r.RosterTerm
	c.MarkDigest = r.MarkDigest
	if c.Live <= 1 && c.Number > 0 {
		c.Number = max(c.Number, r.Number)
	}
	if a.summary().Number != before {
		a.reportSoon()
	}
	a.push(c)
}

// update takes what the parent sends.
func (a *Agent) update(u *message.Update) message.Reply {
	reply := &message.UpdateReply{Code: message.Accepted}
	if u.Term < a.term || a.lead.lease.Held() {
		a.heardTerm(u.Term)
		reply.Code, reply.Term = message.Stale, a.term
		return reply
	}
	a.heardTerm(u.Term)
	reply.Code, reply.Reason = a.take(u.Configuration, u.Delta, u.Roster)
	a.AddMarks(u.Marks)
	reply.Term, reply.Number = a.term, a.replica.Number()
	reply.Roster, reply.RosterTerm = a.roster.Version(), a.roster.Term()
	reply.MarkDigest = membership.MarkDigest(a.markList())
	return reply
}

// take applies a configuration and a roster change.
func (a *Agent) take(c *model.Configuration, d *message.Delta, r *message.RosterChange) (message.Code, string) {
	code, reason := message.Accepted, ""
	result := distribution.NotNewer
	switch {
	case c != nil:
		result, reason = a.replica.Apply(c)
	case d != nil:
		result, reason = a.replica.ApplyDelta(d)
	}
	a.apply(result, reason)
	switch result {
	case distribution.Gap:
		code = message.Gap
	case distribution.Refused:
		code = message.Refused
		a.refuse(numberOf(c, d), reason)
	}
	if r == nil {
		return code, reason
	}
	applied, gap := a.roster.Apply(r)
	if applied {
		a.dirty = true
		a.soon(timerFlush, 0)
	}
	if gap {
		code = message.Gap
	}
	return code, reason
}

func numberOf(c *model.Configuration, d *message.Delta) model.Number {
	if c != nil {
		return c.Number
	}
	return d.Number
}

// apply acts on a configuration that the replica took or not.
func (a *Agent) apply(result distribution.Result, reason string) {
	switch result {
	case distribution.Applied:
		a.refusal = nil
		a.dirty = true
		a.pruneMarks()
		a.checkReady()
		a.flush()
		a.reportSoon()
	case distribution.Refused:
		if a.lead.lease.Held() {
			a.refuse(a.lead.document.Number, reason)
		}
	}
}

func (a *Agent) refuse(number model.Number, reason string) {
	a.refusal = &model.Refusal{Daemon: a.self.Daemon, Number: number, Reason: reason}
	a.log("configuration refused", "number", numberText(number), "reason", reason)
	a.count("configuration_refused", "invalid")
	a.reportSoon()
}

// pull asks another daemon for what it holds above this one's number.
func (a *Agent) pull(address string) {
	if address == "" || address == a.self.PeerAddress {
		return
	}
	q := &message.SnapshotQuery{
		From: a.self.Daemon, Number: a.replica.Number(), Roster: a.roster.Version(), RosterTerm: a.roster.Term(),
	}
	a.send(address, q, func(reply message.Reply) {
		r, ok := reply.(*message.SnapshotReply)
		if !ok {
			return
		}
		roster := r.Roster
		if a.lead.lease.Held() || r.Term < a.term {
			roster = nil
		}
		a.take(r.Configuration, nil, roster)
		a.AddMarks(r.Marks)
	})
}

func (a *Agent) snapshot(q *message.SnapshotQuery) message.Reply {
	r := &message.SnapshotReply{Term: a.term, Marks: a.markList(), Roster: a.roster.Since(q.RosterTerm, q.Roster)}
	if a.replica.Number() > q.Number {
		r.Configuration = a.replica.Current()
	}
	return r
}

// targetChanged announces a new state of the target beside this daemon at once.
func (a *Agent) targetChanged(state model.TargetState) {
	if a.self.State == state {
		return
	}
	a.self.State, a.self.Since = state, later(a.now.UTC().Round(0), a.self.Since)
	a.cfg.Target = a.self
	a.members.SetSelf(a.self)
	a.dirty = true
	if a.lead.lease.Held() {
		a.membersChanged()
		a.timers[timerFlush] = time.Time{}
		a.flush()
		return
	}
	if a.parent.address != "" {
		a.soon(timerHeartbeat, 0)
	}
}

// later returns now, or the first instant after a time that is not before now, so that states stay ordered when the
// clock is set back.
func later(now, than time.Time) time.Time {
	if now.After(than) {
		return now
	}
	return than.Add(time.Nanosecond)
}
