package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// Guards against daemons that each pass every announcement on by itself, and that all watch or check because they believe to
// be alone, when many of them start together for the first time and their targets report one after the other.
func TestFirstStartOfManyDaemonsIsCheap(t *testing.T) {
	is := is.New(t)
	const daemons = 90
	sim := newSimulation(t, daemons)
	for i := range sim.nodes {
		sim.startTarget(i, "v1")
		sim.run(20 * time.Millisecond)
		if i == daemons/2 {
			sim.configure(1, "/a/")
		}
	}
	sim.run(8 * time.Second)
	mostSpreads, checksAndLists := 0, 0
	for _, n := range sim.nodes {
		mostSpreads = max(mostSpreads, n.spreadsSent)
		checksAndLists += n.storeCalls["verify"]
		is.Equal(len(n.view.Targets), daemons)
		is.Equal(n.view.Configuration.Number, model.Number(1))
	}
	t.Logf("messages of the busiest daemon %d, checks and lists %d", mostSpreads, checksAndLists)
	is.True(mostSpreads <= 2*daemons)
	is.True(checksAndLists <= 2*daemons)
}

// Guards against lists that find nothing and are repeated when all daemons start for the first time, and against a daemon that is
// not ready, or does not know the others, when the traffic begins.
func TestFirstStartListsOnce(t *testing.T) {
	is := is.New(t)
	const daemons = 40
	sim := startSimulation(t, daemons, true)
	for i := range sim.nodes {
		sim.startTarget(i, "v1")
		sim.run(40 * time.Millisecond)
	}
	sim.configure(1, "/a/")
	sim.run(6 * time.Second)
	lists, calls := 0, 0
	for _, n := range sim.nodes {
		is.Equal(len(n.view.Targets), daemons)
		is.True(n.view.Ready)
		lists += n.listCalls
		for _, count := range n.storeCalls {
			calls += count
		}
	}
	t.Logf("lists %d, calls %d", lists, calls)
	is.True(lists <= 2*daemons+5)
	is.True(calls <= 5*daemons)
}

// Guards against daemons that gossip misses although no message is lost. They would learn of a change only by anti-entropy, and
// each would make a freshness check of its own.
func TestGossipReachesEveryDaemon(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 100)
	sim.startTargets("v1")
	for i := range 20 {
		sim.report(sim.nodes[i], model.TargetReport{
			Instance: model.InstanceID(fmt.Sprint("i", i)), Born: 1, Seq: 5, Version: "v1", State: model.TargetDraining,
		})
		sim.run(120 * time.Millisecond)
		missed := 0
		for _, n := range sim.nodes {
			if n.view.Targets[i].State != model.TargetDraining {
				missed++
			}
		}
		is.Equal(missed, 0)
	}
	checks := 0
	for _, n := range sim.nodes {
		checks -= n.storeCalls["verify"]
	}
	sim.run(14 * time.Second)
	for _, n := range sim.nodes {
		checks += n.storeCalls["verify"]
	}
	t.Logf("checks and lists of 14 s: %d", checks)
	is.True(checks <= 40) // 20 checks, and the lists that follow some of them
}

// Guards against a target that is in use again because its removal was forgotten: when many targets have been removed, a late
// copy of one that left recently must still be refused.
func TestLateCopyOfRemovedTargetIsRefused(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.startTargets("v1")
	n := sim.nodes[0]
	key := func(i int) string { return fmt.Sprint(store.PrefixTargets, "gone", i) }
	spread := func(c message.Change) {
		sim.handle(n, effect.RequestReceived{Token: 1, Body: &message.Spread{Changes: []message.Change{c}}})
	}
	const removed = 2100
	for i := range removed {
		spread(message.Change{Entry: store.Entry{Key: key(i), ModRevision: int64(1000 + i)}, Removed: true})
	}
	for i := removed - 200; i < removed; i++ {
		target, err := document.JSON{}.EncodeTarget(&model.TargetRecord{Target: model.Target{
			Daemon: model.DaemonID(fmt.Sprint("gone", i)), Incarnation: 1, Service: "profiles", Version: "v1", State: model.TargetReady,
			Address: "gone:2", PeerAddress: "gone:1",
		}})
		is.NoErr(err)
		spread(message.Change{Entry: store.Entry{Key: key(i), ModRevision: int64(900 + i), Value: target}})
	}
	is.Equal(len(n.view.Targets), 2)
}
