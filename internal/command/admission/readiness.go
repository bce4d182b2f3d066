package admission

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// downAfter is the number of failed dials in a row after which a target is down. One refused dial also happens while a
// target's accept queue is full.
const downAfter = 3

// Readiness turns probes of the target into its state. Probes are hints: success makes a target ready after its warm-up,
// and failed dials make it down.
type Readiness struct {
	// Warmup is how long a target stays in TargetStarting after its first success.
	Warmup  time.Duration
	state   model.TargetState
	success time.Time
	failed  int
}

// NewReadiness returns the state of a target that is starting.
func NewReadiness(warmup time.Duration) *Readiness {
	return &Readiness{Warmup: warmup, state: model.TargetStarting}
}

// State returns the state of the target.
func (r *Readiness) State() model.TargetState { return r.state }

// RecordProbe records one probe and returns the state and whether it changed. Dialled says that a connection was accepted,
// healthy that the target also reported itself as healthy.
func (r *Readiness) RecordProbe(now time.Time, dialled, healthy bool) (model.TargetState, bool) {
	before := r.state
	if !dialled {
		r.failed++
		if r.failed >= downAfter && r.state == model.TargetReady {
			r.state = model.TargetDown
		}
		if r.failed >= downAfter {
			r.success = time.Time{}
		}
		return r.state, r.state != before
	}
	r.failed = 0
	if r.state == model.TargetReady {
		return r.state, false
	}
	if r.state == model.TargetDown {
		r.state = model.TargetStarting
	}
	if healthy && r.success.IsZero() {
		r.success = now
	}
	if !r.success.IsZero() && now.Sub(r.success) >= r.Warmup {
		r.state = model.TargetReady
	}
	return r.state, r.state != before
}
