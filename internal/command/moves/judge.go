package moves

import (
	"fmt"
	"math"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Batch holds the outcomes of a short time in one data centre. Versions are compared within the same window and data
// centre, so a fault that affects both at once does not count against the new version.
type Batch struct {
	// DataCentre is the origin of the sums. A judge that receives sums from only one place leaves it empty.
	DataCentre model.DataCentre
	From       time.Time
	Sums       []model.KeyedSum
}

// Kind is the result of a judgement.
type Kind string

// Kinds of verdicts.
const (
	Good      Kind = "good"
	Bad       Kind = "bad"
	Undecided Kind = "undecided"
	BothBad   Kind = "both bad"
)

// Verdict is the judgement of the new version of a move.
type Verdict struct {
	Kind Kind
	// Route is the route on which a Bad version was proven bad; empty means all routes together.
	Route model.RouteName
	// Test names the test that proved a version Bad.
	Test string
	// Cause is why a verdict is Undecided or BothBad. It contains no counts, so it stays the same between rounds.
	Cause string
	// Evidence states the counts behind the verdict.
	Evidence string
	// Calls is the number of calls of the new version in the current step, Failures the number of them that failed, and
	// Needed the number of calls that the next step requires.
	Calls, Failures, Needed int
	// Suspect means that a version which gets all calls does worse than the old version did before.
	Suspect bool
}

// Judge compares the new version of each move with the old one by sequential tests.
type Judge struct {
	policy      Policy
	level       Level
	comparisons map[model.PlanID]*comparison
}

// NewJudge returns a judge without evidence.
func NewJudge(policy Policy, level Level) *Judge {
	return &Judge{policy: policy, level: level, comparisons: map[model.PlanID]*comparison{}}
}

// SetLevel sets the number of judges that share the bound on false withdrawals. It changes as daemons join and leave.
func (j *Judge) SetLevel(level Level) { j.level = level }

// Track updates the judge to the moves of a configuration: it starts the comparison of a new move, records the beginning
// of a step and removes the comparisons of finished moves.
func (j *Judge) Track(cfg *model.Configuration) {
	active := make(map[model.PlanID]bool, len(cfg.Moves))
	for i := range cfg.Moves {
		m := &cfg.Moves[i]
		if !m.Phase.Active() {
			continue
		}
		active[m.ID] = true
		c := j.comparisons[m.ID]
		if c == nil {
			c = newComparison(j.policy, m, routesOf(cfg, m.Service))
			j.comparisons[m.ID] = c
		}
		c.beginStep(m)
	}
	for id := range j.comparisons {
		if !active[id] {
			delete(j.comparisons, id)
		}
	}
}

func routesOf(cfg *model.Configuration, service model.ServiceName) []model.RouteName {
	var names []model.RouteName
	for i := range cfg.Routes {
		if cfg.Routes[i].LeadsTo(service) {
			names = append(names, cfg.Routes[i].Name)
		}
	}
	return names
}

// CountFrom sets the time from which outcomes count towards the calls that the current step requires, and resets the
// count. Earlier outcomes stay in the tests.
func (j *Judge) CountFrom(move model.PlanID, at time.Time) {
	if c := j.comparisons[move]; c != nil {
		c.countFrom = at
		c.stepNew, c.stepOld = model.OutcomeSum{}, model.OutcomeSum{}
	}
}

// Observe adds the batches that arrived since the last call. Each call is one round of the sequential tests, which allow
// for a fault that begins in any round.
func (j *Judge) Observe(batches ...Batch) {
	for _, c := range j.comparisons {
		c.observe(batches)
	}
}

// Verdict returns the judgement of a move. A move that is not tracked is Undecided.
func (j *Judge) Verdict(move model.PlanID) Verdict {
	c := j.comparisons[move]
	if c == nil {
		return Verdict{Kind: Undecided, Cause: "no evidence yet"}
	}
	return c.verdict(j.policy.logThreshold(j.level))
}

// Marks returns a mark for each active move of cfg whose new version is proven bad.
func (j *Judge) Marks(cfg *model.Configuration, now time.Time, by model.DaemonID) []model.Mark {
	var marks []model.Mark
	for i := range cfg.Moves {
		m := &cfg.Moves[i]
		if !m.Phase.Active() {
			continue
		}
		if v := j.Verdict(m.ID); v.Kind == Bad {
			marks = append(marks, model.Mark{VersionRef: m.Version(), Move: m.ID, Reason: v.Reason(), By: by, At: now})
		}
	}
	return marks
}

// Reason describes a Bad verdict for reports.
func (v Verdict) Reason() string {
	route := "all routes"
	if v.Route != "" {
		route = "route " + string(v.Route)
	}
	return fmt.Sprintf("%s on %s: %s", v.Test, route, v.Evidence)
}

// slowFractions are the fractions of the pooled calls of a window, slowest first, that count as slow.
var slowFractions = [...]float64{0.5, 0.1}

// routeTests holds the tests and counts of one route, or of all routes together. Weight is its fraction of the bound on
// false withdrawals.
type routeTests struct {
	route         model.RouteName
	weight        float64
	errors        sequentialTest
	latency       [len(slowFractions)]sequentialTest
	baselineTests [2]sequentialTest
	// new and old sum the outcomes since the move began, for reports.
	new, old model.OutcomeSum
	// stepOld sums the old version's outcomes in the current step, baseline those of the last step in which it got calls.
	stepOld, baseline model.OutcomeSum
	updated           bool
}

// beginStep resets the tests against the baseline, so that suspicion from an earlier step at 100% does not count in a
// later one.
func (r *routeTests) beginStep(p Policy) {
	r.baselineTests = [2]sequentialTest{newSequentialTest(p.ErrorOdds), newSequentialTest(p.LatencyOdds)}
	if r.stepOld.Calls > 0 {
		r.baseline = r.stepOld
	}
	r.stepOld = model.OutcomeSum{}
}

func newRouteTests(p Policy, route model.RouteName, weight float64) *routeTests {
	r := &routeTests{route: route, weight: weight, errors: newSequentialTest(p.ErrorOdds)}
	for i := range r.latency {
		r.latency[i] = newSequentialTest(p.LatencyOdds)
	}
	r.beginStep(p)
	return r
}

// endRound adds the round's values to all tests if the round had any.
func (r *routeTests) endRound(stepBegins bool) {
	if !r.updated {
		return
	}
	r.updated = false
	r.errors.endRound(stepBegins)
	for i := range r.latency {
		r.latency[i].endRound(stepBegins)
	}
	for i := range r.baselineTests {
		r.baselineTests[i].endRound(stepBegins)
	}
}

// finding is the strongest evidence against the new version in a routeTests.
type finding struct {
	routeTests  *routeTests
	test        string
	logEvidence float64
}

// strongest returns the finding of the test with the strongest evidence. The test on errors gets half of the weight and
// the tests on latency the other half.
func (r *routeTests) strongest() finding {
	best := finding{routeTests: r, test: "errors", logEvidence: r.errors.logEvidence() + math.Log(r.weight/2)}
	for i := range r.latency {
		logEvidence := r.latency[i].logEvidence() + math.Log(r.weight/2/float64(len(r.latency)))
		if logEvidence > best.logEvidence {
			best.test, best.logEvidence = "latency", logEvidence
		}
	}
	return best
}

// baselineEvidence returns the evidence against a version at 100%, which can be compared with the baseline only.
func (r *routeTests) baselineEvidence() float64 {
	return max(r.baselineTests[0].logEvidence(), r.baselineTests[1].logEvidence()) + math.Log(r.weight/2)
}

// describe returns the counts behind a finding as text.
func (f finding) describe(c *comparison, floor int) string {
	newCounts, oldCounts := &f.routeTests.new, &f.routeTests.old
	if f.test == "errors" {
		return fmt.Sprintf("%d of %d calls of %s failed, %d of %d of %s",
			newCounts.Failures, newCounts.Calls, c.to, oldCounts.Failures, oldCounts.Calls, c.from)
	}
	return fmt.Sprintf("median %s over %d calls of %s, %s over %d of %s",
		latencyQuantile(newCounts, 0.5, floor), newCounts.Calls, c.to, latencyQuantile(oldCounts, 0.5, floor), oldCounts.Calls, c.from)
}
