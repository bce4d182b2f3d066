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
