package moves

import (
	"fmt"
	"math"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// comparison compares the new version of one move with the old one.
type comparison struct {
	policy     Policy
	service    model.ServiceName
	from, to   model.VersionName
	step       int
	minCalls   int
	stepBegins bool
	// countFrom is when the current step was first known to be in force; earlier calls do not count for the step.
	countFrom time.Time
	// share is the fraction of calls that the new version gets in the current step.
	share     float64
	windows   []*window
	routes    []*routeTests
	byRoute   map[model.RouteName]*routeTests
	allRoutes *routeTests
	// stepNew and stepOld sum the outcomes since the current step has been in force. recentNew and recentOld decay with
	// each round.
	stepNew, stepOld     model.OutcomeSum
	recentNew, recentOld decayedCounts
}

// stratum is a set of calls that depend on the same surroundings: the calls of one data centre on one route. Versions
// are compared within a stratum.
type stratum struct {
	dataCentre model.DataCentre
	route      model.RouteName
}

// window collects the outcomes of one stratum until they are compared. A window with few calls of the new version is weak
// evidence, so windows are longer while the share is small. A window ends after a number of calls or a time, never because
// of failures. The comparison stays exact because versions are assigned to calls independently of the outcome.
type window struct {
	stratum
	since    time.Time
	new, old model.OutcomeSum
}

// isComplete reports whether the window is ready to be compared.
func (w *window) isComplete(p Policy, share float64, last time.Time) bool {
	rarer := min(share, 1-share)
	if share >= 1 {
		rarer = 1
	}
	return float64(w.new.Calls+w.old.Calls)*rarer >= p.WindowCalls || last.Sub(w.since) >= p.LongestWindow
}

// decayedCounts are exponentially decayed counts.
type decayedCounts struct{ calls, failures float64 }

// recentDecay is the decay factor per round, which gives a half-life of about three rounds.
const recentDecay = 0.8

func (r *decayedCounts) add(s model.OutcomeSum) {
	r.calls += float64(s.Calls)
	r.failures += float64(s.Failures)
}

func (r *decayedCounts) decay() {
	r.calls *= recentDecay
	r.failures *= recentDecay
}

func (r *decayedCounts) rate() float64 { return r.failures / max(r.calls, 1) }

func newComparison(p Policy, m *model.Move, routes []model.RouteName) *comparison {
	c := &comparison{
		policy: p, service: m.Service, from: m.From, to: m.To, step: m.Step - 1,
		byRoute: map[model.RouteName]*routeTests{}, allRoutes: newRouteTests(p, "", 0.5),
	}
	for _, r := range routes {
		tests := newRouteTests(p, r, 0.5/float64(len(routes)))
		c.routes = append(c.routes, tests)
		c.byRoute[r] = tests
	}
	return c
}

// beginStep records the step of the move. If it is a new step, the counts of the previous step are reset, because they
// say nothing about the current one.
func (c *comparison) beginStep(m *model.Move) {
	c.minCalls = 0
	if m.Step+1 < len(m.Steps) {
		c.minCalls = m.Steps[m.Step+1].MinCalls
	}
	if m.Step == c.step {
		return
	}
	c.compareWindows(func(*window) bool { return true })
	c.allRoutes.beginStep(c.policy)
	for _, r := range c.routes {
		r.beginStep(c.policy)
	}
	c.step, c.stepBegins, c.share = m.Step, true, 0
	if m.Step >= 0 {
		c.share = float64(m.Steps[m.Step].Share) / float64(model.FullShare)
	}
	c.countFrom = m.Since
	c.stepNew, c.stepOld = model.OutcomeSum{}, model.OutcomeSum{}
}

func (c *comparison) observe(batches []Batch) {
	c.recentNew.decay()
	c.recentOld.decay()
	var last time.Time
	for _, b := range batches {
		c.addBatch(b)
		if b.From.After(last) {
			last = b.From
		}
	}
	c.compareWindows(func(w *window) bool { return w.isComplete(c.policy, c.share, last) })
}

// addBatch adds a batch to the counts and to the windows.
func (c *comparison) addBatch(b Batch) {
	for i := range b.Sums {
		s := &b.Sums[i]
		if s.Service != c.service || s.Version != c.to && s.Version != c.from {
			continue
		}
		w := c.window(stratum{b.DataCentre, s.Route}, b.From)
		inStep := !b.From.Before(c.countFrom)
		if s.Version == c.to {
			w.new.Add(s.OutcomeSum)
			c.addCounts(s, inStep, &c.stepNew, &c.recentNew, true)
		} else {
			w.old.Add(s.OutcomeSum)
			c.addCounts(s, inStep, &c.stepOld, &c.recentOld, false)
		}
	}
}

func (c *comparison) window(at stratum, since time.Time) *window {
	for _, w := range c.windows {
		if w.stratum == at {
			return w
		}
	}
	w := &window{stratum: at, since: since}
	c.windows = append(c.windows, w)
	return w
}

// compareWindows compares the versions in each complete window and ends the round. Each window covers one stratum, so a
// different mix of routes or data centres does not count as a difference between the versions.
func (c *comparison) compareWindows(isComplete func(*window) bool) {
	remaining := c.windows[:0]
	for _, w := range c.windows {
		if isComplete(w) {
			c.compare(c.byRoute[w.route], &w.new, &w.old)
		} else {
			remaining = append(remaining, w)
		}
	}
	c.windows = remaining
	c.allRoutes.endRound(c.stepBegins)
	for _, r := range c.routes {
		r.endRound(c.stepBegins)
	}
	c.stepBegins = false
}

func (c *comparison) addCounts(s *model.KeyedSum, inStep bool, step *model.OutcomeSum, recent *decayedCounts, isNew bool) {
	recent.add(s.OutcomeSum)
	if inStep {
		step.Add(s.OutcomeSum)
	}
	for _, r := range []*routeTests{c.allRoutes, c.byRoute[s.Route]} {
		switch {
		case r == nil:
		case isNew:
			r.new.Add(s.OutcomeSum)
		default:
			r.old.Add(s.OutcomeSum)
			r.stepOld.Add(s.OutcomeSum)
		}
	}
}

// compare adds one window to the tests of its route and to the tests of all routes together.
func (c *comparison) compare(r *routeTests, newSum, oldSum *model.OutcomeSum) {
	if newSum.Calls == 0 {
		return
	}
	baseline := &model.OutcomeSum{}
	tests := []*routeTests{c.allRoutes}
	if r != nil {
		baseline = &r.baseline
		tests = append(tests, r)
	}
	errors := contingencyTable{
		New: int(newSum.Calls), NewHits: int(newSum.Failures), Old: int(oldSum.Calls), OldHits: int(oldSum.Failures),
	}
	for _, r := range tests {
		r.updated = true
		if c.share >= 1 {
			c.compareWithBaseline(r, errors, newSum, baseline)
			continue
		}
		errors.addLogEValues(c.policy.ErrorOdds, c.policy.ErrorTolerance, r.errors.roundValues)
		for i, fraction := range slowFractions {
			slow := c.policy.countSlowCalls(newSum, oldSum, fraction)
			slow.addLogEValues(c.policy.LatencyOdds, c.policy.LatencyTolerance, r.latency[i].roundValues)
		}
	}
}

// compareWithBaseline compares the new version with the outcomes that the old version had on the route before its share
// fell to 0.
func (c *comparison) compareWithBaseline(r *routeTests, errors contingencyTable, newSum, baseline *model.OutcomeSum) {
	p := c.policy
	if baseline.Calls == 0 {
		errors.addLogLikelihoodRatios(p.ErrorOdds, p.ErrorTolerance, p.AssumedFailureRate, r.baselineTests[0].roundValues)
		return
	}
	rate := smoothedRate(int(baseline.Failures), int(baseline.Calls))
	errors.addLogLikelihoodRatios(p.ErrorOdds, p.ErrorTolerance, rate, r.baselineTests[0].roundValues)
	slow := p.countSlowCalls(newSum, baseline, slowFractions[0])
	slow.addLogLikelihoodRatios(p.LatencyOdds, p.LatencyTolerance, smoothedRate(slow.OldHits, slow.Old),
		r.baselineTests[1].roundValues)
}

// smoothedRate estimates a rate; the estimate is never 0 or 1.
func smoothedRate(hits, calls int) float64 { return (float64(hits) + 1) / (float64(calls) + 2) }

// countSlowCalls counts the calls of each version above a latency threshold. The threshold is the quantile above which
// the given fraction of the pooled calls lies. The latencies of the new version are first lowered by Policy.LatencyShift.
// The threshold depends on the pooled calls only, which keeps the comparison exact.
func (p Policy) countSlowCalls(newSum, oldSum *model.OutcomeSum, fraction float64) contingencyTable {
	var newCounts, oldCounts [model.LatencyBuckets]uint32
	floor := model.LatencyBucket(p.LatencyFloor)
	for i := range newSum.Latency {
		newCounts[max(i-p.LatencyShift, floor)] += newSum.Latency[i]
		oldCounts[max(i, floor)] += oldSum.Latency[i]
	}
	total := float64(newSum.Calls + oldSum.Calls)
	table := contingencyTable{New: int(newSum.Calls), Old: int(oldSum.Calls)}
	for i := model.LatencyBuckets - 1; i > floor; i-- {
		above := float64(table.NewHits+table.OldHits) + float64(newCounts[i]+oldCounts[i])
		if above > total*fraction && table.NewHits+table.OldHits > 0 || above > total*(1+fraction)/2 {
			break
		}
		table.NewHits += int(newCounts[i])
		table.OldHits += int(oldCounts[i])
	}
	return table
}

// latencyQuantile returns the upper bound of the histogram bucket that contains the quantile.
func latencyQuantile(s *model.OutcomeSum, q float64, floor int) time.Duration {
	var seen uint32
	for i, c := range s.Latency {
		seen += c
		if float64(seen) >= q*float64(s.Calls) {
			return model.LatencyBound(max(i, floor)).Round(time.Millisecond)
		}
	}
	return 0
}

func (c *comparison) verdict(bound float64) Verdict {
	v := Verdict{Calls: int(c.stepNew.Calls), Failures: int(c.stepNew.Failures), Needed: c.minCalls}
	strongest := c.allRoutes.strongest()
	baselineEvidence := c.allRoutes.baselineEvidence()
	for _, r := range c.routes {
		if f := r.strongest(); f.logEvidence > strongest.logEvidence {
			strongest = f
		}
		baselineEvidence = max(baselineEvidence, r.baselineEvidence())
	}
	v.Suspect = baselineEvidence >= math.Log(c.policy.SuspectFactor)
	newCounts, oldCounts := &c.recentNew, &c.recentOld
	switch {
	case strongest.logEvidence >= bound:
		v.Kind, v.Route, v.Test = Bad, strongest.routeTests.route, strongest.test
		v.Evidence = strongest.describe(c, model.LatencyBucket(c.policy.LatencyFloor))
	case newCounts.rate() > c.policy.FaultyRate && oldCounts.rate() > c.policy.FaultyRate:
		v.Kind, v.Cause = BothBad, "both versions fail"
		v.Evidence = fmt.Sprintf("%.0f%% of %s, %.0f%% of %s", 100*newCounts.rate(), c.to, 100*oldCounts.rate(), c.from)
	case v.Calls < v.Needed:
		v.Kind, v.Cause = Undecided, "too few calls"
		v.Evidence = fmt.Sprintf("%d of %d", v.Calls, v.Needed)
	case strongest.logEvidence >= math.Log(c.policy.SuspicionFactor):
		v.Kind, v.Cause = Undecided, "suspicion, no proof"
		v.Evidence = fmt.Sprintf("%s: %s", strongest.test, strongest.describe(c, 0))
	case !c.excludesExcessFailures():
		v.Kind, v.Cause = Undecided, "too few calls to exclude a fault"
		v.Evidence = fmt.Sprintf("%d of %d calls of %s failed, %d of %d of %s",
			c.stepNew.Failures, c.stepNew.Calls, c.to, c.stepOld.Failures, c.stepOld.Calls, c.from)
	default:
		v.Kind = Good
		v.Evidence = fmt.Sprintf("%d calls, %d failed", v.Calls, c.stepNew.Failures)
	}
	return v
}

// excludesExcessFailures tests the hypothesis that the new version fails more often than the old one, by an excess that
// minCalls calls can detect, and reports whether it is rejected. Just minCalls calls without a failure reject it; each
// failure beyond the old version's rate requires more calls.
func (c *comparison) excludesExcessFailures() bool {
	if c.minCalls == 0 || c.stepNew.Calls == 0 {
		return c.minCalls == 0
	}
	limit := -math.Log(c.policy.MissedFault)
	p0 := c.policy.AssumedFailureRate
	if c.stepOld.Calls > 0 {
		// The new version is allowed the tolerance and the uncertainty of a small sample of the old version.
		p0 = c.policy.ErrorTolerance*smoothedRate(int(c.stepOld.Failures), int(c.stepOld.Calls)) +
			math.Sqrt(float64(c.stepOld.Failures)+1)/float64(c.stepOld.Calls+2)
		p0 = min(p0, 0.95)
	}
	// The second term grows with the noise of the old version's own failures, so that this noise does not delay a good
	// version.
	excess := excessMargin * limit / float64(c.minCalls)
	p1 := min(p0+(excess+excessNoise*math.Sqrt(2*excess*p0))*(1-p0), 0.99)
	failures, calls := float64(c.stepNew.Failures), float64(c.stepNew.Calls)
	return failures*math.Log(p1/p0)+(calls-failures)*math.Log((1-p1)/(1-p0)) <= -limit
}

const (
	excessMargin = 1.1
	excessNoise  = 1.3
)
