package distribution

import (
	"reflect"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// Strip returns the form of a configuration that is distributed: without events, write stamps and finished moves, which
// only operators read. Services, routes and moves are sorted by name so that equal content has equal form.
func Strip(c *model.Configuration) *model.Configuration {
	s := &model.Configuration{
		Number:    c.Number,
		Services:  sortedBy(c.Services, serviceKey),
		Routes:    sortedBy(c.Routes, routeKey),
		Withdrawn: c.Withdrawn,
		Dashboard: c.Dashboard,
		Limits:    c.Limits,
	}
	for _, m := range sortedBy(c.Moves, moveKey) {
		if m.Phase.Active() {
			s.Moves = append(s.Moves, m)
		}
	}
	return s
}

func serviceKey(s *model.Service) string { return string(s.Name) }
func routeKey(r *model.Route) string     { return string(r.Name) }
func moveKey(m *model.Move) string       { return string(m.ID) }

// Diff returns the delta that turns base into next. Both are stripped, and so sorted.
func Diff(base, next *model.Configuration) *message.Delta {
	d := &message.Delta{
		Base: base.Number, Number: next.Number, Withdrawn: next.Withdrawn, Dashboard: next.Dashboard,
		Limits: next.Limits, Checksum: Checksum(next),
	}
	var removed []string
	d.Services, removed = diff(base.Services, next.Services, serviceKey)
	d.RemovedServices = names[model.ServiceName](removed)
	d.Routes, removed = diff(base.Routes, next.Routes, routeKey)
	d.RemovedRoutes = names[model.RouteName](removed)
	d.Moves, removed = diff(base.Moves, next.Moves, moveKey)
	d.RemovedMoves = names[model.PlanID](removed)
	return d
}

// Patch applies a delta to its base. It reports false if the base differs or the checksum of the result is wrong.
func Patch(base *model.Configuration, d *message.Delta) (*model.Configuration, bool) {
	if base == nil || base.Number != d.Base {
		return nil, false
	}
	next := &model.Configuration{
		Number:    d.Number,
		Services:  patch(base.Services, d.Services, names[string](d.RemovedServices), serviceKey),
		Routes:    patch(base.Routes, d.Routes, names[string](d.RemovedRoutes), routeKey),
		Moves:     patch(base.Moves, d.Moves, names[string](d.RemovedMoves), moveKey),
		Withdrawn: d.Withdrawn,
		Dashboard: d.Dashboard,
		Limits:    d.Limits,
	}
	if Checksum(next) != d.Checksum {
		return nil, false
	}
	return next, true
}

// diff returns what changed between two lists that are sorted by key, and the keys that next lacks.
func diff[T any](base, next []T, key func(*T) string) (changed []T, removed []string) {
	i := 0
	for j := range next {
		k := key(&next[j])
		for ; i < len(base) && key(&base[i]) < k; i++ {
			removed = append(removed, key(&base[i]))
		}
		if i < len(base) && key(&base[i]) == k {
			if !reflect.DeepEqual(&base[i], &next[j]) {
				changed = append(changed, next[j])
			}
			i++
			continue
		}
		changed = append(changed, next[j])
	}
	for ; i < len(base); i++ {
		removed = append(removed, key(&base[i]))
	}
	return changed, removed
}

// patch returns a list that is sorted by key, like base, with changed items in place of those of the same key and without
// the removed keys.
func patch[T any](base, changed []T, removed []string, key func(*T) string) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return base
	}
	changed = sortedBy(changed, key)
	drop := make(map[string]bool, len(removed))
	for _, name := range removed {
		drop[name] = true
	}
	next := make([]T, 0, len(base)+len(changed))
	for i := range base {
		k := key(&base[i])
		for len(changed) > 0 && key(&changed[0]) < k {
			next, changed = append(next, changed[0]), changed[1:]
		}
		switch {
		case len(changed) > 0 && key(&changed[0]) == k:
			next, changed = append(next, changed[0]), changed[1:]
		case !drop[k]:
			next = append(next, base[i])
		}
	}
	return append(next, changed...)
}

func names[T, S ~string](from []S) []T {
	if len(from) == 0 {
		return nil
	}
	to := make([]T, len(from))
	for i, name := range from {
		to[i] = T(name)
	}
	return to
}
