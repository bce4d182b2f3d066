package routing_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// viewWithRoutes returns a view with n routes to service "a" and one target each of the services "a" and "b".
func viewWithRoutes(n int) *model.View {
	c := &model.Configuration{Number: 1, Services: []model.Service{
		{Name: "a", Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare}}},
		{Name: "b", Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare}}},
	}}
	for i := range n {
		c.Routes = append(c.Routes, model.Route{
			Name: model.RouteName(fmt.Sprintf("r%05d", i)), Service: "a", Host: "h", PathPrefix: fmt.Sprintf("/p%d/", i),
		})
	}
	return &model.View{Configuration: c, Targets: []model.Target{
		{Daemon: "d0", Service: "a", Version: "v1", State: model.TargetReady},
		{Daemon: "d1", Service: "b", Version: "v1", State: model.TargetReady},
	}}
}

// Guards against routes, targets or services of an earlier view in a table that reuses the compiled routes of the previous
// table.
func TestNextTableFollowsItsView(t *testing.T) {
	is := is.New(t)
	view := viewWithRoutes(3)
	table := routing.NewTable(view)
	ready := func(table *routing.Table, path string) int {
		r, reason := table.Match("h", "GET", path)
		if reason != routing.Found {
			return -1
		}
		s, _ := table.SelectService(r, 0)
		if v, found := s.SelectVersion(0); found == routing.Found {
			return v.ReadyCount()
		}
		return 0
	}
	is.Equal(ready(table, "/p1/x"), 1)

	// The routes are shared, the targets are not.
	more := *view
	more.Targets = append([]model.Target{{Daemon: "d2", Service: "a", Version: "v1", State: model.TargetReady}}, view.Targets...)
	table = routing.NextTable(table, &more)
	is.Equal(ready(table, "/p1/x"), 2)

	// A configuration with as many routes, but not the same ones, replaces the compiled routes.
	moved := more
	moved.Configuration = view.Configuration.Clone()
	moved.Configuration.Routes[1].PathPrefix = "/moved/"
	table = routing.NextTable(table, &moved)
	is.Equal(ready(table, "/p1/x"), -1)
	is.Equal(ready(table, "/moved/x"), 2)

	// Routes to a removed service are removed.
	gone := moved
	configuration := *moved.Configuration
	configuration.Services = configuration.Services[1:]
	gone.Configuration = &configuration
	is.Equal(ready(routing.NextTable(table, &gone), "/moved/x"), -1)
}

// BenchmarkNextTable measures the cost of a changed target at the size of the largest configuration seen.
func BenchmarkNextTable(b *testing.B) {
	view := viewWithRoutes(1900)
	table := routing.NewTable(view)
	b.ReportAllocs()
	for b.Loop() {
		next := *view
		table = routing.NextTable(table, &next)
	}
}
