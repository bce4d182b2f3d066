// Package routing selects the route, version and target of a call from a published view. It is pure: counters, measurements
// of targets and the random source are arguments.
package routing

import (
	"slices"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Reason says why no route, version or target was found for a call. It is empty if one was found.
type Reason string

// Reasons of routing refusals. In each case, the call was not executed.
const (
	Found            Reason = ""
	NoRoute          Reason = "no-route"
	MethodNotAllowed Reason = "method-not-allowed"
	NoVersion        Reason = "no-version"
	NoTarget         Reason = "no-target"
	Overloaded       Reason = "overloaded"
)

// Table is the compiled form of a view, which traffic goroutines read. It is immutable.
type Table struct {
	// View is the view that the table was compiled from.
	View     *model.View
	routes   routeIndex
	tenants  tenantIndex
	services map[model.ServiceName]*Service
	withheld map[model.VersionRef]bool
}

// routeIndex maps a host and a path prefix to routes. It depends only on the routes and on the names of the services.
type routeIndex map[routeKey][]*Route

// routeKey is the lookup key of a route: its host, and its path prefix without trailing slashes.
type routeKey struct{ host, prefix string }

// Route is a compiled route.
type Route struct {
	model.Route
	// Timeout is the time limit of a call, all attempts included.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value.
	TargetLatency time.Duration
	// weights holds the weights of the parts of a split in their order; total is the sum of the weights.
	weights []uint64
	total   uint64
}

// SelectService selects the service for the call with the given counter on a route, and returns the counter for
// Service.SelectVersion. Of any consecutive calls, as many as the sum of the weights, each service of a split receives
// exactly its weight.
func (t *Table) SelectService(r *Route, counter uint64) (service *Service, versionCounter uint64) {
	if len(r.Split) == 0 {
		return t.services[r.Service], counter
	}
	if i, nth, ok := weightedRoundRobin(r.weights, r.total, counter); ok {
		return t.services[r.Split[i].Service], nth
	}
	return t.services[r.Split[0].Service], counter
}

// NewTable compiles a view.
func NewTable(view *model.View) *Table { return NextTable(nil, view) }

// NextTable compiles a view and takes over the compiled routes of the previous table if they have not changed: targets
// change much more often, and a configuration may have thousands of routes.
func NextTable(previous *Table, view *model.View) *Table {
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
	if previous != nil && previous.routes != nil && sameTenants(previous.View.Configuration, c) {
		t.tenants = previous.tenants
	} else {
		t.tenants = compileTenants(c.Tenants)
	}
	if previous != nil && previous.routes != nil && sameRoutes(previous.View.Configuration, c) {
		t.routes = previous.routes
		return t
	}
	t.routes = make(routeIndex, len(c.Routes))
	compiled := make([]Route, len(c.Routes))
	for i := range c.Routes {
		t.addRoute(&compiled[i], &c.Routes[i])
	}
	return t
}

// sameRoutes reports whether two configurations share one slice of routes and have services of the same names.
// Configurations are immutable, so routes at the same address are equal.
func sameRoutes(a, b *model.Configuration) bool {
	if len(a.Routes) != len(b.Routes) || len(a.Routes) > 0 && &a.Routes[0] != &b.Routes[0] {
		return false
	}
	return slices.EqualFunc(a.Services, b.Services, func(a, b model.Service) bool { return a.Name == b.Name })
}

// addRoute compiles a route and adds it, unless one of its services is missing in the table.
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
		// Routes limited to some methods are matched before routes for all methods.
		slices.SortStableFunc(t.routes[key], func(a, b *Route) int { return methodOrder(a) - methodOrder(b) })
	}
}

// methodOrder is the sort key of routes with the same host and path prefix.
func methodOrder(r *Route) int {
	if len(r.Methods) == 0 {
		return 1
	}
	return 0
}

// Match returns the route with the longest matching path prefix that allows the method. Routes for any host are considered
// only if no route of the given host matches the path. A prefix matches whole path segments: /a matches /a and /a/b but not
// /ab. The prefix of a route with a host matches literally: /a/ matches /a/b but not /a.
func (t *Table) Match(host, method, path string) (*Route, Reason) {
	if host != "" {
		if r, reason := t.matchHost(host, method, path); reason != NoRoute {
			return r, reason
		}
	}
	return t.matchHost("", method, path)
}

func (t *Table) matchHost(host, method, path string) (*Route, Reason) {
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

// Service returns the named service, or nil.
func (t *Table) Service(name model.ServiceName) *Service { return t.services[name] }

// IsWithheld reports whether a version receives no calls because it is marked or withdrawn.
func (t *Table) IsWithheld(ref model.VersionRef) bool { return t.withheld[ref] }

// readyTargets returns the ready targets of each version, without those of evacuated data centres.
func readyTargets(view *model.View) map[model.VersionRef][]*model.Target {
	ready := map[model.VersionRef][]*model.Target{}
	for i := range view.Targets {
		target := &view.Targets[i]
		if target.State == model.TargetReady && !view.IsEvacuated(target.DataCentre) {
			ready[target.Ref()] = append(ready[target.Ref()], target)
		}
	}
	return ready
}
