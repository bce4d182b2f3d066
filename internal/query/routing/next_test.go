package routing_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// manyRoutes returns a view of n routes to service "a" with targets of both services.
func manyRoutes(n int) *model.View {
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

// Guards against routes of an earlier configuration, targets or services in a table that took over compiled routes.
func TestNextTableFollowsItsView(t *testing.T) {
	is := is.New(t)
	view := manyRoutes(3)
	table := routing.NewTable(view)
	ready := func(table *routing.Table, path string) int {
		r, reason := table.Match("h", "GET", path)
		if reason != routing.Found {
			return -1
		}
		s, _ := table.SelectService(r, 0)
		if v, found := s.SelectVersion(0); found == routing.Found {
			return v.Ready()
		}
		return 0
	}
	is.Equal(ready(table, "/p1/x"), 1)

	// The routes are shared, the targets are not.
	more := *view
	more.Targets = append([]model.Target{{Daemon: "d2", Service: "a", Version: "v1", State: model.TargetReady}}, view.Targets...)
	table = routing.NextTable(table, &more)
	is.Equal(ready(table, "/p1/x"), 2)

	// Another configuration brings other routes, also with as many of them.
	moved := more
	moved.Configuration = view.Configuration.Clone()
	moved.Configuration.Routes[1].PathPrefix = "/moved/"
	table = routing.NextTable(table, &moved)
	is.Equal(ready(table, "/p1/x"), -1)
	is.Equal(ready(table, "/moved/x"), 2)

	// A service that is gone takes its routes along.
	gone := moved
	configuration := *moved.Configuration
	configuration.Services = configuration.Services[1:]
	gone.Configuration = &configuration
	is.Equal(ready(routing.NextTable(table, &gone), "/moved/x"), -1)
}

// BenchmarkNextTable measures the cost of a changed target with the size of the largest configuration seen.
func BenchmarkNextTable(b *testing.B) {
	view := manyRoutes(1900)
	table := routing.NewTable(view)
	b.ReportAllocs()
	for b.Loop() {
		next := *view
		table = routing.NextTable(table, &next)
	}
}
