package placement

import (
	"time"

	"sniperail.example/sniperail/internal/query/routing"
)

// policy is a way to select targets. Pick returns the target, the expected wait and the longest wait that the call may have there.
type policy struct {
	name string
	// learn enables the learned concurrency limit beside the targets.
	learn bool
	pick  func(d *daemon, c *call) (t *target, wait, waitLimit time.Duration)
}

// policies returns the ways that are compared: the selection of the daemons without and with a learned limit, and a random
// target by the correct weights, which no daemon knows.
func policies() []policy {
	return []policy{
		{"today", false, pickByExpectedLoss}, {"learned", true, pickByExpectedLoss}, {"correct weights", false, pickByWeight},
	}
}

func pickByExpectedLoss(d *daemon, c *call) (*target, time.Duration, time.Duration) {
	r := d.run
	choice, _ := r.versions[d.centre].SelectByExpectedLoss(loads{d, c.kind}, r.source, routing.Selection{
		Remaining: c.objective.Sub(r.now), OwnDataCentre: c.abroad,
	})
	return r.targets[r.index[choice.Target.Daemon]], choice.Wait, choice.WaitLimit
}

func pickByWeight(d *daemon, _ *call) (*target, time.Duration, time.Duration) {
	r := d.run
	at, changed := r.elapsed(), r.changed()
	weight := func(i int) float64 { return r.weight(i, at, changed) }
	total := 0.0
	for i := range r.targets {
		total += weight(i)
	}
	left := r.random.Float64() * total
	for i, t := range r.targets {
		if left -= weight(i); left < 0 {
			return t, 0, 0
		}
	}
	return r.targets[len(r.targets)-1], 0, 0
}
