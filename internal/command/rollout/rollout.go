// Package rollout decides the steps of a move that must be done within seconds. It is the counterpart of the driver in
// package moves, which has minutes and a plan that an operator confirmed; both use the same sequential tests. It is pure:
// what the targets report and the time are arguments.
package rollout

import (
	"fmt"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/model"
)

const (
	// finishTime is kept between the step to 100% and the requested time: the old version's calls end, and the end is
	// observed and written.
	finishTime = 3500 * time.Millisecond
	// shortestStep is the least time of a step: its share is in force everywhere and its calls have been reported.
	shortestStep = time.Second
	// settleTime is how long a step is in force before the old version may count as idle.
	settleTime = 700 * time.Millisecond
	// idleTime is how long a target has no arrivals before it counts as idle.
	idleTime = 600 * time.Millisecond
	// silentAfter is the age of a target's last report at which it is left out: its daemon is gone or cut off.
	silentAfter = 1500 * time.Millisecond
	// A version that fails failingPart of failingCalls or more goes no step further, and one that fails brokenPart of
	// brokenCalls or more is withdrawn, whatever the comparison says.
	failingCalls = 5
	failingPart  = 0.25
	brokenCalls  = 20
	brokenPart   = 0.6
	// capacityPart is the part of the old version's slots that the new version needs before it gets all calls.
	capacityPart = 0.6
)

// stages are the shares of a move and the parts of the time before 100% at which they begin. A version that fails only
// after a while or under load has received less than a tenth of the calls when that shows.
var stages = []struct {
	share model.Share
	part  float64
}{{500, 0}, {1500, 0.3}, {3500, 0.55}, {6500, 0.78}, {model.FullShare, 1}}

// Steps returns the steps of a move that begins now.
func Steps(now, deadline time.Time) []model.Step {
	span := max(deadline.Sub(now)-finishTime, time.Duration(len(stages)-1)*shortestStep)
	steps := make([]model.Step, len(stages))
	for i, s := range stages {
		steps[i] = model.Step{Share: s.share, Earliest: now.Add(time.Duration(s.part * float64(span)))}
	}
	return steps
}

// Policy returns the constants of judgement for moves of seconds. Targets of one version differ in speed by a factor of
// two or three, so that only a version that is several times slower counts as bad. A move of seconds has few calls to
// decide on, and a good version that is withdrawn can be ordered again, so the error bound is wider.
func Policy() moves.Policy {
	p := moves.DefaultPolicy()
	p.FalseWithdrawal = 0.03
	p.LatencyShift = 2
	p.LongestWindow = 2 * time.Second
	return p
}

// Observation is the latest report of the daemon beside a target.
type Observation struct {
	Target model.Target
	// Sums are the outcomes since the report before.
	Sums    []model.KeyedSum
	Running int
	Idle    time.Duration
	At      time.Time
}

// Decision is what becomes of a move. The zero value leaves it as it is.
type Decision struct {
	// Next is the changed move, or nil.
	Next *model.Move
	// Hold says why nothing changes.
	Hold string
}

// Driver decides one move. It keeps the evidence in memory; a driver that takes over gathers it anew from the sums that
// the daemons beside the targets keep.
type Driver struct {
	judge *moves.Judge
	slow  *slowTest
}

// NewDriver returns a driver without evidence.
func NewDriver() *Driver {
	return &Driver{judge: moves.NewJudge(Policy(), moves.Level{Judges: 1}), slow: newSlowTest()}
}

// Observe adds the outcomes that arrived since the last call. The configuration holds the move.
func (d *Driver) Observe(now time.Time, configuration *model.Configuration, m *model.Move, observations []Observation) {
	d.judge.Track(configuration)
	d.slow.observe(m, observations)
	batches := make([]moves.Batch, 0, len(observations))
	for i := range observations {
		if len(observations[i].Sums) > 0 {
			batches = append(batches, moves.Batch{From: now, Sums: observations[i].Sums})
		}
	}
	d.judge.Observe(batches...)
}

// Decide decides on a move. Observations holds the latest report of each target of the service.
func (d *Driver) Decide(now time.Time, m *model.Move, observations []Observation) Decision {
	switch m.Phase {
	case model.PhaseDone, model.PhaseWithdrawn:
		return Decision{}
	case model.PhaseWithdrawing:
		return finish(now, m, observations, m.To, model.PhaseWithdrawn)
	}
	verdict := d.judge.Verdict(m.ID)
	if verdict.Kind == moves.Bad {
		return change(now, m, model.PhaseWithdrawing, m.Step, verdict.Reason())
	}
	if d.slow.bad() {
		return change(now, m, model.PhaseWithdrawing, m.Step,
			fmt.Sprintf("%d of %d calls took four times the median of %s", d.slow.slow, d.slow.calls, m.From))
	}
	if fails(verdict, brokenCalls, brokenPart) {
		return change(now, m, model.PhaseWithdrawing, m.Step,
			fmt.Sprintf("%d of %d calls failed, and %s has too few to compare", verdict.Failures, verdict.Calls, m.From))
	}
	if m.Step < 0 {
		return begin(now, m, observations)
	}
	if m.Step == len(m.Steps)-1 {
		if verdict.Suspect {
			return change(now, m, model.PhaseWithdrawing, m.Step, "worse at 100% than the old version was before")
		}
		return finish(now, m, observations, m.From, model.PhaseDone)
	}
	next := m.Steps[m.Step+1]
	switch {
	case !heard(now, observations, m.To):
		// A driver that has just taken over has no evidence, which must not look like too few calls.
		return Decision{Hold: "no daemon beside the new version has reported"}
	case now.Before(next.Earliest) || now.Sub(m.Since) < shortestStep:
		return Decision{Hold: "the next step is not due"}
	case fails(verdict, failingCalls, failingPart):
		return Decision{Hold: fmt.Sprintf("%d of %d calls failed", verdict.Failures, verdict.Calls)}
	case verdict.Kind == moves.Undecided && verdict.Cause != tooFew:
		return Decision{Hold: verdict.Cause + ": " + verdict.Evidence}
	case verdict.Kind == moves.BothBad:
		return Decision{Hold: verdict.Cause}
	case next.Share == model.FullShare && !carries(m, observations, now):
		return Decision{Hold: "the new version has too few slots for all calls"}
	}
	return change(now, m, model.PhaseRunning, m.Step+1, verdict.Evidence)
}

// Withdraw ends the move of a version that is withheld already, as by a judge while the platform was away.
func Withdraw(now time.Time, m *model.Move, reason string) Decision {
	return change(now, m, model.PhaseWithdrawing, m.Step, reason)
}

// heard reports whether a daemon beside a target of a version has reported lately.
func heard(now time.Time, observations []Observation, version model.VersionName) bool {
	return slices.ContainsFunc(observations, func(o Observation) bool {
		return o.Target.Version == version && now.Sub(o.At) < silentAfter
	})
}

// fails reports whether a part of at least some calls of the new version failed in the present step, unless the old version
// fails too. The sequential tests compare the two, and say nothing while the old version has no calls, as when its daemons were
// just lost.
func fails(v moves.Verdict, calls int, part float64) bool {
	return v.Kind != moves.BothBad && v.Calls >= calls && float64(v.Failures) > part*float64(v.Calls)
}

// tooFew is the reason of a verdict without enough calls. Steps of seconds on a quiet route never have enough, so the time
// alone decides there.
const tooFew = "too few calls"

// begin starts the first step once a target of the new version is warm.
func begin(now time.Time, m *model.Move, observations []Observation) Decision {
	warm := 0
	for i := range observations {
		t := &observations[i].Target
		if t.Version == m.To && t.State == model.TargetReady && !t.WarmAt.After(now) && now.Sub(observations[i].At) < silentAfter {
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

// carries reports whether the new version has the slots for all calls.
func carries(m *model.Move, observations []Observation, now time.Time) bool {
	var fresh, old int
	for i := range observations {
		t := &observations[i].Target
		if t.State != model.TargetReady || now.Sub(observations[i].At) >= silentAfter {
			continue
		}
		if t.Version == m.To {
			fresh += t.Slots
		} else {
			old += t.Slots
		}
	}
	return float64(fresh) >= capacityPart*float64(old)
}

// finish ends a move once the targets of the version that loses its calls have none and get none.
func finish(now time.Time, m *model.Move, observations []Observation, losing model.VersionName, phase model.Phase) Decision {
	if now.Sub(m.Since) < settleTime {
		return Decision{Hold: "the last step is not in force everywhere"}
	}
	for i := range observations {
		o := &observations[i]
		lost := o.Target.Version == losing || phase == model.PhaseDone && o.Target.Version != m.To
		if !lost || now.Sub(o.At) >= silentAfter {
			continue
		}
		if o.Running > 0 || o.Idle < idleTime {
			return Decision{Hold: fmt.Sprintf("%s still has calls of %s", o.Target.Daemon, o.Target.Version)}
		}
	}
	return change(now, m, phase, m.Step, m.Reason)
}

func change(now time.Time, m *model.Move, phase model.Phase, step int, reason string) Decision {
	next := *m
	next.Phase, next.Step, next.Since, next.Reason = phase, step, now, reason
	return Decision{Next: &next}
}
