package agent

import (
	"cmp"
	"slices"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// updateReady makes the daemon ready once it holds at least minNumber, which a leader confirmed to be current.
func (a *Agent) updateReady() {
	if a.ready || !a.hasMinNumber || a.replica.Number() == 0 || a.replica.Number() < a.minNumber {
		return
	}
	a.ready, a.dirty = true, true
	a.log("ready", "number", numberText(a.replica.Number()))
}

// isIsolated reports whether the daemon may have missed changes.
func (a *Agent) isIsolated() bool { return a.now.Sub(a.lastConnected) > IsolatedAfter }

// publishView publishes a new view if anything in it has changed.
func (a *Agent) publishView() {
	isolated := a.isIsolated()
	if !a.dirty && isolated == a.publishedIsolated {
		return
	}
	if isolated != a.publishedIsolated {
		a.log("isolation", "isolated", boolText(isolated))
	}
	a.dirty, a.publishedIsolated = false, isolated
	a.published = a.buildView()
	a.emit(effect.Publish{View: a.published})
}

func boolText(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

// buildView builds the view from the current state. It lists only targets whose version the configuration has, and only
// marks of active moves on such versions.
func (a *Agent) buildView() *model.View {
	c := a.replica.Current()
	if c == nil {
		c = &model.Configuration{}
	}
	v := &model.View{
		Configuration: c, Ready: a.ready, Isolated: a.publishedIsolated,
		DataCentre: a.self.DataCentre, Region: a.self.Region, Local: a.self,
	}
	known := map[model.VersionRef]bool{}
	for _, s := range c.Services {
		for _, version := range s.Versions {
			known[model.VersionRef{Service: s.Name, Version: version.Version}] = true
		}
	}
	v.Targets = filterKnownVersions(a.Roster(), known)
	for _, m := range a.markList() {
		if move := c.Move(m.Move); move != nil && move.Phase.Active() && known[m.VersionRef] {
			v.Marks = append(v.Marks, m)
		}
	}
	return v
}

// filterKnownVersions returns the targets whose version is known. If all are known, it returns the given slice itself.
func filterKnownVersions(targets []model.Target, known map[model.VersionRef]bool) []model.Target {
	missing := func(t model.Target) bool { return !known[t.Ref()] }
	if !slices.ContainsFunc(targets, missing) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), missing)
}

// Roster returns all known targets sorted by daemon, with the local target in its current state. The slice is shared and must
// not be changed.
func (a *Agent) Roster() []model.Target {
	list := a.roster.Targets()
	i, ok := slices.BinarySearchFunc(list, a.self.Daemon, func(t model.Target, id model.DaemonID) int {
		return cmp.Compare(t.Daemon, id)
	})
	switch {
	case !ok:
		return slices.Insert(slices.Clone(list), i, a.self)
	case list[i] == a.self || list[i].Incarnation > a.self.Incarnation:
		return list
	}
	list = slices.Clone(list)
	list[i] = a.self
	return list
}

// summary returns the state in force of this daemon and the live daemons below it. Until this daemon is ready, its own number
// is left out.
func (a *Agent) summary() model.InForce {
	own := a.replica.Number()
	if !a.ready {
		own = 0
	}
	f := a.members.InForce(own, a.self.DataCentre)
	if a.refusal != nil {
		f.Refusals = append(f.Refusals, *a.refusal)
	}
	return f
}

func (a *Agent) statusReply() *message.StatusReply {
	s := &message.StatusReply{
		DataCentre: a.self.DataCentre, Leader: a.leaderAddressOf(a.self.DataCentre), Term: a.term,
		Targets: a.Roster(), Marks: a.markList(), Holds: a.currentHolds(), At: a.now,
	}
	if a.lead.lease.Held() {
		s.InForce = a.InForce()
	} else {
		s.InForce = a.summary()
	}
	return s
}
