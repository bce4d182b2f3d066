package agent

import (
	"cmp"
	"slices"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// checkReady lets the daemon serve once it holds at least the number that a leader vouched for.
func (a *Agent) checkReady() {
	if a.ready || !a.vouched || a.replica.Number() == 0 || a.replica.Number() < a.required {
		return
	}
	a.ready, a.dirty = true, true
	a.log("ready", "number", numberText(a.replica.Number()))
}

// isolated reports whether the daemon may have missed changes.
func (a *Agent) isolated() bool { return a.now.Sub(a.rootSeen) > IsolatedAfter }

// publish swaps the view if anything in it changed.
func (a *Agent) publish() {
	isolated := a.isolated()
	if !a.dirty && isolated == a.shownIsolated {
		return
	}
	if isolated != a.shownIsolated {
		a.log("isolation", "isolated", boolText(isolated))
	}
	a.dirty, a.shownIsolated = false, isolated
	a.published = a.view()
	a.emit(effect.Publish{View: a.published})
}

func boolText(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

// view builds the view from the present state. It lists only targets and marks whose version the configuration has.
func (a *Agent) view() *model.View {
	c := a.replica.Current()
	if c == nil {
		c = &model.Configuration{}
	}
	v := &model.View{
		Configuration: c, Ready: a.ready, Isolated: a.shownIsolated,
		DataCentre: a.self.DataCentre, Region: a.self.Region, Local: a.self,
	}
	known := map[model.VersionRef]bool{}
	for _, s := range c.Services {
		for _, version := range s.Versions {
			known[model.VersionRef{Service: s.Name, Version: version.Version}] = true
		}
	}
	v.Targets = onlyKnown(a.Roster(), known)
	for _, m := range a.markList() {
		if move := c.Move(m.Move); move != nil && move.Phase.Active() && known[m.VersionRef] {
			v.Marks = append(v.Marks, m)
		}
	}
	return v
}

// onlyKnown returns the targets whose version is known, and the given slice itself if that is all of them.
func onlyKnown(targets []model.Target, known map[model.VersionRef]bool) []model.Target {
	missing := func(t model.Target) bool { return !known[t.Ref()] }
	if !slices.ContainsFunc(targets, missing) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), missing)
}

// Roster returns every known target sorted by daemon, the one beside this daemon in its own present state. The slice is
// shared and must not be changed.
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

// summary summarises this daemon and the live daemons below it.
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

func (a *Agent) status() *message.StatusReply {
	s := &message.StatusReply{
		DataCentre: a.self.DataCentre, Leader: a.leaderOf(a.self.DataCentre), Term: a.term,
		Targets: a.Roster(), Marks: a.markList(), Holds: a.holds(), At: a.now,
	}
	if a.lead.lease.Held() {
		s.InForce = a.InForce()
	} else {
		s.InForce = a.summary()
	}
	return s
}
