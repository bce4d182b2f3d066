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

// member is one agent whose events the test provides, up to its announcement to a leader.
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

// join wakes the agent until it announces itself to a leader, and replies to the announcement.
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

// Guards against a restarted daemon that serves the number of a relay although its leader has already sent a higher number.
// The daemon may have served that higher number before the restart.
func TestServesOnlyTheNumberOfTheLeader(t *testing.T) {
	is := is.New(t)
	m := newMember()
	m.join(&message.AnnounceReply{Code: message.Accepted, Term: 7, Parent: "relay", Number: 5, Current: true})
	m.handle(effect.RequestReceived{Body: &message.Update{Term: 7, Configuration: fleet.SampleConfiguration(4, 2)}})
	is.True(!m.View().Ready)
	m.handle(effect.RequestReceived{Body: &message.Update{Term: 7, Configuration: fleet.SampleConfiguration(5, 2)}})
	is.True(m.View().Ready)
}

// Guards against a daemon that serves a number which its leader has not confirmed to be current.
func TestServesNothingWithoutConfirmation(t *testing.T) {
	is := is.New(t)
	m := newMember()
	m.join(&message.AnnounceReply{Code: message.Accepted, Term: 7, Number: 4})
	m.handle(effect.RequestReceived{Body: &message.Update{Term: 7, Configuration: fleet.SampleConfiguration(4, 2)}})
	is.True(!m.View().Ready)
}

// Guards against a daemon that applies the update of a leader after another leader was elected.
func TestIgnoresUpdatesOfLowerTerms(t *testing.T) {
	is := is.New(t)
	m := newMember()
	m.join(&message.AnnounceReply{Code: message.Accepted, Term: 7, Number: 4, Current: true})
	for _, e := range m.handle(effect.RequestReceived{Body: &message.Update{Term: 6, Configuration: fleet.SampleConfiguration(9, 2)}}) {
		if r, ok := e.(effect.Reply); ok {
			is.Equal(r.Body.(*message.UpdateReply).Code, message.Stale)
		}
	}
	is.Equal(m.View().Configuration.Number, model.Number(0))
}

// probe sends the leader of the first data centre an announcement that only asks whether its number is current.
func probe(f *fleet.Fleet, leader *fleet.Node, target model.Target) bool {
	current := false
	f.OnEffect = func(n *fleet.Node, e effect.Effect) {
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

// Guards against a leader that confirms its number although its lease may have expired and another leader may have been
// elected, or in an outage in which it cannot reach the other leaders.
func TestConfirmsNumberOnlyUnderALeaseOrWithAllLeaders(t *testing.T) {
	is := is.New(t)
	f := startFleet(8, 2)
	leader := leaderOf(f, "dc0")
	is.True(probe(f, leader, leader.Target))
	other := leaderOf(f, "dc1")
	f.Store.SetDown(true)
	f.Run(10 * time.Second)
	is.True(probe(f, leader, leader.Target)) // the lease expired, but all leaders answer and none reaches the platform
	other.Kill()
	f.Run(10 * time.Second)
	is.True(!probe(f, leader, leader.Target))
}

// Guards against a leader that confirms its number before it has read the document in its own term: the number that it held
// as a member may be lower than what its predecessor sent.
func TestConfirmsNumberOnlyAfterReading(t *testing.T) {
	is := is.New(t)
	f := fleet.New(rand.New(rand.NewPCG(1, 2)))
	f.AddDaemons(1, 1, 2)
	f.Store.Write(fleet.SampleConfiguration(1, 2))
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

// Guards against a data centre that serves nothing or a lower number after its leader restarted while the stored document is
// invalid. The leader must get the last valid configuration from its members.
func TestLeaderLearnsFromItsMembers(t *testing.T) {
	is := is.New(t)
	s := newScenario(4)
	s.write()
	s.fleet.Run(time.Second)
	s.writeInvalid()
	s.fleet.Run(time.Second)
	for _, n := range s.fleet.Nodes[:3] {
		s.boot(n)
	}
	s.fleet.Run(20 * time.Second)
	is.Equal(s.violations, nil)
	for _, n := range s.fleet.Nodes {
		is.True(n.View.Ready)
		is.Equal(n.View.Configuration.Number, s.lastValid.Number)
	}
}

// Guards against a daemon that goes back to a lower number because the stored document was reset to an earlier one. Daemons
// keep their configuration and report the refusal.
func TestLowerNumberInTheStoreIsRefused(t *testing.T) {
	is := is.New(t)
	s := newScenario(3)
	s.write()
	s.fleet.Run(time.Second)
	s.fleet.Store.Write(fleet.SampleConfiguration(1, services))
	s.fleet.Run(time.Second)
	is.Equal(s.violations, nil)
	for _, n := range s.fleet.Nodes {
		is.Equal(n.View.Configuration.Number, model.Number(2))
	}
	is.Equal(s.leader().Agent.InForce().Refusals[0].Number, model.Number(1))
}

// Guards against a daemon that never serves because it keeps asking a leader that has moved to another address. The daemon
// restarted while its data centre was cut off, and the leader was replaced before it could confirm its number (history of
// profile "all", rapid seed 120787).
func TestFindsTheLeaderAfterItWasReplaced(t *testing.T) {
	is := is.New(t)
	s := newScenario(4, 1)
	former := s.leader()
	var leaf *fleet.Node
	for _, n := range s.fleet.Nodes[:4] {
		if n.Agent.Role() == agent.RoleLeaf {
			leaf = n
		}
	}
	s.cutOff("dc0", true)
	s.fleet.Run(7 * time.Second)
	s.boot(leaf)
	s.fleet.Run(7 * time.Second)
	s.replace(former)
	s.fleet.Run(4 * time.Second)
	s.endFaults()
	s.fleet.Run(30 * time.Second)
	is.Equal(s.violations, nil)
	is.True(leaf.View.Ready)
}
