package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// Guards against a change that no running daemon reads, because all daemons that read the platform for the others have failed
// or have just restarted.
func TestChangesAreReadWhileMostDaemonsAreLost(t *testing.T) {
	for _, tc := range []struct {
		name string
		// restartAfter is the time until the lost daemons start again; 0 means that they stay away.
		restartAfter time.Duration
	}{
		{"restarted", 600 * time.Millisecond},
		{"away", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(40) {
				random := rand.New(rand.NewPCG(seed, 1))
				sim := newSimulation(t, 13)
				sim.startTargets("v1")
				sim.run(time.Duration(random.IntN(9000)) * time.Millisecond)
				survivors := sim.loseDaemons(random, 0.75)
				if tc.restartAfter > 0 {
					sim.run(tc.restartAfter)
					sim.restartStopped()
				}
				sim.run(time.Duration(100+random.IntN(1000)) * time.Millisecond)
				sim.configure(2, "/a/", "/b/")
				sim.run(applyBound)
				for _, n := range survivors {
					if got := n.view.Configuration.Number; got != 2 {
						t.Errorf("seed %d: %s still has configuration %d %s after the change", seed, n.address, got, applyBound)
					}
				}
			}
		})
	}
}

// loseDaemons stops each daemon with the given probability, and at least one of them is left running. It returns the
// daemons that run.
func (sim *simulation) loseDaemons(random *rand.Rand, probability float64) []*node {
	spared := random.IntN(len(sim.nodes))
	var running []*node
	for i, n := range sim.nodes {
		if n.stopped = i != spared && random.Float64() < probability; !n.stopped {
			running = append(running, n)
		}
	}
	return running
}

// restartStopped starts all stopped daemons again.
func (sim *simulation) restartStopped() {
	for i, n := range sim.nodes {
		if n.stopped {
			sim.start(fmt.Sprintf("d%02d", i), []string{"d00:1", "d01:1"})
		}
	}
}

// Guards against a daemon that missed a change and that the platform refuses, and that its peers do not help although they
// have told it that it is behind.
func TestMissedChangeIsLearnedFromPeers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		changes int
		// peersRestart says that the peers restart after the changes, and so keep no deltas.
		peersRestart bool
	}{
		{"few changes", 5, false},
		{"more changes than peers keep", 40, false},
		{"restarted peers", 3, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for paused := range 9 {
				sim := newSimulation(t, 9)
				sim.startTargets("v1")
				n := sim.nodes[paused]
				n.stopped = true
				number := model.Number(1)
				for i := range tc.changes {
					number++
					sim.configure(number, "/a/", fmt.Sprintf("/r%d/", i))
					sim.run(300 * time.Millisecond)
				}
				if tc.peersRestart {
					sim.restartPeersOf(paused)
				}
				n.stopped, n.platformUnreachable = false, true
				sim.run(contactBound)
				if got := n.view.Configuration.Number; got != number {
					t.Errorf("%s has configuration %d of %d after it was connected to its peers for %s", n.address, got, number, contactBound)
				}
			}
		})
	}
}

// contactBound is the time in contact with its peers after which a daemon must have the configuration in force.
const contactBound = 3 * time.Second

// Guards against a daemon that learns of no change because its connections have gone silent, and that finds this out one
// connection at a time.
func TestChangeAfterConnectionsWentSilent(t *testing.T) {
	for silenced := range 13 {
		sim := newSimulation(t, 13)
		sim.startTargets("v1")
		n := sim.nodes[silenced]
		sim.silenceConnections(n)
		n.watchesSilent = true
		sim.run(100 * time.Millisecond)
		sim.configure(2, "/a/", "/b/")
		sim.run(contactBound)
		if got := n.view.Configuration.Number; got != 2 {
			t.Errorf("%s has configuration %d, %s after its connections went silent", n.address, got, contactBound)
		}
	}
}

// Guards against daemons that start together for the first time and all watch the platform, because each knows only a few
// others.
func TestFirstStartHasFewWatchers(t *testing.T) {
	sim := newSimulation(t, 30)
	sim.configure(1, "/a/")
	most := 0
	for i := range 300 {
		if i < len(sim.nodes) {
			sim.startTarget(i, "v1")
		}
		sim.run(20 * time.Millisecond)
		watching := 0
		for _, n := range sim.nodes {
			watching += len(n.watches)
		}
		most = max(most, watching)
	}
	if most > 5 {
		t.Errorf("%d of 30 daemons watched at the same time", most)
	}
}

// Guards against a removed intent that stays in force because the comparison of a freshness check returns only present keys.
func TestRemovedIntentIsForgotten(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.startTargets("v1")
	for _, n := range sim.nodes {
		n.watchesSilent = true
	}
	sim.put("op/intent/profiles", model.Intent{Service: "profiles", To: "v2"})
	sim.run(applyBound)
	wantVersions := func(want int) {
		for _, n := range sim.nodes {
			if got := len(n.view.Configuration.Services[0].Versions); got != want {
				t.Errorf("%s: %d versions, want %d", n.address, got, want)
			}
		}
	}
	wantVersions(2)
	sim.store.Do(store.Call{Kind: store.KindTxn, Txn: store.Txn{Deletes: []string{"op/intent/profiles"}}})
	sim.run(applyBound)
	wantVersions(1)
}

// restartPeersOf restarts all daemons but one, one after the other.
func (sim *simulation) restartPeersOf(kept int) {
	for i := range sim.nodes {
		if i != kept {
			sim.start(fmt.Sprintf("d%02d", i), []string{"d00:1"})
			sim.run(300 * time.Millisecond)
		}
	}
	sim.run(contactBound)
}
