// Package membership tracks which daemons exist: announcements, heartbeats, relays, the roster and the lease of a leader.
package membership

import (
	"cmp"
	"maps"
	"slices"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// maxTombstones bounds how many removals a roster remembers. An older base gets a snapshot.
const maxTombstones = 512

// Roster is a versioned set of targets. One leader counts its versions within one term.
type Roster struct {
	term    model.Term
	version uint64
	// before is the term from which this one was counted on, until is its last version that is part of this roster.
	before model.Term
	until  uint64
	// floor is the lowest version that a change can start from.
	floor   uint64
	targets map[model.DaemonID]model.Target
	changed map[model.DaemonID]uint64
	removed map[model.DaemonID]uint64
	// list is the sorted form handed out last; stale names the daemons that changed since.
	list  []model.Target
	stale map[model.DaemonID]bool
}

// NewRoster returns an empty roster of a term.
func NewRoster(term model.Term) *Roster {
	return &Roster{
		term: term, targets: map[model.DaemonID]model.Target{},
		changed: map[model.DaemonID]uint64{}, removed: map[model.DaemonID]uint64{}, stale: map[model.DaemonID]bool{},
	}
}

// Term returns the term in which Version counts.
func (r *Roster) Term() model.Term { return r.term }

// Version returns the version; 0 is empty.
func (r *Roster) Version() uint64 { return r.version }

// Renumber starts a new term with the present targets. Versions count on, so that a daemon which holds a version of the
// term before gets the difference and not the whole roster.
func (r *Roster) Renumber(term model.Term) {
	r.before, r.until = r.term, r.version
	r.term = term
	r.version++
}

// Edit sets and removes targets as one new version. An older incarnation never replaces a newer one. It reports whether
// anything changed.
func (r *Roster) Edit(set []model.Target, remove []model.DaemonID) bool {
	next, any := r.version+1, false
	for _, t := range set {
		known, ok := r.targets[t.Daemon]
		if ok && (known == t || known.Incarnation > t.Incarnation) {
			continue
		}
		r.put(t, next)
		any = true
	}
	for _, id := range remove {
		if _, ok := r.targets[id]; ok {
			r.drop(id, next)
			any = true
		}
	}
	if any {
		r.version = next
	}
	return any
}

func (r *Roster) put(t model.Target, version uint64) {
	r.targets[t.Daemon] = t
	r.changed[t.Daemon] = version
	delete(r.removed, t.Daemon)
	r.stale[t.Daemon] = true
}

func (r *Roster) drop(id model.DaemonID, version uint64) {
	delete(r.targets, id)
	delete(r.changed, id)
	r.removed[id] = version
	r.stale[id] = true
	if len(r.removed) <= maxTombstones {
		return
	}
	versions := slices.Sorted(maps.Values(r.removed))
	r.floor = max(r.floor, versions[len(versions)/2])
	maps.DeleteFunc(r.removed, func(_ model.DaemonID, v uint64) bool { return v <= r.floor })
}

// Since returns the change from a version of the same term, a snapshot from any other, or nil if nothing is newer.
func (r *Roster) Since(term model.Term, base uint64) *message.RosterChange {
	if r.version == 0 || (term == r.term && base == r.version) {
		return nil
	}
	known := (term == r.term && base <= r.version) || (term == r.before && base <= r.until)
	if !known || base < r.floor {
		base = 0
	}
	change := &message.RosterChange{Term: r.term, BaseTerm: term, Base: base, Version: r.version}
	var targets []model.Target
	for _, t := range r.Targets() {
		if r.changed[t.Daemon] > base {
			targets = append(targets, t)
		}
	}
	change.Groups = message.GroupTargets(targets)
	if base == 0 {
		return change
	}
	for _, id := range slices.Sorted(maps.Keys(r.removed)) {
		if r.removed[id] > base {
			change.Removed = append(change.Removed, id)
		}
	}
	return change
}

// Apply takes a change. Applied is false if it is older than the roster; gap is true if it starts from a version that
// the roster does not have.
func (r *Roster) Apply(c *message.RosterChange) (applied, gap bool) {
	if c.Term < r.term || (c.Term == r.term && c.Version <= r.version) {
		return false, false
	}
	if c.Base != 0 && (c.BaseTerm != r.term || c.Base > r.version) {
		return false, true
	}
	if c.Base != 0 && c.Term != r.term && c.Base != r.version {
		// The present roster may hold versions of the former leader that the new one never had.
		return false, true
	}
	if c.Base == 0 {
		*r = *NewRoster(c.Term)
		r.floor = c.Version
	}
	if c.Term != r.term {
		r.before, r.until, r.term = r.term, c.Base, c.Term
	}
	for _, t := range c.Targets() {
		r.put(t, c.Version)
	}
	for _, id := range c.Removed {
		r.drop(id, c.Version)
	}
	r.version = c.Version
	return true, false
}

// Targets returns the targets sorted by daemon. The slice is shared and must not be changed.
func (r *Roster) Targets() []model.Target {
	if len(r.stale) == 0 && r.list != nil {
		return r.list
	}
	if 8*len(r.stale) > len(r.list) {
		r.list = slices.SortedFunc(maps.Values(r.targets), compareTargets)
	} else {
		r.list = r.patched()
	}
	clear(r.stale)
	return r.list
}

// patched returns a copy of the list with the stale entries replaced. Sorting all targets again for each change would
// take most of the processor time of a daemon in a large fleet.
func (r *Roster) patched() []model.Target {
	list := slices.Clone(r.list)
	for id := range r.stale {
		i, found := slices.BinarySearchFunc(list, model.Target{Daemon: id}, compareTargets)
		t, ok := r.targets[id]
		switch {
		case ok && found:
			list[i] = t
		case ok:
			list = slices.Insert(list, i, t)
		case found:
			list = slices.Delete(list, i, i+1)
		}
	}
	return list
}

func compareTargets(a, b model.Target) int { return cmp.Compare(a.Daemon, b.Daemon) }

// Target returns the target of a daemon.
func (r *Roster) Target(id model.DaemonID) (model.Target, bool) {
	t, ok := r.targets[id]
	return t, ok
}
