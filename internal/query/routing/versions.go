package routing

import "sniperail.example/sniperail/internal/model"

// Service is a compiled service: its versions and how calls rotate over them.
type Service struct {
	Name     model.ServiceName
	versions []*Version
	weights  []uint64
	total    uint64
}

// Version is a version of a service and its ready targets.
type Version struct {
	model.VersionRef
	// Moving says that the version is the new one of an active move.
	Moving bool
	// tiers holds the ready targets of the own data centre, of the region, and of other regions.
	tiers [3][]*model.Target
}

// SelectVersion selects the version of the call with the given counter. Over any window of total weight calls each version
// receives exactly its weight. Over the first calls of a window each of two versions is off by less than one call.
func (s *Service) SelectVersion(counter uint64) (*Version, Reason) {
	if i, _, ok := rotate(s.weights, s.total, counter); ok {
		return s.versions[i], Found
	}
	return nil, NoVersion
}

// rotate selects one of several weights for the call with the given counter, and counts the calls that the weight took
// before; false means that the weights sum to 0.
func rotate(weights []uint64, total, counter uint64) (index int, nth uint64, ok bool) {
	if total == 0 {
		return 0, 0, false
	}
	c, n := counter%total, total
	for i, w := range weights {
		before := c * w / n
		if (c+1)*w/n > before {
			return i, counter/total*w + before, true
		}
		// The calls that this weight does not take rotate over the weights after it.
		c -= before
		n -= w
	}
	return 0, 0, false
}

// Fallback returns the version that takes a call which version v could not execute, or nil. The new version of a move
// never takes calls of another version: a fault of the old one must not raise its share.
func (s *Service) Fallback(v *Version) *Version {
	var best *Version
	var weight uint64
	for i, other := range s.versions {
		if other.VersionRef != v.VersionRef && !other.Moving && other.Ready() > 0 && s.weights[i] > weight {
			best, weight = other, s.weights[i]
		}
	}
	return best
}

// Share returns the part of the calls that a version receives, as weight of total.
func (s *Service) Share(name model.VersionName) (weight, total uint64) {
	for i, v := range s.versions {
		if v.Version == name {
			weight += s.weights[i]
		}
	}
	return weight, s.total
}

// Ready returns the number of ready targets.
func (v *Version) Ready() int { return len(v.tiers[0]) + len(v.tiers[1]) + len(v.tiers[2]) }

func compileService(view *model.View, s *model.Service, ready map[model.VersionRef][]*model.Target,
	withheld map[model.VersionRef]bool) *Service {
	out := &Service{Name: s.Name}
	for _, share := range effectiveShares(view, s, ready, withheld) {
		if share.weight == 0 {
			continue
		}
		v := &Version{VersionRef: share.ref, Moving: share.moving}
		for _, target := range ready[share.ref] {
			tier := tierOf(view, target)
			v.tiers[tier] = append(v.tiers[tier], target)
		}
		out.versions = append(out.versions, v)
		out.weights = append(out.weights, share.weight)
		out.total += share.weight
	}
	return out
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

// versionWeight is the effective share of a version while a service is compiled.
type versionWeight struct {
	ref       model.VersionRef
	weight    uint64
	moving    bool
	available bool
}

// effectiveShares applies marks, withdrawals, isolation and missing targets to the declared shares.
func effectiveShares(view *model.View, s *model.Service, ready map[model.VersionRef][]*model.Target,
	withheld map[model.VersionRef]bool) []versionWeight {
	move := view.Configuration.ActiveMove(s.Name)
	shares := make([]versionWeight, 0, len(s.Versions)+1)
	var lost uint64
	var removed []model.VersionRef
	for _, declared := range s.Versions {
		ref := model.VersionRef{Service: s.Name, Version: declared.Version}
		moving := move != nil && move.To == declared.Version
		w := versionWeight{ref: ref, weight: uint64(max(declared.Share, 0)), moving: moving, available: len(ready[ref]) > 0}
		if withheld[ref] || (moving && view.Isolated) {
			lost += w.weight
			if w.weight > 0 {
				removed = append(removed, ref)
			}
			w.weight = 0
		}
		shares = append(shares, w)
	}
	if sum(shares, func(versionWeight) bool { return true }) == 0 {
		return oldVersion(view, removed, withheld)
	}
	redistribute(shares, lost)
	return reduce(shares)
}

// redistribute gives the lost weight, and the weight of versions without a ready target, to available versions that
// are not under a move, in proportion to their weights. The new version of a move keeps its part of all calls.
func redistribute(shares []versionWeight, lost uint64) {
	heir := func(w versionWeight) bool { return !w.moving && w.available }
	switch {
	case sum(shares, heir) > 0:
		for i := range shares {
			if !shares[i].available {
				lost += shares[i].weight
				shares[i].weight = 0
			}
		}
	case sum(shares, func(w versionWeight) bool { return !w.moving }) > 0:
		heir = func(w versionWeight) bool { return !w.moving }
	default:
		heir = func(versionWeight) bool { return true }
	}
	base := sum(shares, heir)
	for i := range shares {
		if heir(shares[i]) {
			shares[i].weight *= base + lost
		} else {
			shares[i].weight *= base
		}
	}
}

// oldVersion returns the version that takes all calls when each version with a share is withheld: the old version of
// the latest move to one of them.
func oldVersion(view *model.View, removed []model.VersionRef, withheld map[model.VersionRef]bool) []versionWeight {
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

func sum(shares []versionWeight, include func(versionWeight) bool) uint64 {
	var total uint64
	for _, w := range shares {
		if include(w) {
			total += w.weight
		}
	}
	return total
}

// reduce divides the weights by their greatest common divisor, so that the window of exact shares is the shortest.
func reduce(shares []versionWeight) []versionWeight {
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
