package agent

import (
	"time"

	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// parent is what a daemon knows of the daemon above it.
type parent struct {
	// address is the parent's peer address; empty while the daemon looks for one.
	address string
	// leader is the peer address of the last known leader.
	leader string
	// avoid is the address of a parent that did not answer.
	avoid string
	// relay says that this daemon serves members below it.
	relay   bool
	seq     uint64
	attempt int
	missed  int
	behind  int
	// unsynced counts the heartbeats in a row after which the parent asked for a full one.
	unsynced int
	full     bool
	sendAll  bool
	inFlight bool
	// seeking says that a call of the search is not answered yet.
	seeking bool
}

// seek takes the next step of a daemon without a parent: the last known leader first, the leader key otherwise.
func (a *Agent) seek() {
	if a.parent.address != "" || a.lead.lease.Held() || a.parent.seeking {
		return
	}
	if leader := a.parent.leader; leader != "" && leader != a.self.PeerAddress {
		a.parent.leader = ""
		a.announce(leader)
		return
	}
	a.parent.seeking = true
	a.CallStore(a.lead.lease.ReadCall(), a.leaderRead)
}

// retrySeek schedules the next step of the search with full jitter.
func (a *Agent) retrySeek() {
	a.set(timerSeek, 50*time.Millisecond+membership.Backoff(a.cfg.Rand, a.parent.attempt, seekBase, seekLimit))
	a.parent.attempt++
}

func (a *Agent) leaderRead(result store.Result) {
	a.parent.seeking = false
	if a.parent.address != "" || a.lead.lease.Held() {
		return
	}
	switch {
	case result.Outcome != store.Applied:
		a.askSeeds()
		a.retrySeek()
	case len(result.Entries) == 0:
		a.candidate()
	default:
		a.followEntry(result.Entries[0])
	}
}

// followEntry announces this daemon to the leader that an entry of the leader key names.
func (a *Agent) followEntry(entry store.Entry) {
	if a.lead.lease.RecordEntry(entry) {
		a.becomeLeader()
		return
	}
	a.lead.candidate = false
	record, err := a.cfg.Codec.DecodeLeader(entry.Value)
	if err != nil || record.Daemon == a.self.Daemon {
		// The record of an earlier process of this daemon stays until its lease expires.
		a.retrySeek()
		return
	}
	a.heardTerm(model.Term(entry.CreateRevision))
	a.announce(record.PeerAddress)
}

// askSeeds looks for the leader through other daemons, because the platform does not answer.
func (a *Agent) askSeeds() {
	if len(a.cfg.Seeds) == 0 {
		return
	}
	seed := a.cfg.Seeds[a.cfg.Rand.IntN(len(a.cfg.Seeds))]
	if seed != a.self.PeerAddress {
		a.announce(seed)
	}
}

func (a *Agent) announce(address string) {
	a.parent.seeking = true
	body := &message.Announce{Target: a.self, Number: a.replica.Number(), Relay: a.parent.relay, Avoid: a.parent.avoid}
	a.send(address, body, func(reply message.Reply) {
		a.parent.seeking = false
		if a.parent.address != "" || a.lead.lease.Held() {
			return
		}
		r, ok := reply.(*message.AnnounceReply)
		if !ok {
			a.retrySeek()
			return
		}
		a.assigned(address, r)
	})
}

// assigned takes the answer of a leader, or of another daemon that may know the leader.
func (a *Agent) assigned(address string, r *message.AnnounceReply) {
	if r.Code != message.Accepted {
		if r.Leader != "" && r.Leader != address {
			a.parent.leader = r.Leader
		}
		a.retrySeek()
		return
	}
	if r.Term < a.term {
		a.retrySeek()
		return
	}
	a.heardTerm(r.Term)
	a.parent.leader = address
	a.parent.address = address
	a.parent.relay = r.Relay
	if r.Parent != "" {
		a.parent.address = r.Parent
	}
	if a.parent.relay {
		a.soon(timerSweep, sweepInterval)
	}
	if r.Current {
		a.vouched, a.required = true, r.Number
		a.checkReady()
	}
	a.parent.attempt, a.parent.missed, a.parent.behind, a.parent.full, a.parent.sendAll = 0, 0, 0, true, false
	a.stop(timerSeek)
	a.set(timerHeartbeat, 0)
	a.runHeartbeatNow()
}

// runHeartbeatNow sends the first heartbeat at once, so that the parent can send what this daemon lacks.
func (a *Agent) runHeartbeatNow() {
	a.stop(timerHeartbeat)
	a.sendHeartbeat()
}

// sendHeartbeat reports to the parent.
func (a *Agent) sendHeartbeat() {
	if a.parent.address == "" || a.lead.lease.Held() {
		return
	}
	a.set(timerHeartbeat, membership.HeartbeatInterval)
	if a.parent.inFlight {
		// The previous heartbeat still waits for its answer; its end counts as missed or not.
		return
	}
	a.parent.inFlight = true
	sent, address := a.now, a.parent.address
	a.send(address, a.buildHeartbeat(), func(reply message.Reply) {
		a.parent.inFlight = false
		if a.parent.address != address || a.lead.lease.Held() {
			return
		}
		r, ok := reply.(*message.HeartbeatReply)
		if !ok {
			a.heartbeatMissed()
			return
		}
		a.heartbeatAnswered(sent, r)
		if a.members.HasChanged() {
			a.reportSoon()
		}
	})
}

func (a *Agent) buildHeartbeat() *message.Heartbeat {
	a.parent.seq++
	f := a.summary()
	hb := &message.Heartbeat{
		From: a.self.Daemon, Incarnation: a.self.Incarnation, Term: a.term, Seq: a.parent.seq,
		Own: a.replica.Number(), Number: f.Number, Live: f.Live,
		Roster: a.roster.Version(), RosterTerm: a.roster.Term(),
		Digest: a.members.Digest(""), MarkDigest: membership.MarkDigest(a.markList()),
		Silent: f.Silent, Refusals: f.Refusals,
		AskLeader: !a.ready,
	}
	if !a.parent.relay || a.parent.seq%2 == 0 {
		// A leader has a heartbeat of each relay every second, and sums are its largest part.
		hb.Sums = message.PackSums(a.takeSums())
	}
	if a.parent.sendAll {
		hb.Marks = a.markList()
	}
	changed := a.members.TakeChanged()
	hb.Full, a.parent.full = a.parent.full, false
	if hb.Full {
		hb.Changed = a.members.LiveTargets()
		return hb
	}
	for _, m := range changed {
		if m.Live() && m.Via != "" {
			hb.Changed = append(hb.Changed, m.Target)
		}
	}
	return hb
}

// heartbeatMissed looks for another parent after repeated failures.
func (a *Agent) heartbeatMissed() {
	a.parent.missed++
	a.parent.full = true
	if a.parent.missed >= missedBeforeSeek {
		a.loseParent("no answer")
		return
	}
	a.soon(timerHeartbeat, repeatDelay)
}

// loseParent starts the search for another parent with jitter, so that the members of a dead relay do not come at once.
func (a *Agent) loseParent(reason string) {
	a.log("parent lost", "address", a.parent.address, "reason", reason)
	a.count("parent_lost", reason)
	a.parent.avoid = a.parent.address
	a.parent.address, a.parent.missed = "", 0
	a.stop(timerHeartbeat)
	a.set(timerSeek, a.jitter(reannounceJitter))
}

func (a *Agent) heartbeatAnswered(sent time.Time, r *message.HeartbeatReply) {
	a.parent.missed = 0
	if r.Term < a.term {
		a.loseParent("lower term")
		return
	}
	if r.Code == message.NotLeader {
		a.loseParent("not a parent")
		return
	}
	a.heardTerm(r.Term)
	if r.Leader != "" {
		a.parent.leader = r.Leader
	}
	if seen := sent.Add(-time.Duration(r.AgeMS) * time.Millisecond); seen.After(a.rootSeen) {
		a.rootSeen = seen
	}
	a.parent.sendAll = r.MarkDigest != membership.MarkDigest(a.markList())
	if r.Code == message.Unknown {
		a.parent.full = true
		a.parent.unsynced++
	} else {
		a.parent.unsynced = 0
	}
	if a.parent.unsynced == 1 {
		a.soon(timerHeartbeat, reportDelay)
	}
	a.pullIfBehind(r.Number)
	if !a.ready && !a.vouched {
		a.requestVouch()
	}
}

// pullIfBehind asks for a snapshot when the parent holds a higher number than its updates bring here. The first sight
// of a higher number is usually an update on its way.
func (a *Agent) pullIfBehind(number model.Number) {
	if number <= a.replica.Number() {
		a.parent.behind = 0
		return
	}
	a.parent.behind++
	switch {
	case a.parent.behind < 2:
	case a.parent.behind%2 == 0:
		a.pull(a.parent.address)
	default:
		a.pull(a.parent.leader)
	}
}

// requestVouch asks the leader again for a number that cannot be old, because it could not give one before.
func (a *Agent) requestVouch() {
	if a.parent.leader == "" {
		return
	}
	body := &message.Announce{Target: a.self, Number: a.replica.Number(), Probe: true}
	a.send(a.parent.leader, body, func(reply message.Reply) {
		r, ok := reply.(*message.AnnounceReply)
		switch {
		case !ok || r.Term < a.term:
		case r.Code == message.NotLeader && r.Leader != "":
			a.parent.leader = r.Leader
		case r.Code == message.Accepted && r.Current:
			a.vouched, a.required = true, r.Number
			a.checkReady()
		}
	})
}

// heardTerm notes a term. A leader that hears of a higher one has lost its lease.
func (a *Agent) heardTerm(term model.Term) {
	if term <= a.term {
		return
	}
	a.term = term
	if a.lead.lease.Held() && term > a.lead.lease.Term() {
		a.stepDown("higher term")
	}
}
