package agent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// Guards against a leader that crashes when it refuses the configuration of a child before it has read a readable document.
func TestLeaderWithoutDocumentRefusesASnapshot(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2)
	sim.fleet.Store.WriteRaw([]byte("unreadable"))
	for _, n := range sim.fleet.Nodes {
		sim.boot(n)
	}
	sim.fleet.Run(4 * time.Second)
	leader := leaderOf(sim.fleet, "dc0")
	child := sim.fleet.Nodes[1-leader.Index]
	invalid := fleet.SampleConfiguration(9, 2)
	invalid.Routes = append(invalid.Routes, model.Route{Name: "lost", Service: "missing", PathPrefix: "/lost"})
	answered := false
	sim.fleet.OnEffect = func(n *fleet.Node, e effect.Effect) {
		if send, ok := e.(effect.Send); ok && n == leader && !answered {
			if _, ok := send.Body.(*message.SnapshotQuery); ok {
				answered = true
				n.Handle(effect.SendDone{Request: send.Request, Reply: &message.SnapshotReply{Configuration: invalid}})
			}
		}
	}
	leader.Handle(effect.RequestReceived{Token: 1 << 40, Body: &message.Heartbeat{
		From: child.Target.Daemon, Incarnation: child.Target.Incarnation, Seq: 1 << 40, Live: 1, Own: 9, Number: 9,
		Full: true, Changed: []model.Target{child.Target},
	}})
	sim.fleet.Run(time.Second)
	is.True(answered)
	is.Equal(leader.Agent.View().Configuration.Number, model.Number(0)) // nothing valid is known yet
}
