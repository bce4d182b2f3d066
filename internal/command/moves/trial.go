package moves

import (
	"fmt"
	"math"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// trial is the judgement of one move.
type trial struct {
	policy   Policy
	service  model.ServiceName
	from, to model.VersionName
	step     int
	needed   int
	first    bool
	// countFrom is when the present step was seen in force.
	countFrom time.Time
	// share is the new version's share of calls in the present step.
	share   float64
	open    []*window
	routes  []*ledger
	byRoute map[model.RouteName]*ledger
	all     *ledger
	// stepNew and stepOld sum the calls since the present step is in force; recentNew and recentOld decay by round.
	stepNew, stepOld     model.OutcomeSum
	recentNew, recentOld rates
}

// place is where the two versions share their surroundings: a data centre's calls on one route.
type place struct {
	dataCentre model.DataCentre
	route      model.RouteName
}

// window collects the calls at one place until they are compared. A call of the new version among few others proves
// little, so windows are longer while the share is small. They close on the number of calls and on time, never on
// failures: the comparison stays exact because the rotation assigns versions whatever the outcome will be.
type window struct {
	place
	since      time.Time
	fresh, old model.OutcomeSum
}

// closes reports whether the window is compared now.
func (w *window) closes(p Policy, share float64, last time.Time) bool {
	rarer := min(share, 1-share)
	if share >= 1 {
		rarer = 1
	}
	return float64(w.fresh.Calls+w.old.Calls)*rarer >= p.WindowCalls || last.Sub(w.since) >= p.LongestWindow
}

// rates is an exponentially decayed count.
type rates struct{ calls, failures float64 }

// recentDecay forgets a round's calls with a half-life of about three rounds.
const recentDecay = 0.8

func (r *rates) add(s model.OutcomeSum) {
	r.calls += float64(s.Calls)
	r.failures += float64(s.Failures)
}

func (r *rates) decay() {
	r.calls *= recentDecay
	r.failures *= recentDecay
}

func (r *rates) rate() float64 { return r.failures / max(r.calls, 1) }

func newTrial(p Policy, m *model.Move, routes []model.RouteName) *trial {
	t := &trial{
		policy: p, service: m.Service, from: m.From, to: m.To, step: m.Step - 1,
		byRoute: map[model.RouteName]*ledger{}, all: newLedger(p, "", 0.5),
	}
	for _, r := range routes {
		l := newLedger(p, r, 0.5/float64(len(routes)))
		t.routes = append(t.routes, l)
		t.byRoute[r] = l
	}
	return t
}

// enter notes the step of the move. Calls counted for a step before say nothing about the present step.
func (t *trial) enter(m *model.Move) {
	t.needed = 0
	if m.Step+1 < len(m.Steps) {
		t.needed = m.Steps[m.Step+1].MinCalls
	}
	if m.Step == t.step {
		return
	}
	t.compareOpen(func(*window) bool { return true })
	t.all.enter(t.policy)
	for _, l := range t.routes {
		l.enter(t.policy)
	}
	t.step, t.first, t.share = m.Step, true, 0
	if m.Step >= 0 {
		t.share = float64(m.Steps[m.Step].Share) / float64(model.FullShare)
	}
	t.countFrom = m.Since
	t.stepNew, t.stepOld = model.OutcomeSum{}, model.OutcomeSum{}
}

func (t *trial) observe(batches []Batch) {
	t.recentNew.decay()
	t.recentOld.decay()
	var last time.Time
	for _, b := range batches {
		t.batch(b)
		if b.From.After(last) {
			last = b.From
		}
	}
	t.compareOpen(func(w *window) bool { return w.closes(t.policy, t.share, last) })
}

// batch adds a batch to the counts and to the open windows.
func (t *trial) batch(b Batch) {
	for i := range b.Sums {
		s := &b.Sums[i]
		if s.Service != t.service || s.Version != t.to && s.Version != t.from {
			continue
		}
		w := t.window(place{b.DataCentre, s.Route}, b.From)
		counts := !b.From.Before(t.countFrom)
		if s.Version == t.to {
			w.fresh.Add(s.OutcomeSum)
			t.count(s, counts, &t.stepNew, &t.recentNew, true)
		} else {
			w.old.Add(s.OutcomeSum)
			t.count(s, counts, &t.stepOld, &t.recentOld, false)
		}
	}
}

func (t *trial) window(at place, since time.Time) *window {
	for _, w := range t.open {
		if w.place == at {
			return w
		}
	}
	w := &window{place: at, since: since}
	t.open = append(t.open, w)
	return w
}

// compareOpen compares the windows that close, place by place, so that a different mix of routes or data centres is no
// difference between versions.
func (t *trial) compareOpen(closes func(*window) bool) {
	kept := t.open[:0]
	for _, w := range t.open {
		if closes(w) {
			t.compare(t.byRoute[w.route], &w.fresh, &w.old)
		} else {
			kept = append(kept, w)
		}
	}
	t.open = kept
	t.all.update(t.first)
	for _, l := range t.routes {
		l.update(t.first)
	}
	t.first = false
}

func (t *trial) count(s *model.KeyedSum, inStep bool, step *model.OutcomeSum, recent *rates, isNew bool) {
	recent.add(s.OutcomeSum)
	if inStep {
		step.Add(s.OutcomeSum)
	}
	for _, l := range []*ledger{t.all, t.byRoute[s.Route]} {
		switch {
		case l == nil:
		case isNew:
			l.new.Add(s.OutcomeSum)
		default:
			l.old.Add(s.OutcomeSum)
			l.stepOld.Add(s.OutcomeSum)
		}
	}
}

// compare adds one route's window to the tests of the route and to those of all routes together.
func (t *trial) compare(l *ledger, fresh, old *model.OutcomeSum) {
	if fresh.Calls == 0 {
		return
	}
	baseline := &model.OutcomeSum{}
	ledgers := []*ledger{t.all}
	if l != nil {
		baseline = &l.baseline
		ledgers = append(ledgers, l)
	}
	errors := table{New: int(fresh.Calls), NewHits: int(fresh.Failures), Old: int(old.Calls), OldHits: int(old.Failures)}
	for _, l := range ledgers {
		l.touched = true
		if t.share >= 1 {
			t.suspect(l, errors, fresh, baseline)
			continue
		}
		errors.logEValues(t.policy.ErrorOdds, t.policy.ErrorTolerance, l.errors.scratch)
		for i, part := range slowThresholds {
			slow := t.policy.slowTable(fresh, old, part)
			slow.logEValues(t.policy.LatencyOdds, t.policy.LatencyTolerance, l.latency[i].scratch)
		}
	}
}

// suspect compares with what the old version did on the route before it lost its traffic.
func (t *trial) suspect(l *ledger, errors table, fresh, baseline *model.OutcomeSum) {
	p := t.policy
	if baseline.Calls == 0 {
		errors.logReference(p.ErrorOdds, p.ErrorTolerance, p.UnknownRate, l.suspects[0].scratch)
		return
	}
	rate := smoothedRate(int(baseline.Failures), int(baseline.Calls))
	errors.logReference(p.ErrorOdds, p.ErrorTolerance, rate, l.suspects[0].scratch)
	slow := p.slowTable(fresh, baseline, slowThresholds[0])
	slow.logReference(p.LatencyOdds, p.LatencyTolerance, smoothedRate(slow.OldHits, slow.Old), l.suspects[1].scratch)
}

// smoothedRate estimates a rate without ever being 0 or 1.
func smoothedRate(hits, calls int) float64 { return (float64(hits) + 1) / (float64(calls) + 2) }

// slowTable counts as slow the calls above the pooled quantile. The new version's latencies are shifted down by the
// policy's allowance first. The quantile depends on the pooled calls only, which keeps the comparison exact.
func (p Policy) slowTable(fresh, old *model.OutcomeSum, part float64) table {
	var n, o [model.LatencyBuckets]uint32
	floor := model.LatencyBucket(p.LatencyFloor)
	for i := range fresh.Latency {
		n[max(i-p.LatencyShift, floor)] += fresh.Latency[i]
		o[max(i, floor)] += old.Latency[i]
	}
	total := float64(fresh.Calls + old.Calls)
	t := table{New: int(fresh.Calls), Old: int(old.Calls)}
	for i := model.LatencyBuckets - 1; i > floor; i-- {
		above := float64(t.NewHits+t.OldHits) + float64(n[i]+o[i])
		if above > total*part && t.NewHits+t.OldHits > 0 || above > total*(1+part)/2 {
			break
		}
		t.NewHits += int(n[i])
		t.OldHits += int(o[i])
	}
	return t
}

// quantile renders the upper bound of the bucket that holds a quantile.
func quantile(s *model.OutcomeSum, q float64, floor int) time.Duration {
	var seen uint32
	for i, c := range s.Latency {
		seen += c
		if float64(seen) >= q*float64(s.Calls) {
			return model.LatencyBound(max(i, floor)).Round(time.Millisecond)
		}
	}
	return 0
}

func (t *trial) verdict(bound float64) Verdict {
	v := Verdict{Calls: int(t.stepNew.Calls), Failures: int(t.stepNew.Failures), Needed: t.needed}
	worst := t.all.worst()
	suspicion := t.all.suspicion()
	for _, l := range t.routes {
		if f := l.worst(); f.log > worst.log {
			worst = f
		}
		suspicion = max(suspicion, l.suspicion())
	}
	v.Suspect = suspicion >= math.Log(t.policy.SuspectFactor)
	n, o := &t.recentNew, &t.recentOld
	switch {
	case worst.log >= bound:
		v.Kind, v.Route, v.Test = Bad, worst.ledger.route, worst.test
		v.Evidence = worst.describe(t, model.LatencyBucket(t.policy.LatencyFloor))
	case n.rate() > t.policy.FaultyRate && o.rate() > t.policy.FaultyRate:
		v.Kind, v.Cause = BothBad, "both versions fail"
		v.Evidence = fmt.Sprintf("%.0f%% of %s, %.0f%% of %s", 100*n.rate(), t.to, 100*o.rate(), t.from)
	case v.Calls < v.Needed:
		v.Kind, v.Cause = Undecided, "too few calls"
		v.Evidence = fmt.Sprintf("%d of %d", v.Calls, v.Needed)
	case worst.log >= math.Log(t.policy.SuspicionFactor):
		v.Kind, v.Cause = Undecided, "suspicion, no proof"
		v.Evidence = fmt.Sprintf("%s: %s", worst.test, worst.describe(t, 0))
	case !t.excludesExcess():
		v.Kind, v.Cause = Undecided, "too few calls to exclude a fault"
		v.Evidence = fmt.Sprintf("%d of %d calls of %s failed, %d of %d of %s",
			t.stepNew.Failures, t.stepNew.Calls, t.to, t.stepOld.Failures, t.stepOld.Calls, t.from)
	default:
		v.Kind = Good
		v.Evidence = fmt.Sprintf("%d calls, %d failed", v.Calls, t.stepNew.Failures)
	}
	return v
}

// excludesExcess tests the opposite hypothesis: that the new version fails more often than the old one by an excess that
// the calls needed would show. Needed calls without a failure are just enough to exclude it; each failure beyond the old
// version's rate asks for more calls.
func (t *trial) excludesExcess() bool {
	if t.needed == 0 || t.stepNew.Calls == 0 {
		return t.needed == 0
	}
	limit := -math.Log(t.policy.MissedFault)
	p0 := t.policy.UnknownRate
	if t.stepOld.Calls > 0 {
		// The tolerance and the uncertainty of a small sample of the old version are not held against the new one.
		p0 = t.policy.ErrorTolerance*smoothedRate(int(t.stepOld.Failures), int(t.stepOld.Calls)) +
			math.Sqrt(float64(t.stepOld.Failures)+1)/float64(t.stepOld.Calls+2)
		p0 = min(p0, 0.95)
	}
	// The second term grows with the noise of the old version's own failures, so that they do not hold a good version.
	unit := excessMargin * limit / float64(t.needed)
	p1 := min(p0+(unit+excessNoise*math.Sqrt(2*unit*p0))*(1-p0), 0.99)
	failures, calls := float64(t.stepNew.Failures), float64(t.stepNew.Calls)
	return failures*math.Log(p1/p0)+(calls-failures)*math.Log((1-p1)/(1-p0)) <= -limit
}

const (
	excessMargin = 1.1
	excessNoise  = 1.3
)
