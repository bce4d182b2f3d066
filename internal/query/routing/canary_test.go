package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// fixedLoads is the load of each target, by daemon.
type fixedLoads map[model.DaemonID]routing.TargetLoad

func (l fixedLoads) Load(t *model.Target) routing.TargetLoad { return l[t.Daemon] }

// countCanaryCalls selects a target for 1,600 calls of a new version with four targets, of which one in another data centre is
// the canary, and counts the calls of each target.
func countCanaryCalls(t *testing.T, canaries []model.DaemonID, canaryOutstanding float64) map[model.DaemonID]int {
	const service, slots = model.ServiceName("s"), 9
	view := &model.View{
		DataCentre: "a", Region: "r", Canaries: map[model.ServiceName][]model.DaemonID{service: canaries},
		Configuration: &model.Configuration{
			Services: []model.Service{{Name: service, Versions: []model.VersionShare{{Version: "v2", Share: model.FullShare}}}},
			Moves:    []model.Move{{ID: "m", Service: service, From: "v1", To: "v2", Phase: model.PhaseRunning}},
		},
	}
	loads := fixedLoads{}
	for _, daemon := range []model.DaemonID{"d1", "d2", "d3", "d4"} {
		target := model.Target{
			Daemon: daemon, Service: service, Version: "v2", State: model.TargetReady, Slots: slots, DataCentre: "a", Region: "r",
		}
		load := routing.TargetLoad{Slots: slots, ExecutionTime: 100 * time.Millisecond, MeanExecutionTime: 100 * time.Millisecond, Fresh: true}
		if daemon == "d4" {
			target.DataCentre, load.Outstanding = "b", canaryOutstanding
		}
		view.Targets = append(view.Targets, target)
		loads[daemon] = load
	}
	version, reason := routing.NewTable(view).Service(service).SelectVersion(0)
	is.New(t).Equal(reason, routing.Found)
	random, calls := rand.NewPCG(1, 2), map[model.DaemonID]int{}
	for range 1600 {
		choice, ok := version.SelectByExpectedLoss(loads, random, routing.Selection{Remaining: 400 * time.Millisecond})
		is.New(t).True(ok)
		calls[choice.Target.Daemon]++
	}
	return calls
}

// Guards against a new version whose calls are spread over all its targets, so that none of them works under load.
func TestCanaryReceivesNearlyAllCallsOfTheVersion(t *testing.T) {
	is := is.New(t)
	calls := countCanaryCalls(t, []model.DaemonID{"d4"}, 4)
	is.True(calls["d4"] > 1400)
	for _, other := range []model.DaemonID{"d1", "d2", "d3"} {
		is.True(calls[other] > 10) // a fault of any target must show
	}
}

// Guards against calls that wait at a canary until they are late, while other targets of the version are idle.
func TestOverloadedCanaryIsRelieved(t *testing.T) {
	is.New(t).True(countCanaryCalls(t, []model.DaemonID{"d4"}, 60)["d4"] == 0)
}

// Guards against a version without calls because its canary has gone.
func TestVersionWithoutItsCanaryUsesItsOtherTargets(t *testing.T) {
	is := is.New(t)
	calls := countCanaryCalls(t, []model.DaemonID{"gone"}, 0)
	for _, other := range []model.DaemonID{"d1", "d2", "d3"} {
		is.True(calls[other] > 300)
	}
}
