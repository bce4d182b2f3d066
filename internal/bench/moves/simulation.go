package moves

import (
	"math/rand/v2"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/plans"
)

const (
	oldVersion = model.VersionName("v1")
	newVersion = model.VersionName("v2")
	moveID     = model.PlanID("move")
)

// epoch is the start of each run. The virtual clock counts seconds since then.
var epoch = time.Unix(1_800_000_000, 0)

// simulation is the simulated system of one run: the configuration, its propagation to the data centres, and reports that
// arrive late or get lost.
type simulation struct {
	scenario       *scenario
	generator      *callGenerator
	random         *rand.Rand
	configuration  *model.Configuration
	targets        []model.Target
	dataCentres    []dataCentre
	pendingReports []pendingReport
	// provedAt is not used; result.provedAt holds the time of the first decision against the version.
	provedAt float64
	result   result
}

// dataCentre is one data centre: the new version's share that its daemons use, and the shares that are on their way to it.
type dataCentre struct {
	share        float64
	number       model.Number
	pending      []pendingShare
	withheldFrom float64 // time from which its daemons withhold the version; negative if they do not
}

// pendingShare is the share of a configuration that reaches a data centre at a time.
type pendingShare struct {
	at     float64
	share  float64
	number model.Number
}

// pendingReport is evidence on its way to the driver.
type pendingReport struct {
	arrivesAt float64
	evidence  model.Evidence
}

// result is what one run measured. Calls are counted until the withdrawal or the end. Bad calls are those that the new
// version received while it was bad. Times are in seconds, negative if the event did not occur.
type result struct {
	kind                      string
	bad                       bool
	finalPhase                model.Phase
	onTime                    bool
	calls, newCalls           int
	badCalls                  int
	firstBadCall, lastBadCall float64
	provedAt                  float64 // first decision to withhold the version or to withdraw the move
	lastNewCall               float64
	badCallsAtProof           int
	withdrawalDecided         bool
}

func newSimulation(sc *scenario, schedule *plans.ScheduleParams) *simulation {
	s := &simulation{scenario: sc, generator: newCallGenerator(sc), random: rand.New(rand.NewPCG(sc.outcomeSeed, 2)), provedAt: -1}
	s.result = result{kind: sc.kind, bad: sc.isBad(), firstBadCall: -1, lastBadCall: -1, lastNewCall: -1, provedAt: -1}
	s.configuration = &model.Configuration{Number: 1, Services: []model.Service{{
		Name: sc.service, Versions: []model.VersionShare{{Version: oldVersion, Share: model.FullShare}, {Version: newVersion}},
	}}}
	load := map[model.RouteName]plans.Load{}
	for _, rt := range sc.routes {
		s.configuration.Routes = append(s.configuration.Routes, model.Route{
			Name: rt.name, Service: sc.service, PathPrefix: "/" + string(rt.name),
		})
		load[rt.name] = plans.Load{CallsPerSecond: rt.callFraction * sc.rate, MeanLatency: seconds(rt.medianLatency)}
	}
	for i := range 2 * sc.upstreams {
		version := oldVersion
		if i >= sc.upstreams {
			version = newVersion
		}
		s.targets = append(s.targets, model.Target{
			Daemon: model.DaemonID("d" + string(rune('a'+i))), Service: sc.service, Version: version, Slots: sc.customer.slots,
			Region: sc.customer.region, DataCentre: sc.customer.dataCentres[i%len(sc.customer.dataCentres)], State: model.TargetReady,
		})
	}
	s.dataCentres = make([]dataCentre, len(sc.customer.dataCentres))
	for i := range s.dataCentres {
		s.dataCentres[i].withheldFrom = -1
		s.dataCentres[i].number = 1
	}
	plan, problems := plans.ForIntent(plans.Request{
		Configuration: s.configuration, Targets: s.targets, Load: load, Now: epoch, ID: moveID, Schedule: schedule,
		Intent: model.Intent{Service: sc.service, To: newVersion, By: epoch.Add(sc.duration)},
	})
	if len(problems) > 0 {
		panic(problems[0].Reason)
	}
	s.changeConfiguration(0, func(cfg *model.Configuration) {
		cfg.Moves = []model.Move{{
			ID: moveID, Service: sc.service, From: oldVersion, To: newVersion, Steps: plan.Steps, Deadline: plan.Intent.By,
			WatchSeconds: plan.WatchSeconds, Phase: model.PhaseRunning, Step: -1, Since: epoch, Number: 2,
		}}
	})
	return s
}

func timeAt(t float64) time.Time { return epoch.Add(seconds(t)) }

// changeConfiguration writes the next configuration and sends it to the data centres, to each with a delay of its own.
func (s *simulation) changeConfiguration(t float64, edit func(*model.Configuration)) {
	next := *s.configuration
	next.Number++
	next.Moves = slices.Clone(s.configuration.Moves)
	next.Events = slices.Clone(s.configuration.Events)
	edit(&next)
	s.configuration = &next
	m := &next.Moves[0]
	share := 0.0
	if m.Step >= 0 && (m.Phase == model.PhaseRunning || m.Phase == model.PhaseWatching || m.Phase == model.PhaseDone) {
		share = float64(m.Steps[m.Step].Share) / float64(model.FullShare)
	}
	for i := range s.dataCentres {
		c := &s.dataCentres[i]
		c.pending = append(c.pending, pendingShare{at: t + 0.05 + uniform(s.random, 0.1, 1.2), share: share, number: next.Number})
	}
}

// advanceSecond applies the configurations that arrive within a second, and returns the new version's mean share over it.
func (c *dataCentre) advanceSecond(t float64) float64 {
	sum, from := 0.0, t
	until := func(to float64) {
		to = min(max(to, from), t+1)
		end := to
		if c.withheldFrom >= 0 {
			end = max(min(to, c.withheldFrom), from)
		}
		sum += c.share * (end - from)
		from = to
	}
	slices.SortStableFunc(c.pending, func(a, b pendingShare) int { return int(a.number) - int(b.number) })
	for len(c.pending) > 0 && c.pending[0].at < t+1 {
		p := c.pending[0]
		until(p.at)
		c.share, c.number = p.share, p.number
		c.pending = c.pending[1:]
	}
	until(t + 1)
	return sum
}

// simulateSecond draws the calls of one second in all data centres and returns the sums by data centre.
func (s *simulation) simulateSecond(t float64) [][]model.KeyedSum {
	localSums := make([][]model.KeyedSum, len(s.dataCentres))
	r := &s.result
	for i := range s.dataCentres {
		c := &s.dataCentres[i]
		share := c.advanceSecond(t)
		sums, counts := s.generator.drawSecond(t, share)
		localSums[i] = sums
		r.calls += counts.calls
		r.newCalls += counts.newVersion
		r.badCalls += counts.badVersion
		end := t + 1
		if c.withheldFrom >= 0 {
			end = min(end, c.withheldFrom)
		}
		if counts.newVersion > 0 {
			r.lastNewCall = max(r.lastNewCall, end)
		}
		if counts.badVersion > 0 {
			if r.firstBadCall < 0 {
				r.firstBadCall = t
			}
			r.lastBadCall = max(r.lastBadCall, end)
		}
		s.sendReport(t, i, sums)
	}
	return localSums
}

// reportLoss is the fraction of reports that never arrive, outages aside.
const reportLoss = 0.005

// sendReport sends the sums of a data centre to the driver, with a delay, unless the report gets lost.
func (s *simulation) sendReport(t float64, i int, sums []model.KeyedSum) {
	arrivesAt := t + 1 + uniform(s.random, 0.3, 2)
	lost := s.random.Float64() < reportLoss
	if o := s.scenario.reportOutage; o.dataCentre == i && o.contains(t) {
		arrivesAt, lost = max(arrivesAt, o.to), lost || o.lost
	}
	if lost {
		return
	}
	s.pendingReports = append(s.pendingReports, pendingReport{arrivesAt: arrivesAt, evidence: model.Evidence{
		DataCentre: s.scenario.customer.dataCentres[i], From: timeAt(t), To: timeAt(t + 1), Sums: sums,
	}})
}

// blindAfter is the time in seconds without heartbeats after which the other data centres list a data centre as blind.
const blindAfter = 3

// takeInputs returns the inputs of a driver at a time, with the reports that arrived since the last call.
func (s *simulation) takeInputs(t float64) moves.Inputs {
	in := moves.Inputs{Now: timeAt(t), Configuration: s.configuration, Targets: s.targets, By: "driver"}
	in.InForce = model.InForce{Number: s.configuration.Number, Live: len(s.targets)}
	for i := range s.dataCentres {
		in.InForce.Number = min(in.InForce.Number, s.dataCentres[i].number)
		if o := s.scenario.reportOutage; o.dataCentre == i && o.contains(t) && t > o.from+blindAfter {
			in.InForce.Blind = append(in.InForce.Blind, s.scenario.customer.dataCentres[i])
		}
	}
	kept := s.pendingReports[:0]
	for _, r := range s.pendingReports {
		if r.arrivesAt <= t {
			in.Evidence = append(in.Evidence, r.evidence)
		} else {
			kept = append(kept, r)
		}
	}
	s.pendingReports = kept
	return in
}

// propagateMark makes each data centre withhold the new version after a delay.
func (s *simulation) propagateMark(t float64) {
	if s.result.provedAt < 0 {
		s.result.provedAt, s.result.badCallsAtProof = t, s.result.badCalls
	}
	for i := range s.dataCentres {
		if c := &s.dataCentres[i]; c.withheldFrom < 0 {
			c.withheldFrom = t + uniform(s.random, 0.05, 0.6)
		}
	}
}

// applyDecision performs a decision as the writer of the configuration would.
func (s *simulation) applyDecision(t float64, decision moves.Decision) {
	m := &s.configuration.Moves[0]
	switch d := decision.(type) {
	case moves.Withhold:
		s.propagateMark(t)
	case moves.Advance:
		if m.Step != d.From || m.Phase == model.PhaseWithdrawing {
			return
		}
		s.changeConfiguration(t, func(cfg *model.Configuration) {
			m := &cfg.Moves[0]
			m.Step, m.Phase, m.Since, m.Number = d.To, model.PhaseRunning, timeAt(t), cfg.Number
			if d.To == len(m.Steps)-1 {
				m.Phase = model.PhaseWatching
			}
			cfg.Events = append(cfg.Events, model.MoveEvent{Kind: model.EventStep, Move: m.ID, Share: m.Steps[d.To].Share})
		})
	case moves.Withdraw:
		if m.Phase == model.PhaseWithdrawing {
			return
		}
		s.result.withdrawalDecided = true
		if s.result.provedAt < 0 {
			s.result.provedAt, s.result.badCallsAtProof = t, s.result.badCalls
		}
		s.changeConfiguration(t, func(cfg *model.Configuration) {
			m := &cfg.Moves[0]
			m.Phase, m.Since, m.Number = model.PhaseWithdrawing, timeAt(t), cfg.Number
		})
	case moves.Finish:
		s.result.finalPhase = d.Phase
		s.result.onTime = d.Phase == model.PhaseDone && t <= s.scenario.duration.Seconds()
		s.changeConfiguration(t, func(cfg *model.Configuration) { cfg.Moves[0].Phase = d.Phase })
	}
}
