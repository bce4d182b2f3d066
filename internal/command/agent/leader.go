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

// leadership is the state of a daemon as the leader of its data centre or as a candidate.
type leadership struct {
	lease *membership.Lease
	// noLeaderSeen is set once the daemon has found no leader. It then waits a random time and looks again before it requests
	// a lease.
	noLeaderSeen bool
	tree         *membership.Tree
	// localRoster is the roster of this data centre, with the versions that are sent to the other leaders.
	localRoster *membership.Roster
	peers       map[model.DataCentre]*peerLeader
	// leadersListed is set once the leaders were listed in this term.
	leadersListed bool

	// document is the stored configuration and revision its store revision. loaded is set once it was read in this term.
	document     *model.Configuration
	revision     int64
	loaded       bool
	readInFlight bool
	// validLoaded is set once a valid document was read in this term; electedAt is when the term began.
	validLoaded bool
	electedAt   time.Time
	// watching is set while the watch on the document is not known to have ended.
	watching bool

	// evidenceFrom is when the first of the unsent sums was added.
	evidenceFrom time.Time
	isDriver     bool
	holds        []message.Hold
}

func newLeadership(cfg *Config) leadership {
	return leadership{
		lease:       membership.NewLease(cfg.leaseKey(), LeaseTTL),
		tree:        membership.NewTree(),
		localRoster: membership.NewRoster(0),
		peers:       map[model.DataCentre]*peerLeader{},
	}
}

func leaderKey(dc model.DataCentre) string { return store.PrefixLeaders + string(dc) }

// campaign is called if there is no leader key. The first time, it schedules another look after a random delay; the second
// time, it requests a lease to create the key.
func (a *Agent) campaign() {
	if !a.lead.noLeaderSeen {
		a.lead.noLeaderSeen = true
		a.schedule(timerFindParent, a.jitter(electionJitter))
		return
	}
	a.lead.noLeaderSeen = false
	a.parent.findInFlight = true
	sent := a.now
	a.CallStore(a.lead.lease.GrantCall(), func(result store.Result) {
		a.parent.findInFlight = false
		if a.parent.address != "" || !a.lead.lease.RecordGrant(sent, result) {
			a.retryFindParent()
			return
		}
		a.createLeaderKey()
	})
}

// createLeaderKey writes the leader key under the granted lease.
func (a *Agent) createLeaderKey() {
	value, err := a.cfg.Codec.EncodeLeader(LeaderRecord{Daemon: a.self.Daemon, PeerAddress: a.self.PeerAddress})
	if err != nil {
		a.log("leader record not encoded", "error", err.Error())
		a.retryFindParent()
		return
	}
	a.parent.findInFlight = true
	a.CallStore(a.lead.lease.CreateCall(value), func(result store.Result) {
		a.parent.findInFlight = false
		switch {
		case result.Outcome == store.Applied:
			a.lead.lease.RecordCreate(result)
			a.becomeLeader()
		case result.Outcome == store.Conflict && len(result.Entries) > 0:
			a.handleLeaderEntry(result.Entries[0])
		default:
			// After an unknown outcome the next read of the key shows whether the write took effect.
			a.retryFindParent()
		}
	})
}

// becomeLeader starts the term of the lease: it resets the state of earlier terms, adopts the targets of this data centre as
// members, and starts the leader's timers.
func (a *Agent) becomeLeader() {
	term := a.lead.lease.Term()
	a.log("leader", "term", termText(term))
	a.count("leader_changes", "elected")
	a.term = max(a.term, term)
	lost := a.parent.avoidAddress
	a.parent = parent{seq: a.parent.seq}
	a.cancel(timerFindParent, timerHeartbeat)
	var inherited []model.Target
	for _, t := range a.roster.Targets() {
		switch {
		case t.DataCentre != a.self.DataCentre:
			a.ensurePeer(t.DataCentre)
		case t.Daemon != a.self.Daemon:
			inherited = append(inherited, t)
		}
	}
	a.members.Inherit(a.now, inherited, lost)
	a.lead.tree = membership.NewTree()
	a.lead.localRoster = membership.NewRoster(term)
	a.lead.loaded, a.lead.watching, a.lead.leadersListed, a.lead.evidenceFrom = false, false, false, a.now
	a.lead.validLoaded, a.lead.electedAt = false, a.now
	for _, p := range a.lead.peers {
		// What the other leaders hold from this daemon's earlier terms is not valid in the new term.
		p.resetSent()
		p.lastHeard, p.missedLists = a.now, 0
	}
	a.roster.StartTerm(term)
	a.lead.localRoster.Edit(a.members.AdvertisedTargets(), nil)
	a.editRoster(a.members.AdvertisedTargets(), nil)
	a.schedule(timerKeepAlive, KeepAliveInterval)
	a.schedule(timerSweep, sweepInterval)
	a.schedule(timerPushUpdates, 0)
	a.pushUpdates()
	a.readConfiguration()
	a.listLeaders()
}

// stepDown turns a leader into a member that looks for the new leader.
func (a *Agent) stepDown(reason string) {
	a.log("leader stepped down", "reason", reason)
	a.count("leader_changes", "stepped-down")
	a.lead.lease.Reset()
	a.lead.loaded, a.lead.noLeaderSeen = false, false
	a.members = newMembers(&a.cfg)
	a.members.SetSelf(a.self)
	a.emit(effect.Unwatch{Key: store.KeyConfiguration})
	a.cancel(timerKeepAlive, timerExchange, timerListLeaders, timerReadConfiguration, timerSweep, timerPushUpdates)
	a.schedule(timerFindParent, a.jitter(reannounceJitter))
}

func (a *Agent) sendKeepAlive() {
	if !a.lead.lease.Held() {
		return
	}
	a.schedule(timerKeepAlive, KeepAliveInterval)
	call := a.lead.lease.KeepAliveCall()
	sent := a.now
	a.CallStore(call, func(result store.Result) {
		if a.lead.lease.Held() && !a.lead.lease.RecordKeepAlive(sent, call.Lease, result) {
			a.stepDown("lease expired")
		}
	})
}

// handleAnnounce handles the announcement of a daemon that looks for a parent.
func (a *Agent) handleAnnounce(m *message.Announce) message.Reply {
	if !a.lead.lease.Held() || m.Target.DataCentre != a.self.DataCentre {
		return &message.AnnounceReply{Code: message.NotLeader, Term: a.term, Leader: a.leaderAddressOf(m.Target.DataCentre)}
	}
	reply := &message.AnnounceReply{
		Code: message.Accepted, Term: a.term, Number: a.replica.Number(), Current: a.isCurrent(),
	}
	if m.Probe {
		return reply
	}
	if !a.members.RecordAnnounce(a.now, m.Target, m.Number) {
		reply.Code = message.Stale
		return reply
	}
	reply.Parent, reply.Relay = a.lead.tree.Assign(a.now, a.members, m.Target.Daemon, m.Relay, m.Avoid)
	a.propagateMemberChanges()
	return reply
}

// leaderAddressOf returns the peer address of a data centre's leader, or "" if this daemon does not know it.
func (a *Agent) leaderAddressOf(dc model.DataCentre) string {
	switch {
	case dc != a.self.DataCentre && a.lead.lease.Held():
		if p := a.lead.peers[dc]; p != nil {
			return p.address
		}
		return ""
	case a.lead.lease.Held():
		return a.self.PeerAddress
	default:
		return a.parent.leaderAddress
	}
}

// isCurrent reports whether this leader's number cannot be older than any number that a daemon of its data centre serves.
// That is certain under a valid lease once a valid document was read in the term, since no other leader can have sent a
// higher number. Otherwise the numbers of all other leaders and of the members are used instead: in an outage if no
// leader reaches the platform, and while the stored document is invalid once the members had time to report theirs.
func (a *Agent) isCurrent() bool {
	if !a.lead.lease.Held() || !a.lead.loaded || a.replica.Number() == 0 || a.members.HighestAbove(a.replica.Number()) != nil {
		return false
	}
	valid := a.lead.lease.Valid(a.now)
	if valid && a.lead.validLoaded {
		return true
	}
	if !a.lead.validLoaded && a.now.Sub(a.lead.electedAt) < membership.AttachTimeout {
		return false
	}
	return a.allPeersReachable(func(p *peerLeader) bool {
		return (valid || !p.reachesPlatform) && p.number <= a.replica.Number()
	})
}

// isConnected reports whether this leader receives changes of the configuration.
func (a *Agent) isConnected() bool {
	if !a.lead.lease.Held() || !a.lead.loaded {
		return false
	}
	return a.lead.lease.Valid(a.now) || a.allPeersReachable(func(*peerLeader) bool { return true })
}

// updateConnection makes a leader ready once its number is current, records that it is connected, and schedules the time at
// which the daemon becomes isolated.
func (a *Agent) updateConnection() {
	if !a.ready && a.isCurrent() {
		a.hasMinNumber, a.minNumber = true, a.replica.Number()
		a.updateReady()
	}
	if a.isConnected() {
		a.lastConnected = a.now
	}
	at := a.lastConnected.Add(IsolatedAfter + time.Millisecond)
	if at.After(a.now) {
		a.timers[timerIsolated] = at
	}
}

// readConfiguration reads the document and starts a watch from the revision that was read.
func (a *Agent) readConfiguration() {
	if !a.lead.lease.Held() || a.lead.readInFlight {
		return
	}
	a.schedule(timerReadConfiguration, configurationReadInterval)
	a.lead.readInFlight = true
	term := a.lead.lease.Term()
	call := store.Call{
		Kind: store.KindGet, Priority: store.PriorityRead, Reason: "configuration-read", Key: store.KeyConfiguration,
	}
	a.CallStore(call, func(result store.Result) {
		a.lead.readInFlight = false
		if a.lead.lease.Term() != term {
			return
		}
		if result.Outcome != store.Applied {
			a.schedule(timerReadConfiguration, time.Second+a.jitter(time.Second))
			return
		}
		after, known := result.Revision, a.lead.revision
		for _, entry := range result.Entries {
			a.applyEntry(entry)
			after = entry.ModRevision
		}
		if !a.lead.watching || a.lead.revision > known {
			// The read returned a change that the watch did not deliver, so the watch may have ended unnoticed.
			a.emit(effect.Watch{Key: store.KeyConfiguration, After: after})
		}
		a.lead.loaded, a.lead.watching = true, true
	})
}

func (a *Agent) handleKeyChanged(ev effect.KeyChanged) {
	if ev.Key != store.KeyConfiguration || !a.lead.lease.Held() {
		return
	}
	switch {
	case ev.Event.Lost:
		a.lead.watching = false
		a.schedule(timerReadConfiguration, a.jitter(time.Second))
	case ev.Event.Deleted:
		a.log("configuration deleted", "revision", "ignored")
	default:
		a.applyEntry(ev.Event.Entry)
	}
}

// applyEntry applies the stored document. A document that cannot be decoded or is invalid is refused as a whole and reported.
func (a *Agent) applyEntry(entry store.Entry) {
	if entry.ModRevision < a.lead.revision || (entry.ModRevision == a.lead.revision && a.lead.loaded) {
		return
	}
	c, err := a.cfg.Codec.DecodeConfiguration(entry.Value)
	if err != nil {
		a.recordRefusal(0, err.Error())
		return
	}
	a.lead.document, a.lead.revision = c, entry.ModRevision
	if held := a.replica.Number(); c.Number < held {
		a.recordRefusal(c.Number, "the number is below "+numberText(held)+", which is already distributed")
		return
	}
	result, reason := a.replica.Apply(c)
	a.lead.validLoaded = a.lead.validLoaded || result != distribution.Refused
	switch result {
	case distribution.Applied:
		a.handleApplied()
	case distribution.Refused:
		a.recordRefusal(c.Number, reason)
	}
}
