// Package membership tracks which daemons exist: announcements, heartbeats, relays, the roster and the lease of a leader.
package membership

import (
	"cmp"
	"maps"
	"slices"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// maxTombstones bounds the number of removals that a roster keeps. A change from a version before the oldest kept removal is
// a snapshot.
const maxTombstones = 512

// Roster is a versioned set of targets. Its versions are assigned by one leader within one term.
type Roster struct {
	term    model.Term
	version uint64
	// previousTerm is the term whose version numbers this term continues; previousVersion is the last version of that term
	// that is part of this roster.
	previousTerm    model.Term
	previousVersion uint64
	// oldestBase is the lowest version that a change can start from.
	oldestBase uint64
	targets    map[model.DaemonID]model.Target
	// changed and removed are the versions in which a target last changed or was removed.
	changed map[model.DaemonID]uint64
	removed map[model.DaemonID]uint64
	// list is the sorted list that Targets last returned; changedSinceList are the daemons that changed since.
	list             []model.Target
	changedSinceList map[model.DaemonID]bool
}

// NewRoster returns an empty roster of a term.
func NewRoster(term model.Term) *Roster {
	return &Roster{
		term: term, targets: map[model.DaemonID]model.Target{},
		changed: map[model.DaemonID]uint64{}, removed: map[model.DaemonID]uint64{}, changedSinceList: map[model.DaemonID]bool{},
	}
}

// Term returns the term to which Version belongs.
func (r *Roster) Term() model.Term { return r.term }

// Version returns the version. It is 0 for an empty roster.
func (r *Roster) Version() uint64 { return r.version }

// StartTerm starts a new term with the current targets. The version numbers continue, so that a daemon that holds a version
// of the previous term gets the difference and not the whole roster.
func (r *Roster) StartTerm(term model.Term) {
	r.previousTerm, r.previousVersion = r.term, r.version
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
		r.setTarget(t, next)
		any = true
	}
	for _, id := range remove {
		if _, ok := r.targets[id]; ok {
			r.removeTarget(id, next)
			any = true
		}
	}
	if any {
		r.version = next
	}
	return any
}

func (r *Roster) setTarget(t model.Target, version uint64) {
	r.targets[t.Daemon] = t
	r.changed[t.Daemon] = version
	delete(r.removed, t.Daemon)
	r.changedSinceList[t.Daemon] = true
}

func (r *Roster) removeTarget(id model.DaemonID, version uint64) {
	delete(r.targets, id)
	delete(r.changed, id)
	r.removed[id] = version
	r.changedSinceList[id] = true
	if len(r.removed) <= maxTombstones {
		return
	}
	versions := slices.Sorted(maps.Values(r.removed))
	r.oldestBase = max(r.oldestBase, versions[len(versions)/2])
	maps.DeleteFunc(r.removed, func(_ model.DaemonID, v uint64) bool { return v <= r.oldestBase })
}

// Since returns the change from version base of a term to the current version, or nil if the roster is empty or has no newer
// version. It returns a snapshot if the roster cannot compute the difference.
func (r *Roster) Since(term model.Term, base uint64) *message.RosterChange {
	if r.version == 0 || (term == r.term && base == r.version) {
		return nil
	}
	known := (term == r.term && base <= r.version) || (term == r.previousTerm && base <= r.previousVersion)
	if !known || base < r.oldestBase {
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

// Apply applies a change. applied is false if the change is not newer than the roster; gap is true if it starts from a version
// that the roster does not have.
func (r *Roster) Apply(c *message.RosterChange) (applied, gap bool) {
	if c.Term < r.term || (c.Term == r.term && c.Version <= r.version) {
		return false, false
	}
	if c.Base != 0 && (c.BaseTerm != r.term || c.Base > r.version) {
		return false, true
	}
	if c.Base != 0 && c.Term != r.term && c.Base != r.version {
		// This roster may include versions of the former leader that the new leader never had.
		return false, true
	}
	if c.Base == 0 {
		*r = *NewRoster(c.Term)
		r.oldestBase = c.Version
	}
	if c.Term != r.term {
		r.previousTerm, r.previousVersion, r.term = r.term, c.Base, c.Term
	}
	for _, t := range c.Targets() {
		r.setTarget(t, c.Version)
	}
	for _, id := range c.Removed {
		r.removeTarget(id, c.Version)
	}
	r.version = c.Version
	return true, false
}

// Targets returns the targets sorted by daemon. The slice is shared and must not be changed.
func (r *Roster) Targets() []model.Target {
	if len(r.changedSinceList) == 0 && r.list != nil {
		return r.list
	}
	if 8*len(r.changedSinceList) > len(r.list) {
		r.list = slices.SortedFunc(maps.Values(r.targets), compareTargets)
	} else {
		r.list = r.patchedList()
	}
	clear(r.changedSinceList)
	return r.list
}

// patchedList returns a copy of the list with the changed entries replaced. Sorting all targets again for each change would
// take most of the processor time of a daemon in a large fleet.
func (r *Roster) patchedList() []model.Target {
	list := slices.Clone(r.list)
	for id := range r.changedSinceList {
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
