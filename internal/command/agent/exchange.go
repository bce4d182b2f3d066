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

// peerLeader is what a leader knows of the leader of another data centre.
type peerLeader struct {
	dc      model.DataCentre
	address string
	term    model.Term
	// heard is when it last sent an exchange, answered when it last accepted one.
	heard, answered time.Time
	number          model.Number
	ahead           int
	// missing counts the lists in a row without a leader of this data centre.
	missing  int
	platform bool
	driver   bool
	// roster is its data centre's roster as received.
	roster  *membership.Roster
	inForce model.InForce
	holds   []message.Hold
	seqIn   uint64

	// acked is the version of the own roster that it holds; sent are the values that it was last sent.
	acked       uint64
	seqOut      uint64
	inFlight    bool
	lastSent    time.Time
	sentNumbers [2]model.Number
	sentMarks   uint64
}

func (a *Agent) peer(dc model.DataCentre) *peerLeader {
	p := a.lead.peers[dc]
	if p == nil {
		p = &peerLeader{dc: dc, roster: membership.NewRoster(0), heard: a.now}
		a.lead.peers[dc] = p
	}
	return p
}

// peerList returns the other leaders sorted by data centre.
func (a *Agent) peerList() []*peerLeader {
	list := make([]*peerLeader, 0, len(a.lead.peers))
	for _, dc := range slices.Sorted(maps.Keys(a.lead.peers)) {
		list = append(list, a.lead.peers[dc])
	}
	return list
}

// renew notes a leader of a higher term, which does not know what its predecessor was sent.
func (p *peerLeader) renew(term model.Term, address string) {
	p.term, p.address = term, address
	p.seqIn, p.driver, p.missing = 0, false, 0
	p.forgetSent()
}

// forgetSent forgets what the other leader holds, after a change of leaders on either side.
func (p *peerLeader) forgetSent() {
	p.acked, p.answered, p.lastSent = 0, time.Time{}, time.Time{}
	p.sentMarks, p.sentNumbers = 0, [2]model.Number{}
}

// listLeaders finds the other leaders.
func (a *Agent) listLeaders() {
	if !a.lead.lease.Held() {
		return
	}
	a.set(timerList, listInterval)
	term := a.lead.lease.Term()
	call := store.Call{
		Kind: store.KindList, Priority: store.PriorityRead, Reason: "leaders-list", Key: store.PrefixLeaders,
	}
	a.CallStore(call, func(result store.Result) {
		if result.Outcome != store.Applied || a.lead.lease.Term() != term {
			return
		}
		for _, p := range a.lead.peers {
			p.missing++
		}
		for _, entry := range result.Entries {
			a.leaderListed(entry)
		}
		a.lead.listed = true
		a.soon(timerExchange, 0)
		a.sendExchanges()
	})
}

func (a *Agent) leaderListed(entry store.Entry) {
	dc := model.DataCentre(strings.TrimPrefix(entry.Key, store.PrefixLeaders))
	record, err := a.cfg.Codec.DecodeLeader(entry.Value)
	if err != nil || dc == a.self.DataCentre {
		return
	}
	p := a.peer(dc)
	p.missing = 0
	if model.Term(entry.CreateRevision) > p.term {
		p.renew(model.Term(entry.CreateRevision), record.PeerAddress)
	}
}

// sendExchanges sends each other leader what is new for it.
func (a *Agent) sendExchanges() {
	if !a.lead.lease.Held() {
		return
	}
	a.set(timerExchange, exchangeInterval)
	a.expireSums()
	inForce := a.summary()
	for _, p := range a.peerList() {
		a.sendExchange(p, inForce)
	}
}

// expireSums drops outcomes that no driver asked for, so that a new driver does not judge old ones.
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
	roster := a.lead.local.Since(a.lead.local.Term(), p.acked)
	evidence := p.driver && len(a.sums) > 0
	due := a.now.Sub(p.lastSent) >= exchangeInterval-exchangeDelay
	if !due && !evidence && roster == nil && numbers == p.sentNumbers && digest == p.sentMarks {
		return
	}
	p.seqOut++
	m := &message.Exchange{
		DataCentre: a.self.DataCentre, Leader: a.self.PeerAddress, Term: a.lead.lease.Term(), Seq: p.seqOut,
		Number: a.replica.Number(), Platform: a.lead.lease.Valid(a.now), Driver: a.lead.driver,
		Roster: roster, InForce: inForce,
	}
	if digest != p.sentMarks {
		m.Marks = a.markList()
	}
	if a.lead.driver {
		m.Holds = a.lead.holds
	}
	if p.driver && a.moving() {
		m.From, m.To, m.Sums = a.lead.evidenceFrom, a.now, message.PackSums(a.takeSums())
	}
	p.inFlight, p.lastSent, p.sentNumbers, p.sentMarks = true, a.now, numbers, digest
	version, term, own := a.lead.local.Version(), p.term, a.lead.lease.Term()
	a.send(p.address, m, func(reply message.Reply) {
		p.inFlight = false
		r, ok := reply.(*message.ExchangeReply)
		if !ok || p.term != term || a.lead.lease.Term() != own {
			p.sentMarks, p.sentNumbers = 0, [2]model.Number{}
			return
		}
		a.exchangeAnswered(p, r, version)
	})
}

func (a *Agent) exchangeAnswered(p *peerLeader, r *message.ExchangeReply, version uint64) {
	switch r.Code {
	case message.Accepted:
		p.acked, p.answered, p.number = version, a.now, max(p.number, r.Number)
	case message.Gap:
		p.acked = r.Roster
		a.soon(timerExchange, exchangeDelay)
	case message.Stale:
		a.heardTerm(r.Term)
	case message.NotLeader:
		p.address = ""
		a.soon(timerList, exchangeInterval)
	}
}

// exchanged takes the exchange of another leader.
func (a *Agent) exchanged(m *message.Exchange) message.Reply {
	if !a.lead.lease.Held() {
		return &message.ExchangeReply{Code: message.NotLeader}
	}
	if m.DataCentre == a.self.DataCentre {
		a.heardTerm(m.Term)
		return &message.ExchangeReply{Code: message.Stale, Term: a.term}
	}
	p := a.peer(m.DataCentre)
	if m.Term < p.term {
		return &message.ExchangeReply{Code: message.Stale, Term: p.term}
	}
	if m.Term > p.term {
		p.renew(m.Term, m.Leader)
	}
	reply := &message.ExchangeReply{Code: message.Accepted, Number: a.replica.Number()}
	if p.address == "" {
		p.address = m.Leader
	}
	if m.Seq <= p.seqIn {
		return reply
	}
	p.seqIn, p.heard, p.platform, p.driver, p.inForce = m.Seq, a.now, m.Platform, m.Driver, m.InForce
	p.number = max(p.number, m.Number)
	p.holds = m.Holds
	a.AddMarks(m.Marks)
	a.addEvidence(model.Evidence{DataCentre: m.DataCentre, From: m.From, To: m.To, Sums: message.UnpackSums(m.Sums)})
	if m.Roster != nil && !a.takePeerRoster(p, m.Roster) {
		reply.Code = message.Gap
		if p.roster.Term() == m.Term {
			reply.Roster = p.roster.Version()
		}
	}
	a.followPeer(p)
	return reply
}

// takePeerRoster merges the roster of another data centre; false means that the change starts from another version.
func (a *Agent) takePeerRoster(p *peerLeader, c *message.RosterChange) bool {
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
	a.mergeRoster(a.ownedBy(p.dc, targets), a.onlyFrom(p.dc, remove))
	return true
}

// ownedBy prepares targets sent by the leader of their data centre. A new leader may list an older incarnation than its
// predecessor did: the newer one then died, or has not announced itself to the new leader yet, and is silent until then.
func (a *Agent) ownedBy(dc model.DataCentre, targets []model.Target) []model.Target {
	owned := slices.Clone(targets)
	for i, t := range owned {
		known, ok := a.roster.Target(t.Daemon)
		if ok && known.DataCentre == dc && known.Incarnation > t.Incarnation {
			known.State, known.Since = model.TargetSilent, t.Since
			owned[i] = known
		}
	}
	return owned
}

// onlyFrom keeps the daemons whose newest incarnation is in a data centre: a daemon that moved is not removed when its
// former data centre forgets it.
func (a *Agent) onlyFrom(dc model.DataCentre, ids []model.DaemonID) []model.DaemonID {
	return slices.DeleteFunc(slices.Clone(ids), func(id model.DaemonID) bool {
		t, ok := a.roster.Target(id)
		return !ok || t.DataCentre != dc
	})
}

// followPeer catches up with a leader that holds a higher number: from the platform first, from that leader if the
// platform does not show it.
func (a *Agent) followPeer(p *peerLeader) {
	if p.number <= a.replica.Number() {
		p.ahead = 0
		return
	}
	p.ahead++
	if p.ahead == 1 {
		a.readConfiguration()
		a.soon(timerExchange, exchangeDelay)
		return
	}
	a.pull(p.address)
}

// allPeersReachable reports whether every known data centre has a leader that answered lately and meets a condition.
func (a *Agent) allPeersReachable(condition func(p *peerLeader) bool) bool {
	if !a.lead.listed {
		return false
	}
	for _, p := range a.lead.peers {
		if a.now.Sub(p.answered) > reachableWithin || !condition(p) {
			return false
		}
	}
	return true
}

// sweepPeers silences the targets of data centres that have no leader any more, and forgets data centres that sent
// nothing for a day.
func (a *Agent) sweepPeers() {
	for _, p := range a.peerList() {
		if p.missing >= missingLists && a.now.Sub(p.heard) > BlindAfter {
			a.silencePeer(p)
		}
		if a.now.Sub(p.heard) <= forgetDataCentre {
			continue
		}
		var gone []model.DaemonID
		for _, t := range a.roster.Targets() {
			gone = append(gone, t.Daemon)
		}
		a.mergeRoster(nil, a.onlyFrom(p.dc, gone))
		delete(a.lead.peers, p.dc)
	}
}

// silencePeer marks all targets of a data centre silent. Its next leader sends its whole roster.
func (a *Agent) silencePeer(p *peerLeader) {
	var silent []model.Target
	for _, t := range a.roster.Targets() {
		if t.DataCentre == p.dc && t.State != model.TargetSilent {
			t.State, t.Since = model.TargetSilent, p.heard
			silent = append(silent, t)
		}
	}
	p.roster = membership.NewRoster(0)
	a.mergeRoster(silent, nil)
}
