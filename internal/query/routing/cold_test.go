package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// Guards against daemons that all send their calls to a cold target because it looks idle, and against a cold target that gets no
// calls at all.
func TestColdTargetGetsAboutTheCallsThatItTolerates(t *testing.T) {
	const calls, targets, execution = 20_000, 10, 100 * time.Millisecond
	for _, tc := range []struct {
		outstanding, least, most float64
	}{
		{0.2, 0.03, 0.15}, // few calls, of which it may have its part
		{8, 0.005, 0.05},  // it tolerates 1.7 in progress, and others have 8
	} {
		t.Run(fmt.Sprint(tc.outstanding), func(t *testing.T) {
			is := is.New(t)
			view := &model.View{DataCentre: "a", Region: "r", Configuration: &model.Configuration{Services: []model.Service{
				{Name: "s", WarmupPerSecond: 17, Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare}}},
			}}}
			loads := fixedLoads{}
			for i := range targets {
				target := model.Target{
					Daemon: model.DaemonID(fmt.Sprint("d", i)), Service: "s", Version: "v1", State: model.TargetReady, Slots: 12,
					DataCentre: "a", Region: "r",
				}
				view.Targets = append(view.Targets, target)
				loads[target.Daemon] = routing.TargetLoad{
					Slots: 12, ExecutionTime: execution, MeanExecutionTime: execution, Fresh: true, Outstanding: tc.outstanding,
				}
			}
			loads["d0"] = routing.TargetLoad{Slots: 12, MeanExecutionTime: execution, Cold: true}
			version, _ := routing.NewTable(view).Service("s").SelectVersion(0)
			random, cold := rand.NewPCG(1, 2), 0
			for range calls {
				choice, ok := version.SelectByExpectedLoss(loads, random, routing.Selection{Remaining: 400 * time.Millisecond})
				is.True(ok)
				if choice.Target.Daemon == "d0" {
					cold++
					is.True(choice.ColdLimited)
				}
			}
			share := float64(cold) / calls
			t.Logf("share of the cold target: %.3f", share)
			is.True(share >= tc.least && share <= tc.most)
		})
	}
}

// Guards against calls to evacuated targets, and against shares that an evacuation changes.
func TestEvacuatedTargetsAreLeftOut(t *testing.T) {
	is := is.New(t)
	view := &model.View{DataCentre: "a", Region: "r", Configuration: &model.Configuration{Services: []model.Service{
		{Name: "s", Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare * 3 / 4}, {Version: "v2", Share: model.FullShare / 4}}},
	}, Moves: []model.Move{{ID: "m", Service: "s", From: "v1", To: "v2", Phase: model.PhaseRunning}}}}
	for i, version := range []model.VersionName{"v1", "v1", "v2"} {
		view.Targets = append(view.Targets, model.Target{
			Daemon: model.DaemonID(fmt.Sprint("d", i)), Service: "s", Version: version, State: model.TargetReady,
			DataCentre: model.DataCentre(fmt.Sprint("dc", i)), Region: "r",
		})
	}
	count := func(evacuated ...model.DataCentre) map[model.DaemonID]int {
		view.Evacuated = evacuated
		service := routing.NewTable(view).Service("s")
		random, chosen := rand.NewPCG(1, 2), map[model.DaemonID]int{}
		for i := range uint64(400) {
			version, reason := service.SelectVersion(i)
			is.Equal(reason, routing.Found)
			if choice, ok := version.SelectByExpectedLoss(fixedLoads{}, random, routing.Selection{Remaining: time.Second}); ok {
				chosen[choice.Target.Daemon]++
			}
		}
		return chosen
	}
	is.Equal(count("dc0"), map[model.DaemonID]int{"d1": 300, "d2": 100})
	is.Equal(count("dc0", "dc1"), map[model.DaemonID]int{"d2": 100}) // the new version takes over no calls of the old one
	is.Equal(count("dc0", "dc2"), map[model.DaemonID]int{"d1": 400})
	is.Equal(count("dc0", "dc1", "dc2"), map[model.DaemonID]int{})
}
