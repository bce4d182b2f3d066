package catalog_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// Guards against a daemon that restarts after its clock was set back, and whose announcements its peers take for older than those of
// its earlier process.
func TestRestartAfterTheClockWasSetBack(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	sim.nodes[3].stopped = true
	sim.incarnation = 0 // the next process gets one that is lower than that of the one before
	n := sim.start("d03", nil)
	sim.run(2 * time.Second)
	sim.report(n, model.TargetReport{Instance: "i9", Born: 9, Seq: 1, Version: "v2", State: model.TargetReady})
	sim.run(2 * time.Second)
	for _, other := range sim.nodes[:3] {
		is.Equal(other.view.Targets[3].Version, model.VersionName("v2"))
		is.Equal(other.view.Targets[3].Instance, model.InstanceID("i9"))
	}
}

// Guards against a move that waits because the clock of the daemon that began its step was ahead.
func TestStepThatBeginsInTheFutureBeginsNow(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 8)
	startMove(sim)
	runTraffic(sim, 3*time.Second, 0)
	entry := sim.store.Do(store.Call{Kind: store.KindGet, Key: store.PrefixMoves + "profiles"}).Entries[0]
	var m model.Rollout
	is.NoErr(json.Unmarshal(entry.Value, &m))
	const lead = 30 * time.Second
	m.Since = sim.now.Add(lead)
	for i := range m.Steps {
		m.Steps[i].Earliest = m.Steps[i].Earliest.Add(lead)
	}
	currentDriver(sim).stopped = true
	sim.store.Expire(store.PrefixDrivers + "profiles")
	sim.put(store.PrefixMoves+"profiles", m)
	runTraffic(sim, 20*time.Second, 0)
	is.Equal(reportedPhase(sim), string(model.PhaseDone))
}
