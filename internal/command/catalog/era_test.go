package catalog_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

const (
	// rewriteDelay is the time after a restore at which the operator writes again what was lost.
	rewriteDelay = 300 * time.Millisecond
	// restoredBound is the time after a restore within which the daemons have written again what they know.
	restoredBound = 4 * time.Second
)

// loseRevisions writes other keys of the operator, so that a restore gives many revisions out again.
func loseRevisions(sim *simulation) {
	for i := range 100 {
		sim.put("op/other", i)
	}
}

// restoreAndRewrite restores a copy of the store; the operator writes again what was lost.
func restoreAndRewrite(sim *simulation, c storeCopy) {
	lost := sim.restore(c)
	runTraffic(sim, rewriteDelay, 0)
	sim.rewrite(lost)
}

// announcements returns the number of targets that the store announces in a state.
func announcements(t failer, sim *simulation, state model.TargetState) int {
	count := 0
	for _, e := range sim.store.Do(store.Call{Kind: store.KindList, Key: store.PrefixTargets}).Entries {
		if decodeTarget(t, e.Value).State == state {
			count++
		}
	}
	return count
}

// allList reports whether all running nodes know the given number of targets.
func allList(sim *simulation, targets int) bool {
	return !slices.ContainsFunc(sim.nodes, func(n *node) bool { return !n.stopped && len(n.view.Targets) != targets })
}

// Guards against a configuration that falls back or is no longer followed, and against targets that disappear, after the store has come
// back from an older copy and given revisions out again.
func TestRestoredStore(t *testing.T) {
	for name, beforeStart := range map[string]bool{"copied while all serve": false, "copied before any target was announced": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newNamedSimulation(t, 8)
			older := sim.copyStore()
			sim.startTargets("v1")
			if !beforeStart {
				older = sim.copyStore()
			}
			loseRevisions(sim)
			sim.configure(2, "/a/", "/b/")
			sim.run(3 * time.Second)
			restoreAndRewrite(sim, older)
			sim.run(restoredBound)
			is.Equal(announcements(t, sim, model.TargetReady), 8)
			is.Equal(sim.configurationNumbers(), map[model.Number]int{2: 8})
			sim.configure(3, "/a/")
			sim.run(applyBound)
			is.Equal(sim.configurationNumbers(), map[model.Number]int{3: 8})
			is.True(allList(sim, 8))
		})
	}
}

// Guards against a target that was acknowledged as leaving and is in service again, because the store has lost that and its daemon was
// killed before it wrote it again: before any other daemon has noticed the restore, or while they learn of it.
func TestLeavingSurvivesARestoreAndTheDeathOfItsDaemon(t *testing.T) {
	departures := map[string][]model.TargetReport{
		"draining":           {reportOf("i2", 1, 5, model.TargetDraining)},
		"gone":               {reportOf("i2", 1, 5, model.TargetGone)},
		"gone, and replaced": {reportOf("i2", 1, 5, model.TargetGone), reportOf("i3", 9, 1, model.TargetReady)},
	}
	for name, reports := range departures {
		for _, killedAfter := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprint(name, "/", killedAfter), func(t *testing.T) {
				is := is.New(t)
				sim := newNamedSimulation(t, 4)
				sim.startTargets("v1")
				older := sim.copyStore()
				loseRevisions(sim)
				for _, r := range reports {
					sim.report(sim.nodes[2], r)
				}
				sim.run(time.Second)
				sim.restore(older)
				sim.run(killedAfter)
				n := sim.start("d02", []string{"d00:1"})
				sim.report(n, model.TargetReport{Instance: "i2", Born: 1, Seq: 4, Version: "v1", State: model.TargetReady})
				for range 500 {
					sim.run(20 * time.Millisecond)
					is.True(n.view == nil || n.view.Local.State != model.TargetReady || n.view.Local.Instance != "i2")
					for _, other := range sim.nodes[:2] {
						is.True(!listsReady(other, "d02", "i2"))
					}
				}
			})
		}
	}
}

// Guards against a target that is lost for good and gets calls again, because an older copy of the store announces it.
func TestLostTargetDoesNotReturnWithAnOlderCopy(t *testing.T) {
	is := is.New(t)
	sim := newNamedSimulation(t, 4)
	sim.startTargets("v1")
	sim.nodes[3].stopped = true
	sim.run(20 * time.Second)
	older := sim.copyStore()
	for stateOf(sim.nodes[0], "d03") != model.TargetGone {
		sim.run(time.Second)
	}
	sim.restore(older)
	for range 60 {
		sim.run(200 * time.Millisecond)
		is.True(allList(sim, 3))
	}
}

// Guards against a live target that is left out for good because it had left the roster before the restore.
func TestTargetThatWasCutOffReturnsAfterARestore(t *testing.T) {
	is := is.New(t)
	sim := newNamedSimulation(t, 4)
	sim.startTargets("v1")
	older := sim.copyStore()
	sim.nodes[3].platformUnreachable, sim.nodes[3].peersUnreachable = true, true
	sim.run(40 * time.Second)
	is.Equal(len(sim.nodes[0].view.Targets), 3)
	sim.nodes[3].platformUnreachable, sim.nodes[3].peersUnreachable = false, false
	sim.restore(older)
	sim.run(restoredBound)
	is.True(allList(sim, 4))
}

// Guards against responses that were sent before a restore, or to calls with revisions and leases from before it, and that are taken for
// answers of the restored store. Lists of the old content would undo what the daemon has learned since.
func TestResponsesOfAnEarlierEraChangeNothing(t *testing.T) {
	is := is.New(t)
	sim := newNamedSimulation(t, 6)
	sim.startTargets("v1")
	older := sim.copyStore()
	loseRevisions(sim)
	for _, n := range sim.nodes {
		n.responseDelay = 900 * time.Millisecond
	}
	sim.configure(2, "/a/")
	sim.run(2 * time.Second)
	restoreAndRewrite(sim, older)
	sim.run(3 * time.Second)
	for _, n := range sim.nodes {
		n.responseDelay = 0
	}
	sim.run(restoredBound)
	sim.configure(3, "/a/")
	sim.run(applyBound)
	is.Equal(sim.configurationNumbers(), map[model.Number]int{3: 6})
	is.Equal(announcements(t, sim, model.TargetReady), 6)
	for _, n := range sim.nodes {
		is.Equal(restores(n), 1)
	}
}

func restores(n *node) int {
	count := 0
	for _, l := range n.logs {
		if l.Event == "store-restored" {
			count++
		}
	}
	return count
}

// Guards against a store whose era goes down or is no number: it must count as a restore, once.
func TestUnexpectedEraCountsAsARestore(t *testing.T) {
	is := is.New(t)
	sim := newNamedSimulation(t, 4)
	sim.startTargets("v1")
	sim.era = 7
	sim.run(3 * time.Second)
	older := sim.copyStore()
	loseRevisions(sim)
	sim.configure(2, "/a/")
	sim.run(2 * time.Second)
	sim.era = 3
	restoreAndRewrite(sim, older)
	sim.run(restoredBound)
	sim.configure(3, "/a/")
	sim.run(applyBound)
	is.Equal(sim.configurationNumbers(), map[model.Number]int{3: 4})
	for _, n := range sim.nodes {
		is.Equal(restores(n), 2)
	}
}

// Guards against a store that counts its eras from 0 and whose first restore is not noticed, or takes several.
func TestErasMayBeCountedFromZero(t *testing.T) {
	is := is.New(t)
	sim := newNamedSimulation(t, 4)
	sim.era = 0
	sim.zeroBased = true
	sim.startTargets("v1")
	older := sim.copyStore()
	loseRevisions(sim)
	sim.run(time.Second)
	restoreAndRewrite(sim, older)
	sim.restartNode(3, "v1")
	sim.run(restoredBound)
	sim.configure(2, "/a/")
	sim.run(applyBound)
	is.Equal(sim.configurationNumbers(), map[model.Number]int{2: 4})
	for _, n := range sim.nodes[:3] {
		is.Equal(restores(n), 1)
	}
	is.Equal(restores(sim.nodes[3]), 0)
}

// Guards against a restore that costs more calls than a cold start of all daemons, or that all daemons answer at the same time.
func TestRestoreCostsLessThanAColdStart(t *testing.T) {
	is := is.New(t)
	const daemons = 300
	sim := newNamedSimulation(t, daemons)
	older := sim.copyStore()
	sim.configure(1, "/a/")
	for i := range sim.nodes {
		sim.startTarget(i, "v1")
	}
	total := func() (calls int) {
		for _, n := range sim.nodes {
			for _, count := range n.storeCalls {
				calls += count
			}
		}
		return calls
	}
	sim.run(5 * time.Second)
	cold := total()
	sim.run(5 * time.Second)
	before := total()
	sim.run(5 * time.Second)
	idle := total() - before
	for name, c := range map[string]storeCopy{"all announcements are lost": older, "few writes are lost": sim.copyStore()} {
		sim.configure(sim.nodes[0].highestNumber+1, "/a/")
		sim.run(2 * time.Second)
		before = total()
		restoreAndRewrite(sim, c)
		busiest := 0
		for range 25 {
			last := total()
			sim.run(200 * time.Millisecond)
			busiest = max(busiest, total()-last)
		}
		calls := total() - before
		t.Logf("calls of %d daemons in 5 s: cold start %d, idle %d, restore (%s) %d, at most %d in 0.2 s", daemons, cold, idle, name, calls, busiest)
		is.True(calls <= cold)
		is.True(busiest <= calls/2)
		is.Equal(announcements(t, sim, model.TargetReady), daemons)
		is.Equal(len(sim.configurationNumbers()), 1)
	}
}

// Guards against a daemon that asks a peer for the keys of a new era without a pause, while that peer has just started and has none.
func TestPeerWithoutKeysIsNotAskedAgainAtOnce(t *testing.T) {
	is := is.New(t)
	sim := newNamedSimulation(t, 3)
	sim.startTargets("v1")
	sim.setPlatformOutage(true)
	started := sim.start("d01", nil)
	started.platformUnreachable = true
	spread := func(from string) effect.RequestReceived {
		return effect.RequestReceived{Token: 99, Body: &message.Spread{From: from, Era: store.Era{Number: 2, Name: "2"}}}
	}
	sim.handle(started, spread("d09:1"))
	n := sim.nodes[0]
	asked := n.catalogQueries
	sim.handle(n, spread("d01:1"))
	is.Equal(n.catalogQueries, asked+1)
}

// Guards against a watch event of an earlier era that is merged into the keys of the present one.
func TestWatchEventOfAnEarlierEraIsIgnored(t *testing.T) {
	is := is.New(t)
	sim := newNamedSimulation(t, 3)
	sim.startTargets("v1")
	older := sim.copyStore()
	loseRevisions(sim)
	sim.run(time.Second)
	restoreAndRewrite(sim, older)
	sim.run(restoredBound)
	late := store.Entry{Key: "op/intent/profiles", Value: []byte(`{"service":"profiles","to":"v9"}`), ModRevision: 1 << 40}
	for _, n := range sim.nodes {
		sim.handle(n, effect.KeyChanged{Key: "op/", Event: store.WatchEvent{Entry: late, Era: "1"}})
		is.Equal(n.view.Configuration.Service("profiles").Version("v9"), nil)
	}
}
