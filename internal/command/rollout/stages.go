package rollout

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Steps of a move. In the first one, all targets of the new version receive a few calls, which shows whether it works at all.
// Then a few of them, the canaries, receive first half of the load and then at least the load that they would have if the new
// version had all calls. So a fault that depends on the load of a target shows while most calls still go to the old version.
// Only then is the new version given most of the calls, and at last all.
const (
	firstStep = iota
	halfCanaryStep
	canaryStep
	wideStep
	lastStep
)

// stages are the shares of a move, and the fractions of the time up to the step to 100% at which they begin. The shares of the
// steps with canaries depend on the targets and are set when the step begins.
var stages = [...]struct {
	share    model.Share
	fraction float64
}{firstStep: {500, 0}, halfCanaryStep: {1250, 0.2}, canaryStep: {2500, 0.3}, wideStep: {6500, 0.85}, lastStep: {model.FullShare, 1}}

// Steps returns the steps of a move that begins now. If the deadline is too close, the steps may end after it.
func Steps(now, deadline time.Time) []model.Step {
	span := max(deadline.Sub(now)-finishReserve, time.Duration(len(stages)-1)*minStepDuration)
	steps := make([]model.Step, len(stages))
	for i, s := range stages {
		steps[i] = model.Step{Share: s.share, Earliest: now.Add(time.Duration(s.fraction * float64(span)))}
	}
	return steps
}

// hasStages reports whether the steps of a move are those of stages. A record from another release may have others, which are
// taken without canaries.
func hasStages(m *model.Rollout) bool { return len(m.Steps) == len(stages) }
