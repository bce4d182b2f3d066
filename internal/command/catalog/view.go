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

// applyOperatorEntry applies a change to one of the operator's keys; e is nil if the key was removed.
func (c *Core) applyOperatorEntry(now time.Time, key string, e *store.Entry) {
	if key == c.cfg.Operator.KeyConfiguration() {
		c.applyConfigurationEntry(now, e)
		return
	}
	if dc, ok := c.cfg.Operator.EvacuatedDataCentre(key); ok {
		c.applyEvacuationEntry(now, dc, e != nil)
		return
	}
	service, ok := c.cfg.Operator.IntentService(key)
	if !ok {
		return
	}
	c.dirty = true
	c.applyIntentEntry(now, service, e)
}

// applyConfigurationEntry decodes the operator's configuration and puts it in force. A lower number never replaces a higher
// one, and an invalid configuration is refused as a whole.
func (c *Core) applyConfigurationEntry(now time.Time, e *store.Entry) {
	if e == nil {
		return
	}
	next, notTaken, err := c.cfg.Operator.DecodeConfiguration(e.Value)
	// The raw value is by far the largest of all, and is not needed any more.
	c.operatorKeys.entries[e.Key] = store.Entry{Key: e.Key, ModRevision: e.ModRevision}
	revision := strconv.FormatInt(e.ModRevision, 10)
	if err != nil {
		c.log("configuration-refused", "revision", revision, "detail", err.Error())
		c.count("sniperail_configurations_refused", "unreadable")
		return
	}
	text := formatNumber(next.Number)
	if c.configuration != nil && next.Number <= c.configuration.Number {
		if next.Number < c.configuration.Number {
			c.log("configuration-refused", "number", text, "revision", revision, "detail", "the number is lower than the one in force")
			c.count("sniperail_configurations_refused", "lower-number")
		}
		c.recordDocument(e.ModRevision, next.Number)
		return
	}
	if problems := unresolvedReferences(next); len(problems) > 0 {
		c.log("configuration-refused", "number", text, "revision", revision, "detail", strings.Join(problems, "; "))
		c.count("sniperail_configurations_refused", "invalid")
		return
	}
	c.setConfiguration(now, distribution.Strip(next), nil, e.ModRevision, "platform")
	c.recordDocument(e.ModRevision, next.Number)
	c.logNotTaken(text, revision, notTaken)
}

// maxListedProblems bounds the entries that one log line names.
const maxListedProblems = 20

// logNotTaken logs the entries of a configuration that were not taken as written, in one line a revision.
func (c *Core) logNotTaken(number, revision string, problems []model.Problem) {
	if len(problems) == 0 {
		return
	}
	listed := make([]string, 0, min(len(problems), maxListedProblems))
	for _, p := range problems[:cap(listed)] {
		listed = append(listed, truncate(p.Field)+": "+truncate(p.Reason))
	}
	c.log("configuration-partly-taken", "number", number, "revision", revision,
		"entries", strconv.Itoa(len(problems)), "detail", strings.Join(listed, "; "))
	c.count("sniperail_entries_refused", "configuration-entry")
}

// unresolvedReferences returns a problem for each route that leads to a service missing from the configuration. Versions are
// not checked, because the targets announce them.
func unresolvedReferences(configuration *model.Configuration) []string {
	var problems []string
	for i := range configuration.Routes {
		r := &configuration.Routes[i]
		for _, weight := range r.Services() {
			if configuration.Service(weight.Service) == nil {
				problems = append(problems, "route "+string(r.Name)+" leads to the unknown service "+string(weight.Service))
			}
		}
	}
	return problems
}

// publish builds the view that traffic goroutines read, and emits it.
func (c *Core) publish() {
	c.dirty = false
	view := &model.View{
		Configuration: &model.Configuration{}, Targets: c.targets(), Marks: c.activeMarks(),
		DataCentre: c.cfg.Target.DataCentre, Region: c.cfg.Target.Region, Local: c.local.viewTarget(),
		Evacuated: slices.Sorted(maps.Keys(c.evacuated)),
	}
	if c.configuration != nil {
		view.Configuration = c.composeConfiguration(view.Targets)
		view.Canaries = c.canaries()
	}
	view.Ready = c.configuration != nil && c.operatorKeys.loaded && c.meshKeys.loaded
	if view.Ready && !c.ready {
		c.log("ready", "number", formatNumber(c.configuration.Number), "targets", strconv.Itoa(len(view.Targets)))
	}
	c.ready = view.Ready
	c.emit(effect.Publish{View: view})
}

// activeMarks returns the marks that belong to the operator's current intents. A new intent for a withheld version starts a
// new move, in which the version is tried again.
func (c *Core) activeMarks() []model.Mark {
	var marks []model.Mark
	for i := range c.marks {
		if in := c.intents[c.marks[i].Service]; in != nil && in.move == c.marks[i].Move {
			marks = append(marks, c.marks[i])
		}
	}
	return marks
}

// targets returns all known targets, the local one included, sorted by daemon.
func (c *Core) targets() []model.Target {
	targets := make([]model.Target, 0, len(c.roster)+1)
	for _, m := range c.roster {
		if !m.unconfirmed {
			targets = append(targets, m.target)
		}
	}
	if c.local.isAnnounceable() {
		targets = append(targets, c.local.target)
	}
	slices.SortFunc(targets, func(a, b model.Target) int { return strings.Compare(string(a.Daemon), string(b.Daemon)) })
	return targets
}

// composeConfiguration returns the operator's configuration with the shares of the versions and the moves added.
func (c *Core) composeConfiguration(targets []model.Target) *model.Configuration {
	composed := *c.configuration
	composed.Services = slices.Clone(c.configuration.Services)
	for i := range composed.Services {
		s := &composed.Services[i]
		s.Versions = c.versionShares(s.Name, targets)
	}
	for _, service := range slices.Sorted(maps.Keys(c.moves)) {
		m := c.moves[service]
		if c.configuration.Service(service) == nil || !c.isInForce(m) {
			continue
		}
		composed.Moves = append(composed.Moves, m.Move)
		if m.Phase == model.PhaseWithdrawing || m.Phase == model.PhaseWithdrawn {
			composed.Withdrawn = append(composed.Withdrawn, m.Version())
		}
	}
	return &composed
}

// versionShares returns the share of each version of a service: the wanted version has the share of its move's step, and the
// old version has the rest. Any other version has no share.
func (c *Core) versionShares(service model.ServiceName, targets []model.Target) []model.VersionShare {
	wanted, share := c.wantedVersion(service)
	old := c.oldVersion(targets, service, wanted)
	wantedReady := false
	others := map[model.VersionName]bool{}
	for i := range targets {
		t := &targets[i]
		switch {
		case t.Service != service || t.State != model.TargetReady:
		case t.Version == wanted:
			wantedReady = wantedReady || !c.isEvacuated(t)
		default:
			others[t.Version] = true
		}
	}
	switch {
	case old == "":
		// No ready target runs another version than the wanted one.
		share = model.FullShare
	case share == model.FullShare && !wantedReady:
		// No ready target runs the wanted version, so the old version gets all calls.
		share = 0
	}
	var shares []model.VersionShare
	if wanted != "" {
		shares = append(shares, model.VersionShare{Version: wanted, Share: share})
	}
	for _, version := range slices.Sorted(maps.Keys(others)) {
		rest := model.Share(0)
		if version == old {
			rest = model.FullShare - share
			if wanted == "" {
				rest = model.FullShare
			}
		}
		shares = append(shares, model.VersionShare{Version: version, Share: rest})
	}
	return shares
}

// oldVersion returns the version of a service that has the calls which the wanted version does not have, or "". It is the version
// that the latest move left in force, if it has a ready target: targets of an even older version may not have left yet, and those of a
// withdrawn one may be older than all others.
func (c *Core) oldVersion(targets []model.Target, service model.ServiceName, wanted model.VersionName) model.VersionName {
	if m := c.moves[service]; m != nil {
		left := m.From
		if m.Phase == model.PhaseDone {
			left = m.To
		}
		isReady := func(t model.Target) bool {
			return t.Service == service && t.State == model.TargetReady && t.Version == left
		}
		if left != wanted && slices.ContainsFunc(targets, isReady) {
			return left
		}
	}
	return oldestVersion(targets, service, wanted)
}

// oldestVersion returns the version of the service's oldest ready target among those that run another version than the given
// one, or "".
func oldestVersion(targets []model.Target, service model.ServiceName, except model.VersionName) model.VersionName {
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

// wantedVersion returns the version that the operator's intent names, and its current share. The version has no share before
// its move has begun.
func (c *Core) wantedVersion(service model.ServiceName) (model.VersionName, model.Share) {
	in := c.intents[service]
	if in == nil {
		return "", 0
	}
	m := c.moves[service]
	if m == nil || !c.isInForce(m) {
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

// canaries returns the canaries of the running moves by service.
func (c *Core) canaries() map[model.ServiceName][]model.DaemonID {
	canaries := map[model.ServiceName][]model.DaemonID{}
	for service, m := range c.moves {
		if c.isInForce(m) && m.Phase == model.PhaseRunning && len(m.Canaries) > 0 {
			canaries[service] = m.Canaries
		}
	}
	return canaries
}
