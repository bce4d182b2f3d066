// Package explanation says where a request would go and why, by the code that decides for requests. It changes no state: the
// routing table, the loads of the targets and the random source are arguments.
package explanation

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// Reasons for which a request is refused, besides those of package routing. They equal the reasons that callers get.
const (
	NotReady         routing.Reason = "not-ready"
	KeyUnknown       routing.Reason = "api-key-unknown"
	Unconfirmed      routing.Reason = "configuration-unconfirmed"
	DeadlineTooShort routing.Reason = "deadline-too-short"
)

// Request describes the request to explain.
type Request struct {
	// Host has the form in which routes name hosts: lower case, without a port.
	Host, Method, Path string
	// Authorization holds the values of the Authorization header.
	Authorization []string
}

// Confirmation says whether the configuration is confirmed, see package confirmation.
type Confirmation struct {
	// Required says that requests with an API key are refused without a confirmation.
	Required bool
	// Serves says that the confirmation, if one is required, is recent enough for API keys.
	Serves bool
	// Known says that there is a confirmation; Age is its age.
	Known bool
	Age   time.Duration
}

// Load is the load of a target, with the calls of its latest report.
type Load struct {
	routing.TargetLoad
	// Running and Queued are those of the report, as old as ReportAge.
	Running, Queued int
}

// Loads holds the load of each target at one moment. It implements routing.LoadProvider.
type Loads map[model.DaemonID]Load

// Load returns the load of a target.
func (l Loads) Load(t *model.Target) routing.TargetLoad { return l[t.Daemon].TargetLoad }

// Snapshot is what a daemon knows at one moment.
type Snapshot struct {
	// Table must be read after Confirmation.
	Table        *routing.Table
	Confirmation Confirmation
	// Loads returns the loads for requests on a route. It is called at most once.
	Loads func(route model.RouteName) Loads
	// IsBrief reports whether a call may be served before those that wait at its target.
	IsBrief func(executionTime, mean time.Duration) bool
}

// Explanation says where a request would go.
type Explanation struct {
	// Reason says why the request is refused; empty if it may be sent. Without a valid key, all other fields are empty except
	// Public, which then says that the request is served without a tenant.
	Reason routing.Reason
	Public bool
	// Detailed says that the fields below are set.
	Detailed     bool
	Number       model.Number
	Confirmation Confirmation
	Route        *routing.Route
	// Tenant is nil if the configuration has no tenants.
	Tenant     *model.Tenant
	Priority   int
	Shares     []Share
	Candidates []Candidate
	// Refusals are the reasons for which a part of the draws found no target.
	Refusals []Refusal
}

// Share is the fraction of a route's requests that a service receives, and of the service's requests that a version receives.
type Share struct {
	Service      model.ServiceName
	ServiceShare float64
	Version      model.VersionName
	VersionShare float64
}

// Refusal is a reason and the fraction of the draws that were refused for it.
type Refusal struct {
	Reason routing.Reason
	Chance float64
}

// Explain explains a request. Only the holder of a valid key learns more than the outcome, if the configuration has tenants.
func Explain(s Snapshot, r Request, random routing.RandomSource) Explanation {
	table := s.Table
	if table.View == nil || !table.View.Ready {
		return Explanation{Reason: NotReady}
	}
	route, reason := table.Match(r.Host, r.Method, r.Path)
	if reason != routing.Found {
		return Explanation{Reason: reason}
	}
	var tenant *model.Tenant
	if table.RequiresKeys() {
		var ok bool
		tenant, ok = table.Authenticate(route, r.Authorization)
		switch {
		case !s.Confirmation.Serves && !route.Public:
			return Explanation{Reason: Unconfirmed}
		case !ok:
			return Explanation{Reason: KeyUnknown}
		case !s.Confirmation.Serves || tenant == nil:
			return Explanation{Public: true}
		}
	}
	e := Explanation{
		Public: route.Public, Detailed: true, Number: table.View.Configuration.Number, Confirmation: s.Confirmation,
		Route: route, Tenant: tenant, Priority: route.Priority, Shares: shares(table, route),
	}
	if tenant != nil && tenant.Priority != nil {
		e.Priority = *tenant.Priority
	}
	loads := s.Loads(route.Name)
	d := draw(table, route, loads, s.IsBrief, random)
	e.Candidates, e.Refusals = candidates(table, route, loads, d), d.refusals()
	if len(e.Refusals) == 1 && len(d.chosen) == 0 {
		e.Reason = e.Refusals[0].Reason
	}
	return e
}

// shares returns the shares of the services of a route and of their versions.
func shares(table *routing.Table, route *routing.Route) []Share {
	var out []Share
	parts, total := route.Services(), 0
	for _, part := range parts {
		total += max(part.Weight, 0)
	}
	for _, part := range parts {
		service := table.Service(part.Service)
		for _, version := range versionNames(table, service) {
			weight, sum := service.Share(version)
			out = append(out, Share{
				Service: part.Service, ServiceShare: fraction(max(part.Weight, 0), total),
				Version: version, VersionShare: fraction(weight, sum),
			})
		}
	}
	return out
}

// versionNames returns the versions of a service that the configuration names, and one that takes over because they are withheld.
func versionNames(table *routing.Table, service *routing.Service) []model.VersionName {
	var names []model.VersionName
	for _, v := range table.View.Configuration.Service(service.Name).Versions {
		names = append(names, v.Version)
	}
	for _, v := range service.Versions() {
		if !slices.Contains(names, v.Version) {
			names = append(names, v.Version)
		}
	}
	return names
}

func fraction[N int | uint64](part, total N) float64 { return float64(part) / float64(max(total, 1)) }
