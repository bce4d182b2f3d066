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

// session records what the daemons of a world log and which number, readiness and count of targets they show.
type session struct {
	*world
	text  strings.Builder
	shown map[model.DaemonID]string
}

func newSession(sizes ...int) *session {
	s := &session{world: newWorld(3, sizes...), shown: map[model.DaemonID]string{}}
	check := s.f.Effect
	s.f.Effect = func(n *fleet.Node, e effect.Effect) {
		check(n, e)
		s.record(n, e)
	}
	s.write()
	for _, n := range s.f.Nodes {
		s.boot(n)
	}
	s.f.Run(10 * time.Second)
	return s
}

func (s *session) line(format string, args ...any) {
	fmt.Fprintf(&s.text, "%9.3f ", s.f.Now.Sub(fleet.Start).Seconds())
	fmt.Fprintf(&s.text, format+"\n", args...)
}

func (s *session) record(n *fleet.Node, e effect.Effect) {
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
		if s.shown[n.Target.Daemon] != text {
			s.shown[n.Target.Daemon] = text
			s.line("%s shows %s", n.Target.Daemon, text)
		}
	}
}

// step writes a comment, acts and lets time pass.
func (s *session) step(comment string, pause time.Duration, act func()) {
	s.line("-- %s", comment)
	act()
	s.f.Run(pause)
}

func (s *session) leader() *fleet.Node { return leaderOf(s.f, "dc0") }

// finish compares the session with its golden file, after the invariants and the naive version.
func (s *session) finish(t *testing.T, name string) {
	t.Helper()
	s.settle()
	for _, text := range append(s.broken, s.faults...) {
		t.Error(text)
	}
	goldie.New(t).Assert(t, name, []byte(s.text.String()))
}

// Guards against a change that stops half way when its leader dies, and against members that stay with the dead one.
func TestSessionLeaderDiesDuringChange(t *testing.T) {
	s := newSession(5, 2)
	s.step("change; its leader dies before the members have it", 2*time.Millisecond, s.write)
	s.step("leader dies", 15*time.Second, func() { s.leader().Kill() })
	s.step("another change", 5*time.Second, s.write)
	s.finish(t, "leader-dies-during-change")
}

// Guards against a data centre that cannot come back when all its daemons start at once.
func TestSessionDataCentreReturns(t *testing.T) {
	s := newSession(5, 2)
	s.step("all daemons of dc0 die", 30*time.Second, func() {
		for _, n := range s.f.Nodes[:5] {
			n.Kill()
		}
	})
	s.step("all daemons of dc0 return", 15*time.Second, func() {
		for _, n := range s.f.Nodes[:5] {
			s.boot(n)
		}
	})
	s.finish(t, "data-centre-returns")
}

// Guards against a daemon that serves an old number, or never serves, when it restarts during an outage.
func TestSessionStoreOutageWithRestarts(t *testing.T) {
	s := newSession(4, 2)
	s.step("outage", 8*time.Second, func() { s.f.Store.SetDown(true) })
	s.step("a member restarts: its leader reaches all others and vouches", 5*time.Second, func() {
		for _, n := range s.f.Nodes[:4] {
			if n != s.leader() && n.Agent.Role() != "leader" {
				s.boot(n)
				return
			}
		}
	})
	s.step("the leader restarts too: nobody can vouch", 12*time.Second, func() {
		for _, n := range s.f.Nodes[:4] {
			if n.Agent.Role() == "leader" {
				s.boot(n)
				return
			}
		}
	})
	s.step("the platform returns", 10*time.Second, func() { s.f.Store.SetDown(false) })
	s.finish(t, "store-outage-with-restarts")
}

// Guards against a leader that does not recognise its own lease after the answer to its write was lost.
func TestSessionLostAnswer(t *testing.T) {
	s := newSession(3)
	s.step("the leader dies; answers of writes are lost", 20*time.Second, func() {
		s.leader().Kill()
		s.loseAnswers(0.7)
	})
	s.step("answers arrive again; a change", 10*time.Second, func() {
		s.f.Store.LoseAnswer = nil
		s.write()
	})
	s.finish(t, "lost-answer")
}

// Guards against a leader that acts on its lease after a pause in which another leader was elected.
func TestSessionPausedLeader(t *testing.T) {
	s := newSession(4, 2)
	paused := s.leader()
	s.step("the leader is paused", 10*time.Second, paused.Freeze)
	s.step("change", 2*time.Second, s.write)
	s.step("the former leader runs again", 5*time.Second, paused.Thaw)
	s.finish(t, "paused-leader")
}

// Guards against a region without the platform that looks current, and against one that does not catch up afterwards.
func TestSessionRegionPartitioned(t *testing.T) {
	s := newSession(2, 3)
	s.step("dc0 is cut off", 12*time.Second, func() { s.cutStore("dc0", true) })
	s.step("change", 25*time.Second, s.write)
	s.step("dc0 is connected again", 20*time.Second, s.heal)
	s.finish(t, "region-partitioned")
}
