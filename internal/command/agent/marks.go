package agent

import (
	"cmp"
	"maps"
	"slices"

	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// randomPeers is the number of random daemons that also receive a new mark, so that it spreads even if a parent is lost.
const randomPeers = 2

// markKey identifies a mark: the withheld version and the move that it belongs to.
type markKey struct {
	model.VersionRef
	move model.PlanID
}

// AddMarks applies marks: it withholds their versions on this daemon at once, and forwards the marks that it did not have.
func (a *Agent) AddMarks(marks []model.Mark) {
	var added []model.Mark
	for _, m := range marks {
		key := markKey{m.VersionRef, m.Move}
		if _, known := a.marks[key]; known {
			continue
		}
		a.marks[key] = m
		added = append(added, m)
		a.log("version withheld", "version", m.String(), "move", string(m.Move), "by", string(m.By), "reason", m.Reason)
	}
	if len(added) == 0 {
		return
	}
	a.dirty = true
	for _, address := range a.markReceivers() {
		a.send(address, &message.Withhold{Marks: added}, nil)
	}
}

// markReceivers returns the addresses to send new marks to: the parent, the children, the other leaders if this daemon is
// one, and randomPeers random daemons.
func (a *Agent) markReceivers() []string {
	to := map[string]bool{a.parent.address: true}
	for _, c := range a.members.Children() {
		if m := a.members.Member(c.ID); m != nil {
			to[m.Target.PeerAddress] = true
		}
	}
	if a.lead.lease.Held() {
		for _, p := range a.lead.peers {
			to[p.address] = true
		}
	}
	if roster := a.roster.Targets(); len(roster) > 0 {
		for range randomPeers {
			to[roster[a.cfg.Rand.IntN(len(roster))].PeerAddress] = true
		}
	}
	delete(to, "")
	delete(to, a.self.PeerAddress)
	return slices.Sorted(maps.Keys(to))
}

// markList returns the marks sorted by version and move.
func (a *Agent) markList() []model.Mark {
	if len(a.marks) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(a.marks), func(x, y model.Mark) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Version, y.Version), cmp.Compare(x.Move, y.Move))
	})
}

// pruneMarks drops marks older than markRetention of moves that the configuration no longer has; such a move cannot become
// active again.
func (a *Agent) pruneMarks() {
	c := a.replica.Current()
	maps.DeleteFunc(a.marks, func(key markKey, m model.Mark) bool {
		return c.Move(key.move) == nil && a.now.Sub(m.At) > markRetention
	})
}

// recordOutcomes adds outcomes of calls that this daemon made.
func (a *Agent) recordOutcomes(sums []model.KeyedSum) { a.addSums(sums) }

// addSums adds outcomes of services with an active move; it drops all others.
func (a *Agent) addSums(sums []model.KeyedSum) {
	c := a.replica.Current()
	if c == nil {
		return
	}
	for _, s := range sums {
		if c.ActiveMove(s.Service) == nil {
			continue
		}
		if len(a.sums) == 0 {
			a.lead.evidenceFrom = a.now
		}
		sum := a.sums[s.OutcomeKey]
		sum.Add(s.OutcomeSum)
		a.sums[s.OutcomeKey] = sum
	}
	if a.lead.lease.Held() && len(a.sums) > 0 {
		a.scheduleNoLater(timerExchange, membership.HeartbeatInterval)
	}
}

// takeSums returns the sums and clears them. They are sent only once: the reply to them may be lost after the receiver
// counted them, and evidence that counts calls twice would lead to a judgement on too few calls.
func (a *Agent) takeSums() []model.KeyedSum {
	if len(a.sums) == 0 {
		return nil
	}
	list := make([]model.KeyedSum, 0, len(a.sums))
	for key, sum := range a.sums {
		list = append(list, model.KeyedSum{OutcomeKey: key, OutcomeSum: sum})
	}
	clear(a.sums)
	slices.SortFunc(list, func(x, y model.KeyedSum) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Route, y.Route), cmp.Compare(x.Version, y.Version))
	})
	return list
}

// hasActiveMove reports whether any move is active.
func (a *Agent) hasActiveMove() bool {
	c := a.replica.Current()
	return c != nil && slices.ContainsFunc(c.Moves, func(m model.Move) bool { return m.Phase.Active() })
}

// addEvidence adds the evidence of a data centre to what TakeEvidence returns next. A window without calls is added too: it
// shows the driver that the data centre has no calls and is not blind.
func (a *Agent) addEvidence(e model.Evidence) {
	if e.To.IsZero() {
		return
	}
	e.Sums = slices.Clone(e.Sums)
	known, ok := a.evidence[e.DataCentre]
	if !ok {
		a.evidence[e.DataCentre] = e
		return
	}
	index := map[model.OutcomeKey]int{}
	for i, s := range known.Sums {
		index[s.OutcomeKey] = i
	}
	for _, s := range e.Sums {
		if i, ok := index[s.OutcomeKey]; ok {
			known.Sums[i].Add(s.OutcomeSum)
		} else {
			known.Sums = append(known.Sums, s)
		}
	}
	known.To = e.To
	a.evidence[e.DataCentre] = known
}
