package plans

import (
	"fmt"
	"math"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// ScheduleParams holds the constants from which the steps of a plan are computed; docs/moves.md explains them.
type ScheduleParams struct {
	// FirstEvidence is the number of the new version's calls that the first step should collect. It determines the first
	// share, and so the fraction of calls exposed to a version that is bad from the start.
	FirstEvidence float64
	// FullEvidence is the number of the new version's calls that a step to fullEvidenceShare requires if the load brings
	// them. A step to a larger share requires proportionally more.
	FullEvidence float64
	// EvidenceFraction is the fraction of the calls expected in a step that the next step requires. It is below 1 so that
	// fluctuations of the load and delayed reports do not hold up a good version.
	EvidenceFraction float64
	// FirstStepFraction is the fraction of the time before 100% that the first step lasts. It is large because the first step
	// exposes the fewest calls.
	FirstStepFraction float64
	// SlackFraction is the fraction of the time that is reserved for delays, at least minSlack.
	SlackFraction float64
	// ControlShare is the last share before 100%. The higher it is, the fewer calls of the old version are left to compare
	// with.
	ControlShare model.Share
	// Growth is the largest ratio of two successive shares up to equalShare.
	Growth float64
}

// DefaultScheduleParams returns the constants in use.
func DefaultScheduleParams() ScheduleParams {
	return ScheduleParams{
		FirstEvidence: 20, FullEvidence: 200, EvidenceFraction: 0.5, FirstStepFraction: 0.5, SlackFraction: 0.1, Growth: 2.5,
		ControlShare: 6000,
	}
}

const (
	// fullEvidenceShare is the share that FullEvidence refers to.
	fullEvidenceShare = model.Share(200)
	// minEvidence is the least number of calls that a step requires. With fewer calls, only a version that fails nearly
	// every call would be detected.
	minEvidence = 8
	// undetectedFailures divided by the number of judged calls is the highest failure rate that may remain undetected. It is
	// about -ln(0.01): at that rate, the probability of no failure is 1%.
	undetectedFailures = 5.0
	minSlack           = 2 * time.Second
	// stepOverhead is the time from the decision on a step to the first report after the step is in force everywhere.
	stepOverhead = 1500 * time.Millisecond
	// watchFraction is the fraction of the time that the watch period at 100% takes by default, between minWatch and maxWatch.
	watchFraction = 0.1
	maxWatch      = time.Minute
	minWatch      = 2 * time.Second
)

const (
	// minFirstShare is the smallest first share. Below it, a step of a few minutes collects too few calls at any customer.
	minFirstShare = model.Share(25)
	// maxFirstShare is the largest first share. A move that needs more cannot protect its callers from a bad version.
	maxFirstShare = model.Share(2500)
	// equalShare gives both versions the same number of calls, at which a comparison is the most sensitive.
	equalShare = model.Share(5000)
	// shortMoveFirstShare is the first share from which on a move is too short for a step of ControlShare.
	shortMoveFirstShare = model.Share(1500)
)

// stepShares returns the shares of the steps from a first share. Up to equalShare they are evenly spaced on a logarithmic
// scale.
func (p ScheduleParams) stepShares(first model.Share) []model.Share {
	ratio := float64(equalShare) / float64(first)
	steps := int(math.Ceil(math.Log(ratio) / math.Log(p.Growth)))
	shares := make([]model.Share, 0, steps+3)
	for i := range steps + 1 {
		share := float64(first) * math.Pow(ratio, float64(i)/float64(steps))
		shares = append(shares, model.Share(math.Round(share)))
	}
	if first >= shortMoveFirstShare {
		return append(shares, model.FullShare)
	}
	return append(shares, p.ControlShare, model.FullShare)
}

// schedule holds the steps of a plan, the length of the watch period after them, whether they meet the requested time, and
// the latest time at which the move ends; latest is zero if the load brings too few calls for any time.
type schedule struct {
	steps    []model.Step
	watch    time.Duration
	feasible bool
	note     string
	latest   time.Time
}

// plan returns the schedule with the smallest first share that collects the evidence by the requested time, or else a
// schedule that ends later.
func (p ScheduleParams) plan(now time.Time, in model.Intent, rate float64) schedule {
	total := in.By.Sub(now)
	watch := time.Duration(in.WatchSeconds) * time.Second
	if watch == 0 {
		watch = max(min(time.Duration(float64(total)*watchFraction), maxWatch), minWatch).Truncate(time.Second)
	}
	if s, ok := p.searchFirstShare(now, in, total-watch, rate); ok {
		s.watch, s.feasible, s.latest = watch, true, in.By
		if needed := s.steps[1].MinCalls; float64(needed) < p.FirstEvidence {
			s.note = fmt.Sprintf("the first step is judged on %d calls: a version that fails less than %.0f%% of them may pass it",
				needed, min(100*undetectedFailures/float64(needed), 100))
		}
		return s
	}
	return p.planLater(now, in, watch, rate)
}

// searchFirstShare tries first shares in ascending order until the steps collect the evidence within length. It reports
// false if none does.
func (p ScheduleParams) searchFirstShare(now time.Time, in model.Intent, length time.Duration, rate float64) (schedule, bool) {
	for _, required := range p.firstStepCalls(in) {
		for first := minFirstShare; first <= maxFirstShare; first += max(first/5, 1) {
			if s, ok := p.scheduleSteps(now, p.stepShares(first), length, rate, in.MinCalls, required); ok {
				return s, true
			}
		}
	}
	return schedule{}, false
}

// firstStepCalls returns the numbers of calls that the first step may have to collect, the preferred one first.
func (p ScheduleParams) firstStepCalls(in model.Intent) []float64 {
	if in.MinCalls > 0 {
		return []float64{float64(in.MinCalls)}
	}
	return []float64{p.FirstEvidence, minEvidence}
}

// planLater returns the schedule that ends earliest at the current load, for a requested time that is too early.
func (p ScheduleParams) planLater(now time.Time, in model.Intent, watch time.Duration, rate float64) schedule {
	required := p.firstStepCalls(in)
	need := required[len(required)-1]
	for length := max(in.By.Sub(now), time.Second); rate > 0 && length < maxMoveDuration; length += length / 20 {
		s, ok := p.searchFirstShare(now, in, length, rate)
		if !ok {
			continue
		}
		s.watch, s.latest = watch, now.Add(length+watch).Round(time.Second)
		s.note = fmt.Sprintf("at %.1f calls/s the evidence of %.0f calls a step takes until %s",
			rate, need, s.latest.UTC().Format(time.RFC3339))
		return s
	}
	s, _ := p.scheduleSteps(now, p.stepShares(maxFirstShare), max(in.By.Sub(now)-watch, 0), rate, in.MinCalls, 0)
	s.watch = watch
	s.note = fmt.Sprintf("at %.1f calls/s the evidence of %.0f calls a step cannot be collected", rate, need)
	return s
}

// maxMoveDuration bounds the search for a feasible time.
const maxMoveDuration = 366 * 24 * time.Hour

// scheduleSteps distributes the shares over the time before the watch period. It reports false if a step is not longer than
// stepOverhead or expects fewer calls than required.
func (p ScheduleParams) scheduleSteps(now time.Time, shares []model.Share, length time.Duration, rate float64,
	minCalls int, required float64) (schedule, bool) {
	var s schedule
	ok := true
	usable := float64(length) - max(p.SlackFraction*float64(length), float64(minSlack))
	at := now
	needed := 0
	for i, share := range shares {
		s.steps = append(s.steps, model.Step{Share: share, Earliest: at, MinCalls: needed})
		if share == model.FullShare {
			break
		}
		fraction := p.FirstStepFraction
		if i > 0 {
			fraction = (1 - p.FirstStepFraction) / float64(len(shares)-2)
		}
		dwell := time.Duration(usable * fraction)
		observed := dwell - stepOverhead
		calls := rate * float64(share) / float64(model.FullShare) * max(observed.Seconds(), 0) * p.EvidenceFraction
		ok = ok && observed > 0 && calls >= required
		needed = p.requiredCalls(calls, minCalls, shares[i+1])
		at = at.Add(dwell)
	}
	return s, ok
}

// requiredCalls returns the number of calls that the step to the next share requires. It is proportional to that share, but
// not more than the calls that the current step is expected to collect, and not less than minEvidence.
func (p ScheduleParams) requiredCalls(calls float64, minCalls int, next model.Share) int {
	if minCalls > 0 {
		return minCalls
	}
	full := p.FullEvidence * max(float64(next)/float64(fullEvidenceShare), 1)
	return int(math.Round(min(max(calls, minEvidence), full)))
}
