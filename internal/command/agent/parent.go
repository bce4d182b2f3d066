package agent

import (
	"time"

	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// parent is a daemon's state about the daemon above it in the tree, or about the search for one.
type parent struct {
	// address is the parent's peer address; it is empty while the daemon looks for a parent.
	address string
	// leaderAddress is the peer address of the last known leader.
	leaderAddress string
	// avoidAddress is the peer address of a parent that did not answer.
	avoidAddress string
	// isRelay is set if this daemon has members below it.
	isRelay bool
	// seq is the sequence number of the last heartbeat sent.
	seq uint64
	// attempts counts the failed steps of the search for a parent.
	attempts         int
	missedHeartbeats int
	// behindCount counts the consecutive heartbeats to which the parent replied with a higher configuration number.
	behindCount int
	// unsyncedCount counts the consecutive heartbeats after which the parent asked for a full one.
	unsyncedCount int
	// sendFull and sendMarks are set if the next heartbeat must be full or must carry all marks.
	sendFull          bool
	sendMarks         bool
	heartbeatInFlight bool
	// findInFlight is set while a call of the search for a parent has no result yet.
	findInFlight bool
}

// findParent takes the next step of the search for a parent: it announces this daemon to the last known leader, or reads the
// leader key if no leader is known.
func (a *Agent) findParent() {
	if a.parent.address != "" || a.lead.lease.Held() || a.parent.findInFlight {
		return
	}
	if leader := a.parent.leaderAddress; leader != "" && leader != a.self.PeerAddress {
		a.parent.leaderAddress = ""
		a.sendAnnounce(leader)
		return
	}
	a.parent.findInFlight = true
	a.CallStore(a.lead.lease.ReadCall(), a.handleLeaderRead)
}

// retryFindParent schedules the next step of the search for a parent, with backoff and full jitter.
func (a *Agent) retryFindParent() {
	a.schedule(timerFindParent, 50*time.Millisecond+
		membership.Backoff(a.cfg.Rand, a.parent.attempts, parentBackoffBase, parentBackoffMax))
	a.parent.attempts++
}

func (a *Agent) handleLeaderRead(result store.Result) {
	a.parent.findInFlight = false
	if a.parent.address != "" || a.lead.lease.Held() {
		return
	}
	switch {
	case result.Outcome != store.Applied:
		a.announceToSeed()
		a.retryFindParent()
	case len(result.Entries) == 0:
		a.campaign()
	default:
		a.handleLeaderEntry(result.Entries[0])
	}
}

// handleLeaderEntry announces this daemon to the leader that an entry of the leader key names. If the entry belongs to this
// daemon's own lease, the daemon becomes the leader.
func (a *Agent) handleLeaderEntry(entry store.Entry) {
	if a.lead.lease.RecordEntry(entry) {
		a.becomeLeader()
		return
	}
	a.lead.noLeaderSeen = false
	record, err := a.cfg.Codec.DecodeLeader(entry.Value)
	if err != nil || record.Daemon == a.self.Daemon {
		// An earlier process of this daemon wrote the entry, which stays until its lease expires.
		a.retryFindParent()
		return
	}
	a.observeTerm(model.Term(entry.CreateRevision))
	a.sendAnnounce(record.PeerAddress)
}

// announceToSeed announces this daemon to a random seed, which may know the leader, because the platform does not answer.
func (a *Agent) announceToSeed() {
	if len(a.cfg.Seeds) == 0 {
		return
	}
	seed := a.cfg.Seeds[a.cfg.Rand.IntN(len(a.cfg.Seeds))]
	if seed != a.self.PeerAddress {
		a.sendAnnounce(seed)
	}
}

func (a *Agent) sendAnnounce(address string) {
	a.parent.findInFlight = true
	body := &message.Announce{Target: a.self, Number: a.replica.Number(), Relay: a.parent.isRelay, Avoid: a.parent.avoidAddress}
	a.send(address, body, func(reply message.Reply) {
		a.parent.findInFlight = false
		if a.parent.address != "" || a.lead.lease.Held() {
			return
		}
		r, ok := reply.(*message.AnnounceReply)
		if !ok {
			a.retryFindParent()
			return
		}
		a.handleAnnounceReply(address, r)
	})
}

// handleAnnounceReply handles the reply of a leader, or of another daemon that may know the leader.
func (a *Agent) handleAnnounceReply(address string, r *message.AnnounceReply) {
	if r.Code != message.Accepted {
		if r.Leader != "" && r.Leader != address {
			a.parent.leaderAddress = r.Leader
		}
		a.retryFindParent()
		return
	}
	if r.Term < a.term {
		a.retryFindParent()
		return
	}
	a.observeTerm(r.Term)
	a.parent.leaderAddress = address
	a.parent.address = address
	a.parent.isRelay = r.Relay
	if r.Parent != "" {
		a.parent.address = r.Parent
	}
	if a.parent.isRelay {
		a.scheduleNoLater(timerSweep, sweepInterval)
	}
	if r.Current {
		a.hasMinNumber, a.minNumber = true, r.Number
		a.updateReady()
	}
	a.parent.attempts, a.parent.missedHeartbeats, a.parent.behindCount, a.parent.sendFull, a.parent.sendMarks = 0, 0, 0, true, false
	a.cancel(timerFindParent)
	a.schedule(timerHeartbeat, 0)
	a.sendFirstHeartbeat()
}

// sendFirstHeartbeat sends the first heartbeat to a new parent at once, so that the parent can send what this daemon lacks.
func (a *Agent) sendFirstHeartbeat() {
	a.cancel(timerHeartbeat)
	a.sendHeartbeat()
}

// sendHeartbeat sends a heartbeat to the parent.
func (a *Agent) sendHeartbeat() {
	if a.parent.address == "" || a.lead.lease.Held() {
		return
	}
	a.schedule(timerHeartbeat, membership.HeartbeatInterval)
	if a.parent.heartbeatInFlight {
		// The previous heartbeat has no result yet. It counts as missed once it fails.
		return
	}
	a.parent.heartbeatInFlight = true
	sent, address := a.now, a.parent.address
	a.send(address, a.buildHeartbeat(), func(reply message.Reply) {
		a.parent.heartbeatInFlight = false
		if a.parent.address != address || a.lead.lease.Held() {
			return
		}
		r, ok := reply.(*message.HeartbeatReply)
		if !ok {
			a.handleMissedHeartbeat()
			return
		}
		a.handleHeartbeatReply(sent, r)
		if a.members.HasChanged() {
			a.scheduleReport()
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
	if !a.parent.isRelay || a.parent.seq%2 == 0 {
		// A leader receives a heartbeat of each relay every second, and sums are the largest part of it. So relays send sums
		// with every other heartbeat only.
		hb.Sums = message.PackSums(a.takeSums())
	}
	if a.parent.sendMarks {
		hb.Marks = a.markList()
	}
	changed := a.members.TakeChanged()
	hb.Full, a.parent.sendFull = a.parent.sendFull, false
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

// handleMissedHeartbeat retries a failed heartbeat, and looks for another parent after maxMissedHeartbeats failures.
func (a *Agent) handleMissedHeartbeat() {
	a.parent.missedHeartbeats++
	a.parent.sendFull = true
	if a.parent.missedHeartbeats >= maxMissedHeartbeats {
		a.abandonParent("no answer")
		return
	}
	a.scheduleNoLater(timerHeartbeat, heartbeatRetryDelay)
}

// abandonParent starts the search for another parent. Jitter keeps the members of a dead relay from announcing themselves all
// at once.
func (a *Agent) abandonParent(reason string) {
	a.log("parent lost", "address", a.parent.address, "reason", reason)
	a.count("parent_lost", reason)
	a.parent.avoidAddress = a.parent.address
	a.parent.address, a.parent.missedHeartbeats = "", 0
	a.cancel(timerHeartbeat)
	a.schedule(timerFindParent, a.jitter(reannounceJitter))
}

func (a *Agent) handleHeartbeatReply(sent time.Time, r *message.HeartbeatReply) {
	a.parent.missedHeartbeats = 0
	if r.Term < a.term {
		a.abandonParent("lower term")
		return
	}
	if r.Code == message.NotLeader {
		a.abandonParent("not a parent")
		return
	}
	a.observeTerm(r.Term)
	if r.Leader != "" {
		a.parent.leaderAddress = r.Leader
	}
	if seen := sent.Add(-time.Duration(r.AgeMS) * time.Millisecond); seen.After(a.lastConnected) {
		a.lastConnected = seen
	}
	a.parent.sendMarks = r.MarkDigest != membership.MarkDigest(a.markList())
	if r.Code == message.UnknownMember {
		a.parent.sendFull = true
		a.parent.unsyncedCount++
	} else {
		a.parent.unsyncedCount = 0
	}
	if a.parent.unsyncedCount == 1 {
		a.scheduleNoLater(timerHeartbeat, reportDelay)
	}
	a.pullSnapshotIfBehind(r.Number)
	if !a.ready && !a.hasMinNumber {
		a.requestMinNumber()
	}
}

// pullSnapshotIfBehind requests a snapshot, from the parent and the leader in turn, once two consecutive heartbeats show that
// the parent holds a higher number. After the first of them, an update to this daemon is usually in flight.
func (a *Agent) pullSnapshotIfBehind(number model.Number) {
	if number <= a.replica.Number() {
		a.parent.behindCount = 0
		return
	}
	a.parent.behindCount++
	switch {
	case a.parent.behindCount < 2:
	case a.parent.behindCount%2 == 0:
		a.pullSnapshot(a.parent.address)
	default:
		a.pullSnapshot(a.parent.leaderAddress)
	}
}

// requestMinNumber asks the leader again for a number that is confirmed to be current, because the leader could not confirm
// its number when it answered the announcement.
func (a *Agent) requestMinNumber() {
	if a.parent.leaderAddress == "" {
		return
	}
	body := &message.Announce{Target: a.self, Number: a.replica.Number(), Probe: true}
	a.send(a.parent.leaderAddress, body, func(reply message.Reply) {
		r, ok := reply.(*message.AnnounceReply)
		switch {
		case !ok || r.Term < a.term:
		case r.Code == message.NotLeader && r.Leader != "":
			a.parent.leaderAddress = r.Leader
		case r.Code == message.Accepted && r.Current:
			a.hasMinNumber, a.minNumber = true, r.Number
			a.updateReady()
		}
	})
}

// observeTerm records a term that another daemon sent. A leader that learns of a higher term has lost its lease and steps
// down.
func (a *Agent) observeTerm(term model.Term) {
	if term <= a.term {
		return
	}
	a.term = term
	if a.lead.lease.Held() && term > a.lead.lease.Term() {
		a.stepDown("higher term")
	}
}
