package agent_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// member drives one agent by hand up to its announcement to a leader.
type member struct {
	*agent.Agent
	now time.Time
}

func newMember() *member {
	return &member{now: fleet.Start, Agent: agent.New(agent.Config{
		Target: model.Target{Daemon: "d", Incarnation: 1, DataCentre: "dc", PeerAddress: "self"},
		Rand:   rand.New(rand.NewPCG(1, 1)), Codec: fleet.Codec{},
	})}
}

func (m *member) handle(ev effect.Event) []effect.Effect {
	m.now = m.now.Add(time.Millisecond)
	return m.Handle(m.now, ev)
}

// join wakes the agent until it announced itself, and answers the announcement.
func (m *member) join(reply *message.AnnounceReply) {
	value, _ := fleet.Codec{}.EncodeLeader(agent.LeaderRecord{Daemon: "leader", PeerAddress: "leader"})
	entry := store.Entry{Key: store.PrefixLeaders + "dc", Value: value, CreateRevision: 7, ModRevision: 7}
	m.handle(effect.Wake{})
	m.now = m.NextWake()
	for _, e := range m.handle(effect.Wake{}) {
		call, ok := e.(effect.StoreCall)
		if !ok {
			continue
		}
		result := store.Result{Outcome: store.Applied, Entries: []store.Entry{entry}}
		for _, e := range m.handle(effect.StoreDone{Request: call.Request, Result: result}) {
			if s, ok := e.(effect.Send); ok {
				m.handle(effect.SendDone{Request: s.Request, Reply: reply})
			}
		}
	}
}

// Guards against a restarted daemon that serves what a relay holds although its leader already sent a higher number,
// which the daemon may have served before the restart.
func TestServesOnlyTheNumberOfTheLeader(t *testing.T) {
	is := is.New(t)
	m := newMember()
	m.join(&message.AnnounceReply{Code: message.Accepted, Term: 7, Parent: "relay", Number: 5, Current: true})
	m.handle(effect.RequestReceived{Body: &message.Update{Term: 7, Configuration: fleet.Sample(4, 2)}})
	is.True(!m.View().Ready)
	m.handle(effect.RequestReceived{Body: &message.Update{Term: 7, Configuration: fleet.Sample(5, 2)}})
	is.True(m.View().Ready)
}

// Guards against a daemon that serves a number which its leader itself may hold in an old state.
func TestServesNothingWithoutVouch(t *testing.T) {
	is := is.New(t)
	m := newMember()
	m.join(&message.AnnounceReply{Code: message.Accepted, Term: 7, Number: 4})
	m.handle(effect.RequestReceived{Body: &message.Update{Term: 7, Configuration: fleet.Sample(4, 2)}})
	is.True(!m.View().Ready)
}

// Guards against an update of a leader that lost its term to another one.
func TestIgnoresUpdatesOfLowerTerms(t *testing.T) {
	is := is.New(t)
	m := newMember()
	m.join(&message.AnnounceReply{Code: message.Accepted, Term: 7, Number: 4, Current: true})
	for _, e := range m.handle(effect.RequestReceived{Body: &message.Update{Term: 6, Configuration: fleet.Sample(9, 2)}}) {
		if r, ok := e.(effect.Reply); ok {
			is.Equal(r.Body.(*message.UpdateReply).Code, message.Stale)
		}
	}
	is.Equal(m.View().Configuration.Number, model.Number(0))
}

// probe asks the leader of the first data centre whether its number is current.
func probe(f *fleet.Fleet, leader *fleet.Node, target model.Target) bool {
	current := false
	f.Effect = func(n *fleet.Node, e effect.Effect) {
		if r, ok := e.(effect.Reply); ok && n == leader {
			if a, ok := r.Body.(*message.AnnounceReply); ok {
				current = a.Current
			}
		}
	}
	leader.Handle(effect.RequestReceived{Body: &message.Announce{Target: target, Probe: true}})
	return current
}

func leaderOf(f *fleet.Fleet, dc model.DataCentre) *fleet.Node {
	record, _ := f.Store.Leader(dc)
	for _, n := range f.Nodes {
		if n.Target.Daemon == record.Daemon {
			return n
		}
	}
	return nil
}

// Guards against a leader that vouches for its number after a pause in which another leader may have been elected, or
// in an outage in which it cannot reach the other leaders.
func TestVouchesOnlyUnderALeaseOrWithAllLeaders(t *testing.T) {
	is := is.New(t)
	f := startFleet(8, 2)
	leader := leaderOf(f, "dc0")
	is.True(probe(f, leader, leader.Target))
	other := leaderOf(f, "dc1")
	f.Store.SetDown(true)
	f.Run(10 * time.Second)
	is.True(probe(f, leader, leader.Target)) // lease lapsed, but all leaders answer and none reaches the platform
	other.Kill()
	f.Run(10 * time.Second)
	is.True(!probe(f, leader, leader.Target))
}

// Guards against a leader that vouches before it read the document in its own term: the number that it held as a
// member may be lower than what its predecessor sent.
func TestVouchesOnlyAfterReading(t *testing.T) {
	is := is.New(t)
	f := fleet.New(rand.New(rand.NewPCG(1, 2)))
	f.Fill(1, 1, 2)
	f.Store.Write(fleet.Sample(1, 2))
	n := f.Nodes[0]
	f.Store.Delay = func(*fleet.Node) time.Duration { return 100 * time.Millisecond }
	n.Boot()
	for n.Agent.Role() != agent.RoleLeader {
		f.Run(10 * time.Millisecond)
	}
	is.True(!probe(f, n, n.Target))
	f.Run(time.Second)
	is.True(probe(f, n, n.Target))
}

// Guards against a data centre that has nothing to serve, or serves a lower number, after its leader restarted while the
// stored document is invalid: the members still hold the last valid one.
func TestLeaderLearnsFromItsMembers(t *testing.T) {
	is := is.New(t)
	s := newSession(4)
	s.write()
	s.f.Run(time.Second)
	s.writeBad()
	s.f.Run(time.Second)
	for _, n := range s.f.Nodes[:3] {
		s.boot(n)
	}
	s.f.Run(20 * time.Second)
	is.Equal(s.broken, nil)
	for _, n := range s.f.Nodes {
		is.True(n.View.Ready)
		is.Equal(n.View.Configuration.Number, s.valid.Number)
	}
}

// Guards against a source that was set back to an earlier document: daemons keep theirs and report the refusal.
func TestLowerNumberInTheStoreIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSession(3)
	s.write()
	s.f.Run(time.Second)
	s.f.Store.Write(fleet.Sample(1, services))
	s.f.Run(time.Second)
	is.Equal(s.broken, nil)
	for _, n := range s.f.Nodes {
		is.Equal(n.View.Configuration.Number, model.Number(2))
	}
	is.Equal(s.leader().Agent.InForce().Refusals[0].Number, model.Number(1))
}

// Guards against a daemon that never serves because it asks a leader that moved: it restarted while its data centre was
// cut off, and the leader was replaced before it could vouch (history of profile "all", rapid seed 120787).
func TestFindsTheLeaderAfterItWasReplaced(t *testing.T) {
	is := is.New(t)
	s := newSession(4, 1)
	former := s.leader()
	var leaf *fleet.Node
	for _, n := range s.f.Nodes[:4] {
		if n.Agent.Role() == agent.RoleLeaf {
			leaf = n
		}
	}
	s.cutStore("dc0", true)
	s.f.Run(7 * time.Second)
	s.boot(leaf)
	s.f.Run(7 * time.Second)
	s.replace(former)
	s.f.Run(4 * time.Second)
	s.heal()
	s.f.Run(30 * time.Second)
	is.Equal(s.broken, nil)
	is.True(leaf.View.Ready)
}
