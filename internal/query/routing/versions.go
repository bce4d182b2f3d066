package routing

import (
	"slices"

	"sniperail.example/sniperail/internal/model"
)

// Service is a compiled service: its versions and the weights by which calls are distributed over them.
type Service struct {
	Name     model.ServiceName
	versions []*Version
	weights  []uint64
	total    uint64
}

// Version is a version of a service and its ready targets.
type Version struct {
	model.VersionRef
	// UnderMove says that the version is the new one of an active move.
	UnderMove bool
	// warmupPerSecond is the number of calls per second that a cold target of the service tolerates; 0 means any number.
	warmupPerSecond float64
	// tiers holds the ready targets of the own data centre, of the region, and of other regions.
	tiers [3][]*model.Target
	// canaries holds those targets that receive nearly all calls of the version; nil means that no target is preferred.
	canaries *Version
}

// SelectVersion selects the version of the call with the given counter. Of any consecutive calls, as many as the sum of the
// weights, each version receives exactly its weight. With two versions, the first calls of such a window, however many, differ
// from the exact share of each version by less than one call.
func (s *Service) SelectVersion(counter uint64) (*Version, Reason) {
	if i, _, ok := weightedRoundRobin(s.weights, s.total, counter); ok {
		return s.versions[i], Found
	}
	return nil, NoVersion
}

// weightedRoundRobin selects one of several weights for the call with the given counter. nth is the number of earlier calls
// for which the same weight was selected. ok is false if the weights sum to 0.
func weightedRoundRobin(weights []uint64, total, counter uint64) (index int, nth uint64, ok bool) {
	if total == 0 {
		return 0, 0, false
	}
	c, n := counter%total, total
	for i, w := range weights {
		before := c * w / n
		if (c+1)*w/n > before {
			return i, counter/total*w + before, true
		}
		// The calls that this weight does not receive are distributed over the remaining weights.
		c -= before
		n -= w
	}
	return 0, 0, false
}

// Fallback returns the version that takes over a call which version v could not execute, or nil. The new version of a move
// never takes over calls: a fault of the old version must not raise the new version's share.
func (s *Service) Fallback(v *Version) *Version {
	var best *Version
	var weight uint64
	for i, other := range s.versions {
		if other.VersionRef != v.VersionRef && !other.UnderMove && other.ReadyCount() > 0 && s.weights[i] > weight {
			best, weight = other, s.weights[i]
		}
	}
	return best
}

// Share returns the fraction of the calls that a version receives, as weight divided by total.
func (s *Service) Share(name model.VersionName) (weight, total uint64) {
	for i, v := range s.versions {
		if v.Version == name {
			weight += s.weights[i]
		}
	}
	return weight, s.total
}

// ReadyCount returns the number of ready targets in all tiers.
func (v *Version) ReadyCount() int { return len(v.tiers[0]) + len(v.tiers[1]) + len(v.tiers[2]) }

func compileService(view *model.View, s *model.Service, ready map[model.VersionRef][]*model.Target,
	withheld map[model.VersionRef]bool) *Service {
	out := &Service{Name: s.Name}
	for _, share := range effectiveShares(view, s, ready, withheld) {
		if share.weight == 0 {
			continue
		}
		v := &Version{VersionRef: share.ref, UnderMove: share.underMove, warmupPerSecond: s.WarmupPerSecond}
		for _, target := range ready[share.ref] {
			v.addTarget(view, target)
		}
		if share.underMove {
			v.canaries = canariesOf(view, v.VersionRef, s.WarmupPerSecond, ready[share.ref])
		}
		out.versions = append(out.versions, v)
		out.weights = append(out.weights, share.weight)
		out.total += share.weight
	}
	return out
}

func (v *Version) addTarget(view *model.View, target *model.Target) {
	tier := tierOf(view, target)
	v.tiers[tier] = append(v.tiers[tier], target)
}

// canariesOf returns the canaries among the ready targets of a version, or nil if there are none.
func canariesOf(view *model.View, ref model.VersionRef, warmupPerSecond float64, ready []*model.Target) *Version {
	daemons := view.Canaries[ref.Service]
	canaries := &Version{VersionRef: ref, warmupPerSecond: warmupPerSecond}
	for _, target := range ready {
		if slices.Contains(daemons, target.Daemon) {
			canaries.addTarget(view, target)
		}
	}
	if canaries.ReadyCount() == 0 {
		return nil
	}
	return canaries
}

func tierOf(view *model.View, target *model.Target) int {
	switch {
	case target.DataCentre == view.DataCentre:
		return 0
	case target.Region == view.Region:
		return 1
	}
	return 2
}

// versionWeight is the effective share of a version while its service is compiled.
type versionWeight struct {
	ref       model.VersionRef
	weight    uint64
	underMove bool
	available bool
}

// effectiveShares adjusts the declared shares: withheld and withdrawn versions receive no calls, nor does the new version of
// a move while the daemon is isolated, and versions without a ready target lose their calls to others.
func effectiveShares(view *model.View, s *model.Service, ready map[model.VersionRef][]*model.Target,
	withheld map[model.VersionRef]bool) []versionWeight {
	move := view.Configuration.ActiveMove(s.Name)
	shares := make([]versionWeight, 0, len(s.Versions)+1)
	var unassigned uint64
	var removed []model.VersionRef
	for _, declared := range s.Versions {
		ref := model.VersionRef{Service: s.Name, Version: declared.Version}
		underMove := move != nil && move.To == declared.Version
		w := versionWeight{ref: ref, weight: uint64(max(declared.Share, 0)), underMove: underMove, available: len(ready[ref]) > 0}
		if withheld[ref] || (underMove && view.Isolated) {
			unassigned += w.weight
			if w.weight > 0 {
				removed = append(removed, ref)
			}
			w.weight = 0
		}
		shares = append(shares, w)
	}
	if sumWeights(shares, func(versionWeight) bool { return true }) == 0 {
		return fallBackToOldVersion(view, removed, withheld)
	}
	redistribute(shares, unassigned)
	return divideByGCD(shares)
}

// redistribute gives the unassigned weight, and the weight of versions without a ready target, to available versions that
// are not under a move, in proportion to their weights. The new version of a move keeps its share of all calls. Without
// such a recipient, all versions that are not under a move receive the unassigned weight, or else all versions.
func redistribute(shares []versionWeight, unassigned uint64) {
	isRecipient := func(w versionWeight) bool { return !w.underMove && w.available }
	switch {
	case sumWeights(shares, isRecipient) > 0:
		for i := range shares {
			if !shares[i].available {
				unassigned += shares[i].weight
				shares[i].weight = 0
			}
		}
	case sumWeights(shares, func(w versionWeight) bool { return !w.underMove }) > 0:
		isRecipient = func(w versionWeight) bool { return !w.underMove }
	default:
		isRecipient = func(versionWeight) bool { return true }
	}
	base := sumWeights(shares, isRecipient)
	for i := range shares {
		if isRecipient(shares[i]) {
			shares[i].weight *= base + unassigned
		} else {
			shares[i].weight *= base
		}
	}
}

// fallBackToOldVersion returns the version that takes all calls when no version with a share may receive any. It is the old
// version of the latest move to one of the removed versions, unless that version is withheld too.
func fallBackToOldVersion(view *model.View, removed []model.VersionRef, withheld map[model.VersionRef]bool) []versionWeight {
	for _, ref := range removed {
		var latest *model.Move
		for i := range view.Configuration.Moves {
			m := &view.Configuration.Moves[i]
			if m.Version() == ref && (latest == nil || m.Number >= latest.Number) {
				latest = m
			}
		}
		if latest == nil {
			continue
		}
		if old := (model.VersionRef{Service: ref.Service, Version: latest.From}); !withheld[old] {
			return []versionWeight{{ref: old, weight: 1, available: true}}
		}
	}
	return nil
}

func sumWeights(shares []versionWeight, include func(versionWeight) bool) uint64 {
	var total uint64
	for _, w := range shares {
		if include(w) {
			total += w.weight
		}
	}
	return total
}

// divideByGCD divides the weights by their greatest common divisor. This gives the shortest window in which the shares are
// exact.
func divideByGCD(shares []versionWeight) []versionWeight {
	var divisor uint64
	for _, w := range shares {
		a, b := divisor, w.weight
		for b != 0 {
			a, b = b, a%b
		}
		divisor = a
	}
	for i := range shares {
		if divisor > 0 {
			shares[i].weight /= divisor
		}
	}
	return shares
}
