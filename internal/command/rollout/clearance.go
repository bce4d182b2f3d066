package rollout

import (
	"math"
	"slices"

	"sniperail.example/sniperail/internal/model"
)

const (
	// searchedExcess is the fraction of calls that fail beyond those of the old version in a version that the test looks for:
	// it is low, since a fault under load spoils only the calls that meet a busy target. searchedRouteExcess is that of a
	// fault which spoils the calls of one route only.
	searchedExcess      = 0.08
	searchedRouteExcess = 0.3
	// clearOdds is the odds at which a version counts as free of such a fault, acceptableOdds those at which it may go on
	// when no more calls may be risked. At suspectOdds no step is taken, and at provenOdds the version is withdrawn.
	clearOdds      = 1.0 / 20
	acceptableOdds = 1.0
	suspectOdds    = 3.0
	provenOdds     = 1000.0
	// provenCalls is the minimum number of calls for a proof.
	provenCalls = brokenCalls
	// baselineDecay is the weight of earlier rounds in the old version's counts. The half-life is below a second, so that a
	// fault which begins in both versions at once raises the baseline with the failures.
	baselineDecay = 0.75
	// assumedFailureRate is the failure rate that is assumed while the old version has no calls, and assumedCalls the number of
	// calls that the assumption counts for beside measured ones.
	assumedFailureRate = 0.05
	assumedCalls       = 20
	// routeWeight is the number of recent calls that the failure rate of a route so far counts for, serviceWeight the number
	// of calls that the rate of the whole service counts for beside it.
	routeWeight   = 5
	serviceWeight = 1
	// minFailureRate and maxFailureRate bound the baseline, which is an estimate from few calls.
	minFailureRate = 0.005
	maxFailureRate = 0.9
)

// clearanceTest compares, within one step, two hypotheses on the calls at the targets that bear the load of the new version:
// that they fail as often as those of the old version on the same route, and that searchedExcess of them fail besides. The
// tests that prove a fault say nothing of how probable it is that there is none.
type clearanceTest struct {
	step     int
	canaries []model.DaemonID
	old      map[model.RouteName]*routeBaseline
	service  decayedCounts
	// logOdds is the logarithm of the odds of a fault of all routes against none, routeLogOdds that of a fault of one route.
	logOdds      float64
	routeLogOdds map[model.RouteName]float64
	// calls and failures are the counts behind the odds.
	calls, failures int
}

// routeBaseline counts the old version's calls on a route: the recent ones, and all.
type routeBaseline struct {
	recent decayedCounts
	all    model.OutcomeSum
}

// decayedCounts are exponentially decayed counts of calls.
type decayedCounts struct{ calls, failures float64 }

func (c *decayedCounts) add(s *model.OutcomeSum) {
	c.calls += float64(s.Calls)
	c.failures += float64(s.Failures)
}

func (c *decayedCounts) decay() {
	c.calls *= baselineDecay
	c.failures *= baselineDecay
}

func newClearanceTest() *clearanceTest {
	return &clearanceTest{
		old: map[model.RouteName]*routeBaseline{}, routeLogOdds: map[model.RouteName]float64{},
	}
}

// observeRound adds the outcomes of one round. A new step, or other canaries, begin a new test.
func (t *clearanceTest) observeRound(m *model.Rollout, observations []Observation) {
	if t.step != m.Step || !slices.Equal(t.canaries, m.Canaries) {
		t.step, t.canaries = m.Step, m.Canaries
		t.logOdds, t.calls, t.failures = 0, 0, 0
		t.routeLogOdds = map[model.RouteName]float64{}
	}
	t.service.decay()
	for _, route := range t.old {
		route.recent.decay()
	}
	forEachSum(observations, func(_ *Observation, s *model.KeyedSum) {
		if s.Version == m.From {
			t.addBaseline(s)
		}
	})
	forEachSum(observations, func(o *Observation, s *model.KeyedSum) {
		if s.Version == m.To && bearsLoad(m, o.Target.Daemon) {
			t.addCalls(s)
		}
	})
}

func (t *clearanceTest) addBaseline(s *model.KeyedSum) {
	route := t.old[s.Route]
	if route == nil {
		route = &routeBaseline{}
		t.old[s.Route] = route
	}
	route.recent.add(&s.OutcomeSum)
	route.all.Add(s.OutcomeSum)
	t.service.add(&s.OutcomeSum)
}

func (t *clearanceTest) addCalls(s *model.KeyedSum) {
	rate := t.baseline(s.Route)
	t.logOdds += logLikelihoodRatio(&s.OutcomeSum, rate, searchedExcess)
	t.routeLogOdds[s.Route] += logLikelihoodRatio(&s.OutcomeSum, rate, searchedRouteExcess)
	t.calls += int(s.Calls)
	t.failures += int(s.Failures)
}

// logLikelihoodRatio returns the logarithm of the ratio of two likelihoods of some calls: that the given excess of them fails
// besides the given rate, and that they fail at that rate.
func logLikelihoodRatio(s *model.OutcomeSum, rate, excess float64) float64 {
	raised := rate + excess*(1-rate)
	failures, successes := float64(s.Failures), float64(s.Calls-s.Failures)
	return failures*math.Log(raised/rate) + successes*math.Log((1-raised)/(1-rate))
}

// odds returns the odds of a fault: half of them are for one of all routes, and the rest for one of a single route.
func (t *clearanceTest) odds() float64 {
	odds := math.Exp(t.logOdds)
	if len(t.routeLogOdds) == 0 {
		return odds
	}
	routes := 0.0
	for _, logOdds := range t.routeLogOdds {
		routes += math.Exp(logOdds)
	}
	return (odds + routes/float64(len(t.routeLogOdds))) / 2
}

// baseline estimates the old version's present failure rate on a route. Where it has few calls, the estimate tends to its rate
// on the route so far, and without any to the rate of the service.
func (t *clearanceTest) baseline(name model.RouteName) float64 {
	service := (t.service.failures + assumedFailureRate*assumedCalls) / (t.service.calls + assumedCalls)
	rate := service
	if route := t.old[name]; route != nil {
		soFar := (float64(route.all.Failures) + serviceWeight*service) / (float64(route.all.Calls) + serviceWeight)
		rate = (route.recent.failures + routeWeight*soFar) / (route.recent.calls + routeWeight)
	}
	return min(max(rate, minFailureRate), maxFailureRate)
}

// clears reports whether the calls of the step exclude a fault of all routes. A fault of a single route cannot be excluded
// where it has few calls.
func (t *clearanceTest) clears() bool { return t.logOdds <= math.Log(clearOdds) && t.isAcceptable() }

// isAcceptable reports whether a fault is no more probable than none, suspects whether it is probable, and proves whether it
// is proven.
func (t *clearanceTest) isAcceptable() bool { return t.odds() <= acceptableOdds }
func (t *clearanceTest) suspects() bool     { return t.odds() >= suspectOdds }
func (t *clearanceTest) proves() bool       { return t.calls >= provenCalls && t.odds() >= provenOdds }
