package admission

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// downAfter is the number of consecutive failed dials after which a target is down. A single dial may also be refused
// because the accept queue of the target is full.
const downAfter = 3

// Readiness derives the state of a target from probes. A target becomes ready one warm-up period after its first healthy
// probe and down after downAfter failed dials.
type Readiness struct {
	// Warmup is how long a target stays in TargetStarting after its first healthy probe.
	Warmup       time.Duration
	state        model.TargetState
	firstHealthy time.Time
	failedDials  int
}

// NewReadiness returns the readiness of a target that is starting.
func NewReadiness(warmup time.Duration) *Readiness {
	return &Readiness{Warmup: warmup, state: model.TargetStarting}
}

// State returns the state of the target.
func (r *Readiness) State() model.TargetState { return r.state }

// RecordProbe records the result of a probe. It returns the state of the target and whether the state changed. Dialled
// means that the target accepted a connection, healthy that it also reported itself as healthy.
func (r *Readiness) RecordProbe(now time.Time, dialled, healthy bool) (model.TargetState, bool) {
	before := r.state
	if !dialled {
		r.failedDials++
		if r.failedDials >= downAfter && r.state == model.TargetReady {
			r.state = model.TargetDown
		}
		if r.failedDials >= downAfter {
			r.firstHealthy = time.Time{}
		}
		return r.state, r.state != before
	}
	r.failedDials = 0
	if r.state == model.TargetReady {
		return r.state, false
	}
	if r.state == model.TargetDown {
		r.state = model.TargetStarting
	}
	if healthy && r.firstHealthy.IsZero() {
		r.firstHealthy = now
	}
	if !r.firstHealthy.IsZero() && now.Sub(r.firstHealthy) >= r.Warmup {
		r.state = model.TargetReady
	}
	return r.state, r.state != before
}
