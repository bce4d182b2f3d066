package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
)

// Guards against a move that a restore of the store takes back: a withdrawn version that gets calls again, a finished move whose report
// says something else, or an order that is executed twice.
func TestRestoreDoesNotUndoAMove(t *testing.T) {
	cases := map[string]struct {
		failures float64
		want     model.Phase
		// copyAt is the time from the order to the copy, restoreAt that to the restore.
		copyAt, restoreAt time.Duration
		// driverKilled says that the driver is killed at the restore, restarted that another daemon starts anew right after it.
		driverKilled, restarted bool
	}{
		"good, copied before the order":              {0, model.PhaseDone, 0, 13 * time.Second, false, false},
		"good, copied in the middle":                 {0, model.PhaseDone, 6 * time.Second, 13 * time.Second, false, false},
		"good, restored in the middle":               {0, model.PhaseDone, 0, 6 * time.Second, false, false},
		"good, the driver is killed":                 {0, model.PhaseDone, 2 * time.Second, 5 * time.Second, true, false},
		"good, done, another daemon starts":          {0, model.PhaseDone, 0, 13 * time.Second, false, true},
		"bad, copied before the order":               {0.5, model.PhaseWithdrawn, 0, 9 * time.Second, false, false},
		"bad, copied in the middle":                  {0.5, model.PhaseWithdrawn, 3 * time.Second, 9 * time.Second, false, false},
		"bad, another daemon starts":                 {0.5, model.PhaseWithdrawn, 0, 9 * time.Second, false, true},
		"bad, killed driver, another daemon starts":  {0.5, model.PhaseWithdrawn, 3 * time.Second, 9 * time.Second, true, true},
		"bad, restored before it is known to be bad": {0.5, model.PhaseWithdrawn, 0, time.Second, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newNamedSimulation(t, 8)
			startMove(sim)
			older := sim.copyStore()
			if c.copyAt == 0 {
				sim.store.Expire("op/intent/profiles")
				older = sim.copyStore()
				sim.put("op/intent/profiles", model.Intent{Service: "profiles", To: "v2"})
			}
			runTraffic(sim, c.copyAt, c.failures)
			if c.copyAt > 0 {
				older = sim.copyStore()
			}
			runTraffic(sim, c.restoreAt-c.copyAt, c.failures)
			loseRevisions(sim)
			final := finalPhase(sim)
			if c.driverKilled {
				sim.restartDriver()
			}
			lost := sim.restore(older)
			if c.restarted {
				sim.restartNode(6, "v2")
			}
			for i := range 100 {
				if i == 2 {
					sim.rewrite(lost)
				}
				runTraffic(sim, 200*time.Millisecond, c.failures)
				for _, n := range sim.nodes {
					if final == string(model.PhaseWithdrawn) && shareOf(n.view, "v2") > 0 {
						t.Fatalf("%s gives calls to the withdrawn version %d ms after the restore", n.address, 200*(i+1))
					}
					// A daemon that has just started knows only what the store holds until a peer answers; a replaced version has no targets then.
					justStarted := c.restarted && n == sim.nodes[6] && i < 10
					if final == string(model.PhaseDone) && shareOf(n.view, "v1") > 0 && !justStarted {
						t.Fatalf("%s gives calls to the replaced version %d ms after the restore", n.address, 200*(i+1))
					}
				}
				if final != "" && time.Duration(i)*200*time.Millisecond > restoredBound && reportedPhase(sim) != final {
					t.Fatalf("the report says %q instead of %q %d ms after the restore", reportedPhase(sim), final, 200*(i+1))
				}
			}
			is.Equal(reportedPhase(sim), string(c.want))
		})
	}
}

// finalPhase returns the reported phase of the move if it is final, or "".
func finalPhase(sim *simulation) string {
	if phase := reportedPhase(sim); !model.Phase(phase).Active() {
		return phase
	}
	return ""
}

// restartDriver kills the driver of the move and starts it again.
func (sim *simulation) restartDriver() {
	if driver := currentDriver(sim); driver != nil {
		for i, n := range sim.nodes {
			if n == driver {
				sim.restartNode(i, n.view.Local.Version)
			}
		}
	}
}

// restartNode kills a daemon and starts it again, beside the same target.
func (sim *simulation) restartNode(i int, version model.VersionName) *node {
	last := sim.nodes[i].view.Local
	n := sim.start(string(last.Daemon), []string{sim.nodes[(i+1)%len(sim.nodes)].address})
	sim.report(n, model.TargetReport{Instance: last.Instance, Born: last.Born, Seq: 1000, Version: version, State: model.TargetReady})
	return n
}

// Guards against two drivers of a move: one that was paused during a restore must not write by a key, a lease or a revision that the new
// era has given out again.
func TestPausedDriverDoesNotWriteAfterARestore(t *testing.T) {
	for _, copyAt := range []time.Duration{0, 4 * time.Second} {
		t.Run(copyAt.String(), func(t *testing.T) {
			is := is.New(t)
			sim := newNamedSimulation(t, 8)
			startMove(sim)
			runTraffic(sim, copyAt, 0)
			older := sim.copyStore()
			runTraffic(sim, 5*time.Second-copyAt, 0)
			first := currentDriver(sim)
			is.True(first != nil)
			first.stopped = true
			restoreAndRewrite(sim, older)
			loseRevisions(sim) // the revisions pass those from before
			runTraffic(sim, 1600*time.Millisecond, 0)
			second := currentDriver(sim)
			is.True(second != nil && second != first)
			sim.lastWriter = nil
			first.stopped = false
			for range 50 {
				runTraffic(sim, 200*time.Millisecond, 0)
				is.True(sim.lastWriter != first)
			}
			is.Equal(reportedPhase(sim), string(model.PhaseDone))
		})
	}
}
