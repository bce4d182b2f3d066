package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// applyBound is the time in which a change must be in force on every daemon.
const applyBound = 2 * time.Second

// Guards against daemons that miss a change, and against calls to the platform that grow with the number of daemons.
func TestChangesReachAllDaemons(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 30)
	sim.startTargets("v1")
	is.Equal(sim.configurationNumbers(), map[model.Number]int{1: 30})
	for _, n := range sim.nodes {
		is.True(n.view.Ready)
		is.Equal(len(n.view.Targets), 30)
		n.listCalls = 0
	}
	for number := model.Number(2); number <= 11; number++ {
		sim.configure(number, "/a/", "/b/")
		sim.run(applyBound)
		is.Equal(sim.configurationNumbers(), map[model.Number]int{number: 30})
	}
	lists := 0
	for _, n := range sim.nodes {
		lists += n.listCalls
	}
	is.True(lists < 60) // one list per turn of 0.7 s, instead of one per change and daemon
}

// Guards against changes that are missed because the watches report neither changes nor errors.
func TestWatchesThatReportNoChanges(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 9)
	sim.startTargets("v1")
	for _, n := range sim.nodes {
		n.watchesSilent = true
	}
	sim.configure(7, "/a/", "/new/")
	sim.run(applyBound)
	is.Equal(sim.configurationNumbers(), map[model.Number]int{7: 9})
}

// Guards against changes that are late because the daemons that watch the platform's keys have just failed.
func TestFailureOfTheWatchers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 9)
	sim.startTargets("v1")
	dead := 0
	for _, n := range sim.nodes {
		if len(n.watches) > 0 {
			n.stopped = true
			dead++
		}
	}
	is.Equal(dead, 3)
	sim.configure(7, "/a/")
	sim.run(applyBound + 700*time.Millisecond) // one more turn, in case the next one belongs to a dead daemon
	is.Equal(sim.configurationNumbers(), map[model.Number]int{7: 6})
}

// Guards against a delayed write that brings back an older configuration, and against an invalid configuration that is
// applied in part.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.startTargets("v1")
	sim.configure(9, "/a/")
	sim.run(applyBound)
	sim.configure(5, "/old/")
	sim.run(applyBound)
	is.Equal(sim.configurationNumbers(), map[model.Number]int{9: 3})
	sim.put("op/configuration", model.Configuration{
		Number: 10, Routes: []model.Route{{Name: "r", Service: "nobody", PathPrefix: "/x/"}},
	})
	sim.run(applyBound)
	is.Equal(sim.configurationNumbers(), map[model.Number]int{9: 3})
}

// Guards against a daemon that cannot serve because it started during an outage of the platform, or that serves before it
// knows the configuration.
func TestStartDuringPlatformOutage(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	n := sim.start("d01", []string{"gone:1", "d02:1"})
	n.platformUnreachable = true
	sim.handle(n, effect.Wake{})
	is.True(!n.view.Ready)
	sim.run(4 * time.Second)
	is.True(n.view.Ready)
	is.Equal(n.view.Configuration.Number, model.Number(1))
	is.Equal(len(n.view.Targets), 3) // the local target has not reported yet
	sim.configure(3, "/a/", "/b/")
	sim.run(applyBound)
	is.Equal(n.view.Configuration.Number, model.Number(3))
}

// Guards against an acknowledgement of a draining target before the platform has stored that state, which a restarted daemon
// would then not know, and against an answer that comes too late for the target.
func TestShutdownReportIsAnsweredOnceStored(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.startTargets("v1")
	n := sim.nodes[0]
	token := sim.report(n, model.TargetReport{Instance: "i0", Born: 1, Seq: 2, Version: "v1", State: model.TargetDraining})
	is.Equal(n.answers[token].Code, model.OutcomeApplied)
	is.Equal(n.view.Local.State, model.TargetDraining)
	stored := sim.store.Do(store.Call{Kind: store.KindGet, Key: store.PrefixTargets + "d00"}).Entries
	target, err := document.JSON{}.DecodeTarget(stored[0].Value)
	is.NoErr(err)
	is.Equal(target.State, model.TargetDraining)

	n = sim.nodes[1]
	n.platformUnreachable = true
	token = sim.report(n, model.TargetReport{Instance: "i1", Born: 1, Seq: 2, Version: "v1", State: model.TargetDraining})
	_, answered := n.answers[token]
	is.True(!answered)
	is.Equal(n.view.Local.State, model.TargetDraining) // calls stop before the acknowledgement
	sim.run(ackBound)
	is.Equal(n.answers[token].Code, model.OutcomeUnavailable)
}

// Guards against delayed and repeated reports that bring back a target that is draining or gone, and against reports for
// another service.
func TestDelayedAndForeignReports(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.startTargets("v1")
	n := sim.nodes[0]
	ready := model.TargetReport{Instance: "i0", Born: 1, Seq: 9, Version: "v1", State: model.TargetReady}
	sim.report(n, model.TargetReport{Instance: "i0", Born: 1, Seq: 8, Version: "v1", State: model.TargetDraining})
	sim.report(n, model.TargetReport{Instance: "i0", Born: 1, Seq: 7, Version: "v1", State: model.TargetReady})
	is.Equal(n.view.Local.State, model.TargetDraining)
	sim.report(n, model.TargetReport{Instance: "i0", State: model.TargetGone})
	sim.report(n, ready)
	is.Equal(n.view.Local.State, model.TargetGone) // the run has ended
	is.Equal(len(n.view.Targets), 0)
	foreign := ready
	foreign.Service = "schools"
	token := sim.report(n, foreign)
	is.Equal(n.answers[token].Code, model.OutcomeInvalid)
	again := ready
	again.Born, again.Seq = 2, 1
	sim.report(n, again)
	is.Equal(n.view.Local.State, model.TargetGone) // a run under the same name that had started before the shutdown report
	again.Born = sim.now.Add(time.Millisecond).UnixMilli()
	sim.report(n, again)
	is.Equal(n.view.Local.State, model.TargetReady) // a new run under the same name
	late := model.TargetReport{Instance: "i0", Born: 1, State: model.TargetGone}
	sim.report(n, late)
	is.Equal(n.view.Local.State, model.TargetReady)
}

// Guards against calls to a target that reported its shutdown to a daemon which had just restarted and did not know the
// target yet: a delayed report of the same run must not bring it back.
func TestShutdownReportOfUnknownRun(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.startTargets("v1")
	n := sim.start("d00", nil)
	sim.run(time.Second)
	token := sim.report(n, model.TargetReport{Instance: "i0", State: model.TargetGone})
	is.Equal(n.answers[token].Code, model.OutcomeApplied)
	sim.report(n, model.TargetReport{Instance: "i0", Born: 1, Seq: 9, Version: "v1", State: model.TargetReady})
	is.True(n.view.Local.State != model.TargetReady)
	again := model.TargetReport{
		Instance: "i0", Born: sim.now.Add(time.Second).UnixMilli(), Seq: 1, Version: "v1", State: model.TargetReady,
	}
	sim.report(n, again)
	is.Equal(n.view.Local.State, model.TargetReady) // started after the shutdown report
}

// Guards against a target that is lost for good because the platform removed its announcement.
func TestRemovedAnnouncementIsRestored(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	sim.store.Expire(store.PrefixTargets + "d02")
	sim.run(5 * time.Second)
	is.Equal(len(sim.store.Do(store.Call{Kind: store.KindGet, Key: store.PrefixTargets + "d02"}).Entries), 1)
	for _, n := range sim.nodes {
		is.Equal(len(n.view.Targets), 4)
	}
}

// Guards against a dead daemon whose target stays in the roster forever.
func TestDeadDaemonIsRemovedFromRoster(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	sim.nodes[3].stopped = true
	sim.store.Expire(store.PrefixTargets + "d03")
	sim.run(8 * time.Second)
	for _, n := range sim.nodes[:3] {
		is.Equal(len(n.view.Targets), 3)
	}
}

// Guards against a daemon that never recovers a missed announcement, because it has already received a later revision.
func TestAntiEntropyFindsEarlierEntries(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 6)
	sim.startTargets("v1")
	n := sim.nodes[5]
	n.stopped = true
	sim.report(sim.nodes[0], model.TargetReport{Instance: "i0", Born: 1, Seq: 5, Version: "v1", State: model.TargetDraining})
	n.stopped = false
	n.platformUnreachable = true
	sim.report(sim.nodes[1], model.TargetReport{Instance: "i1", Born: 1, Seq: 5, Version: "v1", State: model.TargetDraining})
	sim.run(5 * time.Second)
	for _, target := range n.view.Targets[:2] {
		is.Equal(target.State, model.TargetDraining)
	}
}

// Guards against anti-entropy replies that contain everything because one entry differs: while targets come and go, each
// daemon would receive all announcements every two seconds.
func TestAntiEntropySendsOnlyDifferences(t *testing.T) {
	is := is.New(t)
	received := 0
	// Gossip may bring the change before the first query, so several daemons miss it, one in each run.
	for paused := 60; paused < 64; paused++ {
		sim := newSimulation(t, 64)
		sim.startTargets("v1")
		n := sim.nodes[paused]
		n.platformUnreachable, n.stopped = true, true
		sim.report(sim.nodes[0], model.TargetReport{Instance: "i0", Born: 1, Seq: 5, Version: "v1", State: model.TargetDraining})
		n.stopped = false
		n.changesReceived = 0
		sim.run(5 * time.Second)
		is.Equal(n.view.Targets[0].State, model.TargetDraining)
		is.True(n.changesReceived <= 16) // only the announcements in the differing partition, of 64
		received += n.changesReceived
	}
	is.True(received > 0) // at least one daemon learned of the change by anti-entropy
}

// Guards against a target that gets no calls after a restart of its daemon until its next report, and against one that gets
// calls although another run answers or the target is leaving service.
func TestRestartedDaemonChecksTarget(t *testing.T) {
	cases := []struct {
		name    string
		state   model.TargetState
		stopped bool
		healthy model.InstanceID
		want    model.TargetState
	}{
		{"the same run answers", model.TargetReady, false, "i2", model.TargetReady},
		{"another run answers", model.TargetReady, false, "i9", model.TargetStarting},
		{"no answer, as from a target that leaves service", model.TargetReady, false, "", model.TargetStarting},
		{"the target was draining", model.TargetDraining, false, "i2", model.TargetStarting},
		{"the daemon was shut down", model.TargetReady, true, "i2", model.TargetReady},
		{"the daemon was shut down while the target was draining", model.TargetDraining, true, "i2", model.TargetStarting},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 3)
			sim.startTargets("v1")
			sim.report(sim.nodes[2], model.TargetReport{Instance: "i2", Born: 1, Seq: 2, Version: "v1", State: tc.state})
			if tc.stopped {
				sim.handle(sim.nodes[2], effect.Stopping{})
				is.Equal(sim.nodes[2].view.Local.State, model.TargetDraining)
			}
			n := sim.start("d02", nil)
			n.healthyInstance = tc.healthy
			sim.run(200 * time.Millisecond)
			is.Equal(n.view.Local.State, tc.want)
			// Later reports of the target are applied as usual.
			sim.report(n, model.TargetReport{Instance: "i2", Born: 1, Seq: 3, Version: "v1", State: model.TargetDraining})
			is.Equal(n.view.Local.State, model.TargetDraining)
		})
	}
}
