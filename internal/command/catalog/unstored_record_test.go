package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
)

// ackBound is the time within which a target that leaves is answered while the platform is away.
const ackBound = 700 * time.Millisecond

// Guards against a target that said while the platform was away that it is draining or gone and gets calls again, because its daemon
// was killed, and only that process knew. The report was not acknowledged, but the other daemons know it.
func TestLateReportAfterOutageAndRestartChangesNothing(t *testing.T) {
	starts := map[string]struct {
		// delay is the time from the start to the late report, restarts the number of starts before it.
		delay    time.Duration
		restarts int
		// othersRestart says that one of the other daemons was killed too.
		othersRestart bool
		// backAfter is the time from the acknowledgement after which the platform is back.
		backAfter time.Duration
	}{
		"at once":                           {0, 1, false, time.Minute},
		"later":                             {2 * time.Second, 1, false, time.Minute},
		"after two restarts":                {2 * time.Second, 2, false, time.Minute},
		"others are restarted too":          {2 * time.Second, 1, true, time.Minute},
		"the platform is back before":       {2 * time.Second, 1, false, time.Second},
		"the platform is back soon after":   {time.Second, 1, false, 4 * time.Second},
		"the platform is back, two restart": {3 * time.Second, 2, false, 2 * time.Second},
	}
	for startName, start := range starts {
		for _, c := range departureCases() {
			if c.name == "another run has started" {
				continue // the present run reports within seconds and takes the place of the earlier one
			}
			t.Run(c.name+"/"+startName, func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t, 4)
				sim.startTargets("v1")
				sim.setPlatformOutage(true)
				backAt := sim.now.Add(start.backAfter)
				step := func(d time.Duration) {
					for end := sim.now.Add(d); sim.now.Before(end); {
						sim.run(100 * time.Millisecond)
						if !sim.now.Before(backAt) {
							sim.setPlatformOutage(false)
						}
					}
				}
				c.playInOutage(sim)
				if start.othersRestart {
					sim.start("d01", []string{"d03:1"}).platformUnreachable = true
				}
				n := sim.nodes[2]
				for range start.restarts {
					n = sim.start("d02", []string{"d00:1"})
					n.platformUnreachable = sim.now.Before(backAt)
					step(start.delay)
				}
				sim.report(n, c.late)
				for range 100 {
					step(100 * time.Millisecond)
					is.True(n.view.Local.State != model.TargetReady || n.view.Local.Instance != c.late.Instance)
				}
			})
		}
	}
}

// playInOutage hands what the target says before the kill to its daemon, which must not acknowledge that the target leaves while the
// platform is away.
func (c *departure) playInOutage(sim *simulation) {
	n := sim.nodes[2]
	for _, r := range c.before {
		token := sim.report(n, r)
		sim.run(ackBound)
		want := model.OutcomeUnavailable
		if r.State == model.TargetReady {
			want = model.OutcomeApplied
		}
		if n.answers[token].Code != want {
			sim.t.Fatalf("the answer to the report %+v is %q, not %q", r, n.answers[token].Code, want)
		}
	}
	if c.leaving {
		sim.handle(n, effect.TargetLeaving{Instance: "i2", Born: 1})
		sim.run(ackBound)
	}
}

// Guards against messages that are sent to peers although the platform stores the record at once.
func TestRecordsAreSentToPeersOnlyDuringOutages(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	sim.report(sim.nodes[2], reportOf("i2", 1, 10, model.TargetDraining))
	sim.run(time.Second)
	stored := sim.nodes[0].spreadsSent
	sim.run(5 * time.Second)
	is.Equal(sim.nodes[0].recordsReceived, 0)
	is.True(stored > 0)
}

// Guards against other daemons that send calls to a target whose leaving the platform could not store.
func TestPeersLearnOfLeavingDuringOutage(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	sim.setPlatformOutage(true)
	sim.report(sim.nodes[2], reportOf("i2", 1, 10, model.TargetDraining))
	sim.run(ackBound)
	sim.start("d03", []string{"d00:1"}).platformUnreachable = true
	sim.run(time.Second)
	for _, n := range []*node{sim.nodes[0], sim.nodes[1], sim.nodes[3]} {
		is.Equal(len(n.view.Targets) > 0, true)
		is.True(!listsReady(n, "d02", "i2"))
	}
}

// Guards against a restarted daemon that learns nothing of the record because its seed, the first peer that it asks while the
// platform is away, was missed by the gossip.
func TestSeedsKnowSharedRecord(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 20)
	n := sim.start("d02", []string{"d00:1"})
	sim.startTargets("v1")
	sim.setPlatformOutage(true)
	sim.silenceConnections(sim.nodes[0])
	delete(n.silentPeers, "d00:1")
	sim.report(n, reportOf("i2", 1, 10, model.TargetDraining))
	sim.run(ackBound)
	n = sim.start("d02", []string{"d00:1"})
	n.platformUnreachable = true
	sim.report(n, reportOf("i2", 1, 9, model.TargetReady))
	for range 10 {
		sim.run(100 * time.Millisecond)
		is.True(n.view == nil || n.view.Local.State != model.TargetReady)
	}
}

// Guards against a later run that gets no calls because its daemon was restarted after its clock had been set back: its
// incarnation is then lower than that of the record that peers keep.
func TestLaterRunIsKnownAfterClockStep(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	sim.setPlatformOutage(true)
	sim.report(sim.nodes[2], reportOf("i2", 1, 0, model.TargetGone))
	sim.run(ackBound)
	sim.incarnation = -1
	n := sim.start("d02", []string{"d00:1"})
	sim.setPlatformOutage(false)
	sim.run(time.Second)
	sim.report(n, reportOf("i3", 9, 1, model.TargetReady))
	sim.run(4 * time.Second)
	for _, other := range []*node{sim.nodes[0], sim.nodes[1], sim.nodes[3]} {
		is.True(listsReady(other, "d02", "i3"))
	}
}

// Guards against a ready target without calls after an outage: a run that no longer drains, and a later run, are taken although
// peers keep the record of the leaving.
func TestReadyTargetIsInServiceAfterUnstoredLeaving(t *testing.T) {
	for _, report := range []model.TargetReport{
		reportOf("i2", 1, 11, model.TargetReady), reportOf("i3", 9, 1, model.TargetReady), reportOf("i2", 9, 1, model.TargetReady),
	} {
		is := is.New(t)
		sim := newSimulation(t, 4)
		sim.startTargets("v1")
		sim.setPlatformOutage(true)
		sim.report(sim.nodes[2], reportOf("i2", 1, 10, model.TargetDraining))
		sim.run(ackBound)
		n := sim.start("d02", []string{"d00:1"})
		n.platformUnreachable = true
		sim.run(time.Second)
		sim.report(n, report)
		sim.run(time.Second)
		is.Equal(n.view.Local.State, model.TargetReady)
		sim.setPlatformOutage(false)
		sim.run(4 * time.Second)
		for _, other := range []*node{sim.nodes[0], sim.nodes[1], sim.nodes[3]} {
			is.True(listsReady(other, "d02", report.Instance))
		}
	}
}

// Guards against a target that was acknowledged as gone and gets calls again for some tenths of a second, because its daemon was killed
// when the platform was just back and had not stored that yet.
func TestLateReportRightAfterAnOutageIsNotTaken(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.startTargets("v1")
	sim.setPlatformOutage(true)
	sim.report(sim.nodes[2], reportOf("i2", 1, 0, model.TargetGone))
	sim.run(ackBound)
	sim.setPlatformOutage(false)
	n := sim.start("d02", []string{"d00:1"})
	sim.run(100 * time.Millisecond)
	sim.report(n, reportOf("i2", 1, 4, model.TargetReady))
	for range 200 {
		is.True(n.view.Local.State != model.TargetReady)
		sim.run(20 * time.Millisecond)
	}
}
