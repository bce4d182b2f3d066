package agent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
)

// driver is an extension that takes the evidence of its agent each second and is the driver of moves while the agent leads.
type driver struct {
	a     *agent.Agent
	next  time.Time
	calls map[model.DataCentre]uint32
}

func (d *driver) Handle(now time.Time, _ effect.Event) {
	if now.Before(d.next) {
		return
	}
	d.next = now.Add(time.Second)
	_, leads := d.a.Leader()
	d.a.SetDriver(leads)
	for _, e := range d.a.TakeEvidence() {
		for _, s := range e.Sums {
			d.calls[e.DataCentre] += s.Calls
		}
	}
}

func (d *driver) NextWake() time.Time { return d.next }

// Guards against evidence that is counted twice if messages are delivered twice, that is lost although no message was lost, or
// that is sent for services without a move.
func TestEvidenceReachesTheDriverOnce(t *testing.T) {
	is := is.New(t)
	s := newScenario(5, 3)
	s.duplicate, s.delayed = 0.5, 0
	for range 3 {
		s.write() // number 4 has a move of service-00
	}
	d := &driver{a: s.leader().Agent, calls: map[model.DataCentre]uint32{}}
	d.a.Extend(d)
	s.fleet.Run(5 * time.Second)
	for range 10 {
		for _, n := range s.fleet.Nodes {
			for _, service := range []model.ServiceName{"service-00", "service-01"} {
				n.Handle(effect.OutcomesObserved{Sums: []model.KeyedSum{{
					OutcomeKey: model.OutcomeKey{Service: service, Version: "v2"}, OutcomeSum: model.OutcomeSum{Calls: 1},
				}}})
			}
		}
		s.fleet.Run(700 * time.Millisecond)
	}
	s.fleet.Run(5 * time.Second)
	is.Equal(d.calls, map[model.DataCentre]uint32{"dc0": 50, "dc1": 30}) // ten calls at each of 5 and 3 daemons
}

// allViewsShow reports whether no live daemon's view has a target in a state other than the given ones.
func allViewsShow(f *fleet.Fleet, id model.DaemonID, states ...model.TargetState) bool {
	for _, n := range f.Nodes {
		for _, t := range n.View.Targets {
			seen := false
			for _, s := range states {
				seen = seen || t.State == s
			}
			if n.Alive && t.Daemon == id && !seen {
				return false
			}
		}
	}
	return true
}

// Guards against a draining target that still receives calls after 3 s, and a dead one that still receives calls after 5 s.
func TestDrainingAndDeadTargetsAreKnownInTime(t *testing.T) {
	for i := range 12 {
		is := is.New(t)
		f := startFleet(40, 2)
		f.Run(time.Duration(i) * 83 * time.Millisecond)
		draining, dead := f.Nodes[i], f.Nodes[i+20]
		draining.Handle(effect.TargetChanged{State: model.TargetDraining})
		f.Run(3 * time.Second)
		is.True(allViewsShow(f, draining.Target.Daemon, model.TargetDraining))
		if dead.Agent.Role() == agent.RoleLeader {
			continue // its lease has to expire first
		}
		dead.Kill()
		f.Run(5 * time.Second)
		is.True(allViewsShow(f, dead.Target.Daemon, model.TargetSilent))
	}
}

// Guards against a summary in force that does not name a data centre without exchanges as blind, or counts a silent daemon.
func TestInForceNamesSilentAndBlind(t *testing.T) {
	is := is.New(t)
	s := newScenario(4, 2)
	is.Equal(s.leader().Agent.InForce().Live, 6)
	for _, n := range s.fleet.Nodes[:4] {
		if n.Agent.Role() != agent.RoleLeader {
			n.Freeze()
			break
		}
	}
	s.partitioned = true
	s.write()
	s.fleet.Run(9 * time.Second)
	f := s.leader().Agent.InForce()
	is.Equal(len(f.Silent), 1)
	is.Equal(f.Blind, []model.DataCentre{"dc1"})
	is.Equal(f.Live, 3)
	is.Equal(f.Number, model.Number(2))
}
