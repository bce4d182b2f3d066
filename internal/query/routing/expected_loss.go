package routing

import (
	"math"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

const (
	// executionTimeSigma is the standard deviation of the logarithm of a call's execution time around its expectation.
	executionTimeSigma = 0.6
	// dataCentreLoss is the loss of a call to another data centre, as a fraction of the value of a response: traffic between
	// data centres is paid for. regionLoss is that of a call to another region.
	dataCentreLoss = 0.35
	regionLoss     = 0.4
	// dataCentreRoundTrip and regionRoundTrip are the round-trip times to a target in another data centre or region.
	dataCentreRoundTrip = 3 * time.Millisecond
	regionRoundTrip     = 30 * time.Millisecond
	// latencyLoss is the loss of a response that takes as long as the target latency. It decides between targets that would
	// both answer in time, or both late.
	latencyLoss = 0.15
	// lossJitter bounds a random addition to the loss at each target, so that daemons with the same load reports do not all
	// choose the same target.
	lossJitter = 0.02
	// spareLoss is added for a target of a version that has canaries and is not one of them. It exceeds the loss of a call to
	// another data centre, so that such a target only receives the calls that would be late at every canary.
	spareLoss = 0.6
	// spareInterval is the mean number of calls between two that are placed without regard to canaries: the other targets of
	// a version must receive calls too, so that a fault of one of them shows.
	spareInterval = 16
	// suspectLoss is added for a target that was ejected or is leaving. It exceeds every other loss, so that such a target is
	// used only if there is no other.
	suspectLoss = 100
	// defaultExecutionTime is assumed while no target has reported an execution time.
	defaultExecutionTime = 100 * time.Millisecond
	// coldFactor is how many times slower a target is assumed to be while it warms up and has not reported a time.
	coldFactor = 1.5
	// minWaitLimit is the lower bound of Choice.WaitLimit: to avoid a shorter wait, a second hop costs more than it saves.
	minWaitLimit = 10 * time.Millisecond
	// waitLimitBisections is the number of bisections in the search for Choice.WaitLimit.
	waitLimitBisections = 8
)

// TargetLoad is the load of a target, from its load reports and from this daemon's own calls to it.
type TargetLoad struct {
	// Outstanding estimates the number of calls that run or wait at the target.
	Outstanding float64
	Slots       int
	// ExecutionTime is the expected execution time of a call on the route, 0 if none was reported. MeanExecutionTime is the
	// mean over all calls of the target.
	ExecutionTime, MeanExecutionTime time.Duration
	// RateWait is the time until the rate limit of the target has room for another call; 0 if it has room or no limit.
	RateWait time.Duration
	// ReportAge is the time since the report. An old report of a slow target is weighted less.
	ReportAge time.Duration
	// Fresh says that Outstanding includes the calls of other daemons, from a recent report.
	Fresh bool
	// FailureRate is the fraction of recent calls that failed.
	FailureRate float64
	// Leaving says that the target has said that it is leaving: it gets no more calls, even if there is no other.
	Leaving bool
	// Suspect says that the target was ejected, or refused calls because it is leaving. Cold says that it has started
	// recently and is still slow.
	Suspect, Cold bool
	// Unlimited says that a report that is later than the news that the target is cold named no rate limit. The daemon beside a cold
	// target names its limit.
	Unlimited bool
}

// LoadProvider returns the load of a target.
type LoadProvider interface {
	Load(target *model.Target) TargetLoad
}

// Choice is a selected target.
type Choice struct {
	Target *model.Target
	// Wait estimates the time until the target has a free slot, ExecutionTime how long the call then runs. ReportAge is the
	// age of the load report behind these estimates.
	Wait, ExecutionTime, ReportAge time.Duration
	// MeanExecutionTime is the mean execution time of all calls of the target.
	MeanExecutionTime time.Duration
	// Unmeasured says that the target has reported no execution time for the route, so that ExecutionTime is an assumption.
	Unmeasured bool
	// ColdLimited says that the target is cold and tolerates a limited number of calls per second.
	ColdLimited bool
	// WaitLimit is the wait at the target beyond which the second-best target is better; 0 means that there is no other.
	WaitLimit time.Duration
}

// WaitsBeyond reports whether a call with the given time left waits at the target until its deadline. The wait is that of a call
// behind all others. One that is brief by isBrief, or on a route of which nothing is known, may be served before them, which the
// daemon beside the target decides.
func (c *Choice) WaitsBeyond(left time.Duration, isBrief func(executionTime, mean time.Duration) bool) bool {
	return c.Wait > left && !c.Unmeasured && !isBrief(c.ExecutionTime, c.MeanExecutionTime)
}

// candidate is a target with the expected wait, execution time and loss of a call there.
type candidate struct {
	target              *model.Target
	load                TargetLoad
	tier                int
	wait, executionTime time.Duration
	// passed says that the call leaves out the target, which is cold, if its tier has others.
	passed bool
	// spare says that other targets are the canaries of the version.
	spare bool
	loss  float64
}

// Selection describes the call for which a target is selected.
type Selection struct {
	// Tried are the daemons whose targets are not selected again.
	Tried []model.DaemonID
	// Remaining is the time until the target latency has passed.
	Remaining time.Duration
	// OwnDataCentre leaves out the targets of other data centres unless the own one has none.
	OwnDataCentre bool
}

// SelectByExpectedLoss selects the ready target, among two random ones of each tier, at which the expected loss of the call is
// lowest. The loss covers a response that takes longer than s.Remaining, a failure, and the distance to the target. It reports
// false if there is no target.
func (v *Version) SelectByExpectedLoss(loads LoadProvider, random RandomSource, s Selection) (Choice, bool) {
	candidates := v.drawWithCanaries(loads, random, s)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best, second := 0, -1
	for i := range candidates {
		c := &candidates[i]
		c.loss = c.lossAt(c.wait, s.Remaining) + lossJitter*float64(random.Uint64()>>11)/(1<<53)
		switch {
		case i == 0:
		case c.loss < candidates[best].loss:
			best, second = i, best
		case second < 0 || c.loss < candidates[second].loss:
			second = i
		}
	}
	b := &candidates[best]
	choice := Choice{
		Target: b.target, Wait: b.wait, ExecutionTime: b.executionTime, ReportAge: b.load.ReportAge,
		MeanExecutionTime: b.load.MeanExecutionTime, Unmeasured: b.load.ExecutionTime == 0, ColdLimited: v.limitsCold(b),
	}
	if second >= 0 {
		choice.WaitLimit = b.waitLimit(candidates[second].loss, s.Remaining)
	}
	return choice, true
}

// drawWithCanaries returns the candidates of a call: random targets of each tier, and the canaries of the version besides.
func (v *Version) drawWithCanaries(loads LoadProvider, random RandomSource, s Selection) []candidate {
	drawn := drawCandidates(v.candidates(loads, random, s), random)
	if v.canaries == nil || random.Uint64()%spareInterval == 0 {
		return drawn
	}
	canaries := drawCandidates(v.canaries.candidates(loads, random, s), random)
	for i := range drawn {
		isCanary := func(c candidate) bool { return c.target == drawn[i].target }
		if drawn[i].spare = !slices.ContainsFunc(canaries, isCanary); drawn[i].spare {
			canaries = append(canaries, drawn[i])
		}
	}
	return canaries
}

// candidates returns targets that may be selected, a few of each tier in the order of the tiers, with the expected wait and
// execution time at each. A target without a reported time is assumed to be as fast as the fastest one, so that it receives a
// call soon. For the same reason, an old report of a slow target loses weight.
func (v *Version) candidates(loads LoadProvider, random RandomSource, s Selection) []candidate {
	candidates := make([]candidate, 0, min(v.ReadyCount(), len(v.tiers)*consideredPerTier))
	for tier := range v.tiers {
		if s.OwnDataCentre && tier > 0 && len(candidates) > 0 {
			break
		}
		candidates = v.appendTier(candidates, tier, loads, random, s.Tried)
	}
	v.estimate(candidates)
	v.passCold(candidates, random)
	return candidates
}

// estimate sets the expected wait and execution time at each candidate.
func (v *Version) estimate(candidates []candidate) {
	fastest := time.Duration(0)
	for i := range candidates {
		if load := &candidates[i].load; load.ExecutionTime > 0 && (fastest == 0 || load.ExecutionTime < fastest) {
			fastest = load.ExecutionTime
		}
	}
	if fastest == 0 {
		fastest = defaultExecutionTime
	}
	assumeMeanLoad(candidates)
	for i := range candidates {
		c := &candidates[i]
		c.executionTime = c.load.ExecutionTime
		switch {
		case c.executionTime == 0 && c.load.Cold && v.warmupPerSecond == 0:
			c.executionTime = time.Duration(coldFactor * float64(fastest))
		case c.executionTime == 0:
			c.executionTime = fastest
		default:
			c.executionTime = fastest + time.Duration(float64(c.executionTime-fastest)*
				math.Exp(-float64(c.load.ReportAge)/float64(reportDecay)))
		}
		c.wait = c.load.expectedWait()
	}
}

// reportDecay is the age at which a reported execution time has about a third of its weight left (1/e). It exceeds the time
// between the calls of one daemon to one target of a large service, so that a slow target stays known as such.
const reportDecay = 10 * time.Second

// lossAt returns the expected loss if the call waits at the target for the given time.
func (c *candidate) lossAt(wait, remaining time.Duration) float64 {
	took := wait
	loss := c.load.FailureRate
	switch c.tier {
	case 1:
		took += dataCentreRoundTrip
		loss += dataCentreLoss
	case 2:
		took += regionRoundTrip
		loss += regionLoss
	}
	if c.spare {
		loss += spareLoss
	}
	if c.load.Suspect {
		loss += suspectLoss
	}
	scale := max(remaining, c.executionTime)
	return loss + lateProbability(remaining-took, c.executionTime) + latencyLoss*float64(took+c.executionTime)/float64(scale)
}

// lateProbability returns the probability that a call with the expected execution time runs longer than remaining. The
// execution time is assumed to be log-normally distributed.
func lateProbability(remaining, executionTime time.Duration) float64 {
	if remaining <= 0 {
		return 1
	}
	z := (math.Log(float64(remaining)/float64(executionTime)) + executionTimeSigma*executionTimeSigma/2) / executionTimeSigma
	// The logistic function approximates the distribution function of the normal distribution.
	return 1 / (1 + math.Exp(1.702*z))
}

// waitLimit returns the wait at which the loss at the target equals otherLoss.
func (c *candidate) waitLimit(otherLoss float64, remaining time.Duration) time.Duration {
	low, high := c.wait, c.wait+max(remaining, c.executionTime)
	for range waitLimitBisections {
		middle := (low + high) / 2
		if c.lossAt(middle, remaining) < otherLoss {
			low = middle
		} else {
			high = middle
		}
	}
	return max(low, minWaitLimit)
}

// expectedWait estimates the time until a slot is free and the rate limit has room.
func (l TargetLoad) expectedWait() time.Duration {
	slots := l.slots()
	if missing := l.Outstanding + 1 - slots; missing > 0 {
		return max(l.RateWait, time.Duration(missing/slots*float64(l.MeanExecutionTime)))
	}
	return l.RateWait
}

func (l TargetLoad) slots() float64 { return float64(max(l.Slots, 1)) }
