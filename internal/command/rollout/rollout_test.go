package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/model"
)

const (
	service  = model.ServiceName("profiles")
	route    = model.RouteName("browse")
	moveTime = 14 * time.Second
)

// exposureLimit is the limit of all moves in these tests.
var exposureLimit = rollout.ExposureLimit{Fraction: 0.1, Slack: 50}

// behaviour returns the rates of failed and of very slow calls of the new version, given the time since its start and its
// share of the calls. A negative slow rate stands for targets with half the speed.
type behaviour func(since time.Duration, share float64) (failRate, slowRate float64)

func good(time.Duration, float64) (float64, float64) { return 0.004, 0 }

// halfSpeed is a good version whose targets have half the speed of those of the old version.
func halfSpeed(time.Duration, float64) (float64, float64) { return 0.004, -1 }
func failing(time.Duration, float64) (float64, float64)   { return 0.5, 0 }
func oftenSlow(time.Duration, float64) (float64, float64) { return 0.004, 0.5 }
func failsLate(since time.Duration, _ float64) (float64, float64) {
	if since < 3*time.Second {
		return 0.004, 0
	}
	return 0.5, 0
}
func failsUnderLoad(_ time.Duration, share float64) (float64, float64) {
	if share < 0.3 {
		return 0.004, 0
	}
	return 0.5, 0
}

// moveResult is the result of a simulated move.
type moveResult struct {
	phase model.Phase
	took  time.Duration
	// calls is the number of calls of the service until the deadline, and exposed the number of those that the new version
	// received.
	calls, exposed int
	reason         string
}

// simulateMove simulates a move under a rate of calls per second. Outcomes are reported every 0.3 s, and a step comes into
// force one report later.
func simulateMove(v behaviour, rate float64, seed uint64) moveResult {
	random := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(10_000, 0)
	deadline := start.Add(moveTime)
	m := &model.Rollout{Move: model.Move{
		ID: "m", Service: service, From: "v1", To: "v2", Deadline: deadline,
		Phase: model.PhaseRunning, Step: -1, Since: start,
	}}
	d := rollout.NewDriver(exposureLimit)
	born := start.Add(time.Second)
	var result moveResult
	share := 0.0
	for now := start; now.Sub(start) < 2*moveTime; now = now.Add(300 * time.Millisecond) {
		observations := []rollout.Observation{newObservation("old", "v1", now, start), newObservation("new", "v2", now, born)}
		for range int(rate * 0.3) {
			i, fail, slowRate := 0, 0.004, 0.0
			if random.Float64() < share {
				i = 1
				fail, slowRate = v(now.Sub(born), share)
				if now.Before(deadline) {
					result.exposed++
				}
			}
			if now.Before(deadline) {
				result.calls++
			}
			latency := 160 * math.Exp(0.5*random.NormFloat64())
			switch {
			case slowRate < 0:
				latency *= 2
			case random.Float64() < slowRate:
				latency *= 8
			}
			observations[i].Sums[0].Observe(random.Float64() < fail, time.Duration(latency*float64(time.Millisecond)))
		}
		for i := range observations {
			if observations[i].Sums[0].Calls > 0 {
				observations[i].Idle, observations[i].Running = 0, 1
			}
		}
		configuration := &model.Configuration{Moves: []model.Move{m.Move}, Routes: []model.Route{{Name: route, Service: service}}}
		if now.Before(born) {
			observations = observations[:1]
		}
		d.Observe(now, configuration, m, observations)
		decision := d.Decide(now, m, observations)
		share = shareOf(m)
		if decision.Next != nil {
			m = decision.Next
		}
		if !m.Phase.Active() {
			result.phase, result.took, result.reason = m.Phase, now.Sub(start), m.Reason
			return result
		}
	}
	result.phase, result.reason = m.Phase, m.Reason
	return result
}

func shareOf(m *model.Rollout) float64 {
	if m.Phase != model.PhaseRunning || m.Step < 0 {
		return 0
	}
	return float64(m.Steps[m.Step].Share) / float64(model.FullShare)
}

func newObservation(daemon model.DaemonID, v model.VersionName, now, warm time.Time) rollout.Observation {
	return rollout.Observation{
		Target: model.Target{Daemon: daemon, Service: service, Version: v, State: model.TargetReady, Slots: 12, WarmAt: warm},
		Sums:   []model.KeyedSum{{OutcomeKey: model.OutcomeKey{Service: service, Route: route, Version: v}}},
		Idle:   time.Minute, At: now,
	}
}

// Guards against good versions that miss the deadline or are withdrawn, and against bad versions that receive more than a
// tenth of the calls and 50 more. In each case, one move in 20 may end wrong.
func TestMovesEndByTheirDeadline(t *testing.T) {
	versions := []struct {
		name string
		v    behaviour
		want model.Phase
	}{
		{"good", good, model.PhaseDone}, {"good at half the speed", halfSpeed, model.PhaseDone},
		{"half of the calls fail", failing, model.PhaseWithdrawn}, {"half of the calls are slow", oftenSlow, model.PhaseWithdrawn},
		{"half of the calls fail from 3 s on", failsLate, model.PhaseWithdrawn},
		{"half of the calls fail from a share of 0.3", failsUnderLoad, model.PhaseWithdrawn},
	}
	const runs = 40
	for _, v := range versions {
		for _, rate := range []float64{40, 200} {
			t.Run(fmt.Sprintf("%s at %g calls a second", v.name, rate), func(t *testing.T) {
				wrong, worst := 0, 0.0
				for seed := range uint64(runs) {
					got := simulateMove(v.v, rate, seed)
					if got.phase != v.want || got.took > moveTime {
						wrong++
						t.Logf("seed %d: %s after %s: %s", seed, got.phase, got.took, got.reason)
					}
					const slack = 50
					if v.want == model.PhaseWithdrawn {
						worst = max(worst, float64(got.exposed-slack)/float64(got.calls))
					}
				}
				if wrong > runs/20 {
					t.Errorf("%d of %d moves ended wrong", wrong, runs)
				}
				if worst > 0.1 {
					t.Errorf("a bad version got %.3f of the calls", worst)
				}
			})
		}
	}
}

// Guards against a move that is reported as done while the old version still has running calls, since its targets are stopped
// at once then.
func TestDoneOnlyWhenTheOldVersionIsIdle(t *testing.T) {
	now := time.Unix(10_000, 0)
	m := &model.Rollout{Move: model.Move{
		ID: "m", Service: service, From: "v1", To: "v2", Deadline: now,
		Phase: model.PhaseRunning, Since: now.Add(-time.Minute),
	}}
	m.Steps = rollout.Steps(now, now)
	m.Step = len(m.Steps) - 1
	old := newObservation("old", "v1", now, now)
	d := rollout.NewDriver(exposureLimit)
	for _, busy := range []rollout.Observation{{Running: 1, Idle: time.Minute}, {Running: 0, Idle: 0}} {
		old.Running, old.Idle = busy.Running, busy.Idle
		if got := d.Decide(now, m, []rollout.Observation{old}); got.Next != nil {
			t.Fatalf("the move ended with %d calls running, idle for %s", busy.Running, busy.Idle)
		}
	}
	old.Running, old.Idle = 0, time.Minute
	got := d.Decide(now, m, []rollout.Observation{old, newObservation("new", "v2", now, now)})
	if got.Next == nil || got.Next.Phase != model.PhaseDone {
		t.Fatalf("the move did not end: %+v", got)
	}
}

// Guards against a move that finishes although the new version has too few slots for all calls, since the old version's
// targets are stopped then.
func TestTooFewSlotsHoldTheLastStep(t *testing.T) {
	now := time.Unix(10_000, 0)
	m := &model.Rollout{Move: model.Move{
		ID: "m", Service: service, From: "v1", To: "v2", Deadline: now,
		Phase: model.PhaseRunning, Since: now.Add(-time.Minute),
	}}
	m.Steps = rollout.Steps(now.Add(-time.Hour), now.Add(-time.Minute))
	m.Step = len(m.Steps) - 2
	small := newObservation("new", "v2", now, now)
	small.Target.Slots = 2
	d := rollout.NewDriver(exposureLimit)
	configuration := &model.Configuration{Moves: []model.Move{m.Move}}
	d.Observe(now, configuration, m, nil)
	if got := d.Decide(now, m, []rollout.Observation{newObservation("old", "v1", now, now), small}); got.Next != nil {
		t.Fatalf("the move went on to %+v", got.Next)
	}
}

// Guards against a move of a failing version that advances because the old version has no calls to compare with, for example
// after its daemons failed. Found by seed 2006 of platform/soak: "54 calls, 54 failed", and the move was done.
func TestFailingVersionWithoutOldCalls(t *testing.T) {
	now := time.Unix(10_000, 0)
	m := &model.Rollout{Move: model.Move{
		ID: "m", Service: service, From: "v1", To: "v2", Deadline: now.Add(time.Minute),
		Phase: model.PhaseRunning, Since: now.Add(-time.Minute),
	}}
	m.Steps = rollout.Steps(now.Add(-time.Hour), now.Add(time.Minute))
	m.Step = 1
	configuration := &model.Configuration{Moves: []model.Move{m.Move}}
	decide := func(calls, failures int) rollout.Decision {
		d := rollout.NewDriver(exposureLimit)
		o := newObservation("new", "v2", now, now)
		for i := range calls {
			o.Sums[0].Observe(i < failures, 100*time.Millisecond)
		}
		d.Observe(now, configuration, m, []rollout.Observation{o})
		return d.Decide(now, m, []rollout.Observation{o})
	}
	if got := decide(54, 54); got.Next == nil || got.Next.Phase != model.PhaseWithdrawing {
		t.Fatalf("54 of 54 calls failed: %+v", got)
	}
	if got := decide(10, 10); got.Next != nil {
		t.Fatalf("10 of 10 calls failed, and the move went on to %+v", got.Next)
	}
	if got := decide(54, 2); got.Next == nil || got.Next.Phase != model.PhaseRunning || got.Next.Step != 2 {
		t.Fatalf("2 of 54 calls failed, and the move did not go on: %+v", got)
	}
}

// besideFailing is a move to a version beside an old one that fails calls, as it does while a service that both call is
// overloaded. The new version has a tenth of 60 calls a second.
type besideFailing struct {
	move     *model.Rollout
	failures int
}

// playBesideFailing plays rounds of a move in which the old and the new version fail the given fractions of their calls, until the
// move is withdrawn or stop returns true.
func playBesideFailing(seed uint64, oldRate func(time.Duration) float64, newRate float64,
	stop func(since time.Duration, failures int) bool) besideFailing {
	const rate, newShare, round = 60, 0.1, 300 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(10_000, 0)
	result := besideFailing{move: &model.Rollout{Move: model.Move{
		ID: "m", Service: service, From: "v1", To: "v2", Deadline: start.Add(time.Minute), Phase: model.PhaseRunning, Step: 0, Since: start,
		Steps: []model.Step{{Share: model.FullShare / 10}, {Share: model.FullShare, Earliest: start.Add(time.Hour)}},
	}}}
	d := rollout.NewDriver(exposureLimit)
	for now := start; result.move.Phase == model.PhaseRunning && !stop(now.Sub(start), result.failures); now = now.Add(round) {
		observations := []rollout.Observation{newObservation("old", "v1", now, start), newObservation("new", "v2", now, start)}
		for range int(rate * round.Seconds()) {
			i, fail := 0, oldRate(now.Sub(start))
			if random.Float64() < newShare {
				i, fail = 1, max(fail, newRate)
			}
			failed := random.Float64() < fail
			if failed && i == 1 {
				result.failures++
			}
			observations[i].Sums[0].Observe(failed, 100*time.Millisecond)
		}
		configuration := &model.Configuration{Moves: []model.Move{result.move.Move}, Routes: []model.Route{{Name: route, Service: service}}}
		d.Observe(now, configuration, result.move, observations)
		if decision := d.Decide(now, result.move, observations); decision.Next != nil {
			result.move = decision.Next
		}
	}
	return result
}

// Guards against a bad version that keeps getting calls because the old version fails calls too. Five seconds after its 50th
// failed call a bad version must get none. One move in 20 may end late.
func TestBadVersionIsStoppedBesideAFailingOldOne(t *testing.T) {
	late := 0
	for seed := range uint64(40) {
		var mustStop time.Duration
		result := playBesideFailing(seed, func(time.Duration) float64 { return 0.35 }, 0.6, func(since time.Duration, failures int) bool {
			if failures >= 50 && mustStop == 0 {
				mustStop = since + 5*time.Second
			}
			return mustStop != 0 && since > mustStop
		})
		if result.move.Phase == model.PhaseRunning {
			late++
		}
	}
	t.Logf("late in %d of 40 moves", late)
	if late > 2 {
		t.Fatal("bad versions were not stopped in time")
	}
}

// Guards against a good version that is withdrawn for a fault that the old version has too, steady or in bursts. One move in 40
// may end wrong.
func TestGoodVersionIsKeptBesideAFailingOldOne(t *testing.T) {
	faults := map[string]func(time.Duration) float64{
		"steady": func(time.Duration) float64 { return 0.35 },
		"bursts": func(since time.Duration) float64 {
			if since%(4*time.Second) < 2*time.Second {
				return 0.8
			}
			return 0.01
		},
	}
	for name, fault := range faults {
		withdrawn := 0
		for seed := range uint64(80) {
			result := playBesideFailing(seed, fault, 0, func(since time.Duration, _ int) bool { return since > 15*time.Second })
			if result.move.Phase != model.PhaseRunning {
				withdrawn++
				t.Log(result.move.Reason)
			}
		}
		t.Logf("%s: withdrawn in %d of 80 moves", name, withdrawn)
		if withdrawn > 2 {
			t.Fatal("good versions were withdrawn")
		}
	}
}
