package moves_test

import (
	"testing"

	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/model"
	_ "sniperail.example/sniperail/internal/testseed"
)

// drawScenario draws a scenario with faults of the versions and of the system around them.
func drawScenario(t *rapid.T) scenario {
	duration := rapid.IntRange(20, 200).Draw(t, "length")
	moment := func(name string) int { return rapid.IntRange(0, duration).Draw(t, name) }
	sc := scenario{seconds: duration, callsPerSecond: rapid.IntRange(20, 120).Draw(t, "callsPerSecond")}
	badFrom, blindFrom, takeover := moment("badFrom"), moment("blindFrom"), moment("takeover")
	blindTo := blindFrom + rapid.IntRange(0, 40).Draw(t, "blind")
	failure := rapid.SampledFrom([]float64{0.002, 0.05, 0.5, 1}).Draw(t, "failure")
	sc.newVersion = between(badFrom, 9999, failing(failure))
	if rapid.Bool().Draw(t, "shared") {
		sc.oldVersion = between(badFrom, badFrom+20, failing(failure))
	}
	sc.isLost = func(second int, dc model.DataCentre) bool {
		return dc == "cz-c" && second >= blindFrom && second < blindTo
	}
	slowWrites := rapid.IntRange(1, 5).Draw(t, "slowWrites")
	sc.beforeSecond = func(s *simulation, second int) {
		if second == takeover {
			s.driver = moves.NewDriver(moves.DefaultPolicy())
		}
		s.frozen = second%slowWrites != 0
	}
	return sc
}

// Guards against a step before its earliest time in the plan, two steps at once, and a share above that of the current step.
func TestShareFollowsTheConfirmedSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(drawScenario(t), rapid.Uint64().Draw(t, "seed"))
		s.check = func(second int, _ []model.Evidence, decisions []moves.Decision) {
			m := s.move()
			if m.Step >= 0 && s.cfg.Service(service).Version("v2").Share > m.Steps[m.Step].Share {
				t.Fatalf("second %d: share above step %d", second, m.Step)
			}
			for _, d := range decisions {
				a, ok := d.(moves.Advance)
				if !ok || a.To < a.From {
					continue
				}
				if a.From != m.Step || a.To != a.From+1 {
					t.Fatalf("second %d: %+v at step %d", second, a, m.Step)
				}
				if at(second).Before(m.Steps[a.To].Earliest) {
					t.Fatalf("second %d: step %d before %s", second, a.To, m.Steps[a.To].Earliest)
				}
			}
		}
		s.run(2 * s.seconds)
	})
}

// Guards against a step up while a data centre sends no reports, before the current step is in force, or after fewer calls
// than the plan requires. The test counts calls independently of the driver.
func TestShareNeverRisesOnMissingEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(drawScenario(t), rapid.Uint64().Draw(t, "seed"))
		lastReports := map[model.DataCentre]int{}
		step, calls, inForce := -1, 0, 0
		s.check = func(second int, evidence []model.Evidence, decisions []moves.Decision) {
			m := s.move()
			if m.Step != step {
				step, calls, inForce = m.Step, 0, 0
			}
			if inForce == 0 && s.inForce >= m.Number {
				inForce = second
			}
			for _, e := range evidence {
				lastReports[e.DataCentre] = second
				for _, sum := range e.Sums {
					if inForce > 0 && sum.Version == "v2" && !e.From.Before(at(inForce)) {
						calls += int(sum.Calls)
					}
				}
			}
			for _, d := range decisions {
				a, ok := d.(moves.Advance)
				if !ok || a.To < a.From {
					continue
				}
				if inForce == 0 || calls < m.Steps[a.To].MinCalls {
					t.Fatalf("second %d: %+v on %d of %d calls", second, a, calls, m.Steps[a.To].MinCalls)
				}
				for _, dc := range centres {
					if second-lastReports[dc] > 5 {
						t.Fatalf("second %d: %+v without reports from %s since %d", second, a, dc, lastReports[dc])
					}
				}
			}
		}
		s.run(2 * s.seconds)
	})
}

// Guards against a proven fault that does not lead to a withdrawal in the same round, whether the move is paused or not,
// and against a withdrawn version that still has a share.
func TestProofWithdrawsInTheSameRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t)
		drawnEvents, paused := sc.beforeSecond, rapid.IntRange(0, sc.seconds).Draw(t, "paused")
		sc.beforeSecond = func(s *simulation, second int) {
			drawnEvents(s, second)
			if second == paused {
				pause(s, second)
			}
		}
		s := newSimulation(sc, rapid.Uint64().Draw(t, "seed"))
		s.check = func(second int, _ []model.Evidence, decisions []moves.Decision) {
			if s.move().Phase == model.PhaseWithdrawing || s.driver.Verdict(moveID).Kind != moves.Bad {
				return
			}
			for _, d := range decisions {
				if _, ok := d.(moves.Withdraw); ok {
					return
				}
			}
			t.Fatalf("second %d: proven bad, but decided %+v", second, decisions)
		}
		s.run(2 * s.seconds)
		if m := s.move(); m.Phase == model.PhaseWithdrawn && s.cfg.Service(service).Version("v2").Share != 0 {
			t.Fatalf("withdrawn with a share")
		}
	})
}
