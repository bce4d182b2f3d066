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

// checks is the number of histories of each profile, over 10,000 in all.
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
	run  func(w *world, n *fleet.Node)
}

var (
	change  = action{"change", func(w *world, _ *fleet.Node) { w.write() }}
	invalid = action{"invalid", func(w *world, _ *fleet.Node) { w.writeBad() }}
	garbage = action{"garbage", func(w *world, _ *fleet.Node) { w.garbage() }}
	kill    = action{"kill", func(_ *world, n *fleet.Node) { n.Kill() }}
	restart = action{"restart", func(w *world, n *fleet.Node) { w.boot(n) }}
	replace = action{"replace", func(w *world, n *fleet.Node) { w.replace(n) }}
	freeze  = action{"freeze", func(_ *world, n *fleet.Node) { n.Freeze() }}
	thaw    = action{"thaw", func(_ *world, n *fleet.Node) { n.Thaw() }}
	lossy   = action{"lossy", func(w *world, _ *fleet.Node) { w.loss = 0.3 }}
	twice   = action{"twice", func(w *world, _ *fleet.Node) { w.twice = 0.3 }}
	crossed = action{"crossed", func(w *world, _ *fleet.Node) { w.cross = 0.4 }}
	cut     = action{"cut", func(w *world, _ *fleet.Node) { w.cut = !w.cut }}
	outage  = action{"outage", func(w *world, _ *fleet.Node) { w.f.Store.SetDown(!w.f.Store.Down) }}
	unknown = action{"unknown", func(w *world, _ *fleet.Node) { w.loseAnswers(0.5) }}
	lapse   = action{"lapse", func(w *world, _ *fleet.Node) { w.f.Store.Expire() }}
	mark    = action{"mark", func(w *world, n *fleet.Node) { w.withhold(n) }}
	drain   = action{"drain", func(_ *world, n *fleet.Node) {
		n.Handle(effect.TargetChanged{State: model.TargetDraining})
	}}
	ready = action{"ready", func(_ *world, n *fleet.Node) { n.Handle(effect.TargetChanged{State: model.TargetReady}) }}
	all   = action{"all", func(w *world, _ *fleet.Node) {
		for _, n := range w.f.Nodes {
			w.boot(n)
		}
	}}
	cutStore  = action{"cut-store", func(w *world, n *fleet.Node) { w.cutStore(n.Target.DataCentre, false) }}
	partition = action{"partition", func(w *world, n *fleet.Node) { w.cutStore(n.Target.DataCentre, true) }}
	rejoin    = action{"rejoin", func(w *world, _ *fleet.Node) { w.f.Store.Cut, w.cut = nil, false }}
	// These apply to the leader of the first data centre instead of the drawn daemon.
	killLeader   = onLeader(kill)
	freezeLeader = onLeader(freeze)
)

func onLeader(a action) action {
	return action{a.name + "-leader", func(w *world, _ *fleet.Node) {
		record, ok := w.f.Store.Leader("dc0")
		for _, n := range w.f.Nodes {
			if ok && n.Target.Daemon == record.Daemon {
				a.run(w, n)
			}
		}
	}}
}

var profiles = map[string][]action{
	"network":   {change, change, lossy, twice, crossed, cut, mark, drain},
	"restarts":  {change, kill, restart, replace, killLeader, all, drain, ready},
	"outage":    {change, outage, outage, restart, killLeader, mark},
	"answers":   {change, unknown, restart, killLeader, lapse},
	"freeze":    {change, freeze, thaw, freezeLeader, restart, lapse},
	"documents": {change, invalid, garbage, restart, killLeader, lossy},
	"crossing":  {change, change, crossed, twice, restart, lapse},
	"partition": {change, change, cutStore, partition, rejoin, restart, killLeader, mark},
	"all": {
		change, change, invalid, garbage, kill, restart, replace, freeze, thaw, lossy, twice, crossed, cut, outage, unknown, lapse,
		mark, drain, ready, all, killLeader, freezeLeader, cutStore, partition, rejoin,
	},
}

// Guards against a daemon that goes back to a lower number, shows part of a configuration or an unresolved reference,
// forgets a withheld version, or ends in another state than one that reads everything from the source.
func TestHistories(t *testing.T) {
	for name, actions := range profiles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { history(t, actions) })
		})
	}
}

func history(t *rapid.T, actions []action) {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), 4, 1)
	w.write()
	for _, n := range w.f.Nodes {
		w.boot(n)
	}
	w.f.Run(3 * time.Second)
	trace := []string{}
	for range rapid.IntRange(1, 7).Draw(t, "steps") {
		a := actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]
		n := w.f.Nodes[rapid.IntRange(0, len(w.f.Nodes)-1).Draw(t, "daemon")]
		pause := time.Duration(rapid.SampledFrom([]int{0, 1, 5, 200, 1_000, 4_000, 7_000}).Draw(t, "pause")) * time.Millisecond
		trace = append(trace, fmt.Sprintf("%v %s %s %v", w.f.Now.Sub(fleet.Start), a.name, n.Target.Daemon, pause))
		a.run(w, n)
		w.f.Run(pause)
		if len(w.broken) > 0 {
			break
		}
	}
	if len(w.broken) == 0 {
		w.heal()
		w.settle()
	}
	if found := slices.Concat(w.broken, w.faults); len(found) > 0 {
		t.Fatalf("%s\nafter:\n%s", strings.Join(found, "\n"), strings.Join(trace, "\n"))
	}
}
