// Package rollout decides on the steps of a move that must finish within seconds. Its counterpart for moves that take minutes
// and follow a plan confirmed by an operator is the driver of package moves; both use the same sequential tests. The package
// does no I/O: the reports of targets and the time are arguments.
package rollout

import (
	"fmt"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/model"
)

const (
	// finishReserve is the time reserved between the step to 100% and the deadline. In it, the running calls of the old
	// version end, and the end of the move is observed and written.
	finishReserve = 3500 * time.Millisecond
	// minStepDuration is the minimum duration of a step. Within it, the step's share comes into force on all daemons and the
	// calls are reported.
	minStepDuration = time.Second
	// propagationTime is the time after the last step before which the old version never counts as idle, since the step may
	// not be in force on all daemons yet.
	propagationTime = 700 * time.Millisecond
	// idleTime is how long a target must have had no arrivals to count as idle.
	idleTime = 600 * time.Millisecond
	// silenceTimeout is the age of a target's last report at which the target is ignored, because its daemon is dead or
	// unreachable.
	silenceTimeout = 1500 * time.Millisecond
	// With at least failingCalls calls, a version that fails more than failingFraction of them takes no further step. With at
	// least brokenCalls calls, a version that fails more than brokenFraction of them is withdrawn. Both hold whatever the
	// comparison with the old version says.
	failingCalls    = 5
	failingFraction = 0.25
	brokenCalls     = 20
	brokenFraction  = 0.6
	// capacityFraction is the fraction of the old version's slots that the new version must have before it gets all calls.
	capacityFraction = 0.6
)

// Policy returns the test parameters for moves that take seconds. Targets of the same version differ in speed by a factor of
// two or three, so only a version that is several times slower counts as bad. Such a move has few calls to decide on, and an
// operator can request a wrongly withdrawn version again, so the bound on false withdrawals is wider than the default.
func Policy() moves.Policy {
	p := moves.DefaultPolicy()
	p.FalseWithdrawal = 0.03
	p.LatencyShift = 3
	p.LongestWindow = 2 * time.Second
	return p
}

// Observation is the latest report of the daemon beside a target.
type Observation struct {
	Target model.Target
	// Sums are the outcomes since the previous report, Window the time between the two reports. Window is 0 for the first
	// report of a daemon, whose sums count from its start.
	Sums    []model.KeyedSum
	Window  time.Duration
	Running int
	Idle    time.Duration
	At      time.Time
}

// isRecent reports whether the report is younger than silenceTimeout.
func (o *Observation) isRecent(now time.Time) bool { return now.Sub(o.At) < silenceTimeout }

// Decision is the result of Decide. The zero value leaves the move unchanged.
type Decision struct {
	// Next is the changed move, or nil if nothing changes.
	Next *model.Rollout
	// Hold says why the move does not advance.
	Hold string
}

// Driver decides on the steps of one move. It keeps the evidence in memory. A driver that takes over collects it again from
// the sums that the daemons beside the targets keep.
type Driver struct {
	judge       *moves.Judge
	slowTest    *slowCallTest
	failureTest excessFailureTest
	exposure    exposure
	clearance   *clearanceTest
	// byTarget sums the outcomes of each target of the new version.
	byTarget map[model.DaemonID]*model.OutcomeSum
}

// NewDriver returns a driver without evidence.
func NewDriver(limit ExposureLimit) *Driver {
	return &Driver{
		judge: moves.NewJudge(Policy(), moves.Level{Judges: 1}), slowTest: newSlowCallTest(), exposure: exposure{limit: limit},
		clearance: newClearanceTest(), byTarget: map[model.DaemonID]*model.OutcomeSum{},
	}
}

// Observe adds the outcomes that were reported since the last call. The configuration must contain the move.
func (d *Driver) Observe(now time.Time, configuration *model.Configuration, m *model.Rollout, observations []Observation) {
	d.judge.Track(configuration)
	d.slowTest.observeRound(m, observations)
	d.failureTest.observeRound(m, observations)
	d.exposure.observeRound(m, observations)
	d.clearance.observeRound(m, observations)
	d.observeTargets(m, observations)
	batches := make([]moves.Batch, 0, len(observations))
	for i := range observations {
		if len(observations[i].Sums) > 0 {
			batches = append(batches, moves.Batch{From: now, Sums: observations[i].Sums})
		}
	}
	d.judge.Observe(batches...)
}

// Decide decides whether a move takes its next step, is held, finishes or is withdrawn. observations holds the latest report
// of each target of the service.
func (d *Driver) Decide(now time.Time, m *model.Rollout, observations []Observation) Decision {
	switch m.Phase {
	case model.PhaseDone, model.PhaseWithdrawn:
		return Decision{}
	case model.PhaseWithdrawing:
		return finishWhenIdle(now, m, observations, m.To, model.PhaseWithdrawn)
	}
	verdict := d.judge.Verdict(m.ID)
	if verdict.Kind == moves.Bad {
		return newDecision(now, m, model.PhaseWithdrawing, m.Step, verdict.Reason())
	}
	if d.slowTest.provesSlow() {
		return newDecision(now, m, model.PhaseWithdrawing, m.Step,
			fmt.Sprintf("%d of %d calls took four times the median of %s", d.slowTest.slowCalls, d.slowTest.calls, m.From))
	}
	if t := &d.failureTest; t.provesWorse() {
		return newDecision(now, m, model.PhaseWithdrawing, m.Step,
			fmt.Sprintf("%d of %d calls failed, beside %s %.0f would have", t.failures, t.calls, m.From, t.expected))
	}
	if exceedsFailureFraction(verdict, brokenCalls, brokenFraction) && !d.failureTest.comparesMost(verdict.Calls) {
		return newDecision(now, m, model.PhaseWithdrawing, m.Step,
			fmt.Sprintf("%d of %d calls failed, and %s has too few to compare", verdict.Failures, verdict.Calls, m.From))
	}
	if t := d.clearance; t.proves() {
		return newDecision(now, m, model.PhaseWithdrawing, m.Step,
			fmt.Sprintf("%d of %d calls failed, more often than those of %s", t.failures, t.calls, m.From))
	}
	if m.Step < 0 {
		return startFirstStep(now, m, observations)
	}
	if m.Step == len(m.Steps)-1 {
		if verdict.Suspect {
			return newDecision(now, m, model.PhaseWithdrawing, m.Step, "worse at 100% than the old version was before")
		}
		return finishWhenIdle(now, m, observations, m.From, model.PhaseDone)
	}
	return d.decideStep(now, m, verdict, observations)
}

// decideStep decides whether a running move that is not proven bad takes its next step.
func (d *Driver) decideStep(now time.Time, m *model.Rollout, verdict moves.Verdict, observations []Observation) Decision {
	next := m.Steps[m.Step+1]
	switch {
	case !hasRecentReport(now, observations, m.To):
		// A driver that has just taken over has no evidence yet. This must not be mistaken for a route with too few calls.
		return Decision{Hold: "no daemon beside the new version has reported"}
	case lostCanaries(now, m, observations):
		return newDecision(now, d.withCanaries(now, m, observations), model.PhaseRunning, m.Step, "no canary is ready")
	case m.Step <= canaryStep && !d.clearance.isAcceptable() && d.exposure.isExhausted(m):
		return newDecision(now, m, model.PhaseWithdrawing, m.Step, fmt.Sprintf("%d of %d calls failed, and no more may be risked",
			d.clearance.failures, d.clearance.calls))
	case now.Before(next.Earliest) || now.Sub(m.Since) < minStepDuration:
		return Decision{Hold: "the next step is not due"}
	case exceedsFailureFraction(verdict, failingCalls, failingFraction):
		return Decision{Hold: fmt.Sprintf("%d of %d calls failed", verdict.Failures, verdict.Calls)}
	case verdict.Kind == moves.Undecided && verdict.Cause != tooFewCalls:
		return Decision{Hold: verdict.Cause + ": " + verdict.Evidence}
	case verdict.Kind == moves.BothBad:
		return Decision{Hold: verdict.Cause}
	case d.clearance.suspects():
		return Decision{Hold: "the calls of this step make a fault probable"}
	case m.Step == canaryStep && hasStages(m) && !d.clearance.clears() && !d.exposure.isExhausted(m) && now.Before(m.Steps[lastStep].Earliest):
		return Decision{Hold: "too few calls under load to exclude a fault"}
	case next.Share == model.FullShare && !hasCapacity(m, observations, now):
		return Decision{Hold: "the new version has too few slots for all calls"}
	}
	return d.advance(now, m, verdict.Evidence, observations)
}

// advance takes the next step of a move. The steps up to canaryStep have canaries, the later ones use all targets.
func (d *Driver) advance(now time.Time, m *model.Rollout, reason string, observations []Observation) Decision {
	next := *m
	next.Canaries = nil
	if step := m.Step + 1; step == halfCanaryStep || step == canaryStep {
		next = *d.withCanaries(now, m, observations)
	}
	return newDecision(now, &next, model.PhaseRunning, m.Step+1, reason)
}

// Withdraw ends the move of a version that is already withheld, for example by a daemon that judged it during an outage of
// the platform.
func Withdraw(now time.Time, m *model.Rollout, reason string) Decision {
	return newDecision(now, m, model.PhaseWithdrawing, m.Step, reason)
}

// hasRecentReport reports whether a daemon beside a target of a version has reported within silenceTimeout.
func hasRecentReport(now time.Time, observations []Observation, version model.VersionName) bool {
	return slices.ContainsFunc(observations, func(o Observation) bool {
		return o.Target.Version == version && o.isRecent(now)
	})
}

// exceedsFailureFraction reports whether the new version has had at least the given calls in the current step and failed more
// than the given fraction of them, unless the old version fails too. The sequential tests compare the two versions, so they
// prove nothing while the old version has no calls, for example because its daemons have just failed.
func exceedsFailureFraction(v moves.Verdict, calls int, fraction float64) bool {
	return v.Kind != moves.BothBad && v.Calls >= calls && float64(v.Failures) > fraction*float64(v.Calls)
}

// tooFewCalls is the cause of a verdict without enough calls. On a quiet route, steps of seconds never have enough calls, so
// only the time decides there.
const tooFewCalls = "too few calls"

// startFirstStep starts the first step once a target of the new version has warmed up.
func startFirstStep(now time.Time, m *model.Rollout, observations []Observation) Decision {
	warm := 0
	for i := range observations {
		t := &observations[i].Target
		if t.Version == m.To && t.State == model.TargetReady && !t.WarmAt.After(now) && observations[i].isRecent(now) {
			warm++
		}
	}
	if warm == 0 {
		return Decision{Hold: "no target of the new version is warm"}
	}
	next := *m
	next.Steps = Steps(now, m.Deadline)
	next.Step, next.Since, next.Reason = 0, now, fmt.Sprintf("%d targets of the new version are warm", warm)
	return Decision{Next: &next}
}

// hasCapacity reports whether the new version has enough slots for all calls.
func hasCapacity(m *model.Rollout, observations []Observation, now time.Time) bool {
	var newSlots, oldSlots int
	for i := range observations {
		t := &observations[i].Target
		if t.State != model.TargetReady || !observations[i].isRecent(now) {
			continue
		}
		if t.Version == m.To {
			newSlots += t.Slots
		} else {
			oldSlots += t.Slots
		}
	}
	return float64(newSlots) >= capacityFraction*float64(oldSlots)
}

// finishWhenIdle ends a move in the given final phase, once the targets that lose their calls have no running calls and have
// been idle for idleTime.
func finishWhenIdle(now time.Time, m *model.Rollout, observations []Observation, losing model.VersionName,
	phase model.Phase,
) Decision {
	if now.Sub(m.Since) < propagationTime {
		return Decision{Hold: "the last step is not in force everywhere"}
	}
	for i := range observations {
		o := &observations[i]
		losesCalls := o.Target.Version == losing || phase == model.PhaseDone && o.Target.Version != m.To
		if !losesCalls || !o.isRecent(now) {
			continue
		}
		if o.Running > 0 || o.Idle < idleTime {
			return Decision{Hold: fmt.Sprintf("%s still has calls of %s", o.Target.Daemon, o.Target.Version)}
		}
	}
	return newDecision(now, m, phase, m.Step, m.Reason)
}

// newDecision returns the decision to change the phase and the step of a move.
func newDecision(now time.Time, m *model.Rollout, phase model.Phase, step int, reason string) Decision {
	next := *m
	next.Phase, next.Step, next.Since, next.Reason = phase, step, now, reason
	return Decision{Next: &next}
}
