package configuration

import (
	"cmp"
	"slices"

	"sniperail.example/sniperail/internal/model"
)

// AffectedServices returns the services that a change affects, directly or through a route.
func AffectedServices(c *model.Configuration, change *model.Change) []model.ServiceName {
	var names []model.ServiceName
	for _, s := range change.Services {
		names = append(names, s.Name)
	}
	names = append(names, change.RemoveServices...)
	for _, r := range change.Routes {
		names = append(names, servicesOf(&r)...)
	}
	for _, name := range change.RemoveRoutes {
		for _, r := range c.Routes {
			if r.Name == name {
				names = append(names, servicesOf(&r)...)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Preview returns the configuration that would result from the confirmation of a plan, or the refusal. It is used to refuse
// an invalid plan when it is declared, not only when it is confirmed.
func Preview(c *model.Configuration, plan *model.Plan, stamp Stamp) (*model.Configuration, model.Outcome) {
	return Apply(c, Confirm{Plan: plan.ID}, plan, stamp)
}

func (e *edit) confirmChange(plan *model.Plan) *model.Outcome {
	affected := AffectedServices(e.base, plan.Change)
	if refusal := e.checkConflict(plan, affected...); refusal != nil {
		return refusal
	}
	for _, name := range affected {
		if m := e.base.ActiveMove(name); m != nil {
			return e.refuse(model.OutcomeConflict, "service %q is moved by %s; change it when the move has ended", name, m.ID)
		}
	}
	e.putServices(plan.Change)
	e.putRoutes(plan.Change)
	if plan.Change.Dashboard != nil {
		e.next.Dashboard = plan.Change.Dashboard
	}
	for _, name := range affected {
		if s := e.next.Service(name); s != nil {
			s.Changed = e.next.Number
		}
	}
	e.appendEvent(model.MoveEvent{Kind: model.EventChanged, Move: plan.ID, Detail: "change confirmed"})
	return nil
}

// servicesOf returns the services to which a route sends requests.
func servicesOf(r *model.Route) []model.ServiceName {
	var names []model.ServiceName
	for _, part := range r.Services() {
		names = append(names, part.Service)
	}
	return names
}

func (e *edit) putServices(change *model.Change) {
	for _, s := range change.Services {
		if existing := e.next.Service(s.Name); existing != nil {
			*existing = s
			continue
		}
		e.next.Services = append(e.next.Services, s)
	}
	e.next.Services = slices.DeleteFunc(e.next.Services, func(s model.Service) bool {
		return slices.Contains(change.RemoveServices, s.Name)
	})
	slices.SortFunc(e.next.Services, func(a, b model.Service) int { return cmp.Compare(a.Name, b.Name) })
}

func (e *edit) putRoutes(change *model.Change) {
	for _, r := range change.Routes {
		i := slices.IndexFunc(e.next.Routes, func(p model.Route) bool { return p.Name == r.Name })
		if i >= 0 {
			e.next.Routes[i] = r
			continue
		}
		e.next.Routes = append(e.next.Routes, r)
	}
	e.next.Routes = slices.DeleteFunc(e.next.Routes, func(r model.Route) bool {
		return slices.Contains(change.RemoveRoutes, r.Name)
	})
	slices.SortFunc(e.next.Routes, func(a, b model.Route) int { return cmp.Compare(a.Name, b.Name) })
}
