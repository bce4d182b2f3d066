package catalog_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

func (operatorCodec) EvacuatedDataCentre(key string) (model.DataCentre, bool) {
	name, ok := strings.CutPrefix(key, "op/evacuate/")
	return model.DataCentre(name), ok
}
func (operatorCodec) KeyEvacuation(dc model.DataCentre) string { return "op/evacuate/" + string(dc) }

// evacuationBound is the time in which a new or removed evacuation must be in force on every daemon.
const evacuationBound = 5 * time.Second

func (sim *simulation) endEvacuation(dc string) {
	sim.store.Do(store.Call{Kind: store.KindTxn, Txn: store.Txn{Deletes: []string{"op/evacuate/" + dc}}})
}

// countEvacuated counts the running nodes that know a data centre as evacuated.
func (sim *simulation) countEvacuated(dc model.DataCentre) (known, running int) {
	for _, n := range sim.nodes {
		if n.stopped {
			continue
		}
		running++
		if n.view.IsEvacuated(dc) {
			known++
		}
	}
	return known, running
}

// Guards against an evacuation that daemons learn of late, or whose end they miss, because the watchers are dead or their watches
// show nothing, and against one that an outage of the store ends.
func TestEvacuationsReachAllDaemonsWithoutWatches(t *testing.T) {
	for name, fail := range map[string]func(*node){
		"dead watchers":  func(n *node) { n.stopped = n.stopped || len(n.watches) > 0 },
		"silent watches": func(n *node) { n.watchesSilent = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 9)
			sim.startTargets("v1")
			for _, n := range sim.nodes {
				fail(n)
			}
			for range 3 {
				sim.put("op/evacuate/dc3", "any")
				sim.run(evacuationBound)
				known, running := sim.countEvacuated("dc3")
				is.Equal(known, running)
				sim.setPlatformOutage(true)
				sim.run(10 * time.Second)
				known, running = sim.countEvacuated("dc3")
				is.Equal(known, running)
				sim.setPlatformOutage(false)
				sim.run(evacuationBound)
				sim.endEvacuation("dc3")
				sim.run(evacuationBound)
				known, _ = sim.countEvacuated("dc3")
				is.Equal(known, 0)
			}
		})
	}
}

// Guards against a version that gets all calls without evidence, or is withdrawn, because its targets are evacuated, and against an
// old version whose share the new one gets for that reason.
func TestMoveWaitsWhileItsTargetsAreEvacuated(t *testing.T) {
	for name, dcs := range map[string][]string{
		"new version": {"dc4", "dc5", "dc6", "dc7"}, "both versions": {"dc0", "dc1", "dc2", "dc3", "dc4", "dc5", "dc6", "dc7"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 8)
			startMove(sim)
			runTraffic(sim, 2*time.Second, 0)
			for _, dc := range dcs {
				sim.put("op/evacuate/"+dc, "any")
			}
			runTraffic(sim, time.Second, 0)
			before := storedMove(t, sim)
			is.Equal(before.Phase, model.PhaseRunning)
			runTraffic(sim, 20*time.Second, 0)
			after := storedMove(t, sim)
			is.Equal(after.Phase, model.PhaseRunning)
			is.Equal(after.Step, before.Step)
			is.True(shareOf(sim.nodes[0].view, "v1") > model.FullShare/2)
			for _, dc := range dcs {
				sim.endEvacuation(dc)
			}
			runTraffic(sim, 20*time.Second, 0)
			is.Equal(reportedPhase(sim), string(model.PhaseDone))
		})
	}
}

// Guards against a new version that gets all calls although its move has just begun, because the targets of the old one are evacuated.
func TestEvacuatedOldVersionKeepsItsShare(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 8)
	startMove(sim)
	for _, dc := range []string{"dc0", "dc1", "dc2", "dc3"} {
		sim.put("op/evacuate/"+dc, "any")
	}
	sim.run(time.Second)
	is.True(shareOf(sim.nodes[7].view, "v1") > model.FullShare/2)
	is.True(shareOf(sim.nodes[7].view, "v2") < model.FullShare/2)
}

// Guards against calls to evacuated targets because a restored store has lost the evacuation.
func TestEvacuationOutlivesARestoreThatLostIt(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 5)
	sim.era = 1
	sim.startTargets("v1")
	copied := sim.copyStore()
	sim.put("op/evacuate/dc3", "any")
	sim.run(evacuationBound)
	sim.restore(copied)
	sim.run(5 * time.Second)
	known, running := sim.countEvacuated("dc3")
	is.Equal(known, running)
	sim.run(10 * time.Second) // nobody has written it again
	known, _ = sim.countEvacuated("dc3")
	is.Equal(known, 0)
}

// Guards against a health check of an evacuated target by a daemon that has just restarted.
func TestEvacuatedTargetGetsNoHealthCheck(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.startTargets("v1")
	sim.put("op/evacuate/dc0", "any")
	sim.run(evacuationBound)
	sim.nodes[0].stopped = true
	n := sim.start("d00", nil)
	n.healthyInstance = "i0"
	sim.handle(n, effect.Wake{})
	sim.run(4 * time.Second)
	is.True(n.view.Ready) // it serves its own callers
	is.Equal(n.view.Local.State, model.TargetStarting)
	sim.endEvacuation("dc0")
	sim.run(evacuationBound)
	is.Equal(n.view.Local.State, model.TargetReady)
}
