package agent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/store"
)

// step is an action on one daemon and the time after it.
type step struct {
	action action
	daemon int
	pause  time.Duration
}

// killElected kills the next leader of the first data centre 10 ms after its election.
var killElected = action{"kill-elected", func(w *world, n *fleet.Node) {
	for range 2000 {
		if l := leaderOf(w.f, "dc0"); l != nil && l.Agent.Role() == agent.RoleLeader {
			break
		}
		w.f.Run(5 * time.Millisecond)
	}
	w.f.Run(10 * time.Millisecond)
	killLeader.run(w, n)
}}

// found are histories that once ended in another state than the naive version, each with the fault that it showed.
var found = map[string][]step{
	"a new leader inherits silent targets and hides what they announce": {
		{freezeLeader, 0, 9 * time.Second}, {killLeader, 0, 12 * time.Second},
	},
	"all daemons of a data centre stay ready elsewhere after they died": {
		{kill, 1, 0}, {kill, 2, 0}, {kill, 0, 7 * time.Second}, {killLeader, 0, 0},
	},
	"marks are not sent to the next leader of another data centre": {
		{change, 0, 0}, {change, 0, 0}, {cut, 0, 0}, {mark, 4, 0}, {change, 0, 0}, {lossy, 2, 200 * time.Millisecond},
		{restart, 3, 200 * time.Millisecond},
	},
	"a dead daemon stays ready because a new leader knows only its older incarnation": {
		{onLeader(restart), 0, 4 * time.Second}, {killElected, 0, 0},
	},
	"a new leader never hears of a data centre that died with its predecessor": {
		{kill, 4, 0}, {killLeader, 0, 0}, {kill, 5, 0},
	},
	"a leader elected again takes its former roster for known": {
		{killLeader, 0, 7 * time.Second}, {change, 0, 4 * time.Second}, {outage, 0, 4 * time.Second},
	},
	"a daemon asks a former leader for its number forever": {
		{restart, 5, time.Millisecond}, {change, 4, 0}, {outage, 4, 5 * time.Millisecond}, {restart, 1, 7 * time.Second},
		{restart, 3, 200 * time.Millisecond},
	},
}

// Guards against the faults that histories found.
func TestFoundHistories(t *testing.T) {
	for name, steps := range found {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				w := newWorld(seed, 4, 2)
				w.write()
				for _, n := range w.f.Nodes {
					w.boot(n)
				}
				w.f.Run(4 * time.Second)
				for _, s := range steps {
					s.action.run(w, w.f.Nodes[s.daemon])
					w.f.Run(s.pause)
				}
				w.heal()
				w.settle()
				for _, text := range append(w.broken, w.faults...) {
					t.Errorf("seed %d: %s", seed, text)
				}
			}
		})
	}
}

// Guards against a leader that waits for its own lease to expire because the answer to its write was lost.
func TestRecognisesItsLeaseAfterALostAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1)
	w.write()
	w.f.Store.LoseAnswer = func(call store.Call) bool { return call.Kind == store.KindTxn }
	n := w.f.Nodes[0]
	w.boot(n)
	for written := time.Duration(0); n.Agent.Role() != agent.RoleLeader; written += time.Millisecond {
		if _, ok := w.f.Store.Leader("dc0"); !ok {
			written = 0
		}
		is.True(written < 2*time.Second) // the lease lasts 5 s
		w.f.Run(time.Millisecond)
	}
}
