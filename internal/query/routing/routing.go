// Package routing selects the route, version and target of a call from a published view. It is pure: counters, the
// signals that calls have shown about targets and the random source are arguments.
package routing

import (
	"slices"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Reason says why a call has no route, version or target. The empty reason means that it has one.
type Reason string

// Reasons of routing refusals. In each case nothing was executed.
const (
	Found            Reason = ""
	NoRoute          Reason = "no-route"
	MethodNotAllowed Reason = "method-not-allowed"
	NoVersion        Reason = "no-version"
	NoTarget         Reason = "no-target"
	Overloaded       Reason = "overloaded"
)

// Table is the compiled form of a view that traffic goroutines read. It is immutable.
type Table struct {
	// View is the view that the table was compiled from.
	View     *model.View
	routes   routeIndex
	services map[model.ServiceName]*Service
	withheld map[model.VersionRef]bool
}

// routeIndex holds the routes of a host and a path prefix. It depends on the routes and the names of the services only.
type routeIndex map[routeKey][]*Route

// routeKey is where a route is looked up: its host, and its path prefix without the slash at the end.
type routeKey struct{ host, prefix string }

// Route is a compiled route.
type Route struct {
	model.Route
	// Timeout is the total deadline of a call.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value.
	TargetLatency time.Duration
	// weights are those of the parts of a split, and total their sum.
	weights []uint64
	total   uint64
}

// SelectService selects the service of the call on a route with the given counter, and the counter that selects its version. Over
// any window of total weight calls each service of a split receives exactly its weight.
func (t *Table) SelectService(r *Route, counter uint64) (service *Service, versionCounter uint64) {
	if len(r.Split) == 0 {
		return t.services[r.Service], counter
	}
	if i, nth, ok := rotate(r.weights, r.total, counter); ok {
		return t.services[r.Split[i].Service], nth
	}
	return t.services[r.Split[0].Service], counter
}

// NewTable compiles a view.
func NewTable(view *model.View) *Table { return NextTable(nil, view) }

// NextTable compiles a view that follows another one. The routes are compiled again only if they changed: targets change much
// more often, and a configuration may have thousands of routes.
func NextTable(last *Table, view *model.View) *Table {
	t := &Table{View: view, services: map[model.ServiceName]*Service{}, withheld: map[model.VersionRef]bool{}}
	if view == nil || view.Configuration == nil {
		return t
	}
	c := view.Configuration
	for _, ref := range c.Withdrawn {
		t.withheld[ref] = true
	}
	for _, mark := range view.Marks {
		t.withheld[mark.VersionRef] = true
	}
	ready := readyTargets(view)
	for i := range c.Services {
		t.services[c.Services[i].Name] = compileService(view, &c.Services[i], ready, t.withheld)
	}
	if last != nil && last.routes != nil && sameRoutes(last.View.Configuration, c) {
		t.routes = last.routes
		return t
	}
	t.routes = make(routeIndex, len(c.Routes))
	compiled := make([]Route, len(c.Routes))
	for i := range c.Routes {
		t.addRoute(&compiled[i], &c.Routes[i])
	}
	return t
}

// sameRoutes reports whether two configurations share their routes and have the same services. Configurations are immutable.
func sameRoutes(a, b *model.Configuration) bool {
	if len(a.Routes) != len(b.Routes) || len(a.Routes) > 0 && &a.Routes[0] != &b.Routes[0] {
		return false
	}
	return slices.EqualFunc(a.Services, b.Services, func(a, b model.Service) bool { return a.Name == b.Name })
}

// addRoute compiles a route and adds it, unless it leads to a service that the table does not have.
func (t *Table) addRoute(compiled *Route, r *model.Route) {
	timeout := time.Duration(r.TimeoutMS) * time.Millisecond
	if timeout <= 0 {
		timeout = model.DefaultTimeoutMS * time.Millisecond
	}
	latency := time.Duration(r.TargetLatencyMS) * time.Millisecond
	if latency <= 0 {
		latency = timeout
	}
	*compiled = Route{Route: *r, Timeout: timeout, TargetLatency: latency}
	if len(r.Split) == 0 && t.services[r.Service] == nil {
		return
	}
	for _, part := range r.Split {
		if t.services[part.Service] == nil {
			return
		}
		compiled.weights = append(compiled.weights, uint64(max(part.Weight, 0)))
		compiled.total += uint64(max(part.Weight, 0))
	}
	key := routeKey{r.Host, strings.TrimRight(r.PathPrefix, "/")}
	t.routes[key] = append(t.routes[key], compiled)
	if len(t.routes[key]) > 1 {
		// A route for named methods goes before a route for all methods.
		slices.SortStableFunc(t.routes[key], func(a, b *Route) int { return allMethods(a) - allMethods(b) })
	}
}

func allMethods(r *Route) int {
	if len(r.Methods) == 0 {
		return 1
	}
	return 0
}

// Match returns the route of the host, or else of any host, with the longest path prefix that allows the method. A prefix
// ends at a path segment: /a matches /a and /a/b but not /ab. A prefix of a route with a host matches as written: /a/
// matches /a/b but not /a.
func (t *Table) Match(host, method, path string) (*Route, Reason) {
	if host != "" {
		if r, reason := t.match(host, method, path); reason != NoRoute {
			return r, reason
		}
	}
	return t.match("", method, path)
}

func (t *Table) match(host, method, path string) (*Route, Reason) {
	reason := NoRoute
	for end := len(path); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		for _, r := range t.routes[routeKey{host, strings.TrimRight(path[:end], "/")}] {
			if r.Host != "" && !strings.HasPrefix(path, r.PathPrefix) {
				continue
			}
			if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
				return r, Found
			}
			reason = MethodNotAllowed
		}
		if end == 0 {
			break
		}
	}
	return nil, reason
}

// Service returns a compiled service, or nil.
func (t *Table) Service(name model.ServiceName) *Service { return t.services[name] }

// IsWithheld reports whether a version receives no calls because of a mark or a withdrawal.
func (t *Table) IsWithheld(ref model.VersionRef) bool { return t.withheld[ref] }

func readyTargets(view *model.View) map[model.VersionRef][]*model.Target {
	ready := map[model.VersionRef][]*model.Target{}
	for i := range view.Targets {
		target := &view.Targets[i]
		if target.State == model.TargetReady {
			ready[target.Ref()] = append(ready[target.Ref()], target)
		}
	}
	return ready
}
