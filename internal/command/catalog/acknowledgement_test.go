package catalog_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// leaseLifetime is the lifetime of an announcement without renewal.
const leaseLifetime = 30 * time.Second

// killAll kills all daemons and starts them again. What the platform answers them stays as it is.
func (sim *simulation) killAll() {
	for _, n := range slices.Clone(sim.nodes) {
		name := strings.TrimSuffix(n.address, ":1")
		sim.start(name, []string{"d00:1", "d01:1"}).platformUnreachable = n.platformUnreachable
	}
}

// refuseCalls makes the platform answer no call of any node, or no call of d02 only.
func (sim *simulation) refuseCalls(onlyLocal bool) {
	for _, n := range sim.nodes {
		n.platformUnreachable = !onlyLocal || n == sim.byName["d02"]
	}
}

// Guards against an acknowledgement that only the memory of the daemons keeps: once the platform was silent or refused calls, all daemons
// were killed, and a delayed report put a target into service that was acknowledged as draining or gone (review/15).
func TestAcknowledgedLeavingOutlivesAllDaemons(t *testing.T) {
	faults := map[string]func(*simulation){
		"the platform answers nobody":             func(sim *simulation) { sim.refuseCalls(false) },
		"the platform refuses the daemon's calls": func(sim *simulation) { sim.refuseCalls(true) },
		"the platform answers late":               func(sim *simulation) { sim.nodes[2].responseDelay = 1400 * time.Millisecond },
		"a response is lost":                      func(sim *simulation) { sim.nodes[2].silentStoreCalls = 1 },
		"the daemon has just started": func(sim *simulation) {
			sim.start("d02", []string{"d00:1"})
			sim.refuseCalls(false)
		},
	}
	for faultName, fault := range faults {
		for _, c := range departureCases() {
			if c.leaving || c.name == "another run has started" {
				continue // no report of the run that leaves
			}
			t.Run(c.name+"/"+faultName, func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t, 4)
				sim.startTargets("v1")
				fault(sim)
				acknowledged := c.repeatUntilAcknowledged(sim, 3)
				sim.killAll()
				sim.run(time.Second)
				sim.setPlatformOutage(false)
				sim.run(500 * time.Millisecond)
				sim.report(sim.nodes[2], c.late)
				for range 100 {
					sim.run(100 * time.Millisecond)
					local := sim.nodes[2].view.Local
					is.True(!acknowledged || local.State != model.TargetReady || local.Instance != c.late.Instance)
				}
			})
		}
	}
}

// repeatUntilAcknowledged hands what the target says to its daemon, and reports whether the last report was acknowledged when sent up to
// the given number of times. The run must be out of service from its first leaving report on.
func (c *departure) repeatUntilAcknowledged(sim *simulation, times int) bool {
	n := sim.nodes[2]
	for i, r := range c.before {
		for range times {
			token := sim.report(n, r)
			if r.State != model.TargetReady && n.view != nil && n.view.Local.State == model.TargetReady && n.view.Local.Instance == r.Instance {
				sim.t.Fatalf("the run is in service after the report %+v", r)
			}
			sim.run(ackBound)
			answer, answered := n.answers[token]
			if !answered {
				sim.t.Fatalf("the report %+v has no answer after %s", r, ackBound)
			}
			if answer.OK() && i == len(c.before)-1 {
				return true
			}
		}
	}
	return false
}

// Guards against a repeated report of a target that leaves, or one that arrives late, which is acknowledged at once although the platform
// has not stored the first one.
func TestRepeatedLeavingIsAcknowledgedOnlyOnceStored(t *testing.T) {
	for _, r := range []model.TargetReport{
		reportOf("i2", 1, 10, model.TargetDraining), reportOf("i2", 1, 0, model.TargetGone), reportOf("i2", 0, 0, model.TargetGone),
		reportOf("i3", 0, 0, model.TargetGone), reportOf("i3", 5, 0, model.TargetGone),
	} {
		is := is.New(t)
		sim := newSimulation(t, 4)
		sim.startTargets("v1")
		n := sim.nodes[2]
		sim.setPlatformOutage(true)
		for range 3 {
			token := sim.report(n, r)
			sim.run(ackBound)
			is.Equal(n.answers[token].Code, model.OutcomeUnavailable)
			r.Seq++
		}
		sim.setPlatformOutage(false)
		sim.run(2 * time.Second)
		token := sim.report(n, r)
		is.Equal(n.answers[token].Code, model.OutcomeApplied)
	}
}

// Guards against the acknowledgement of a late report of an earlier run while the platform does not hold that a later run has taken its
// place: the daemon knows that from its own memory, or its next process from a peer.
func TestLateLeavingOfEarlierRunIsAcknowledgedOnlyOnceStored(t *testing.T) {
	for _, restart := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(t, 4)
		sim.startTargets("v1")
		sim.setPlatformOutage(true)
		n := sim.nodes[2]
		sim.report(n, reportOf("i3", 5, 1, model.TargetReady))
		sim.report(n, reportOf("i3", 5, 2, model.TargetDraining))
		sim.run(ackBound)
		if restart {
			n = sim.start("d02", []string{"d00:1"})
			n.platformUnreachable = true
			sim.run(time.Second)
		}
		token := sim.report(n, reportOf("i2", 1, 10, model.TargetDraining))
		sim.run(ackBound)
		is.Equal(n.answers[token].Code, model.OutcomeUnavailable)
	}
}

// Guards against a daemon that never acknowledges a late report of a run which the platform already holds as ended.
func TestLateLeavingIsAcknowledgedByTheStoredRecord(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	sim.report(sim.nodes[2], reportOf("i2", 1, 0, model.TargetGone))
	sim.run(time.Second)
	n := sim.start("d02", []string{"d00:1"})
	sim.run(time.Second)
	token := sim.report(n, reportOf("i2", 1, 10, model.TargetDraining))
	sim.run(ackBound)
	is.Equal(n.answers[token].Code, model.OutcomeApplied)
}

// Guards against the loss of the record of a run that was acknowledged as gone, soon after that: the platform removes the key, or the lease
// of the announcement was about to end.
func TestRecordOfGoneRunOutlivesLateReports(t *testing.T) {
	const lateBy = 10 * time.Second
	losses := map[string]struct {
		// outage is the time without the platform before the run leaves; removed says that the platform removes the key afterwards.
		outage  time.Duration
		removed bool
	}{
		"the key is removed":        {0, true},
		"the lease was to end":      {leaseLifetime - 10*time.Second, false},
		"the lease ended meanwhile": {leaseLifetime + time.Second, false},
	}
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newNamedSimulation(t, 4)
			sim.startTargets("v1")
			n := sim.nodes[2]
			sim.refuseCalls(true)
			sim.run(loss.outage)
			gone := reportOf("i2", 1, 0, model.TargetGone)
			sim.report(n, gone)
			n.platformUnreachable = false
			sim.run(2 * time.Second)
			token := sim.report(n, gone)
			is.Equal(n.answers[token].Code, model.OutcomeApplied)
			if loss.removed {
				sim.store.Expire(store.PrefixTargets + "d02")
			}
			sim.run(lateBy)
			sim.killAll()
			sim.run(time.Second)
			sim.report(sim.nodes[2], reportOf("i2", 1, 9, model.TargetReady))
			for range 50 {
				sim.run(100 * time.Millisecond)
				is.True(sim.nodes[2].view.Local.State != model.TargetReady)
			}
		})
	}
}

// Guards against the acknowledgement of a late report by what only peers have told about the run.
func TestLeavingKnownFromPeersIsAcknowledgedOnlyOnceStored(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	sim.refuseCalls(true)
	sim.report(sim.nodes[2], reportOf("i3", 0, 0, model.TargetGone)) // has not reported yet
	sim.run(ackBound)
	for _, n := range sim.nodes {
		n.peersUnreachable = true
	}
	n := sim.start("d02", nil)
	sim.report(n, reportOf("i2", 1, 9, model.TargetReady))
	sim.run(10 * time.Second)
	is.Equal(n.view.Local.State, model.TargetReady)
	n.platformUnreachable = true
	for _, other := range sim.nodes {
		other.peersUnreachable = false
	}
	sim.run(4 * time.Second)
	token := sim.report(n, reportOf("i3", 5, 4, model.TargetDraining))
	sim.run(ackBound)
	is.Equal(n.answers[token].Code, model.OutcomeUnavailable)
}

// Guards against a daemon that acknowledges the leaving of a run before its calls have stopped.
func TestCallsStopBeforeAnyAnswer(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	n := sim.nodes[2]
	effects := n.core.Handle(sim.now, effect.TargetReported{Token: 99, Report: model.TargetReport{
		Instance: "i2", Born: 1, Seq: 10, Service: "profiles", Version: "v1", Slots: 12, State: model.TargetDraining,
	}})
	published, ok := effects[0].(effect.Publish)
	is.True(ok)
	is.Equal(published.View.Local.State, model.TargetDraining)
}
