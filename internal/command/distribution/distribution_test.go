package distribution_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/command/distribution"
	"sniperail.example/sniperail/internal/model"
	_ "sniperail.example/sniperail/internal/testseed"
)

// drawConfiguration draws a valid configuration with a few services, routes and moves.
func drawConfiguration(t *rapid.T, number model.Number) *model.Configuration {
	c := &model.Configuration{Number: number, LastEvent: uint64(number)}
	for i := range 4 {
		if !rapid.Bool().Draw(t, "service") {
			continue
		}
		name := model.ServiceName(fmt.Sprintf("s%d", i))
		share := model.Share(rapid.IntRange(0, 10_000).Draw(t, "share"))
		c.Services = append(c.Services, model.Service{Name: name, Versions: []model.VersionShare{
			{Version: "a", Share: share}, {Version: "b", Share: model.FullShare - share},
		}})
		c.Routes = append(c.Routes, model.Route{
			Name: model.RouteName(name), Service: name, PathPrefix: "/" + string(name),
			TimeoutMS: rapid.IntRange(0, 2).Draw(t, "timeout"),
		})
		phase := rapid.SampledFrom([]model.Phase{model.PhaseRunning, model.PhaseDone}).Draw(t, "phase")
		c.Moves = append(c.Moves, model.Move{ID: model.PlanID(name), Service: name, From: "a", To: "b", Phase: phase})
	}
	return c
}

// Guards against a delta that loses a change, and against a delta that is applied to a configuration other than its base.
func TestDeltaEqualsSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := distribution.Strip(drawConfiguration(t, 1)), distribution.Strip(drawConfiguration(t, 2))
		other := distribution.Strip(drawConfiguration(t, 3))
		d := distribution.Diff(base, next)
		got, ok := distribution.Patch(base, d)
		if !ok {
			t.Fatal("delta not applied to its base")
		}
		if diff := cmp.Diff(next, got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
		if _, ok := distribution.Patch(other, d); ok {
			t.Fatal("delta applied to another base")
		}
	})
}

// Guards against applying a delta whose content differs from the one that its checksum was computed for.
func TestChecksumRejectsOtherContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := distribution.Strip(drawConfiguration(t, 1)), distribution.Strip(drawConfiguration(t, 2))
		d := distribution.Diff(base, next)
		d.Withdrawn = append(d.Withdrawn, model.VersionRef{Service: "s0", Version: "a"})
		if _, ok := distribution.Patch(base, d); ok {
			t.Fatal("altered delta applied")
		}
	})
}
