package distribution

import (
	"reflect"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// Strip returns the distributed form of a configuration: without events, write stamps and finished moves, which only
// operators read. Services and routes are sorted by name and moves by ID, so that equal contents have equal forms.
func Strip(c *model.Configuration) *model.Configuration {
	s := &model.Configuration{
		Number:    c.Number,
		Services:  sortedBy(c.Services, serviceKey),
		Routes:    sortedBy(c.Routes, routeKey),
		Tenants:   sortedBy(c.Tenants, tenantKey),
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
func tenantKey(t *model.Tenant) string   { return string(t.Name) }
func moveKey(m *model.Move) string       { return string(m.ID) }

// Diff returns the delta that turns base into next. Both must be results of Strip, and so sorted.
func Diff(base, next *model.Configuration) *message.Delta {
	d := &message.Delta{
		Base: base.Number, Number: next.Number, Withdrawn: next.Withdrawn, Dashboard: next.Dashboard,
		Limits: next.Limits, Checksum: Checksum(next),
	}
	var removed []string
	d.Services, removed = diffLists(base.Services, next.Services, serviceKey)
	d.RemovedServices = convertNames[model.ServiceName](removed)
	d.Routes, removed = diffLists(base.Routes, next.Routes, routeKey)
	d.RemovedRoutes = convertNames[model.RouteName](removed)
	d.Tenants, removed = diffLists(base.Tenants, next.Tenants, tenantKey)
	d.RemovedTenants = convertNames[model.TenantName](removed)
	d.Moves, removed = diffLists(base.Moves, next.Moves, moveKey)
	d.RemovedMoves = convertNames[model.PlanID](removed)
	return d
}

// Patch applies a delta to its base. It reports false if the base differs or the checksum of the result is wrong.
func Patch(base *model.Configuration, d *message.Delta) (*model.Configuration, bool) {
	if base == nil || base.Number != d.Base {
		return nil, false
	}
	next := &model.Configuration{
		Number:    d.Number,
		Services:  patchList(base.Services, d.Services, convertNames[string](d.RemovedServices), serviceKey),
		Routes:    patchList(base.Routes, d.Routes, convertNames[string](d.RemovedRoutes), routeKey),
		Tenants:   patchList(base.Tenants, d.Tenants, convertNames[string](d.RemovedTenants), tenantKey),
		Moves:     patchList(base.Moves, d.Moves, convertNames[string](d.RemovedMoves), moveKey),
		Withdrawn: d.Withdrawn,
		Dashboard: d.Dashboard,
		Limits:    d.Limits,
	}
	if Checksum(next) != d.Checksum {
		return nil, false
	}
	return next, true
}

// diffLists compares two lists that are sorted by key. It returns the items of next that are new or changed, and the keys of
// base that next lacks.
func diffLists[T any](base, next []T, key func(*T) string) (changed []T, removed []string) {
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

// patchList returns base with the changed items added or replaced and without the removed keys. Base and the result are
// sorted by key.
func patchList[T any](base, changed []T, removed []string, key func(*T) string) []T {
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

// convertNames converts a list of names to another string type.
func convertNames[T, S ~string](from []S) []T {
	if len(from) == 0 {
		return nil
	}
	to := make([]T, len(from))
	for i, name := range from {
		to[i] = T(name)
	}
	return to
}
