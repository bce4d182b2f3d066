package agent

import (
	"time"

	"sniperail.example/sniperail/internal/command/distribution"
	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// isParent reports whether this daemon accepts children, as a leader or a relay.
func (a *Agent) isParent() bool { return a.lead.lease.Held() || a.parent.isRelay }

// handleHeartbeat handles the heartbeat of a child.
func (a *Agent) handleHeartbeat(hb *message.Heartbeat) message.Reply {
	if !a.isParent() {
		return &message.HeartbeatReply{Code: message.NotLeader, Term: a.term, Leader: a.parent.leaderAddress}
	}
	a.observeTerm(hb.Term)
	if !a.isParent() {
		return &message.HeartbeatReply{Code: message.NotLeader, Term: a.term}
	}
	isNew := a.members.Child(hb.From) == nil || a.members.Child(hb.From).Seq < hb.Seq
	before := a.summary().Number
	inSync, ok := a.members.RecordHeartbeat(a.now, hb)
	reply := &message.HeartbeatReply{
		Code: message.Accepted, Term: a.term, Number: a.replica.Number(),
		AgeMS: a.now.Sub(a.lastConnected).Milliseconds(), MarkDigest: membership.MarkDigest(a.markList()),
	}
	if hb.Term != a.term || hb.AskLeader {
		reply.Leader = a.leaderAddressOf(a.self.DataCentre)
	}
	if !ok {
		reply.Code = message.Stale
		return reply
	}
	if !inSync {
		reply.Code = message.UnknownMember
	}
	if isNew {
		a.addSums(message.UnpackSums(hb.Sums))
	}
	a.AddMarks(hb.Marks)
	a.propagateMemberChanges()
	if a.summary().Number != before {
		a.scheduleReport()
	}
	a.scheduleNoLater(timerSweep, sweepInterval)
	a.pushUpdate(a.members.Child(hb.From))
	a.pullFromNewerChild()
	return reply
}

// pullFromNewerChild requests a snapshot from a child that holds a higher number than this daemon. This happens, for
// example, if this daemon restarted while the stored document is invalid.
func (a *Agent) pullFromNewerChild() {
	if c := a.members.HighestAbove(a.replica.Number()); c != nil {
		if m := a.members.Member(c.ID); m != nil {
			a.pullSnapshot(m.Target.PeerAddress)
		}
	}
}

// propagateMemberChanges enters changes of the members into the roster on a leader, and reports them to the parent on a
// relay.
func (a *Agent) propagateMemberChanges() {
	if !a.members.HasChanged() {
		return
	}
	if !a.lead.lease.Held() {
		a.scheduleReport()
		return
	}
	var targets []model.Target
	for _, m := range a.members.TakeChanged() {
		targets = append(targets, m.AdvertisedTarget())
	}
	if a.lead.localRoster.Edit(targets, nil) {
		a.scheduleNoLater(timerExchange, exchangeDelay)
	}
	a.editRoster(targets, nil)
}

// editRoster edits the roster that is sent down the tree.
func (a *Agent) editRoster(set []model.Target, remove []model.DaemonID) {
	if a.roster.Edit(set, remove) {
		a.dirty = true
		a.scheduleNoLater(timerPushUpdates, rosterDelay)
	}
}

// scheduleReport brings forward the next heartbeat or, on a leader, the next exchange, to report a change early.
func (a *Agent) scheduleReport() {
	if a.lead.lease.Held() {
		a.scheduleNoLater(timerExchange, exchangeDelay)
	} else if a.parent.address != "" {
		a.scheduleNoLater(timerHeartbeat, reportDelay)
	}
}

// sweepMembers marks members silent that missed their heartbeats, and drops those that have been silent for too long.
func (a *Agent) sweepMembers() {
	if !a.isParent() {
		return
	}
	a.schedule(timerSweep, sweepInterval)
	if !a.lead.lease.Held() {
		a.members.Sweep(a.now, membership.RelayRetention)
		a.propagateMemberChanges()
		return
	}
	gone := a.members.Sweep(a.now, membership.LeaderRetention)
	a.propagateMemberChanges()
	if len(gone) > 0 && a.lead.localRoster.Edit(nil, gone) {
		a.editRoster(nil, gone)
		a.scheduleNoLater(timerExchange, exchangeDelay)
	}
	a.sweepPeers()
}

// pushUpdates sends each child the updates that it lacks.
func (a *Agent) pushUpdates() {
	if !a.isParent() {
		return
	}
	for _, c := range a.members.Children() {
		a.pushUpdate(c)
	}
}

// pushUpdate sends one child the updates that it lacks, unless an update to it is in flight.
func (a *Agent) pushUpdate(c *membership.Child) {
	if c == nil || c.InFlight != 0 {
		return
	}
	member := a.members.Member(c.ID)
	if member == nil {
		// The address of the child is not known yet. The reply to its heartbeat asks for a full one, which has the address.
		return
	}
	up := &message.Update{Term: a.term, Roster: a.roster.Since(c.RosterTerm, c.Roster)}
	number := a.replica.Number()
	if c.RefusedNumber != number {
		up.Configuration, up.Delta = a.replica.Since(c.OwnNumber)
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
			c.RefusedNumber = number
		}
		a.handleUpdateReply(c, r)
	})
	c.InFlight = uint64(request)
}

// handleUpdateReply handles a child's reply to an update. A child without a reply gets the update after its next heartbeat.
func (a *Agent) handleUpdateReply(c *membership.Child, r *message.UpdateReply) {
	if r.Code == message.Stale {
		a.observeTerm(r.Term)
		return
	}
	before := a.summary().Number
	c.OwnNumber, c.Roster, c.RosterTerm = max(c.OwnNumber, r.Number), r.Roster, r.RosterTerm
	c.MarkDigest = r.MarkDigest
	if c.Live <= 1 && c.Number > 0 {
		c.Number = max(c.Number, r.Number)
	}
	if a.summary().Number != before {
		a.scheduleReport()
	}
	a.pushUpdate(c)
}

// handleUpdate handles an update of the parent.
func (a *Agent) handleUpdate(u *message.Update) message.Reply {
	reply := &message.UpdateReply{Code: message.Accepted}
	if u.Term < a.term || a.lead.lease.Held() {
		a.observeTerm(u.Term)
		reply.Code, reply.Term = message.Stale, a.term
		return reply
	}
	a.observeTerm(u.Term)
	reply.Code, reply.Reason = a.applyUpdate(u.Configuration, u.Delta, u.Roster)
	a.AddMarks(u.Marks)
	reply.Term, reply.Number = a.term, a.replica.Number()
	reply.Roster, reply.RosterTerm = a.roster.Version(), a.roster.Term()
	reply.MarkDigest = membership.MarkDigest(a.markList())
	return reply
}

// applyUpdate applies a configuration or a delta, and a roster change. Each of them may be nil.
func (a *Agent) applyUpdate(c *model.Configuration, d *message.Delta, r *message.RosterChange) (message.Code, string) {
	code, reason := message.Accepted, ""
	result := distribution.NotNewer
	switch {
	case c != nil:
		result, reason = a.replica.Apply(c)
	case d != nil:
		result, reason = a.replica.ApplyDelta(d)
	}
	switch result {
	case distribution.Applied:
		a.handleApplied()
	case distribution.Gap:
		code = message.Gap
	case distribution.Refused:
		code = message.Refused
		a.recordRefusal(numberOf(c, d), reason)
	}
	if r == nil {
		return code, reason
	}
	applied, gap := a.roster.Apply(r)
	if applied {
		a.dirty = true
		a.scheduleNoLater(timerPushUpdates, 0)
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

// handleApplied updates the agent after the replica applied a configuration.
func (a *Agent) handleApplied() {
	a.refusal = nil
	a.dirty = true
	a.pruneMarks()
	a.updateReady()
	a.pushUpdates()
	a.scheduleReport()
}

func (a *Agent) recordRefusal(number model.Number, reason string) {
	a.refusal = &model.Refusal{Daemon: a.self.Daemon, Number: number, Reason: reason}
	a.log("configuration refused", "number", numberText(number), "reason", reason)
	a.count("configuration_refused", "invalid")
	a.scheduleReport()
}

// pullSnapshot requests the configuration and roster of another daemon, if they are newer than this daemon's, and its marks.
func (a *Agent) pullSnapshot(address string) {
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
		a.applyUpdate(r.Configuration, nil, roster)
		a.AddMarks(r.Marks)
	})
}

func (a *Agent) handleSnapshotQuery(q *message.SnapshotQuery) message.Reply {
	r := &message.SnapshotReply{Term: a.term, Marks: a.markList(), Roster: a.roster.Since(q.RosterTerm, q.Roster)}
	if a.replica.Number() > q.Number {
		r.Configuration = a.replica.Current()
	}
	return r
}

// handleTargetState records a new state of the local target and reports it at once.
func (a *Agent) handleTargetState(state model.TargetState) {
	if a.self.State == state {
		return
	}
	a.self.State, a.self.Since = state, strictlyAfter(a.now.UTC().Round(0), a.self.Since)
	a.cfg.Target = a.self
	a.members.SetSelf(a.self)
	a.dirty = true
	if a.lead.lease.Held() {
		a.propagateMemberChanges()
		a.timers[timerPushUpdates] = time.Time{}
		a.pushUpdates()
		return
	}
	if a.parent.address != "" {
		a.scheduleNoLater(timerHeartbeat, 0)
	}
}

// strictlyAfter returns now, or the first instant after previous if now is not after it, so that states stay ordered when
// the clock is set back.
func strictlyAfter(now, previous time.Time) time.Time {
	if now.After(previous) {
		return now
	}
	return previous.Add(time.Nanosecond)
}
