package agent

import (
	"time"

	"sniperail.example/sniperail/internal/command/distribution"
	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// leadership is what a daemon knows as the leader of its data centre, and on the way to it.
type leadership struct {
	lease *membership.Lease
	// candidate says that no leader was found once, after which the daemon waited to let others go first.
	candidate bool
	tree      *membership.Tree
	// local is the roster of this data centre, counted for the other leaders.
	local *membership.Roster
	peers map[model.DataCentre]*peerLeader
	// listed says that the leaders were listed in this term.
	listed bool

	// document is the configuration as stored, with its revision; loaded says that it was read in this term.
	document *model.Configuration
	revision int64
	loaded   bool
	reading  bool
	// sound says that a valid document was read in this term; elected is when the term began.
	sound   bool
	elected time.Time
	// watching says that the watch on the document has not ended as far as known.
	watching bool

	evidenceFrom time.Time
	driver       bool
	holds        []message.Hold
}

func newLeadership(cfg *Config) leadership {
	return leadership{
		lease: membership.NewLease(cfg.leaseKey(), LeaseTTL),
		tree:  membership.NewTree(),
		local: membership.NewRoster(0),
		peers: map[model.DataCentre]*peerLeader{},
	}
}

func leaderKey(dc model.DataCentre) string { return store.PrefixLeaders + string(dc) }

// candidate acts on a missing leader key: it looks again after a random delay and asks for a lease only then.
func (a *Agent) candidate() {
	if !a.lead.candidate {
		a.lead.candidate = true
		a.set(timerSeek, a.jitter(electionJitter))
		return
	}
	a.lead.candidate = false
	a.parent.seeking = true
	sent := a.now
	a.CallStore(a.lead.lease.GrantCall(), func(result store.Result) {
		a.parent.seeking = false
		if a.parent.address != "" || !a.lead.lease.RecordGrant(sent, result) {
			a.retrySeek()
			return
		}
		a.createLeader()
	})
}

func (a *Agent) createLeader() {
	value, err := a.cfg.Codec.EncodeLeader(LeaderRecord{Daemon: a.self.Daemon, PeerAddress: a.self.PeerAddress})
	if err != nil {
		a.log("leader record not encoded", "error", err.Error())
		a.retrySeek()
		return
	}
	a.parent.seeking = true
	a.CallStore(a.lead.lease.CreateCall(value), func(result store.Result) {
		a.parent.seeking = false
		switch {
		case result.Outcome == store.Applied:
			a.lead.lease.RecordCreate(result)
			a.becomeLeader()
		case result.Outcome == store.Conflict && len(result.Entries) > 0:
			a.followEntry(result.Entries[0])
		default:
			// After an unknown outcome the next read of the key tells whether the write took effect.
			a.retrySeek()
		}
	})
}

func (a *Agent) becomeLeader() {
	term := a.lead.lease.Term()
	a.log("leader", "term", termText(term))
	a.count("leader_changes", "elected")
	a.term = max(a.term, term)
	lost := a.parent.avoid
	a.parent = parent{seq: a.parent.seq}
	a.stop(timerSeek, timerHeartbeat)
	var inherited []model.Target
	for _, t := range a.roster.Targets() {
		switch {
		case t.DataCentre != a.self.DataCentre:
			a.peer(t.DataCentre)
		case t.Daemon != a.self.Daemon:
			inherited = append(inherited, t)
		}
	}
	a.members.Inherit(a.now, inherited, lost)
	a.lead.tree = membership.NewTree()
	a.lead.local = membership.NewRoster(term)
	a.lead.loaded, a.lead.watching, a.lead.listed, a.lead.evidenceFrom = false, false, false, a.now
	a.lead.sound, a.lead.elected = false, a.now
	for _, p := range a.lead.peers {
		// What the others hold of this daemon's former terms counts for nothing in the new one.
		p.forgetSent()
		p.heard, p.missing = a.now, 0
	}
	a.roster.Renumber(term)
	a.lead.local.Edit(a.members.All(), nil)
	a.mergeRoster(a.members.All(), nil)
	a.set(timerKeepAlive, KeepAliveInterval)
	a.set(timerSweep, sweepInterval)
	a.set(timerFlush, 0)
	a.flush()
	a.readConfiguration()
	a.listLeaders()
}

// stepDown makes a former leader a member that looks for the new leader.
func (a *Agent) stepDown(reason string) {
	a.log("leader stepped down", "reason", reason)
	a.count("leader_changes", "stepped-down")
	a.lead.lease.Reset()
	a.lead.loaded, a.lead.candidate = false, false
	a.members = newMembers(&a.cfg)
	a.members.SetSelf(a.self)
	a.emit(effect.Unwatch{Key: store.KeyConfiguration})
	a.stop(timerKeepAlive, timerExchange, timerList, timerCheck, timerSweep, timerFlush)
	a.set(timerSeek, a.jitter(reannounceJitter))
}

func (a *Agent) keepAlive() {
	if !a.lead.lease.Held() {
		return
	}
	a.set(timerKeepAlive, KeepAliveInterval)
	call := a.lead.lease.KeepAliveCall()
	sent := a.now
	a.CallStore(call, func(result store.Result) {
		if a.lead.lease.Held() && !a.lead.lease.RecordKeepAlive(sent, call.Lease, result) {
			a.stepDown("lease expired")
		}
	})
}

// announced answers a daemon that looks for a parent.
func (a *Agent) announced(m *message.Announce) message.Reply {
	if !a.lead.lease.Held() || m.Target.DataCentre != a.self.DataCentre {
		return &message.AnnounceReply{Code: message.NotLeader, Term: a.term, Leader: a.leaderOf(m.Target.DataCentre)}
	}
	reply := &message.AnnounceReply{
		Code: message.Accepted, Term: a.term, Number: a.replica.Number(), Current: a.current(),
	}
	if m.Probe {
		return reply
	}
	if !a.members.Announce(a.now, m.Target, m.Number) {
		reply.Code = message.Stale
		return reply
	}
	reply.Parent, reply.Relay = a.lead.tree.Assign(a.now, a.members, m.Target.Daemon, m.Relay, m.Avoid)
	a.membersChanged()
	return reply
}

// leaderOf returns the peer address of a data centre's leader as far as it is known here.
func (a *Agent) leaderOf(dc model.DataCentre) string {
	switch {
	case dc != a.self.DataCentre && a.lead.lease.Held():
		if p := a.lead.peers[dc]; p != nil {
			return p.address
		}
		return ""
	case a.lead.lease.Held():
		return a.self.PeerAddress
	default:
		return a.parent.leader
	}
}

// current reports whether this leader's number cannot be older than a number that a daemon of its data centre serves.
// Under a valid lease no other leader can have sent a higher one, and a valid document was read after the lease was
// taken. Otherwise the numbers of all other leaders and of the members stand in for it: in an outage if no leader reaches
// the platform, and while the stored document is invalid once the members had the time to report theirs.
func (a *Agent) current() bool {
	if !a.lead.lease.Held() || !a.lead.loaded || a.replica.Number() == 0 || a.members.Ahead(a.replica.Number()) != nil {
		return false
	}
	valid := a.lead.lease.Valid(a.now)
	if valid && a.lead.sound {
		return true
	}
	if !a.lead.sound && a.now.Sub(a.lead.elected) < membership.AttachTimeout {
		return false
	}
	return a.allPeersReachable(func(p *peerLeader) bool {
		return (valid || !p.platform) && p.number <= a.replica.Number()
	})
}

// connected reports whether changes of the configuration reach this leader.
func (a *Agent) connected() bool {
	if !a.lead.lease.Held() || !a.lead.loaded {
		return false
	}
	return a.lead.lease.Valid(a.now) || a.allPeersReachable(func(*peerLeader) bool { return true })
}

// observeRoot notes that a leader is connected and lets it serve, and plans the moment at which the daemon is isolated.
func (a *Agent) observeRoot() {
	if !a.ready && a.current() {
		a.vouched, a.required = true, a.replica.Number()
		a.checkReady()
	}
	if a.connected() {
		a.rootSeen = a.now
	}
	at := a.rootSeen.Add(IsolatedAfter + time.Millisecond)
	if at.After(a.now) {
		a.timers[timerIsolated] = at
	}
}

// readConfiguration reads the document and watches it from there.
func (a *Agent) readConfiguration() {
	if !a.lead.lease.Held() || a.lead.reading {
		return
	}
	a.set(timerCheck, checkInterval)
	a.lead.reading = true
	term := a.lead.lease.Term()
	call := store.Call{
		Kind: store.KindGet, Priority: store.PriorityRead, Reason: "configuration-read", Key: store.KeyConfiguration,
	}
	a.CallStore(call, func(result store.Result) {
		a.lead.reading = false
		if a.lead.lease.Term() != term {
			return
		}
		if result.Outcome != store.Applied {
			a.set(timerCheck, time.Second+a.jitter(time.Second))
			return
		}
		after, known := result.Revision, a.lead.revision
		for _, entry := range result.Entries {
			a.takeEntry(entry)
			after = entry.ModRevision
		}
		if !a.lead.watching || a.lead.revision > known {
			// A read that shows what the watch did not deliver means that the watch may have ended unnoticed.
			a.emit(effect.Watch{Key: store.KeyConfiguration, After: after})
		}
		a.lead.loaded, a.lead.watching = true, true
	})
}

func (a *Agent) watched(ev effect.KeyChanged) {
	if ev.Key != store.KeyConfiguration || !a.lead.lease.Held() {
		return
	}
	switch {
	case ev.Event.Lost:
		a.lead.watching = false
		a.set(timerCheck, a.jitter(time.Second))
	case ev.Event.Deleted:
		a.log("configuration deleted", "revision", "ignored")
	default:
		a.takeEntry(ev.Event.Entry)
	}
}

// takeEntry takes the stored document. One that cannot be decoded or is invalid is refused as a whole and reported.
func (a *Agent) takeEntry(entry store.Entry) {
	if entry.ModRevision < a.lead.revision || (entry.ModRevision == a.lead.revision && a.lead.loaded) {
		return
	}
	c, err := a.cfg.Codec.DecodeConfiguration(entry.Value)
	if err != nil {
		a.refuse(0, err.Error())
		return
	}
	a.lead.document, a.lead.revision = c, entry.ModRevision
	if held := a.replica.Number(); c.Number < held {
		a.refuse(c.Number, "the number is below "+numberText(held)+", which is already distributed")
		return
	}
	result, reason := a.replica.Apply(c)
	a.lead.sound = a.lead.sound || result != distribution.Refused
	a.apply(result, reason)
}
