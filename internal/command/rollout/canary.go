package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

const (
	// canaryExposure is the fraction of the allowed calls that the full load of the canaries may use. The rest is for the
	// steps before, and for the calls that arrive until a withdrawal is in force.
	canaryExposure = 0.6
	// canaryUtilization is the fraction of its slots that a canary uses at least, so that it is tested at the load of busy
	// times too; it leaves room for calls that arrive in bursts. maxLoadFactor bounds the load of a canary as a multiple of its
	// load under all calls, which a version that is slower but good must bear.
	canaryUtilization = 0.65
	maxLoadFactor     = 2.5
	// minCanaryTime is the time for which the exposure limit must have room at the full load of the canaries. It bounds their
	// share if the version has only a few targets.
	minCanaryTime = 2500 * time.Millisecond
	// maxAffordableShare leaves the old version enough calls to compare with.
	maxAffordableShare = 0.65
)

// selectCanaries returns the targets of the new version that receive its calls before the others do, with the share of the
// service's calls that they receive at full load. There is at least one, and as many as the exposure limit has room for in the
// time of the step. No daemons are returned if the canaries would be all targets.
func (d *Driver) selectCanaries(now time.Time, m *model.Rollout, observations []Observation) ([]model.DaemonID, model.Share) {
	var candidates []*model.Target
	var newSlots, oldSlots int
	for i := range observations {
		o := &observations[i]
		switch t := &o.Target; {
		case t.State != model.TargetReady || !o.isRecent(now):
		case t.Version != m.To:
			oldSlots += t.Slots
		default:
			newSlots += t.Slots
			if !t.WarmAt.After(now) {
				candidates = append(candidates, t)
			}
		}
	}
	d.sortByTypicalSpeed(candidates)
	affordable := d.affordableShare(m, m.Steps[wideStep].Earliest.Sub(m.Steps[canaryStep].Earliest))
	var daemons []model.DaemonID
	share := 0.0
	for _, t := range candidates {
		added := d.canaryShare(t, max(newSlots, oldSlots, 1))
		if len(daemons) > 0 && share+added > affordable {
			break
		}
		daemons = append(daemons, t.Daemon)
		share += added
	}
	if len(daemons) == len(candidates) {
		daemons = nil
	}
	share = min(share, d.affordableShare(m, minCanaryTime))
	return daemons, model.Share(share * float64(model.FullShare))
}

// canaryShare returns the share of the service's calls at which a target bears as much as it would if its version had all
// calls, but no more than a target of the old version bears now; or, if that is more, at which it uses canaryUtilization of
// its slots. By Little's law, the slots used are the calls per second times the latency.
func (d *Driver) canaryShare(t *model.Target, allSlots int) float64 {
	share := float64(t.Slots) / float64(allSlots)
	latency := d.meanLatency(t)
	if latency == unknownLatency || d.exposure.rate == 0 {
		return share
	}
	wanted := canaryUtilization * float64(t.Slots) / (d.exposure.rate * latency.Seconds())
	return min(max(share, wanted), maxLoadFactor*share)
}

// sortByTypicalSpeed sorts targets so that those whose mean latency is closest to the median come first: a fast one would be
// less busy than most at the same calls, and a slow one would make the version look slow. Targets without calls come last.
func (d *Driver) sortByTypicalSpeed(targets []*model.Target) {
	slices.SortFunc(targets, func(a, b *model.Target) int {
		return cmp.Or(cmp.Compare(d.meanLatency(a), d.meanLatency(b)), cmp.Compare(a.Daemon, b.Daemon))
	})
	known := 0
	for known < len(targets) && d.meanLatency(targets[known]) < unknownLatency {
		known++
	}
	distance := make(map[model.DaemonID]int, known)
	for i, t := range targets[:known] {
		// Of two targets at the same distance, the slower one comes first.
		distance[t.Daemon] = 2*max(i-known/2, known/2-i) + min(max(known/2-i, 0), 1)
	}
	slices.SortStableFunc(targets[:known], func(a, b *model.Target) int {
		return cmp.Compare(distance[a.Daemon], distance[b.Daemon])
	})
}

// unknownLatency stands for the mean latency of a target without calls.
const unknownLatency = time.Duration(math.MaxInt64)

// meanLatency returns the mean latency of a target's calls since the move began.
func (d *Driver) meanLatency(t *model.Target) time.Duration {
	sum := d.byTarget[t.Daemon]
	if sum == nil || sum.Calls == 0 {
		return unknownLatency
	}
	return sum.MeanLatency()
}

// observeTargets adds the outcomes of one round to those of the targets of the new version.
func (d *Driver) observeTargets(m *model.Rollout, observations []Observation) {
	forEachSum(observations, func(o *Observation, s *model.KeyedSum) {
		if s.Version != m.To {
			return
		}
		sum := d.byTarget[o.Target.Daemon]
		if sum == nil {
			sum = &model.OutcomeSum{}
			d.byTarget[o.Target.Daemon] = sum
		}
		sum.Add(s.OutcomeSum)
	})
}

// affordableShare returns the share of the service's calls that the canaries may receive for the given time within the
// exposure limit.
func (d *Driver) affordableShare(m *model.Rollout, length time.Duration) float64 {
	if d.exposure.rate == 0 || length <= 0 {
		return maxAffordableShare
	}
	return min(canaryExposure*d.exposure.allowed(m)/(d.exposure.rate*length.Seconds()), maxAffordableShare)
}

// withCanaries returns the move with canaries and with the shares of the steps that depend on them.
func (d *Driver) withCanaries(now time.Time, m *model.Rollout, observations []Observation) *model.Rollout {
	next := *m
	if next.Canaries = nil; !hasStages(m) {
		return &next
	}
	daemons, share := d.selectCanaries(now, m, observations)
	next.Canaries = daemons
	next.Steps = slices.Clone(m.Steps)
	first := next.Steps[firstStep].Share
	next.Steps[halfCanaryStep].Share = max(share/2, first)
	next.Steps[canaryStep].Share = max(share, first)
	return &next
}

// lostCanaries reports whether a step with canaries has none that is ready.
func lostCanaries(now time.Time, m *model.Rollout, observations []Observation) bool {
	if len(m.Canaries) == 0 {
		return false
	}
	return !slices.ContainsFunc(observations, func(o Observation) bool {
		return o.Target.State == model.TargetReady && o.isRecent(now) && slices.Contains(m.Canaries, o.Target.Daemon)
	})
}

// bearsLoad reports whether the target beside a daemon bears the load of the step.
func bearsLoad(m *model.Rollout, daemon model.DaemonID) bool {
	return len(m.Canaries) == 0 || slices.Contains(m.Canaries, daemon)
}

func forEachSum(observations []Observation, f func(o *Observation, s *model.KeyedSum)) {
	for i := range observations {
		for j := range observations[i].Sums {
			f(&observations[i], &observations[i].Sums[j])
		}
	}
}
