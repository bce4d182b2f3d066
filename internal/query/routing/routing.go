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
	routes   map[string][]*Route
	services map[model.ServiceName]*Service
	withheld map[model.VersionRef]bool
}

// Route is a compiled route.
type Route struct {
	model.Route
	// Timeout is the total deadline of a call.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value.
	TargetLatency time.Duration
	// services and weights are the parts of the route; services is never empty.
	services []*Service
	weights  []uint64
	total    uint64
}

// ServiceOf selects the service of the call with the given counter, and the counter that selects its version. Over any
// window of total weight calls each service of a split receives exactly its weight.
func (r *Route) ServiceOf(counter uint64) (service *Service, versionCounter uint64) {
	if i, nth, ok := rotate(r.weights, r.total, counter); ok {
		return r.services[i], nth
	}
	return r.services[0], counter
}

// NewTable compiles a view.
func NewTable(view *model.View) *Table {
	t := &Table{
		View:     view,
		routes:   map[string][]*Route{},
		services: map[model.ServiceName]*Service{},
		withheld: map[model.VersionRef]bool{},
	}
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
	for _, r := range c.Routes {
		t.addRoute(r)
	}
	return t
}

func (t *Table) addRoute(r model.Route) {
	timeout := time.Duration(r.TimeoutMS) * time.Millisecond
	if timeout <= 0 {
		timeout = model.DefaultTimeoutMS * time.Millisecond
	}
	latency := time.Duration(r.TargetLatencyMS) * time.Millisecond
	if latency <= 0 {
		latency = timeout
	}
	compiled := &Route{Route: r, Timeout: timeout, TargetLatency: latency}
	for _, part := range r.Services() {
		service := t.services[part.Service]
		if service == nil {
			return
		}
		compiled.services = append(compiled.services, service)
		compiled.weights = append(compiled.weights, uint64(max(part.Weight, 0)))
		compiled.total += uint64(max(part.Weight, 0))
	}
	key := routeKey(r.Host, r.PathPrefix)
	t.routes[key] = append(t.routes[key], compiled)
	// A route for named methods goes before a route for all methods.
	slices.SortStableFunc(t.routes[key], func(a, b *Route) int { return allMethods(a) - allMethods(b) })
}

func routeKey(host, prefix string) string { return host + strings.TrimRight(prefix, "/") }

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
		for _, r := range t.routes[routeKey(host, path[:end])] {
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

// Withheld reports whether a version receives no calls because of a mark or a withdrawal.
func (t *Table) Withheld(ref model.VersionRef) bool { return t.withheld[ref] }

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
