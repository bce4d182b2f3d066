package agent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/store"
)

// step is an action on one daemon and the time to run the fleet after it.
type step struct {
	action action
	daemon int
	pause  time.Duration
}

// killElected kills the next leader of the first data centre 10 ms after its election.
var killElected = action{"kill-elected", func(sim *simulation, n *fleet.Node) {
	for range 2000 {
		if l := leaderOf(sim.fleet, "dc0"); l != nil && l.Agent.Role() == agent.RoleLeader {
			break
		}
		sim.fleet.Run(5 * time.Millisecond)
	}
	sim.fleet.Run(10 * time.Millisecond)
	killLeader.run(sim, n)
}}

// regressions are histories that once did not end in the expected state, by the fault that caused this.
var regressions = map[string][]step{
	"a new leader inherits silent targets and ignores the states that they announce": {
		{freezeLeader, 0, 9 * time.Second}, {killLeader, 0, 12 * time.Second},
	},
	"all daemons of a data centre are still shown as ready in the others after they died": {
		{kill, 1, 0}, {kill, 2, 0}, {kill, 0, 7 * time.Second}, {killLeader, 0, 0},
	},
	"marks are not sent to the next leader of another data centre": {
		{change, 0, 0}, {change, 0, 0}, {togglePartition, 0, 0}, {mark, 4, 0}, {change, 0, 0},
		{loseMessages, 2, 200 * time.Millisecond}, {restart, 3, 200 * time.Millisecond},
	},
	"a dead daemon stays ready because a new leader knows only its older incarnation": {
		{onLeader(restart), 0, 4 * time.Second}, {killElected, 0, 0},
	},
	"a new leader does not learn of a data centre that died at the same time as its predecessor": {
		{kill, 4, 0}, {killLeader, 0, 0}, {kill, 5, 0},
	},
	"a leader that is elected again assumes that the other leaders still hold its former roster": {
		{killLeader, 0, 7 * time.Second}, {change, 0, 4 * time.Second}, {outage, 0, 4 * time.Second},
	},
	"a daemon asks a former leader for a current number forever": {
		{restart, 5, time.Millisecond}, {change, 4, 0}, {outage, 4, 5 * time.Millisecond}, {restart, 1, 7 * time.Second},
		{restart, 3, 200 * time.Millisecond},
	},
}

// Each case guards against views that violate an invariant or differ from the expected state after the faults ended, because
// of the fault that its name describes. TestHistories found these faults.
func TestRegressions(t *testing.T) {
	for name, steps := range regressions {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				sim := newSimulation(seed, 4, 2)
				sim.write()
				for _, n := range sim.fleet.Nodes {
					sim.boot(n)
				}
				sim.fleet.Run(4 * time.Second)
				for _, s := range steps {
					s.action.run(sim, sim.fleet.Nodes[s.daemon])
					sim.fleet.Run(s.pause)
				}
				sim.endFaults()
				sim.waitUntilEqual()
				for _, text := range append(sim.violations, sim.differences...) {
					t.Errorf("seed %d: %s", seed, text)
				}
			}
		})
	}
}

// Guards against a daemon that waits for its own lease to expire because the response to its write of the leader key was
// lost.
func TestRecognisesItsLeaseAfterALostResponse(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1)
	sim.write()
	sim.fleet.Store.LoseResponse = func(call store.Call) bool { return call.Kind == store.KindTxn }
	n := sim.fleet.Nodes[0]
	sim.boot(n)
	for sinceWrite := time.Duration(0); n.Agent.Role() != agent.RoleLeader; sinceWrite += time.Millisecond {
		if _, ok := sim.fleet.Store.Leader("dc0"); !ok {
			sinceWrite = 0
		}
		is.True(sinceWrite < 2*time.Second) // the lease lasts 5 s
		sim.fleet.Run(time.Millisecond)
	}
}
