package plans

import (
	"fmt"
	"math"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// ScheduleParams holds the constants of a schedule that sniperail-bench moves chose; docs/moves.md says how.
type ScheduleParams struct {
	// FirstEvidence is the number of calls that the first step should collect. It sets the first share, and with it the
	// part of the calls that a version bad at once receives.
	FirstEvidence float64
	// FullEvidence is the number of the new version's calls that a step to fullShare asks for when the load gives
	// them; a step to a larger share asks for more in proportion.
	FullEvidence float64
	// EvidenceFraction is the part of the calls expected in a step that the next step asks for, so that fluctuation of the
	// load and the delay of reports do not hold a good version.
	EvidenceFraction float64
	// FirstStepFraction is the part of the time before 100% that the first step lasts: it exposes the least calls.
	FirstStepFraction float64
	// SlackFraction is the part of the time that stays free for delays, at least leastSlack.
	SlackFraction float64
	// ControlShare is the last share before 100%. The higher it is, the fewer calls the old version has to compare with.
	ControlShare model.Share
	// Growth is the largest ratio of neighbouring shares up to evenShare.
	Growth float64
}

// DefaultScheduleParams returns the constants in use.
func DefaultScheduleParams() ScheduleParams {
	return ScheduleParams{FirstEvidence: 20, FullEvidence: 200, EvidenceFraction: 0.5, FirstStepFraction: 0.5, SlackFraction: 0.1, Growth: 2.5, ControlShare: 6000}
}

const (
	// fullShare is the share that FullEvidence refers to.
	fullShare = model.Share(200)
	// leastEvidence is the least number of calls that a step asks for. With fewer only a version that fails nearly
	// every call would be noticed.
	leastEvidence = 8
	// missedRate over the calls judged is the failure rate that the judge excludes, about -ln(0.01).
	missedRate = 5.0
	leastSlack = 2 * time.Second
	// stepOverhead is the time from a decision to the first report of a step in force everywhere.
	stepOverhead = 1500 * time.Millisecond
	// watchPart is the part of the time that the watch period at 100% takes by default, at most longestWatch.
	watchPart    = 0.1
	longestWatch = time.Minute
	leastWatch   = 2 * time.Second
)

const (
	// smallestShare is the least first share. Below it a step of a few minutes sees too few calls at any customer.
	smallestShare = model.Share(25)
	// largestFirst is the largest first share; a move that needs more cannot protect its callers.
	largestFirst = model.Share(2500)
	// evenShare gives both versions the same number of calls, where a comparison sees most.
	evenShare = model.Share(5000)
	// shortShare is the first share from which a move is too short for a step of ControlShare.
	shortShare = model.Share(1500)
)

// ladder returns the shares of the steps from a first share, evenly on a logarithmic scale up to evenShare.
func (c ScheduleParams) ladder(first model.Share) []model.Share {
	ratio := float64(evenShare) / float64(first)
	steps := int(math.Ceil(math.Log(ratio) / math.Log(c.Growth)))
	shares := make([]model.Share, 0, steps+3)
	for i := range steps + 1 {
		share := float64(first) * math.Pow(ratio, float64(i)/float64(steps))
		shares = append(shares, model.Share(math.Round(share)))
	}
	if first >= shortShare {
		return append(shares, model.FullShare)
	}
	return append(shares, c.ControlShare, model.FullShare)
}

// timetable is the steps of a plan and what it says of them.
type timetable struct {
	steps    []model.Step
	watch    time.Duration
	feasible bool
	note     string
	latest   time.Time
}

// plan takes the smallest first share that collects the evidence in time.
func (c ScheduleParams) plan(now time.Time, in model.Intent, rate float64) timetable {
	total := in.By.Sub(now)
	watch := time.Duration(in.WatchSeconds) * time.Second
	if watch == 0 {
		watch = max(min(time.Duration(float64(total)*watchPart), longestWatch), leastWatch).Truncate(time.Second)
	}
	if s, ok := c.smallest(now, in, total-watch, rate); ok {
		s.watch, s.feasible, s.latest = watch, true, in.By
		if needed := s.steps[1].MinCalls; float64(needed) < c.FirstEvidence {
			s.note = fmt.Sprintf("the first step is judged on %d calls: a version that fails less than %.0f%% of them may pass it",
				needed, min(100*missedRate/float64(needed), 100))
		}
		return s
	}
	return c.late(now, in, watch, rate)
}

// smallest tries first shares in ascending order.
func (c ScheduleParams) smallest(now time.Time, in model.Intent, length time.Duration, rate float64) (timetable, bool) {
	for _, wanted := range c.wantedCalls(in) {
		for first := smallestShare; first <= largestFirst; first += max(first/5, 1) {
			if s, ok := c.fill(now, c.ladder(first), length, rate, in.MinCalls, wanted); ok {
				return s, true
			}
		}
	}
	return timetable{}, false
}

// wantedCalls lists the numbers of calls in the first step to try for, best first.
func (c ScheduleParams) wantedCalls(in model.Intent) []float64 {
	if in.MinCalls > 0 {
		return []float64{float64(in.MinCalls)}
	}
	return []float64{c.FirstEvidence, leastEvidence}
}

// late plans the earliest time that the load allows when the requested one is too early.
func (c ScheduleParams) late(now time.Time, in model.Intent, watch time.Duration, rate float64) timetable {
	wanted := c.wantedCalls(in)
	need := wanted[len(wanted)-1]
	for length := max(in.By.Sub(now), time.Second); rate > 0 && length < longestMove; length += length / 20 {
		s, ok := c.smallest(now, in, length, rate)
		if !ok {
			continue
		}
		s.watch, s.latest = watch, now.Add(length+watch).Round(time.Second)
		s.note = fmt.Sprintf("at %.1f calls/s the evidence of %.0f calls a step takes until %s",
			rate, need, s.latest.UTC().Format(time.RFC3339))
		return s
	}
	s, _ := c.fill(now, c.ladder(largestFirst), max(in.By.Sub(now)-watch, 0), rate, in.MinCalls, 0)
	s.watch = watch
	s.note = fmt.Sprintf("at %.1f calls/s the evidence of %.0f calls a step cannot be collected", rate, need)
	return s
}

// longestMove bounds the search for a feasible time.
const longestMove = 366 * 24 * time.Hour

// fill spreads the shares over the time before the watch period. It reports false if a step lasts less than stepOverhead
// or expects less than the wanted calls.
func (c ScheduleParams) fill(now time.Time, shares []model.Share, length time.Duration, rate float64, minCalls int, wanted float64) (timetable, bool) {
	var s timetable
	ok := true
	usable := float64(length) - max(c.SlackFraction*float64(length), float64(leastSlack))
	at := now
	needed := 0
	for i, share := range shares {
		s.steps = append(s.steps, model.Step{Share: share, Earliest: at, MinCalls: needed})
		if share == model.FullShare {
			break
		}
		part := c.FirstStepFraction
		if i > 0 {
			part = (1 - c.FirstStepFraction) / float64(len(shares)-2)
		}
		dwell := time.Duration(usable * part)
		observed := dwell - stepOverhead
		calls := rate * float64(share) / float64(model.FullShare) * max(observed.Seconds(), 0) * c.EvidenceFraction
		ok = ok && observed > 0 && calls >= wanted
		needed = c.evidence(calls, minCalls, shares[i+1])
		at = at.Add(dwell)
	}
	return s, ok
}

// evidence is in proportion to the next share, as far as the present step can collect it.
func (c ScheduleParams) evidence(calls float64, minCalls int, next model.Share) int {
	if minCalls > 0 {
		return minCalls
	}
	full := c.FullEvidence * max(float64(next)/float64(fullShare), 1)
	return int(math.Round(min(max(calls, leastEvidence), full)))
}
