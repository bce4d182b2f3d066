package routing

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

const (
	// farCost is added for a target in another data centre, whose bytes cost money and time, regionCost in another region.
	farCost    = 8 * time.Millisecond
	regionCost = 50 * time.Millisecond
	// spread varies the cost of each target by a random part, so that daemons with the same reports do not all choose the
	// same target.
	spread = 0.1
	// failureCost is the cost of a target that fails every call, in times that a call takes.
	failureCost = 20
	// suspectCost is added for a target that was ejected or is leaving, which is used only if there is no other.
	suspectCost = time.Minute
	// minAlternative is the shortest wait that is asked of another target: below it a second hop costs more than it saves.
	minAlternative = 10 * time.Millisecond
)

// Load is what reports and own calls say about a target.
type Load struct {
	// Outstanding estimates the calls that run or wait at the target.
	Outstanding float64
	Slots       int
	// Run is the expected time of a call on the route, Mean that of any call.
	Run, Mean time.Duration
	// Failed is the recent part of calls that failed.
	Failed float64
	// Suspect says that the target was ejected or refused calls because it leaves.
	Suspect bool
	// Cold is how much longer the target is slow after its start.
	Cold time.Duration
}

// LoadSignals returns the load of a target.
type LoadSignals interface {
	Load(target *model.Target) Load
}

// Choice is a selected target.
type Choice struct {
	Target *model.Target
	// Wait estimates the time until the target has a free slot, Run how long the call takes.
	Wait, Run time.Duration
	// Alternative is the wait at the target beyond which the next best target is better; 0 means that there is no other.
	Alternative time.Duration
}

// Place selects the ready target, among those not in tried, that is expected to answer first: its wait for a slot, the time
// of a call there, and the way to it. It reports false if there is no target.
func (v *Version) Place(signals LoadSignals, random Source, tried []model.DaemonID) (Choice, bool) {
	var best Choice
	var bestCost, secondCost time.Duration
	found := 0
	for tier, targets := range v.tiers {
		for _, target := range targets {
			if slices.Contains(tried, target.Daemon) {
				continue
			}
			load := signals.Load(target)
			choice := Choice{Target: target, Wait: load.wait(), Run: load.Run}
			cost := load.cost(tier)
			cost += time.Duration(float64(cost) * spread * float64(random.Uint64()>>11) / (1 << 53))
			found++
			switch {
			case found == 1 || cost < bestCost:
				secondCost = bestCost
				best, bestCost = choice, cost
			case found == 2 || cost < secondCost:
				secondCost = cost
			}
		}
	}
	if found > 1 {
		best.Alternative = max(best.Wait+secondCost-bestCost, minAlternative)
	}
	return best, found > 0
}

// wait estimates the time until a slot is free.
func (l Load) wait() time.Duration {
	slots := float64(max(l.Slots, 1))
	if missing := l.Outstanding + 1 - slots; missing > 0 {
		return time.Duration(missing / slots * float64(l.Mean))
	}
	return 0
}

func (l Load) cost(tier int) time.Duration {
	cost := l.wait() + l.Run + time.Duration(l.Failed*failureCost*float64(l.Run))
	switch tier {
	case 1:
		cost += farCost
	case 2:
		cost += regionCost
	}
	if l.Suspect {
		cost += suspectCost
	}
	return cost
}
