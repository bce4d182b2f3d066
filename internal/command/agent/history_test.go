package agent_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
)

// checks is the number of histories per profile, more than 10,000 in total.
const checks = "1150"

func TestMain(m *testing.M) {
	flag.Parse()
	if given := flag.Lookup("rapid.checks"); given.Value.String() == given.DefValue {
		if err := given.Value.Set(checks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// action is one step of a history.
type action struct {
	name string
	run  func(sim *simulation, n *fleet.Node)
}

var (
	change          = action{"change", func(sim *simulation, _ *fleet.Node) { sim.write() }}
	invalid         = action{"invalid", func(sim *simulation, _ *fleet.Node) { sim.writeInvalid() }}
	garbage         = action{"garbage", func(sim *simulation, _ *fleet.Node) { sim.writeGarbage() }}
	kill            = action{"kill", func(_ *simulation, n *fleet.Node) { n.Kill() }}
	restart         = action{"restart", func(sim *simulation, n *fleet.Node) { sim.boot(n) }}
	replace         = action{"replace", func(sim *simulation, n *fleet.Node) { sim.replace(n) }}
	freeze          = action{"freeze", func(_ *simulation, n *fleet.Node) { n.Freeze() }}
	thaw            = action{"thaw", func(_ *simulation, n *fleet.Node) { n.Thaw() }}
	loseMessages    = action{"lose-messages", func(sim *simulation, _ *fleet.Node) { sim.loss = 0.3 }}
	duplicate       = action{"duplicate", func(sim *simulation, _ *fleet.Node) { sim.duplicate = 0.3 }}
	reorder         = action{"reorder", func(sim *simulation, _ *fleet.Node) { sim.delayed = 0.4 }}
	togglePartition = action{"toggle-partition", func(sim *simulation, _ *fleet.Node) { sim.partitioned = !sim.partitioned }}
	outage          = action{"outage", func(sim *simulation, _ *fleet.Node) { sim.fleet.Store.SetDown(!sim.fleet.Store.Down) }}
	loseResponses   = action{"lose-responses", func(sim *simulation, _ *fleet.Node) { sim.loseResponses(0.5) }}
	expireLeases    = action{"expire-leases", func(sim *simulation, _ *fleet.Node) { sim.fleet.Store.ExpireLeases() }}
	mark            = action{"mark", func(sim *simulation, n *fleet.Node) { sim.sendMark(n) }}
	drain           = action{"drain", func(_ *simulation, n *fleet.Node) {
		n.Handle(effect.TargetChanged{State: model.TargetDraining})
	}}
	ready      = action{"ready", func(_ *simulation, n *fleet.Node) { n.Handle(effect.TargetChanged{State: model.TargetReady}) }}
	restartAll = action{"restart-all", func(sim *simulation, _ *fleet.Node) {
		for _, n := range sim.fleet.Nodes {
			sim.boot(n)
		}
	}}
	cutStore  = action{"cut-store", func(sim *simulation, n *fleet.Node) { sim.cutOff(n.Target.DataCentre, false) }}
	partition = action{"partition", func(sim *simulation, n *fleet.Node) { sim.cutOff(n.Target.DataCentre, true) }}
	rejoin    = action{"rejoin", func(sim *simulation, _ *fleet.Node) { sim.fleet.Store.Partitioned, sim.partitioned = nil, false }}
	// These run on the leader of the first data centre instead of the drawn daemon.
	killLeader   = onLeader(kill)
	freezeLeader = onLeader(freeze)
)

// onLeader returns an action that runs on the leader of the first data centre instead of the given daemon.
func onLeader(a action) action {
	return action{a.name + "-leader", func(sim *simulation, _ *fleet.Node) {
		record, ok := sim.fleet.Store.Leader("dc0")
		for _, n := range sim.fleet.Nodes {
			if ok && n.Target.Daemon == record.Daemon {
				a.run(sim, n)
			}
		}
	}}
}

// profiles are the sets of actions from which histories are drawn.
var profiles = map[string][]action{
	"network":        {change, change, loseMessages, duplicate, reorder, togglePartition, mark, drain},
	"restarts":       {change, kill, restart, replace, killLeader, restartAll, drain, ready},
	"outage":         {change, outage, outage, restart, killLeader, mark},
	"lost-responses": {change, loseResponses, restart, killLeader, expireLeases},
	"freeze":         {change, freeze, thaw, freezeLeader, restart, expireLeases},
	"documents":      {change, invalid, garbage, restart, killLeader, loseMessages},
	"reordering":     {change, change, reorder, duplicate, restart, expireLeases},
	"partition":      {change, change, cutStore, partition, rejoin, restart, killLeader, mark},
	"all": {
		change, change, invalid, garbage, kill, restart, replace, freeze, thaw, loseMessages, duplicate, reorder,
		togglePartition, outage, loseResponses, expireLeases, mark, drain, ready, restartAll,
		killLeader, freezeLeader, cutStore, partition, rejoin,
	},
}

// Guards against a daemon that goes back to a lower number, publishes a partial configuration or an unresolved reference,
// loses a mark of an active move, or does not reach the expected state after random faults.
func TestHistories(t *testing.T) {
	for name, actions := range profiles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { runHistory(t, actions) })
		})
	}
}

// runHistory runs a random sequence of actions, ends all faults, and checks the invariants and the final state.
func runHistory(t *rapid.T, actions []action) {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 4, 1)
	sim.write()
	for _, n := range sim.fleet.Nodes {
		sim.boot(n)
	}
	sim.fleet.Run(3 * time.Second)
	trace := []string{}
	for range rapid.IntRange(1, 7).Draw(t, "steps") {
		a := actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]
		n := sim.fleet.Nodes[rapid.IntRange(0, len(sim.fleet.Nodes)-1).Draw(t, "daemon")]
		pause := time.Duration(rapid.SampledFrom([]int{0, 1, 5, 200, 1_000, 4_000, 7_000}).Draw(t, "pause")) * time.Millisecond
		trace = append(trace, fmt.Sprintf("%v %s %s %v", sim.fleet.Now.Sub(fleet.Start), a.name, n.Target.Daemon, pause))
		a.run(sim, n)
		sim.fleet.Run(pause)
		if len(sim.violations) > 0 {
			break
		}
	}
	if len(sim.violations) == 0 {
		sim.endFaults()
		sim.waitUntilEqual()
	}
	if failures := slices.Concat(sim.violations, sim.differences); len(failures) > 0 {
		t.Fatalf("%s\nafter:\n%s", strings.Join(failures, "\n"), strings.Join(trace, "\n"))
	}
}
