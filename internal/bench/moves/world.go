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

// epoch is the start of each run on the virtual clock.
var epoch = time.Unix(1_800_000_000, 0)

// world is the fake system of one run: configuration, its way to the data centres, and reports with delay and loss.
type world struct {
	draw    *draw
	stream  *stream
	random  *rand.Rand
	cfg     *model.Configuration
	targets []model.Target
	centres []centre
	reports []report
	// crossed is when a judge first had proof; negative before.
	crossed float64
	result  result
}

// centre is one data centre: the shares that its daemons use and will use.
type centre struct {
	share    float64
	number   model.Number
	pending  []applied
	withheld float64 // when its daemons withhold the version; negative if they do not
}

type applied struct {
	at     float64
	share  float64
	number model.Number
}

// report is evidence on its way to the driver.
type report struct {
	arrives  float64
	evidence model.Evidence
}

// result is what one run measured.
type result struct {
	kind               string
	bad                bool
	finished           model.Phase
	onTime             bool
	calls, fresh       int // until the withdrawal or the end
	badCalls           int
	firstBad, lastBad  float64
	crossed            float64
	lastFresh          float64
	badCallsAtCrossing int
	withdrawAsked      bool
}

func newWorld(d *draw, schedule *plans.ScheduleParams) *world {
	w := &world{draw: d, stream: newStream(d), random: rand.New(rand.NewPCG(d.outcomes, 2)), crossed: -1}
	w.result = result{kind: d.kind, bad: d.bad(), firstBad: -1, lastBad: -1, lastFresh: -1, crossed: -1}
	w.cfg = &model.Configuration{Number: 1, Services: []model.Service{{
		Name: d.service, Versions: []model.VersionShare{{Version: oldVersion, Share: model.FullShare}, {Version: newVersion}},
	}}}
	load := map[model.RouteName]plans.Load{}
	for _, rt := range d.routes {
		w.cfg.Routes = append(w.cfg.Routes, model.Route{Name: rt.name, Service: d.service, PathPrefix: "/" + string(rt.name)})
		load[rt.name] = plans.Load{CallsPerSecond: rt.part * d.rate, MeanLatency: seconds(rt.median)}
	}
	for i := range 2 * d.upstreams {
		version := oldVersion
		if i >= d.upstreams {
			version = newVersion
		}
		w.targets = append(w.targets, model.Target{
			Daemon: model.DaemonID("d" + string(rune('a'+i))), Service: d.service, Version: version, Slots: d.customer.slots,
			Region: d.customer.region, DataCentre: d.customer.dataCentres[i%len(d.customer.dataCentres)], State: model.TargetReady,
		})
	}
	w.centres = make([]centre, len(d.customer.dataCentres))
	for i := range w.centres {
		w.centres[i].withheld = -1
		w.centres[i].number = 1
	}
	plan, problems := plans.ForIntent(plans.Request{
		Configuration: w.cfg, Targets: w.targets, Load: load, Now: epoch, ID: moveID, Schedule: schedule,
		Intent: model.Intent{Service: d.service, To: newVersion, By: epoch.Add(d.length)},
	})
	if len(problems) > 0 {
		panic(problems[0].Reason)
	}
	w.change(0, func(cfg *model.Configuration) {
		cfg.Moves = []model.Move{{
			ID: moveID, Service: d.service, From: oldVersion, To: newVersion, Steps: plan.Steps, Deadline: plan.Intent.By,
			WatchSeconds: plan.WatchSeconds, Phase: model.PhaseRunning, Step: -1, Since: epoch, Number: 2,
		}}
	})
	return w
}

func at(t float64) time.Time { return epoch.Add(seconds(t)) }

// change writes the next configuration and sends it to the data centres, each with its own delay.
func (w *world) change(t float64, edit func(*model.Configuration)) {
	next := *w.cfg
	next.Number++
	next.Moves = slices.Clone(w.cfg.Moves)
	next.Events = slices.Clone(w.cfg.Events)
	edit(&next)
	w.cfg = &next
	m := &next.Moves[0]
	share := 0.0
	if m.Step >= 0 && (m.Phase == model.PhaseRunning || m.Phase == model.PhaseWatching || m.Phase == model.PhaseDone) {
		share = float64(m.Steps[m.Step].Share) / float64(model.FullShare)
	}
	for i := range w.centres {
		c := &w.centres[i]
		c.pending = append(c.pending, applied{at: t + 0.05 + uniform(w.random, 0.1, 1.2), share: share, number: next.Number})
	}
}

// step returns the mean share of a data centre over a second and applies what arrives in it.
func (c *centre) step(t float64) float64 {
	sum, from := 0.0, t
	until := func(to float64) {
		to = min(max(to, from), t+1)
		end := to
		if c.withheld >= 0 {
			end = max(min(to, c.withheld), from)
		}
		sum += c.share * (end - from)
		from = to
	}
	slices.SortStableFunc(c.pending, func(a, b applied) int { return int(a.number) - int(b.number) })
	for len(c.pending) > 0 && c.pending[0].at < t+1 {
		p := c.pending[0]
		until(p.at)
		c.share, c.number = p.share, p.number
		c.pending = c.pending[1:]
	}
	until(t + 1)
	return sum
}

// second draws the calls of one second in all data centres and returns the sums by data centre.
func (w *world) second(t float64) [][]model.KeyedSum {
	local := make([][]model.KeyedSum, len(w.centres))
	r := &w.result
	for i := range w.centres {
		c := &w.centres[i]
		share := c.step(t)
		sums, seen := w.stream.round(t, share)
		local[i] = sums
		r.calls += seen.calls
		r.fresh += seen.fresh
		r.badCalls += seen.bad
		end := t + 1
		if c.withheld >= 0 {
			end = min(end, c.withheld)
		}
		if seen.fresh > 0 {
			r.lastFresh = max(r.lastFresh, end)
		}
		if seen.bad > 0 {
			if r.firstBad < 0 {
				r.firstBad = t
			}
			r.lastBad = max(r.lastBad, end)
		}
		w.report(t, i, sums)
	}
	return local
}

// reportLoss is the part of reports that never arrive, outages aside.
const reportLoss = 0.005

func (w *world) report(t float64, i int, sums []model.KeyedSum) {
	arrives := t + 1 + uniform(w.random, 0.3, 2)
	lost := w.random.Float64() < reportLoss
	if o := w.draw.blind; o.dataCentre == i && o.at(t) {
		arrives, lost = max(arrives, o.to), lost || o.lost
	}
	if lost {
		return
	}
	w.reports = append(w.reports, report{arrives: arrives, evidence: model.Evidence{
		DataCentre: w.draw.customer.dataCentres[i], From: at(t), To: at(t + 1), Sums: sums,
	}})
}

// blindAfter is how long a data centre misses its heartbeats before the others call it blind, in seconds.
const blindAfter = 3

// inputs returns what a driver sees at a time.
func (w *world) inputs(t float64) moves.Inputs {
	in := moves.Inputs{Now: at(t), Configuration: w.cfg, Targets: w.targets, By: "driver"}
	in.InForce = model.InForce{Number: w.cfg.Number, Live: len(w.targets)}
	for i := range w.centres {
		in.InForce.Number = min(in.InForce.Number, w.centres[i].number)
		if o := w.draw.blind; o.dataCentre == i && o.at(t) && t > o.from+blindAfter {
			in.InForce.Blind = append(in.InForce.Blind, w.draw.customer.dataCentres[i])
		}
	}
	kept := w.reports[:0]
	for _, r := range w.reports {
		if r.arrives <= t {
			in.Evidence = append(in.Evidence, r.evidence)
		} else {
			kept = append(kept, r)
		}
	}
	w.reports = kept
	return in
}

// withhold spreads a mark to the data centres.
func (w *world) withhold(t float64) {
	if w.result.crossed < 0 {
		w.result.crossed, w.result.badCallsAtCrossing = t, w.result.badCalls
	}
	for i := range w.centres {
		if c := &w.centres[i]; c.withheld < 0 {
			c.withheld = t + uniform(w.random, 0.05, 0.6)
		}
	}
}

// apply performs a decision as the writer of the configuration would.
func (w *world) apply(t float64, decision moves.Decision) {
	m := &w.cfg.Moves[0]
	switch d := decision.(type) {
	case moves.Withhold:
		w.withhold(t)
	case moves.Advance:
		if m.Step != d.From || m.Phase == model.PhaseWithdrawing {
			return
		}
		w.change(t, func(cfg *model.Configuration) {
			m := &cfg.Moves[0]
			m.Step, m.Phase, m.Since, m.Number = d.To, model.PhaseRunning, at(t), cfg.Number
			if d.To == len(m.Steps)-1 {
				m.Phase = model.PhaseWatching
			}
			cfg.Events = append(cfg.Events, model.MoveEvent{Kind: model.EventStep, Move: m.ID, Share: m.Steps[d.To].Share})
		})
	case moves.Withdraw:
		if m.Phase == model.PhaseWithdrawing {
			return
		}
		w.result.withdrawAsked = true
		if w.result.crossed < 0 {
			w.result.crossed, w.result.badCallsAtCrossing = t, w.result.badCalls
		}
		w.change(t, func(cfg *model.Configuration) {
			m := &cfg.Moves[0]
			m.Phase, m.Since, m.Number = model.PhaseWithdrawing, at(t), cfg.Number
		})
	case moves.Finish:
		w.result.finished = d.Phase
		w.result.onTime = d.Phase == model.PhaseDone && t <= w.draw.length.Seconds()
		w.change(t, func(cfg *model.Configuration) { cfg.Moves[0].Phase = d.Phase })
	}
}
