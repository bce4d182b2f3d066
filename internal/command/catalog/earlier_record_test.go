package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// reportOf returns a report of the target of d02 in a simulation.
func reportOf(instance model.InstanceID, born int64, seq uint64, state model.TargetState) model.TargetReport {
	return model.TargetReport{Instance: instance, Born: born, Seq: seq, Version: "v1", State: state}
}

// departure is what a target says to a daemon before the daemon is killed, and a delayed report that arrives after its restart.
type departure struct {
	name string
	// before are the reports before the kill; leaving says that the target says in a response that it is leaving.
	before  []model.TargetReport
	leaving bool
	late    model.TargetReport
}

// play hands what the target says before the kill to its daemon, which must acknowledge it.
func (c *departure) play(sim *simulation) {
	n := sim.nodes[2]
	for _, r := range c.before {
		token := sim.report(n, r)
		if n.answers[token].Code != model.OutcomeApplied {
			sim.t.Fatalf("the report %+v was not acknowledged", r)
		}
	}
	if c.leaving {
		sim.handle(n, effect.TargetLeaving{Instance: "i2", Born: 1})
	}
}

func departureCases() []departure {
	ready := reportOf("i2", 1, 9, model.TargetReady)
	return []departure{
		{"deregistered", []model.TargetReport{ready, reportOf("i2", 1, 0, model.TargetGone)}, false, ready},
		{"deregistered without a start time", []model.TargetReport{ready, reportOf("i2", 0, 0, model.TargetGone)}, false, ready},
		{"draining", []model.TargetReport{reportOf("i2", 1, 10, model.TargetDraining)}, false, ready},
		{"draining, then deregistered", []model.TargetReport{
			reportOf("i2", 1, 10, model.TargetDraining), reportOf("i2", 1, 0, model.TargetGone),
		}, false, ready},
		{"leaving by its own response", []model.TargetReport{ready}, true, reportOf("i2", 1, 20, model.TargetReady)},
		{"deregistered before its first report", []model.TargetReport{reportOf("i3", 5, 0, model.TargetGone)}, false,
			reportOf("i3", 5, 1, model.TargetReady)},
		{"deregistered before its first report, without a start time", []model.TargetReport{reportOf("i3", 0, 0, model.TargetGone)}, false,
			reportOf("i3", 5, 1, model.TargetReady)},
		{"deregistered before its first report, under the name of the run before",
			[]model.TargetReport{reportOf("i2", 0, 0, model.TargetGone)}, false, reportOf("i2", 5, 1, model.TargetReady)},
		{"another run has started", []model.TargetReport{reportOf("i3", 5, 1, model.TargetReady)}, false, ready},
	}
}

// Guards against a target that has been acknowledged as draining or gone and gets calls again, because its daemon was killed and
// takes a delayed report for the present state.
func TestLateReportAfterRestartChangesNothing(t *testing.T) {
	starts := map[string]struct {
		// delay is the time from the start to the late report, restarts the number of starts before it.
		delay    time.Duration
		restarts int
		// platformAway says that the platform cannot be reached after the restart, so that only peers know the record.
		platformAway bool
	}{
		"before the keys are listed":      {0, 1, false},
		"later":                           {2 * time.Second, 1, false},
		"after two restarts":              {2 * time.Second, 2, false},
		"while the platform is away":      {2 * time.Second, 1, true},
		"at once, while platform is away": {0, 1, true},
	}
	for startName, start := range starts {
		for _, c := range departureCases() {
			t.Run(c.name+"/"+startName, func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t, 4)
				sim.startTargets("v1")
				c.play(sim)
				sim.run(time.Second)
				n := sim.nodes[2]
				for range start.restarts {
					n = sim.start("d02", []string{"d00:1"})
					n.platformUnreachable = start.platformAway
					sim.run(start.delay)
				}
				sim.report(n, c.late)
				for range 100 {
					sim.run(100 * time.Millisecond)
					local := n.view.Local
					is.True(local.State != model.TargetReady || local.Instance != c.late.Instance)
					for _, other := range []*node{sim.nodes[0], sim.nodes[1], sim.nodes[3]} {
						is.True(!listsReady(other, "d02", c.late.Instance))
					}
				}
			})
		}
	}
}

// listsReady reports whether a node sends calls to a run of a daemon's target.
func listsReady(n *node, daemon model.DaemonID, instance model.InstanceID) bool {
	for _, target := range n.view.Targets {
		if target.Daemon == daemon && target.Instance == instance && target.State == model.TargetReady {
			return true
		}
	}
	return false
}

// Guards against a target that stays out of service after a restart of its daemon although it is ready: its reports, or those of
// a later run, must be taken at once, and as soon as somebody answers if nobody did.
func TestReadyTargetIsInServiceAfterRestart(t *testing.T) {
	gone := []model.TargetReport{reportOf("i2", 1, 2, model.TargetReady), reportOf("i2", 1, 0, model.TargetGone)}
	cases := []struct {
		name   string
		before []model.TargetReport
		report model.TargetReport
		// nobodyFor is the time after the restart in which neither the platform nor a peer answers.
		nobodyFor time.Duration
		within    time.Duration
	}{
		{"the same run", nil, reportOf("i2", 1, 7, model.TargetReady), 0, 100 * time.Millisecond},
		{"the same run, a repeated report", nil, reportOf("i2", 1, 1, model.TargetReady), 0, 100 * time.Millisecond},
		{"a new run after one that left", gone, reportOf("i3", 9, 1, model.TargetReady), 0, 100 * time.Millisecond},
		{"a new run under the same name", gone, reportOf("i2", 9, 1, model.TargetReady), 0, 100 * time.Millisecond},
		{"a new run after a crash", nil, reportOf("i3", 9, 1, model.TargetReady), 0, 100 * time.Millisecond},
		{"a run that no longer drains", []model.TargetReport{reportOf("i2", 1, 2, model.TargetDraining)},
			reportOf("i2", 1, 3, model.TargetReady), 0, 100 * time.Millisecond},
		{"nobody knows the record", nil, reportOf("i2", 1, 7, model.TargetReady), 10 * time.Second, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 3)
			sim.startTargets("v1")
			for _, r := range c.before {
				sim.report(sim.nodes[2], r)
			}
			sim.run(time.Second)
			n := sim.start("d02", nil)
			n.platformUnreachable, n.peersUnreachable = c.nobodyFor > 0, c.nobodyFor > 0
			sim.report(n, c.report)
			sim.run(c.nobodyFor)
			n.platformUnreachable, n.peersUnreachable = false, false
			sim.run(c.within)
			is.Equal(n.view.Local.State, model.TargetReady)
			is.Equal(n.view.Local.Instance, c.report.Instance)
			sim.run(6 * time.Second)
			is.True(listsReady(sim.nodes[0], "d02", c.report.Instance))
		})
	}
}

// Guards against a daemon that waits for the record again with each report, after it has learned it once.
func TestReportsAreHeldOnlyOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.startTargets("v1")
	n := sim.start("d01", nil)
	n.platformUnreachable, n.peersUnreachable = true, true
	sim.report(n, reportOf("i1", 1, 7, model.TargetReady))
	sim.run(time.Second)
	n.platformUnreachable, n.peersUnreachable = false, false
	sim.run(2 * time.Second)
	is.Equal(n.view.Local.State, model.TargetReady)
	n.platformUnreachable, n.peersUnreachable = true, true
	sim.report(n, reportOf("i3", 9, 1, model.TargetReady))
	is.Equal(n.view.Local.Instance, model.InstanceID("i3"))
}

// Guards against a delayed report that is taken because nobody could tell for some seconds that the run is leaving, as after a kill of all
// daemons during an outage.
func TestLateReportIsNotTakenWhileNobodyAnswers(t *testing.T) {
	for _, c := range departureCases() {
		if c.name == "another run has started" {
			continue // the present run reports within seconds and takes the place of the earlier one
		}
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 3)
			sim.startTargets("v1")
			c.play(sim)
			n := sim.start("d02", nil)
			n.platformUnreachable, n.peersUnreachable = true, true
			sim.report(n, c.late)
			for i := range 200 {
				if i == 100 {
					n.platformUnreachable, n.peersUnreachable = false, false
				}
				sim.run(100 * time.Millisecond)
				is.True(n.view == nil || n.view.Local.State != model.TargetReady)
				is.True(!listsReady(sim.nodes[0], "d02", c.late.Instance))
			}
		})
	}
}

// Guards against a delayed report that is taken because the first peer which answers while the platform is away had been cut off when the
// run left.
func TestLateReportIsNotTakenByAnUninformedPeer(t *testing.T) {
	for _, c := range departureCases() {
		if c.leaving || c.name == "another run has started" {
			continue // not acknowledged; the present run takes the place of the earlier one
		}
		for _, uninformed := range []int{0, 1, 3} {
			t.Run(c.name+"/"+fmt.Sprint("d0", uninformed), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t, 4)
				sim.startTargets("v1")
				cut := sim.nodes[uninformed]
				cut.platformUnreachable, cut.peersUnreachable = true, true
				c.play(sim)
				sim.run(time.Second)
				sim.setPlatformOutage(true)
				cut.peersUnreachable = false
				n := sim.start("d02", []string{cut.address})
				n.platformUnreachable = true
				sim.report(n, c.late)
				for range 100 {
					sim.run(100 * time.Millisecond)
					is.True(n.view == nil || n.view.Local.State != model.TargetReady || n.view.Local.Instance != c.late.Instance)
				}
			})
		}
	}
}

// Guards against a delayed report that was taken because neither the platform nor a neighbour could tell that the run is leaving, and stays
// in force once another daemon has told it.
func TestReportIsTakenBackOnceTheRecordIsKnown(t *testing.T) {
	for _, c := range departureCases() {
		if c.name == "another run has started" {
			continue // the present run reports within seconds and takes the place of the earlier one
		}
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 5)
			sim.startTargets("v1")
			neighbours := []*node{sim.nodes[1], sim.nodes[3]}
			for _, n := range neighbours {
				n.platformUnreachable, n.peersUnreachable = true, true
			}
			c.play(sim)
			sim.run(time.Second)
			sim.setPlatformOutage(true)
			informed := []*node{sim.nodes[0], sim.nodes[4]}
			for _, n := range informed {
				n.peersUnreachable = true
			}
			for _, n := range neighbours {
				n.peersUnreachable = false
			}
			n := sim.start("d02", []string{"d01:1"})
			n.platformUnreachable = true
			sim.report(n, c.late)
			sim.run(6 * time.Second)
			is.Equal(n.view.Local.State, model.TargetReady) // nobody could tell
			for _, other := range informed {
				other.peersUnreachable = false
			}
			sim.run(8 * time.Second)
			is.True(n.view.Local.State != model.TargetReady || n.view.Local.Instance != c.late.Instance)
			sim.setPlatformOutage(false)
			sim.run(6 * time.Second)
			is.True(!listsReady(sim.nodes[0], "d02", c.late.Instance))
		})
	}
}

// Guards against a run that deregisters before its first report arrives, and gets calls once that does. The daemon still knows the
// run before it.
func TestShutdownReportBeforeTheFirstReport(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.startTargets("v1")
	n := sim.nodes[0]
	token := sim.report(n, reportOf("i7", 5, 0, model.TargetGone))
	is.Equal(n.answers[token].Code, model.OutcomeApplied)
	sim.report(n, reportOf("i7", 5, 1, model.TargetReady))
	is.True(n.view.Local.State != model.TargetReady)
	sim.report(n, reportOf("i8", 6, 1, model.TargetReady))
	is.Equal(n.view.Local.State, model.TargetReady) // a later run
	sim.report(n, reportOf("i7", 5, 0, model.TargetGone))
	is.Equal(n.view.Local.State, model.TargetReady) // a repeated report of the earlier run
}

// Guards against records of targets that have left and stay on the platform, or in the rosters of other daemons.
func TestRecordOfGoneTargetExpires(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.startTargets("v1")
	token := sim.report(sim.nodes[2], reportOf("i2", 1, 0, model.TargetGone))
	is.Equal(sim.nodes[2].answers[token].Code, model.OutcomeApplied)
	key := store.PrefixTargets + "d02"
	stored := sim.store.Do(store.Call{Kind: store.KindGet, Key: key}).Entries
	is.Equal(len(stored), 1)
	is.True(stored[0].Lease != 0)
	sim.run(time.Second)
	for _, n := range sim.nodes[:2] {
		is.Equal(len(n.view.Targets), 2)
	}
	renewals := sim.nodes[2].storeCalls["announce"]
	sim.run(time.Minute)
	is.Equal(sim.nodes[2].storeCalls["announce"], renewals)
	sim.store.Expire(key)
	sim.run(time.Minute)
	is.Equal(len(sim.store.Do(store.Call{Kind: store.KindGet, Key: key}).Entries), 0)
}
