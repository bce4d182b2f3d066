package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
)

// Guards against a run that is put into service by a delayed report after its deregistration was acknowledged (review/8). The
// daemon knew another run, or none, so nothing but its name tells which run has left.
func TestDeregistrationOfUnreportedRunHolds(t *testing.T) {
	cases := []struct {
		name string
		run  model.InstanceID
		// before are reports that come before the deregistration, after the last of them the daemon may be restarted.
		before  []model.TargetReport
		restart bool
	}{
		{name: "another run is in service", run: "i3"},
		{name: "the run before had the same name", run: "i2"},
		{name: "the run before had the same name and has left", run: "i2", before: []model.TargetReport{reportOf("i2", 1, 0, model.TargetGone)}},
		{name: "another run has left", run: "i3", before: []model.TargetReport{reportOf("i2", 1, 0, model.TargetGone)}},
		{name: "the daemon has just started and knows no run", run: "i3", restart: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 4)
			sim.startTargets("v1")
			n := sim.nodes[2]
			for _, r := range c.before {
				sim.report(n, r)
			}
			if c.restart {
				n = sim.start("d02", []string{"d00:1"})
			}
			born := sim.now.UnixMilli()
			sim.run(1800 * time.Millisecond)
			token := sim.report(n, reportOf(c.run, 0, 0, model.TargetGone))
			is.Equal(n.answers[token].Code, model.OutcomeApplied)
			for seq := range uint64(4) {
				sim.run(time.Second)
				sim.report(n, reportOf(c.run, born, seq+1, model.TargetReady))
				is.True(n.view.Local.State != model.TargetReady || n.view.Local.Born != born)
			}
			sim.run(20 * time.Second)
			for _, other := range sim.nodes[:2] {
				is.True(!listsReady(other, "d02", c.run) || c.run == "i2" && n.view.Local.Born == 1)
			}
			sim.report(n, reportOf(c.run, sim.now.UnixMilli(), 1, model.TargetReady))
			is.Equal(n.view.Local.State, model.TargetReady) // a later run under the same name
		})
	}
}

// Guards against a run in service that is taken out, or kept out, by a deregistration of an earlier run which its daemon does not
// know: the daemon has restarted, or no report of that run has ever arrived.
func TestDeregistrationOfEarlierRunChangesNothing(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart %t", restart), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 3)
			sim.startTargets("v1")
			n := sim.nodes[2]
			if restart {
				n = sim.start("d02", nil)
			}
			token := sim.report(n, reportOf("i1", 0, 0, model.TargetGone))
			is.Equal(n.answers[token].Code, model.OutcomeApplied)
			sim.report(n, reportOf("i2", 1, 2, model.TargetReady))
			sim.run(time.Second)
			is.Equal(n.view.Local.State, model.TargetReady)
			is.Equal(n.view.Local.Instance, model.InstanceID("i2"))
			is.True(listsReady(sim.nodes[0], "d02", "i2"))
		})
	}
}

// Guards against a run that is refused for good because a deregistration without a start time, which an earlier run under its name
// had sent, was taken for its own. Its reports show that it runs, also after a restart of the daemon.
func TestRunThatKeepsReportingReturnsToService(t *testing.T) {
	const recoverBound = 15 * time.Second
	for _, reported := range []bool{false, true} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("reported before %t, restart %t", reported, restart), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t, 3)
				sim.startTargets("v1")
				n, born := sim.nodes[2], sim.now.UnixMilli()
				seq := uint64(1)
				if reported {
					sim.report(n, reportOf("i2", born, seq, model.TargetReady))
				}
				sim.run(100 * time.Millisecond)
				sim.report(n, reportOf("i2", 0, 0, model.TargetGone))
				sim.run(500 * time.Millisecond)
				if restart {
					n = sim.start("d02", nil)
				}
				for end := sim.now.Add(recoverBound); sim.now.Before(end); {
					seq++
					sim.report(n, reportOf("i2", born, seq, model.TargetReady))
					sim.run(1500 * time.Millisecond)
				}
				is.Equal(n.view.Local.State, model.TargetReady)
				is.Equal(n.view.Local.Born, born)
				is.True(listsReady(sim.nodes[0], "d02", "i2"))
			})
		}
	}
}

// Guards against delayed reports that are taken for those of a run in service because many of them arrive at once, long after the
// deregistration, as when the daemon was stopped meanwhile.
func TestReportsThatArriveTogetherRefuteNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.startTargets("v1")
	n, born := sim.nodes[1], sim.now.UnixMilli()
	sim.run(time.Second)
	sim.report(n, reportOf("i3", 0, 0, model.TargetGone))
	sim.run(12 * time.Second)
	for seq := range uint64(6) {
		sim.report(n, reportOf("i3", born, seq+1, model.TargetReady))
		is.True(n.view.Local.Instance != "i3")
	}
}

// Guards against a report that is held after a restart, until a peer has said what it knows, and is applied although its run has
// deregistered meanwhile. The stored record names the run before.
func TestHeldReportOfDepartedRunIsNotApplied(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.startTargets("v1")
	born := sim.now.UnixMilli()
	sim.run(time.Second)
	n := sim.start("d02", nil)
	n.peersUnreachable = true
	sim.report(n, reportOf("i3", born, 1, model.TargetReady))
	sim.run(100 * time.Millisecond)
	sim.report(n, reportOf("i3", 0, 0, model.TargetGone))
	n.peersUnreachable = false
	for range 60 {
		sim.run(100 * time.Millisecond)
		is.True(n.view == nil || n.view.Local.State != model.TargetReady)
		is.True(!listsReady(sim.nodes[0], "d02", "i3"))
	}
}
