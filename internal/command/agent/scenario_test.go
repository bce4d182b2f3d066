package agent_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
)

// scenario is a simulation that records what the daemons log and a summary of the views that they publish.
type scenario struct {
	*simulation
	text strings.Builder
	// lastShown is the last summary that was recorded for each daemon.
	lastShown map[model.DaemonID]string
}

func newScenario(sizes ...int) *scenario {
	s := &scenario{simulation: newSimulation(3, sizes...), lastShown: map[model.DaemonID]string{}}
	check := s.fleet.OnEffect
	s.fleet.OnEffect = func(n *fleet.Node, e effect.Effect) {
		check(n, e)
		s.record(n, e)
	}
	s.write()
	for _, n := range s.fleet.Nodes {
		s.boot(n)
	}
	s.fleet.Run(10 * time.Second)
	return s
}

func (s *scenario) line(format string, args ...any) {
	fmt.Fprintf(&s.text, "%9.3f ", s.fleet.Now.Sub(fleet.Start).Seconds())
	fmt.Fprintf(&s.text, format+"\n", args...)
}

func (s *scenario) record(n *fleet.Node, e effect.Effect) {
	switch e := e.(type) {
	case effect.Log:
		fields := ""
		for _, f := range e.Fields {
			fields += fmt.Sprintf(" %s=%q", f.Key, f.Value)
		}
		s.line("%s %s%s", n.Target.Daemon, e.Event, fields)
	case effect.Publish:
		v := e.View
		text := fmt.Sprintf("number %d, ready %v, isolated %v, targets %d of %d, marks %d", v.Configuration.Number, v.Ready,
			v.Isolated, len(live(v.Targets)), len(v.Targets), len(v.Marks))
		if s.lastShown[n.Target.Daemon] != text {
			s.lastShown[n.Target.Daemon] = text
			s.line("%s shows %s", n.Target.Daemon, text)
		}
	}
}

// step records a comment, runs an action and then the fleet for a time.
func (s *scenario) step(comment string, pause time.Duration, act func()) {
	s.line("-- %s", comment)
	act()
	s.fleet.Run(pause)
}

func (s *scenario) leader() *fleet.Node { return leaderOf(s.fleet, "dc0") }

// finish checks the invariants and the final state, and compares the record with its golden file.
func (s *scenario) finish(t *testing.T, name string) {
	t.Helper()
	s.waitUntilEqual()
	for _, text := range append(s.violations, s.differences...) {
		t.Error(text)
	}
	goldie.New(t).Assert(t, name, []byte(s.text.String()))
}

// Guards against a change that reaches only some daemons because the leader died while it sent it, and against members that
// keep the dead leader as their parent.
func TestScenarioLeaderDiesDuringChange(t *testing.T) {
	s := newScenario(5, 2)
	s.step("change; its leader dies before the members have it", 2*time.Millisecond, s.write)
	s.step("leader dies", 15*time.Second, func() { s.leader().Kill() })
	s.step("another change", 5*time.Second, s.write)
	s.finish(t, "leader-dies-during-change")
}

// Guards against a data centre that does not recover if all its daemons start at once.
func TestScenarioDataCentreReturns(t *testing.T) {
	s := newScenario(5, 2)
	s.step("all daemons of dc0 die", 30*time.Second, func() {
		for _, n := range s.fleet.Nodes[:5] {
			n.Kill()
		}
	})
	s.step("all daemons of dc0 return", 15*time.Second, func() {
		for _, n := range s.fleet.Nodes[:5] {
			s.boot(n)
		}
	})
	s.finish(t, "data-centre-returns")
}

// Guards against a daemon that serves an outdated number, or never serves, if it restarts during an outage of the store.
func TestScenarioStoreOutageWithRestarts(t *testing.T) {
	s := newScenario(4, 2)
	s.step("outage", 8*time.Second, func() { s.fleet.Store.SetDown(true) })
	s.step("a member restarts: its leader reaches all others and confirms its number", 5*time.Second, func() {
		for _, n := range s.fleet.Nodes[:4] {
			if n != s.leader() && n.Agent.Role() != "leader" {
				s.boot(n)
				return
			}
		}
	})
	s.step("the leader restarts too: no leader can confirm a number", 12*time.Second, func() {
		for _, n := range s.fleet.Nodes[:4] {
			if n.Agent.Role() == "leader" {
				s.boot(n)
				return
			}
		}
	})
	s.step("the platform returns", 10*time.Second, func() { s.fleet.Store.SetDown(false) })
	s.finish(t, "store-outage-with-restarts")
}

// Guards against a leader that does not recognise its own lease after the response to its write was lost.
func TestScenarioLostResponse(t *testing.T) {
	s := newScenario(3)
	s.step("the leader dies; answers of writes are lost", 20*time.Second, func() {
		s.leader().Kill()
		s.loseResponses(0.7)
	})
	s.step("answers arrive again; a change", 10*time.Second, func() {
		s.fleet.Store.LoseResponse = nil
		s.write()
	})
	s.finish(t, "lost-answer")
}

// Guards against a leader that acts on its lease after a pause in which another leader was elected.
func TestScenarioPausedLeader(t *testing.T) {
	s := newScenario(4, 2)
	paused := s.leader()
	s.step("the leader is paused", 10*time.Second, paused.Freeze)
	s.step("change", 2*time.Second, s.write)
	s.step("the former leader runs again", 5*time.Second, paused.Thaw)
	s.finish(t, "paused-leader")
}

// Guards against a region that is disconnected from the platform and not shown as isolated, and against one that does not
// catch up afterwards.
func TestScenarioRegionPartitioned(t *testing.T) {
	s := newScenario(2, 3)
	s.step("dc0 is cut off", 12*time.Second, func() { s.cutOff("dc0", true) })
	s.step("change", 25*time.Second, s.write)
	s.step("dc0 is connected again", 20*time.Second, s.endFaults)
	s.finish(t, "region-partitioned")
}
