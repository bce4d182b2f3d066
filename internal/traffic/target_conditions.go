package traffic

import "sniperail.example/sniperail/internal/model"

// TargetConditions are the conditions under which a target gets calls, besides its own state.
type TargetConditions struct {
	// Withheld says that the version of the target is withheld.
	Withheld bool
	// Evacuated says that nothing is to be sent to the targets of the data centre.
	Evacuated bool
	// WarmupPerSecond is the number of calls per second that the target tolerates while it is cold; 0 means any number.
	WarmupPerSecond float64
}

// admits reports whether the target gets calls.
func (c *TargetConditions) admits() bool { return !c.Withheld && !c.Evacuated }

// SetTarget sets the target as the control loop publishes it, and whether its version is withheld. Once it has returned, no
// call is sent to a target that is leaving or whose version is withheld.
func (in *Inbound) SetTarget(t model.Target, withheld bool) {
	in.Update(t, TargetConditions{Withheld: withheld})
}

// Update sets the target and its conditions as the control loop publishes them. Once it has returned, no call is sent that they
// exclude.
func (in *Inbound) Update(t model.Target, conditions TargetConditions) {
	in.targetMu.Lock()
	defer in.targetMu.Unlock()
	in.setTarget(t, conditions)
}

// setTarget sets the target. A run that has said that it is leaving counts as draining, whatever else it reports. The lock must
// be held.
func (in *Inbound) setTarget(t model.Target, conditions TargetConditions) {
	if t.State == model.TargetReady && in.leaving.contains(runOf(&t)) {
		t.State = model.TargetDraining
	}
	in.conditions.Store(&conditions)
	in.target.Store(&t)
	in.queue.setTarget(&t, conditions)
}
