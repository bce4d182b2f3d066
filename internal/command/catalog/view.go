package catalog

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/command/distribution"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// intent is what the operator asks for, with the revision of its key.
type intent struct {
	model.Intent
	revision int64
}

// record is the stored state of a move.
type record struct {
	model.Move
	revision int64
}

// applyOperator takes an entry that the operator wrote.
func (c *Core) applyOperator(now time.Time, key string, e *store.Entry) {
	if key == c.cfg.Operator.KeyConfiguration() {
		c.applyConfiguration(e)
		return
	}
	service, ok := c.cfg.Operator.IntentService(key)
	if !ok {
		return
	}
	c.dirty = true
	if e == nil {
		delete(c.intents, service)
		return
	}
	in, err := c.cfg.Operator.DecodeIntent(e.Value, now)
	if err != nil || in.Service != service {
		c.log("intent-refused", "key", key, "revision", strconv.FormatInt(e.ModRevision, 10),
			"detail", refusedEntry(err, "the service of the key differs"))
		return
	}
	c.intents[service] = &intent{in, e.ModRevision}
	c.log("intent", "service", string(service), "version", string(in.To), "revision", strconv.FormatInt(e.ModRevision, 10),
		"left_ms", milliseconds(in.By.Sub(now)))
}

// applyConfiguration takes the operator's configuration. A lower number never replaces a higher one, and a bad
// configuration is refused as a whole.
func (c *Core) applyConfiguration(e *store.Entry) {
	if e == nil {
		return
	}
	next, err := c.cfg.Operator.DecodeConfiguration(e.Value)
	// The value is not needed any more; it is the largest by far.
	c.operator.entries[e.Key] = store.Entry{Key: e.Key, ModRevision: e.ModRevision}
	revision := strconv.FormatInt(e.ModRevision, 10)
	if err != nil {
		c.log("configuration-refused", "revision", revision, "detail", err.Error())
		c.count("sniperail_configurations_refused", "unreadable")
		return
	}
	text := number(next.Number)
	if c.configuration != nil && next.Number <= c.configuration.Number {
		if next.Number < c.configuration.Number {
			c.log("configuration-refused", "number", text, "revision", revision, "detail", "the number is lower than the one in force")
			c.count("sniperail_configurations_refused", "lower-number")
		}
		return
	}
	if problems := unresolved(next); len(problems) > 0 {
		c.log("configuration-refused", "number", text, "revision", revision, "detail", strings.Join(problems, "; "))
		c.count("sniperail_configurations_refused", "invalid")
		return
	}
	c.setConfiguration(distribution.Strip(next), nil, e.ModRevision, "platform")
}

// unresolved returns what a configuration refers to and does not have. Versions are not part of it: targets announce them.
func unresolved(configuration *model.Configuration) []string {
	var problems []string
	for i := range configuration.Routes {
		r := &configuration.Routes[i]
		for _, part := range r.Services() {
			if configuration.Service(part.Service) == nil {
				problems = append(problems, "route "+string(r.Name)+" leads to the unknown service "+string(part.Service))
			}
		}
	}
	return problems
}

// publish composes the view that traffic reads.
func (c *Core) publish() {
	c.dirty = false
	view := &model.View{
		Configuration: &model.Configuration{}, Targets: c.targets(), Marks: c.currentMarks(),
		DataCentre: c.cfg.Target.DataCentre, Region: c.cfg.Target.Region, Local: c.own.target,
	}
	if c.configuration != nil {
		view.Configuration = c.compose(view.Targets)
	}
	view.Ready = c.configuration != nil && c.operator.loaded && c.mesh.loaded
	if view.Ready && !c.ready {
		c.log("ready", "number", number(c.configuration.Number), "targets", strconv.Itoa(len(view.Targets)))
	}
	c.ready = view.Ready
	c.emit(effect.Publish{View: view})
}

// currentMarks returns the marks of moves that the operator still wants. A new intent gives a version another trial.
func (c *Core) currentMarks() []model.Mark {
	var marks []model.Mark
	for i := range c.marks {
		if in := c.intents[c.marks[i].Service]; in != nil && moveID(in) == c.marks[i].Move {
			marks = append(marks, c.marks[i])
		}
	}
	return marks
}

// targets returns all known targets, sorted by daemon.
func (c *Core) targets() []model.Target {
	targets := make([]model.Target, 0, len(c.roster)+1)
	for _, m := range c.roster {
		targets = append(targets, m.target)
	}
	if c.own.listable() {
		targets = append(targets, c.own.target)
	}
	slices.SortFunc(targets, func(a, b model.Target) int { return strings.Compare(string(a.Daemon), string(b.Daemon)) })
	return targets
}

// compose adds the shares of versions and the moves to the operator's configuration.
func (c *Core) compose(targets []model.Target) *model.Configuration {
	composed := *c.configuration
	composed.Services = slices.Clone(c.configuration.Services)
	for i := range composed.Services {
		s := &composed.Services[i]
		s.Versions = c.shares(s.Name, targets)
	}
	for _, service := range slices.Sorted(maps.Keys(c.moves)) {
		m := c.moves[service]
		if c.configuration.Service(service) == nil || !c.current(m) {
			continue
		}
		composed.Moves = append(composed.Moves, m.Move)
		if m.Phase == model.PhaseWithdrawing || m.Phase == model.PhaseWithdrawn {
			composed.Withdrawn = append(composed.Withdrawn, m.Version())
		}
	}
	return &composed
}

// shares returns the share of each version of a service: the new version of a move has what the move's step gives it, and
// the old version the rest. A version that nobody ordered has none while another one is there.
func (c *Core) shares(service model.ServiceName, targets []model.Target) []model.VersionShare {
	moving, share := c.movingShare(service)
	old := oldVersion(targets, service, moving)
	movingReady := false
	others := map[model.VersionName]bool{}
	for i := range targets {
		t := &targets[i]
		switch {
		case t.Service != service || t.State != model.TargetReady:
		case t.Version == moving:
			movingReady = true
		default:
			others[t.Version] = true
		}
	}
	switch {
	case old == "":
		// Only the moving version is there.
		share = model.FullShare
	case share == model.FullShare && !movingReady:
		// Nobody runs the version that the last move left; whoever is there serves.
		share = 0
	}
	var shares []model.VersionShare
	if moving != "" {
		shares = append(shares, model.VersionShare{Version: moving, Share: share})
	}
	for _, version := range slices.Sorted(maps.Keys(others)) {
		rest := model.Share(0)
		if version == old {
			rest = model.FullShare - share
			if moving == "" {
				rest = model.FullShare
			}
		}
		shares = append(shares, model.VersionShare{Version: version, Share: rest})
	}
	return shares
}

// oldVersion returns the version of the service's oldest ready target that does not run the given version, or "".
func oldVersion(targets []model.Target, service model.ServiceName, except model.VersionName) model.VersionName {
	var old *model.Target
	for i := range targets {
		t := &targets[i]
		if t.Service != service || t.State != model.TargetReady || t.Version == except {
			continue
		}
		if old == nil || t.Born < old.Born || t.Born == old.Born && t.Version < old.Version {
			old = t
		}
	}
	if old == nil {
		return ""
	}
	return old.Version
}

// movingShare returns the version that the operator wants and the share that it has now. A version that an intent names
// has no calls before its move has begun.
func (c *Core) movingShare(service model.ServiceName) (model.VersionName, model.Share) {
	in := c.intents[service]
	if in == nil {
		return "", 0
	}
	m := c.moves[service]
	if m == nil || !c.current(m) {
		return in.To, 0
	}
	switch {
	case m.Phase == model.PhaseDone:
		return in.To, model.FullShare
	case m.Phase == model.PhaseRunning && m.Step >= 0 && m.Step < len(m.Steps):
		return in.To, m.Steps[m.Step].Share
	}
	return in.To, 0
}

// current reports whether a record belongs to the operator's latest intent for its service.
func (c *Core) current(m *record) bool {
	in := c.intents[m.Service]
	return in != nil && m.ID == moveID(in)
}

// moveID names the move of an intent. The revision tells two intents for the same version apart.
func moveID(in *intent) model.PlanID {
	return model.PlanID(string(in.Service) + "@" + strconv.FormatInt(in.revision, 10))
}

func (c *Core) applyMove(_ time.Time, service model.ServiceName, e *store.Entry) {
	c.dirty = true
	if e == nil {
		delete(c.moves, service)
		return
	}
	m, err := c.cfg.Records.DecodeMove(e.Value)
	if err != nil || m.Service != service {
		c.log("entry-refused", "key", e.Key, "revision", strconv.FormatInt(e.ModRevision, 10),
			"detail", refusedEntry(err, "the service of the key differs"))
		return
	}
	if known := c.moves[service]; known == nil || known.ID != m.ID || known.Step != m.Step || known.Phase != m.Phase {
		c.log("move", "service", string(service), "move", string(m.ID), "version", string(m.To), "phase", string(m.Phase),
			"step", strconv.Itoa(m.Step), "reason", m.Reason, "revision", strconv.FormatInt(e.ModRevision, 10))
	}
	c.moves[service] = &record{*m, e.ModRevision}
}
