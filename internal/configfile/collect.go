package configfile

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/reports"
)

// located is a value with the place in the files where it was read, for problems that are found after decoding.
type located[T any] struct {
	file  string
	line  int
	field string
	value T
}

// collector gathers the entries and the problems of all files.
type collector struct {
	options   Options
	file      string
	problems  Problems
	services  []located[model.Service]
	routes    []located[model.Route]
	intents   []located[model.Intent]
	dashboard *located[model.Dashboard]
	remove    removeEntry
}

// addProblem records a problem in the current file.
func (c *collector) addProblem(line int, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// addDocument adds the entries of one YAML document.
func (c *collector) addDocument(d *document) {
	for i := range d.Services {
		c.addService(&d.Services[i], fmt.Sprintf("services[%d]", i))
	}
	for i := range d.Routes {
		c.addRoute(&d.Routes[i], fmt.Sprintf("routes[%d]", i))
	}
	for i := range d.Moves {
		c.addMove(&d.Moves[i], fmt.Sprintf("moves[%d]", i))
	}
	if d.Dashboard != nil {
		c.addDashboard(d.Dashboard)
	}
	c.remove.Services = append(c.remove.Services, d.Remove.Services...)
	c.remove.Routes = append(c.remove.Routes, d.Remove.Routes...)
}

// metricNamePattern matches the metric names that Prometheus accepts. A label name must also not contain a colon.
var metricNamePattern = regexp.MustCompile(`^[a-zA-Z_:][a-zA-Z0-9_:]*$`)

func (c *collector) addDashboard(e *dashboardEntry) {
	if c.dashboard != nil {
		c.addProblem(e.line, "dashboard", "the dashboard is already set at %s:%d", c.dashboard.file, c.dashboard.line)
	}
	if e.MoveMetric != "" && !metricNamePattern.MatchString(e.MoveMetric) {
		c.addProblem(e.line, "dashboard.moveMetric", "%q is not a metric name", e.MoveMetric)
	}
	names := map[string]string{}
	for _, label := range reports.MoveLabels {
		names[label] = cmp.Or(e.Labels[label], label)
	}
	owner := map[string]string{}
	for _, label := range slices.Sorted(maps.Keys(e.Labels)) {
		if !slices.Contains(reports.MoveLabels, label) {
			c.addProblem(e.line, "dashboard.labels", "label %q is not one of %s", label, strings.Join(reports.MoveLabels, ", "))
			continue
		}
		if name := e.Labels[label]; !metricNamePattern.MatchString(name) || strings.ContainsRune(name, ':') {
			c.addProblem(e.line, "dashboard.labels."+label, "%q is not a label name", name)
		}
	}
	for _, label := range reports.MoveLabels {
		if first, ok := owner[names[label]]; ok {
			c.addProblem(e.line, "dashboard.labels", "labels %q and %q have the same name %q", first, label, names[label])
		}
		owner[names[label]] = label
	}
	c.dashboard = &located[model.Dashboard]{file: c.file, line: e.line, field: "dashboard",
		value: model.Dashboard{MoveMetric: e.MoveMetric, Labels: e.Labels}}
}

func (c *collector) addService(e *serviceEntry, field string) {
	s := model.Service{Name: model.ServiceName(e.Name), Customer: e.Customer}
	if e.Name == "" {
		c.addProblem(e.line, field+".name", "a service needs a name")
	}
	var sum model.Share
	seen := map[string]bool{}
	for i, v := range e.Versions {
		at := fmt.Sprintf("%s.versions[%d]", field, i)
		if v.Version == "" {
			c.addProblem(e.line, at+".version", "a version needs a name")
		} else if seen[v.Version] {
			c.addProblem(e.line, at+".version", "version %q is listed twice", v.Version)
		}
		seen[v.Version] = true
		share, ok := basisPoints(v.Share)
		if !ok {
			c.addProblem(e.line, at+".share", "share %v is not between 0 and 100 percent in steps of 0.01", v.Share)
		}
		sum += share
		s.Versions = append(s.Versions, model.VersionShare{Version: model.VersionName(v.Version), Share: share})
	}
	if sum != model.FullShare {
		c.addProblem(e.line, field+".versions", "the shares of service %q sum to %s instead of 100%%", e.Name, sum)
	}
	for _, name := range e.DependsOn {
		s.DependsOn = append(s.DependsOn, model.ServiceName(name))
	}
	c.services = append(c.services, located[model.Service]{c.file, e.line, field, s})
}

// basisPoints converts percent to basis points. It reports false for a value outside 0 to 100 or with more than two decimal
// places.
func basisPoints(percent float64) (model.Share, bool) {
	if !(percent >= 0 && percent <= 100) {
		return 0, false
	}
	exact := percent * 100
	rounded := math.Round(exact)
	return model.Share(rounded), math.Abs(exact-rounded) < 1e-6
}

func (c *collector) addRoute(e *routeEntry, field string) {
	r := model.Route{Name: model.RouteName(e.Name), Service: model.ServiceName(e.Service), PathPrefix: e.PathPrefix,
		Host: strings.ToLower(e.Host), Idempotent: e.Idempotent, TimeoutMS: e.TimeoutMS, MaxAttempts: e.MaxAttempts}
	if e.Name == "" {
		c.addProblem(e.line, field+".name", "a route needs a name")
	}
	r.Split = c.decodeSplit(e, field)
	if e.MaxAttempts < 0 {
		c.addProblem(e.line, field+".maxAttempts", "%d attempts are negative", e.MaxAttempts)
	}
	if !strings.HasPrefix(e.PathPrefix, "/") {
		c.addProblem(e.line, field+".pathPrefix", "path prefix %q does not start with /", e.PathPrefix)
	}
	for i, m := range e.Methods {
		if m == "" || strings.ToUpper(m) != m {
			c.addProblem(e.line, fmt.Sprintf("%s.methods[%d]", field, i), "method %q is not an upper-case HTTP method", m)
		}
	}
	r.Methods = e.Methods
	if e.TimeoutMS < 0 {
		c.addProblem(e.line, field+".timeoutMs", "timeout %d ms is negative", e.TimeoutMS)
	}
	if e.Once != nil {
		r.Once = c.decodeOnce(e, field)
	}
	c.routes = append(c.routes, located[model.Route]{c.file, e.line, field, r})
}

// decodeSplit returns the weighted services of a split, and checks that the route has either a service or a split.
func (c *collector) decodeSplit(e *routeEntry, field string) []model.ServiceWeight {
	var split []model.ServiceWeight
	total := 0
	for i, part := range e.Split {
		if part.Service == "" {
			c.addProblem(e.line, fmt.Sprintf("%s.split[%d].service", field, i), "a part needs a service")
		}
		if part.Weight < 0 {
			c.addProblem(e.line, fmt.Sprintf("%s.split[%d].weight", field, i), "weight %d is negative", part.Weight)
		}
		total += part.Weight
		split = append(split, model.ServiceWeight{Service: model.ServiceName(part.Service), Weight: part.Weight})
	}
	switch {
	case e.Service == "" && len(split) == 0:
		c.addProblem(e.line, field+".service", "a route needs a service")
	case e.Service != "" && len(split) > 0:
		c.addProblem(e.line, field+".split", "service and split exclude each other")
	case len(split) > 0 && total <= 0:
		c.addProblem(e.line, field+".split", "the weights sum to 0")
	}
	return split
}

func (c *collector) decodeOnce(e *routeEntry, field string) *model.Once {
	if e.Idempotent {
		c.addProblem(e.line, field+".idempotent", "a route with once cannot be idempotent: its requests are never repeated")
	}
	if e.Once.Window < 0 || e.Once.Window%time.Second != 0 {
		c.addProblem(e.line, field+".once.window", "window %s is not a whole number of seconds", e.Once.Window)
	}
	if len(e.Once.DigestFields) > 0 && e.Once.Window == 0 {
		c.addProblem(e.line, field+".once.window", "digestFields need a window, such as 60s")
	}
	return &model.Once{Header: e.Once.Header, DigestFields: e.Once.DigestFields,
		WindowSeconds: int(e.Once.Window / time.Second)}
}

// declaration returns the collected entries.
func (c *collector) declaration() Declaration {
	var d Declaration
	change := model.Change{}
	for _, s := range c.services {
		change.Services = append(change.Services, s.value)
	}
	for _, r := range c.routes {
		change.Routes = append(change.Routes, r.value)
	}
	for _, name := range c.remove.Services {
		change.RemoveServices = append(change.RemoveServices, model.ServiceName(name))
	}
	for _, name := range c.remove.Routes {
		change.RemoveRoutes = append(change.RemoveRoutes, model.RouteName(name))
	}
	if c.dashboard != nil {
		change.Dashboard = &c.dashboard.value
	}
	if len(change.Services)+len(change.Routes)+len(change.RemoveServices)+len(change.RemoveRoutes) > 0 ||
		change.Dashboard != nil {
		d.Change = &change
	}
	for _, i := range c.intents {
		d.Intents = append(d.Intents, i.value)
	}
	return d
}
