package moves

import (
	"fmt"
	"math"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Batch is the outcomes of a short time at one place. Both versions are compared within the same window at the same
// place, so a fault that hits both at once does not count against the new one.
type Batch struct {
	// DataCentre separates the places whose sums arrive at one judge; a judge of one place leaves it empty.
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

// Verdict is what the evidence says of a version under move.
type Verdict struct {
	Kind Kind
	// Route is the route of a bad verdict; empty means all routes together.
	Route model.RouteName
	// Test names the test of a bad verdict.
	Test string
	// Cause says in fixed words why a verdict is undecided or both bad.
	Cause string
	// Evidence states the counts behind the verdict.
	Evidence string
	// Calls counts the calls of the new version in the present step, Failures those of them that failed, and Needed the calls
	// that the next step asks for.
	Calls, Failures, Needed int
	// Suspect says that a version without old traffic to compare with does worse than the old version did before.
	Suspect bool
}

// Judge tests each version under move against the old version, sequentially.
type Judge struct {
	policy Policy
	level  Level
	trials map[model.PlanID]*trial
}

// NewJudge returns a judge without evidence.
func NewJudge(policy Policy, level Level) *Judge {
	return &Judge{policy: policy, level: level, trials: map[model.PlanID]*trial{}}
}

// SetLevel changes the number of judges that share the error bound, as daemons come and go.
func (j *Judge) SetLevel(level Level) { j.level = level }

// Track follows the moves of a configuration: it starts a trial for a new move, notes the beginning of a step and drops
// the trials of finished moves.
func (j *Judge) Track(cfg *model.Configuration) {
	active := make(map[model.PlanID]bool, len(cfg.Moves))
	for i := range cfg.Moves {
		m := &cfg.Moves[i]
		if !m.Phase.Active() {
			continue
		}
		active[m.ID] = true
		t := j.trials[m.ID]
		if t == nil {
			t = newTrial(j.policy, m, routesOf(cfg, m.Service))
			j.trials[m.ID] = t
		}
		t.enter(m)
	}
	for id := range j.trials {
		if !active[id] {
			delete(j.trials, id)
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

// CountFrom says from when on outcomes count towards the calls that the present step needs; those counted before are
// discarded. Outcomes of earlier windows still count against the version.
func (j *Judge) CountFrom(move model.PlanID, at time.Time) {
	if t := j.trials[move]; t != nil {
		t.countFrom = at
		t.stepNew, t.stepOld = model.OutcomeSum{}, model.OutcomeSum{}
	}
}

// Observe adds the batches that arrived in one round. A fault can begin with any round.
func (j *Judge) Observe(batches ...Batch) {
	for _, t := range j.trials {
		t.observe(batches)
	}
}

// Verdict judges a move; a move without a trial is undecided.
func (j *Judge) Verdict(move model.PlanID) Verdict {
	t := j.trials[move]
	if t == nil {
		return Verdict{Kind: Undecided, Cause: "no evidence yet"}
	}
	return t.verdict(j.policy.bound(j.level))
}

// Marks returns a mark for each tracked version of cfg that the evidence proves bad.
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

// Reason renders a bad verdict for reports.
func (v Verdict) Reason() string {
	route := "all routes"
	if v.Route != "" {
		route = "route " + string(v.Route)
	}
	return fmt.Sprintf("%s on %s: %s", v.Test, route, v.Evidence)
}

// slowThresholds are the parts of the pooled calls of a window above which a call counts as slow.
var slowThresholds = [...]float64{0.5, 0.1}

// ledger holds the tests and counts of one route, or of all routes together.
type ledger struct {
	route    model.RouteName
	weight   float64
	errors   process
	latency  [len(slowThresholds)]process
	suspects [2]process
	// new and old sum the calls since the move began, as evidence for reports.
	new, old model.OutcomeSum
	// stepOld sums the old version's calls in the present step, baseline those of the last step that gave it any.
	stepOld, baseline model.OutcomeSum
	touched           bool
}

// enter begins a step. Suspicion of an earlier time at 100% is not held against the version at a later one.
func (l *ledger) enter(p Policy) {
	l.suspects = [2]process{newProcess(p.ErrorOdds), newProcess(p.LatencyOdds)}
	if l.stepOld.Calls > 0 {
		l.baseline = l.stepOld
	}
	l.stepOld = model.OutcomeSum{}
}

func newLedger(p Policy, route model.RouteName, weight float64) *ledger {
	l := &ledger{route: route, weight: weight, errors: newProcess(p.ErrorOdds)}
	for i := range l.latency {
		l.latency[i] = newProcess(p.LatencyOdds)
	}
	l.enter(p)
	return l
}

// update ends a round.
func (l *ledger) update(first bool) {
	if !l.touched {
		return
	}
	l.touched = false
	l.errors.update(first)
	for i := range l.latency {
		l.latency[i].update(first)
	}
	for i := range l.suspects {
		l.suspects[i].update(first)
	}
}

// finding is the strongest evidence of a ledger against the new version.
type finding struct {
	ledger *ledger
	test   string
	log    float64
}

// worst returns the strongest test. Errors get half of the ledger's error bound and latency the other half.
func (l *ledger) worst() finding {
	best := finding{ledger: l, test: "errors", log: l.errors.value() + math.Log(l.weight/2)}
	for i := range l.latency {
		log := l.latency[i].value() + math.Log(l.weight/2/float64(len(l.latency)))
		if log > best.log {
			best.test, best.log = "latency", log
		}
	}
	return best
}

// suspicion returns the evidence against a version that has no old traffic to compare with.
func (l *ledger) suspicion() float64 {
	return max(l.suspects[0].value(), l.suspects[1].value()) + math.Log(l.weight/2)
}

// describe states the counts behind a finding.
func (f finding) describe(m *trial, floor int) string {
	n, o := &f.ledger.new, &f.ledger.old
	if f.test == "errors" {
		return fmt.Sprintf("%d of %d calls of %s failed, %d of %d of %s",
			n.Failures, n.Calls, m.to, o.Failures, o.Calls, m.from)
	}
	return fmt.Sprintf("median %s over %d calls of %s, %s over %d of %s",
		quantile(n, 0.5, floor), n.Calls, m.to, quantile(o, 0.5, floor), o.Calls, m.from)
}
