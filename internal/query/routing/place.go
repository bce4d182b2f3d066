package routing

import (
	"math"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

const (
	// runDeviation is the standard deviation of the logarithm of a call's time around its expectation.
	runDeviation = 0.6
	// farLoss is what a call to another data centre costs, as a part of the value of a response: its bytes are paid for.
	// regionLoss is that of a call to another region.
	farLoss    = 0.08
	regionLoss = 0.3
	// farTime and regionTime are the times of the way there and back.
	farTime    = 3 * time.Millisecond
	regionTime = 30 * time.Millisecond
	// timeLoss is the value lost by a response that takes as long as the target latency. It decides between targets that
	// would both answer in time, or both late.
	timeLoss = 0.15
	// spreadLoss varies the loss at each target by a random part, so that daemons with the same reports do not all choose
	// the same target.
	spreadLoss = 0.02
	// suspectLoss is added for a target that was ejected or is leaving, which is used only if there is no other.
	suspectLoss = 100
	// assumedRun stands in for the time of a call while no target has reported one.
	assumedRun = 100 * time.Millisecond
	// coldFactor is how much slower a target is taken to be while it warms up and has not reported.
	coldFactor = 1.5
	// minAlternative is the shortest wait that is asked of another target: below it a second hop costs more than it saves.
	minAlternative = 10 * time.Millisecond
	// alternativeSteps is the number of bisections in the search for that wait.
	alternativeSteps = 8
)

// TargetLoad is what reports and own calls say about a target.
type TargetLoad struct {
	// Outstanding estimates the calls that run or wait at the target.
	Outstanding float64
	Slots       int
	// ExecutionTime is the expected time of a call on the route, 0 if it was not reported, MeanExecutionTime that of any call.
	ExecutionTime, MeanExecutionTime time.Duration
	// ReportAge is the time since the report. An old report of a slow target says little.
	ReportAge time.Duration
	// FailureRate is the recent part of calls that failed.
	FailureRate float64
	// Suspect says that the target was ejected or refused calls because it leaves, Cold that it is slow after its start.
	Suspect, Cold bool
}

// LoadProvider returns the load of a target.
type LoadProvider interface {
	Load(target *model.Target) TargetLoad
}

// Choice is a selected target.
type Choice struct {
	Target *model.Target
	// Wait estimates the time until the target has a free slot, ExecutionTime how long the call takes. ReportAge is that of the report that
	// the estimates rest on.
	Wait, ExecutionTime, ReportAge time.Duration
	// WaitLimit is the wait at the target beyond which the next best target is better; 0 means that there is no other.
	WaitLimit time.Duration
}

// candidate is a target with what is expected of it.
type candidate struct {
	target    *model.Target
	load      TargetLoad
	tier      int
	wait, run time.Duration
	loss      float64
}

// SelectByExpectedLoss selects the ready target, among those not in tried, where the call is expected to lose least: by a response later
// than left, the time until the target latency has passed, by a failure, and by the way there. It reports false if there
// is no target.
func (v *Version) SelectByExpectedLoss(signals LoadProvider, random RandomSource, tried []model.DaemonID, left time.Duration) (Choice, bool) {
	candidates := v.candidates(signals, tried)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best, second := 0, -1
	for i := range candidates {
		c := &candidates[i]
		c.loss = c.lossAt(c.wait, left) + spreadLoss*float64(random.Uint64()>>11)/(1<<53)
		switch {
		case i == 0:
		case c.loss < candidates[best].loss:
			best, second = i, best
		case second < 0 || c.loss < candidates[second].loss:
			second = i
		}
	}
	b := &candidates[best]
	choice := Choice{Target: b.target, Wait: b.wait, ExecutionTime: b.run, ReportAge: b.load.ReportAge}
	if second >= 0 {
		choice.WaitLimit = b.alternative(candidates[second].loss, left)
	}
	return choice, true
}

// candidates returns the targets with the expected time of a call at each. A target that has reported none is taken to be
// as fast as the fastest, so that it gets a call soon; an old report of a slow target fades for the same reason.
func (v *Version) candidates(signals LoadProvider, tried []model.DaemonID) []candidate {
	candidates := make([]candidate, 0, v.Ready())
	fastest := time.Duration(0)
	for tier, targets := range v.tiers {
		for _, target := range targets {
			if slices.Contains(tried, target.Daemon) {
				continue
			}
			load := signals.Load(target)
			candidates = append(candidates, candidate{target: target, load: load, tier: tier})
			if load.ExecutionTime > 0 && (fastest == 0 || load.ExecutionTime < fastest) {
				fastest = load.ExecutionTime
			}
		}
	}
	if fastest == 0 {
		fastest = assumedRun
	}
	for i := range candidates {
		c := &candidates[i]
		c.run = c.load.ExecutionTime
		switch {
		case c.run == 0 && c.load.Cold:
			c.run = time.Duration(coldFactor * float64(fastest))
		case c.run == 0:
			c.run = fastest
		default:
			c.run = fastest + time.Duration(float64(c.run-fastest)*math.Exp(-float64(c.load.ReportAge)/float64(runMemory)))
		}
		c.wait = c.load.wait()
	}
	return candidates
}

// runMemory is the age at which a third is left of what a report said of a target's speed.
const runMemory = 6 * time.Second

// lossAt returns the expected loss if the call waits at the target for a time.
func (c *candidate) lossAt(wait, left time.Duration) float64 {
	took := wait
	loss := c.load.FailureRate
	switch c.tier {
	case 1:
		took += farTime
		loss += farLoss
	case 2:
		took += regionTime
		loss += regionLoss
	}
	if c.load.Suspect {
		loss += suspectLoss
	}
	scale := max(left, c.run)
	return loss + lateness(left-took, c.run) + timeLoss*float64(took+c.run)/float64(scale)
}

// lateness returns the probability that a call that is expected to take run takes longer than left.
func lateness(left, run time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	z := (math.Log(float64(left)/float64(run)) + runDeviation*runDeviation/2) / runDeviation
	// The logistic curve is close to the normal distribution.
	return 1 / (1 + math.Exp(1.702*z))
}

// alternative returns the wait at which the target loses as much as another one.
func (c *candidate) alternative(other float64, left time.Duration) time.Duration {
	low, high := c.wait, c.wait+max(left, c.run)
	for range alternativeSteps {
		middle := (low + high) / 2
		if c.lossAt(middle, left) < other {
			low = middle
		} else {
			high = middle
		}
	}
	return max(low, minAlternative)
}

// wait estimates the time until a slot is free.
func (l TargetLoad) wait() time.Duration {
	slots := float64(max(l.Slots, 1))
	if missing := l.Outstanding + 1 - slots; missing > 0 {
		return time.Duration(missing / slots * float64(l.MeanExecutionTime))
	}
	return 0
}
