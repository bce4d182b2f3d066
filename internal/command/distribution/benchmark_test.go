package distribution_test

import (
	"fmt"
	"testing"

	"sniperail.example/sniperail/internal/command/distribution"
	"sniperail.example/sniperail/internal/model"
)

// BenchmarkPatch measures the cost of a delta that changes one of 1,900 routes, the size of the largest known configuration.
func BenchmarkPatch(b *testing.B) {
	base := &model.Configuration{Number: 1, Services: []model.Service{{Name: "a"}}}
	for i := range 1900 {
		base.Routes = append(base.Routes, model.Route{Name: model.RouteName(fmt.Sprintf("r%05d", i)), Service: "a", PathPrefix: "/p/"})
	}
	next := base.Clone()
	next.Number, next.Routes[900].TimeoutMS = 2, 900
	delta := distribution.Diff(base, next)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := distribution.Patch(base, delta); !ok {
			b.Fatal("the delta does not fit")
		}
	}
}
