package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
)

// stateOf returns the state of a daemon's target as another daemon knows it.
func stateOf(n *node, daemon model.DaemonID) model.TargetState {
	for i := range n.view.Targets {
		if n.view.Targets[i].Daemon == daemon {
			return n.view.Targets[i].State
		}
	}
	return model.TargetGone
}

// Guards against a target that said in a response that it is leaving and is announced as ready, because its reports still say
// so or an answer of its earlier run arrived last; and against a return of the target that is not announced.
func TestLeavingTargetIsAnnouncedWhateverItReports(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	n, other := sim.nodes[0], sim.nodes[1]
	daemon := n.view.Local.Daemon
	r := model.TargetReport{Instance: "x", Born: 1000, Seq: 5, Version: "v1", State: model.TargetReady}
	sim.report(n, r)
	sim.run(applyBound)
	is.Equal(stateOf(other, daemon), model.TargetReady)
	sim.handle(n, effect.TargetLeaving{Instance: "x", Born: 1000})
	sim.run(applyBound)
	is.Equal(stateOf(other, daemon), model.TargetDraining)
	sim.handle(n, effect.TargetLeaving{Instance: "x", Born: 500})
	r.Seq++
	sim.report(n, r)
	sim.run(applyBound)
	is.Equal(stateOf(other, daemon), model.TargetDraining)
	r.Born, r.Seq = 2000, 1
	sim.report(n, r)
	sim.run(applyBound)
	is.Equal(stateOf(other, daemon), model.TargetReady)
}
