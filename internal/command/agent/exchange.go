package agent

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// peerLeader is a leader's state about the leader of another data centre.
type peerLeader struct {
	dc      model.DataCentre
	address string
	term    model.Term
	// lastHeard is when the peer last sent an exchange, or when this leader's term began if that is later. lastAccepted is when
	// the peer last accepted an exchange.
	lastHeard, lastAccepted time.Time
	// number is the highest configuration number that the peer is known to hold. aheadCount is the number of consecutive
	// exchanges in which it was above this daemon's number.
	number     model.Number
	aheadCount int
	// missedLists is the number of consecutive lists of leaders without one of this data centre.
	missedLists     int
	reachesPlatform bool
	isDriver        bool
	// roster is the roster of the peer's data centre as received.
	roster      *membership.Roster
	inForce     model.InForce
	holds       []message.Hold
	receivedSeq uint64

	// ackedVersion is the version of this data centre's roster that the peer holds. sentSeq, lastSent, sentNumbers and
	// sentMarkDigest are the sequence number, time and content of the last exchange sent to the peer.
	ackedVersion   uint64
	sentSeq        uint64
	inFlight       bool
	lastSent       time.Time
	sentNumbers    [2]model.Number
	sentMarkDigest uint64
}

// ensurePeer returns the state about the leader of a data centre, and creates it if there is none.
func (a *Agent) ensurePeer(dc model.DataCentre) *peerLeader {
	p := a.lead.peers[dc]
	if p == nil {
		p = &peerLeader{dc: dc, roster: membership.NewRoster(0), lastHeard: a.now}
		a.lead.peers[dc] = p
	}
	return p
}

// sortedPeers returns the leaders of the other data centres, sorted by data centre.
func (a *Agent) sortedPeers() []*peerLeader {
	list := make([]*peerLeader, 0, len(a.lead.peers))
	for _, dc := range slices.Sorted(maps.Keys(a.lead.peers)) {
		list = append(list, a.lead.peers[dc])
	}
	return list
}

// startTerm records a leader of a higher term. The new leader does not hold what was sent to its predecessor.
func (p *peerLeader) startTerm(term model.Term, address string) {
	p.term, p.address = term, address
	p.receivedSeq, p.isDriver, p.missedLists = 0, false, 0
	p.resetSent()
}

// resetSent discards what is known about the peer's copy of this leader's state, after a change of leaders on either side.
func (p *peerLeader) resetSent() {
	p.ackedVersion, p.lastAccepted, p.lastSent = 0, time.Time{}, time.Time{}
	p.sentMarkDigest, p.sentNumbers = 0, [2]model.Number{}
}

// listLeaders reads the leader keys of all data centres.
func (a *Agent) listLeaders() {
	if !a.lead.lease.Held() {
		return
	}
	a.schedule(timerListLeaders, listInterval)
	term := a.lead.lease.Term()
	call := store.Call{
		Kind: store.KindList, Priority: store.PriorityRead, Reason: "leaders-list", Key: store.PrefixLeaders,
	}
	a.CallStore(call, func(result store.Result) {
		if result.Outcome != store.Applied || a.lead.lease.Term() != term {
			return
		}
		for _, p := range a.lead.peers {
			p.missedLists++
		}
		for _, entry := range result.Entries {
			a.recordLeader(entry)
		}
		a.lead.leadersListed = true
		a.scheduleNoLater(timerExchange, 0)
		a.sendExchanges()
	})
}

// recordLeader records the leader that a leader key names.
func (a *Agent) recordLeader(entry store.Entry) {
	dc := model.DataCentre(strings.TrimPrefix(entry.Key, store.PrefixLeaders))
	record, err := a.cfg.Codec.DecodeLeader(entry.Value)
	if err != nil || dc == a.self.DataCentre {
		return
	}
	p := a.ensurePeer(dc)
	p.missedLists = 0
	if model.Term(entry.CreateRevision) > p.term {
		p.startTerm(model.Term(entry.CreateRevision), record.PeerAddress)
	}
}

// sendExchanges sends an exchange to each other leader for which there is something new or an exchange is due.
func (a *Agent) sendExchanges() {
	if !a.lead.lease.Held() {
		return
	}
	a.schedule(timerExchange, exchangeInterval)
	a.expireSums()
	inForce := a.summary()
	for _, p := range a.sortedPeers() {
		a.sendExchange(p, inForce)
	}
}

// expireSums drops outcomes that no driver has asked for, so that a new driver does not judge by outdated ones.
func (a *Agent) expireSums() {
	if a.now.Sub(a.lead.evidenceFrom) > 5*membership.HeartbeatInterval {
		clear(a.sums)
	}
}

func (a *Agent) sendExchange(p *peerLeader, inForce model.InForce) {
	if p.address == "" || p.inFlight {
		return
	}
	digest := membership.MarkDigest(a.markList())
	numbers := [2]model.Number{a.replica.Number(), inForce.Number}
	roster := a.lead.localRoster.Since(a.lead.localRoster.Term(), p.ackedVersion)
	evidence := p.isDriver && len(a.sums) > 0
	due := a.now.Sub(p.lastSent) >= exchangeInterval-exchangeDelay
	if !due && !evidence && roster == nil && numbers == p.sentNumbers && digest == p.sentMarkDigest {
		return
	}
	p.sentSeq++
	m := &message.Exchange{
		DataCentre: a.self.DataCentre, Leader: a.self.PeerAddress, Term: a.lead.lease.Term(), Seq: p.sentSeq,
		Number: a.replica.Number(), Platform: a.lead.lease.Valid(a.now), Driver: a.lead.isDriver,
		Roster: roster, InForce: inForce,
	}
	if digest != p.sentMarkDigest {
		m.Marks = a.markList()
	}
	if a.lead.isDriver {
		m.Holds = a.lead.holds
	}
	if p.isDriver && a.hasActiveMove() {
		m.From, m.To, m.Sums = a.lead.evidenceFrom, a.now, message.PackSums(a.takeSums())
	}
	p.inFlight, p.lastSent, p.sentNumbers, p.sentMarkDigest = true, a.now, numbers, digest
	version, term, own := a.lead.localRoster.Version(), p.term, a.lead.lease.Term()
	a.send(p.address, m, func(reply message.Reply) {
		p.inFlight = false
		r, ok := reply.(*message.ExchangeReply)
		if !ok || p.term != term || a.lead.lease.Term() != own {
			p.sentMarkDigest, p.sentNumbers = 0, [2]model.Number{}
			return
		}
		a.handleExchangeReply(p, r, version)
	})
}

func (a *Agent) handleExchangeReply(p *peerLeader, r *message.ExchangeReply, version uint64) {
	switch r.Code {
	case message.Accepted:
		p.ackedVersion, p.lastAccepted, p.number = version, a.now, max(p.number, r.Number)
	case message.Gap:
		p.ackedVersion = r.Roster
		a.scheduleNoLater(timerExchange, exchangeDelay)
	case message.Stale:
		a.observeTerm(r.Term)
	case message.NotLeader:
		p.address = ""
		a.scheduleNoLater(timerListLeaders, exchangeInterval)
	}
}

// handleExchange handles the exchange of another leader.
func (a *Agent) handleExchange(m *message.Exchange) message.Reply {
	if !a.lead.lease.Held() {
		return &message.ExchangeReply{Code: message.NotLeader}
	}
	if m.DataCentre == a.self.DataCentre {
		a.observeTerm(m.Term)
		return &message.ExchangeReply{Code: message.Stale, Term: a.term}
	}
	p := a.ensurePeer(m.DataCentre)
	if m.Term < p.term {
		return &message.ExchangeReply{Code: message.Stale, Term: p.term}
	}
	if m.Term > p.term {
		p.startTerm(m.Term, m.Leader)
	}
	reply := &message.ExchangeReply{Code: message.Accepted, Number: a.replica.Number()}
	if p.address == "" {
		p.address = m.Leader
	}
	if m.Seq <= p.receivedSeq {
		return reply
	}
	p.receivedSeq, p.lastHeard, p.reachesPlatform, p.isDriver, p.inForce = m.Seq, a.now, m.Platform, m.Driver, m.InForce
	p.number = max(p.number, m.Number)
	p.holds = m.Holds
	a.AddMarks(m.Marks)
	a.addEvidence(model.Evidence{DataCentre: m.DataCentre, From: m.From, To: m.To, Sums: message.UnpackSums(m.Sums)})
	if m.Roster != nil && !a.applyPeerRoster(p, m.Roster) {
		reply.Code = message.Gap
		if p.roster.Term() == m.Term {
			reply.Roster = p.roster.Version()
		}
	}
	a.catchUpWithPeer(p)
	return reply
}

// applyPeerRoster merges a roster change of another data centre. It returns false if the change starts from a version that
// this daemon does not have.
func (a *Agent) applyPeerRoster(p *peerLeader, c *message.RosterChange) bool {
	applied, gap := p.roster.Apply(c)
	if gap {
		return false
	}
	if !applied {
		return true
	}
	remove, targets := c.Removed, c.Targets()
	if c.Base == 0 {
		listed := map[model.DaemonID]bool{}
		for i := range targets {
			listed[targets[i].Daemon] = true
		}
		for _, t := range a.roster.Targets() {
			if t.DataCentre == p.dc && !listed[t.Daemon] {
				remove = append(remove, t.Daemon)
			}
		}
	}
	a.editRoster(a.keepNewerIncarnations(p.dc, targets), a.filterByDataCentre(p.dc, remove))
	return true
}

// keepNewerIncarnations prepares targets that the leader of their data centre sent for the roster. A new leader may list an
// older incarnation than its predecessor did. The newer incarnation has then died, or has not announced itself to the new
// leader yet; it is kept and listed as silent.
func (a *Agent) keepNewerIncarnations(dc model.DataCentre, targets []model.Target) []model.Target {
	merged := slices.Clone(targets)
	for i, t := range merged {
		known, ok := a.roster.Target(t.Daemon)
		if ok && known.DataCentre == dc && known.Incarnation > t.Incarnation {
			known.State, known.Since = model.TargetSilent, t.Since
			merged[i] = known
		}
	}
	return merged
}

// filterByDataCentre returns those of the given daemons whose newest incarnation is in a data centre. A daemon that moved to
// another data centre is thus not removed when its former data centre removes it.
func (a *Agent) filterByDataCentre(dc model.DataCentre, ids []model.DaemonID) []model.DaemonID {
	return slices.DeleteFunc(slices.Clone(ids), func(id model.DaemonID) bool {
		t, ok := a.roster.Target(id)
		return !ok || t.DataCentre != dc
	})
}

// catchUpWithPeer requests the configuration of a leader that holds a higher number: from the platform first, and from
// that leader if the platform does not have it.
func (a *Agent) catchUpWithPeer(p *peerLeader) {
	if p.number <= a.replica.Number() {
		p.aheadCount = 0
		return
	}
	p.aheadCount++
	if p.aheadCount == 1 {
		a.readConfiguration()
		a.scheduleNoLater(timerExchange, exchangeDelay)
		return
	}
	a.pullSnapshot(p.address)
}

// allPeersReachable reports whether every other known data centre has a leader that replied within reachableWithin and meets
// a condition.
func (a *Agent) allPeersReachable(condition func(p *peerLeader) bool) bool {
	if !a.lead.leadersListed {
		return false
	}
	for _, p := range a.lead.peers {
		if a.now.Sub(p.lastAccepted) > reachableWithin || !condition(p) {
			return false
		}
	}
	return true
}

// sweepPeers marks the targets of data centres without a leader silent, and removes data centres that have sent nothing for
// dataCentreRetention.
func (a *Agent) sweepPeers() {
	for _, p := range a.sortedPeers() {
		if p.missedLists >= maxMissedLists && a.now.Sub(p.lastHeard) > BlindAfter {
			a.markPeerSilent(p)
		}
		if a.now.Sub(p.lastHeard) <= dataCentreRetention {
			continue
		}
		var gone []model.DaemonID
		for _, t := range a.roster.Targets() {
			gone = append(gone, t.Daemon)
		}
		a.editRoster(nil, a.filterByDataCentre(p.dc, gone))
		delete(a.lead.peers, p.dc)
	}
}

// markPeerSilent marks all targets of a data centre silent. Its roster is reset, so that its next leader sends a snapshot.
func (a *Agent) markPeerSilent(p *peerLeader) {
	var silent []model.Target
	for _, t := range a.roster.Targets() {
		if t.DataCentre == p.dc && t.State != model.TargetSilent {
			t.State, t.Since = model.TargetSilent, p.lastHeard
			silent = append(silent, t)
		}
	}
	p.roster = membership.NewRoster(0)
	a.editRoster(silent, nil)
}
