package moves

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Driver decides the moves of all services. It keeps evidence in memory only: a driver that takes over knows the
// configuration, and gathers evidence for the present step anew.
type Driver struct {
	policy   Policy
	judge    *Judge
	progress map[model.PlanID]*progress
	reports  map[model.DataCentre]reported
	load     load
}

// reported is the last report of a data centre: the end of its window by that centre's clock, and its arrival by the
// driver's. Only the arrival tells whether the centre is blind, since clocks may differ.
type reported struct{ to, arrived time.Time }

// progress is what the driver saw of one move since its present number.
type progress struct {
	number model.Number
	step   int
	// counting says that the calls of step count; a pause within the step does not discard them.
	counting bool
	// inForce is when Number was first seen in force on every live daemon; zero before.
	inForce time.Time
	// measured holds, by data centre, the calls of the old and the new version in a window after inForce.
	measured map[model.DataCentre]measurement
}

type measurement struct{ old, fresh uint32 }

// NewDriver returns a driver without evidence.
func NewDriver(policy Policy) *Driver {
	return &Driver{
		policy: policy, judge: NewJudge(policy, Level{Judges: 1}),
		progress: map[model.PlanID]*progress{}, reports: map[model.DataCentre]reported{}, load: load{},
	}
}

// Decide takes the round's evidence and decides every active move. It is called about once a second and whenever the
// configuration or the marks change.
func (d *Driver) Decide(in Inputs) []Decision {
	d.judge.Track(in.Configuration)
	d.follow(in)
	d.observe(in.Now, in.Evidence)
	var decisions []Decision
	for i := range in.Configuration.Moves {
		m := &in.Configuration.Moves[i]
		if m.Phase.Active() {
			decisions = append(decisions, d.move(in, m)...)
		}
	}
	return decisions
}

// Verdict returns the judgement of a move, for reports.
func (d *Driver) Verdict(move model.PlanID) Verdict { return d.judge.Verdict(move) }

// follow notes which changes of moves are in force.
func (d *Driver) follow(in Inputs) {
	active := map[model.PlanID]bool{}
	for i := range in.Configuration.Moves {
		m := &in.Configuration.Moves[i]
		if !m.Phase.Active() {
			continue
		}
		active[m.ID] = true
		p := d.progress[m.ID]
		if p == nil || p.number != m.Number {
			counting := p != nil && p.counting && p.step == m.Step
			p = &progress{number: m.Number, step: m.Step, counting: counting, measured: map[model.DataCentre]measurement{}}
			d.progress[m.ID] = p
		}
		if p.inForce.IsZero() && in.InForce.Number >= m.Number && len(in.InForce.Blind) == 0 {
			p.inForce = in.Now
			if !p.counting {
				p.counting = true
				d.judge.CountFrom(m.ID, in.Now)
			}
		}
	}
	for id := range d.progress {
		if !active[id] {
			delete(d.progress, id)
		}
	}
}

// observe hands the new evidence to the judge. A window that was already reported, or that overlaps one, is dropped.
func (d *Driver) observe(now time.Time, evidence []model.Evidence) {
	var batches []Batch
	for _, e := range evidence {
		if e.From.Before(d.reports[e.DataCentre].to) {
			continue
		}
		d.reports[e.DataCentre] = reported{to: e.To, arrived: now}
		batches = append(batches, Batch{DataCentre: e.DataCentre, From: e.From, Sums: e.Sums})
		d.load.add(e)
	}
	d.judge.Observe(batches...)
}

func (d *Driver) move(in Inputs, m *model.Move) []Decision {
	d.measure(in, m)
	if m.Phase == model.PhaseWithdrawing {
		return d.finish(in, m, model.PhaseWithdrawn)
	}
	if reason, own := d.proof(in, m); reason != "" {
		return withdraw(in, m, reason, own)
	}
	last := len(m.Steps) - 1
	if m.Phase == model.PhasePaused {
		if m.Step >= last && d.judge.Verdict(m.ID).Suspect {
			return hold(m, "paused by an operator, suspect at 100%: resume to compare with the old version, or withdraw")
		}
		return hold(m, "paused by an operator")
	}
	if m.Step >= last {
		return d.watch(in, m)
	}
	if reason := d.obstacle(in, m); reason != "" {
		return hold(m, reason)
	}
	detail := "first step"
	if m.Step >= 0 {
		v := d.judge.Verdict(m.ID)
		if v.Kind != Good {
			return []Decision{Hold{Move: m.ID, Reason: v.Cause, Detail: v.Evidence}}
		}
		detail = v.Evidence
	}
	return []Decision{Advance{Move: m.ID, From: m.Step, To: m.Step + 1, Detail: detail}}
}

func hold(m *model.Move, reason string) []Decision {
	return []Decision{Hold{Move: m.ID, Reason: reason}}
}

// withdraw spreads a mark first if the proof is the driver's own, since marks need no platform.
func withdraw(in Inputs, m *model.Move, reason string, own bool) []Decision {
	decision := Withdraw{Move: m.ID, Reason: reason}
	if !own {
		return []Decision{decision}
	}
	mark := model.Mark{VersionRef: m.Version(), Move: m.ID, Reason: reason, By: in.By, At: in.Now}
	return []Decision{Withhold{Mark: mark}, decision}
}

// proof returns the reason to withdraw: a mark of any judge, or the driver's own evidence.
func (d *Driver) proof(in Inputs, m *model.Move) (reason string, own bool) {
	for i := range in.Marks {
		if in.Marks[i].Move == m.ID {
			return in.Marks[i].Reason, false
		}
	}
	if v := d.judge.Verdict(m.ID); v.Kind == Bad {
		return v.Reason(), true
	}
	return "", false
}

// obstacle returns why no step may follow now whatever the evidence says, or "".
func (d *Driver) obstacle(in Inputs, m *model.Move) string {
	next := m.Steps[m.Step+1]
	if reason := d.unsettled(in, m); reason != "" {
		return reason
	}
	if in.Now.Before(next.Earliest) {
		return fmt.Sprintf("next step %s not before %s", next.Share, next.Earliest.UTC().Format(time.TimeOnly))
	}
	return d.capacity(in, m, next.Share)
}

// unsettled returns why the present step cannot be taken as in force and seen everywhere, or "".
func (d *Driver) unsettled(in Inputs, m *model.Move) string {
	if blind := d.blind(in); len(blind) > 0 {
		return "no reports from " + strings.Join(blind, ", ")
	}
	if p := d.progress[m.ID]; p.inForce.IsZero() {
		return fmt.Sprintf("number %d is not in force on every live daemon: lowest is %d", m.Number, in.InForce.Number)
	}
	return ""
}

// blind lists the data centres without a recent report.
func (d *Driver) blind(in Inputs) []string {
	var blind []string
	for _, dc := range in.InForce.Blind {
		blind = append(blind, string(dc))
	}
	for i := range in.Targets {
		t := &in.Targets[i]
		if live(t) && in.Now.Sub(d.reports[t.DataCentre].arrived) > d.policy.BlindAfter {
			blind = append(blind, string(t.DataCentre))
		}
	}
	slices.Sort(blind)
	return slices.Compact(blind)
}

func live(t *model.Target) bool { return t.State != model.TargetSilent }

// watch observes the new version at 100% until the watch period ends.
func (d *Driver) watch(in Inputs, m *model.Move) []Decision {
	v := d.judge.Verdict(m.ID)
	last := len(m.Steps) - 1
	if v.Suspect {
		if stepBacks(in.Configuration, m) > 0 {
			return withdraw(in, m, "worse than the old version was, again, at 100%", true)
		}
		if last > 0 {
			return []Decision{Advance{Move: m.ID, From: m.Step, To: last - 1,
				Detail: "suspect at 100%: the old version gets calls to compare with"}}
		}
	}
	if reason := d.unsettled(in, m); reason != "" {
		return hold(m, reason)
	}
	if end := m.Since.Add(time.Duration(m.WatchSeconds) * time.Second); in.Now.Before(end) {
		return hold(m, "observed at 100% until "+end.UTC().Format(time.TimeOnly))
	}
	if judged := m.Steps[min(1, last)].MinCalls; v.Calls < judged {
		// A driver that took over has not seen the watch period.
		return []Decision{Hold{Move: m.ID, Reason: "too few calls at 100%", Detail: fmt.Sprintf("%d of %d", v.Calls, judged)}}
	}
	if v.Kind == BothBad {
		return []Decision{Hold{Move: m.ID, Reason: v.Cause, Detail: v.Evidence}}
	}
	return d.finish(in, m, model.PhaseDone)
}

// stepBacks counts how often the move reached its last step before the present time, from the configuration's events,
// since the driver may have changed.
func stepBacks(cfg *model.Configuration, m *model.Move) int {
	reached := 0
	for i := range cfg.Events {
		e := &cfg.Events[i]
		if e.Move == m.ID && e.Share == model.FullShare && (e.Kind == model.EventStep || e.Kind == model.EventWatching) {
			reached++
		}
	}
	return reached - 1
}

// measure keeps each data centre's calls of both versions in its latest window after the present number was in force.
func (d *Driver) measure(in Inputs, m *model.Move) {
	p := d.progress[m.ID]
	if p.inForce.IsZero() {
		return
	}
	for _, e := range in.Evidence {
		if e.From.Before(p.inForce.Add(d.policy.Settle)) {
			continue
		}
		var seen measurement
		for i := range e.Sums {
			s := &e.Sums[i]
			switch {
			case s.Service != m.Service:
			case s.Version == m.To:
				seen.fresh += s.Calls
			default:
				seen.old += s.Calls
			}
		}
		p.measured[e.DataCentre] = seen
	}
}

// finish ends a move once its last number is in force on every live daemon and the measured calls agree.
func (d *Driver) finish(in Inputs, m *model.Move, phase model.Phase) []Decision {
	if reason := d.unsettled(in, m); reason != "" {
		return hold(m, reason)
	}
	p := d.progress[m.ID]
	var total measurement
	for _, dc := range dataCentres(in.Targets) {
		seen, ok := p.measured[dc]
		if !ok {
			return hold(m, fmt.Sprintf("no calls measured in %s since number %d is in force", dc, m.Number))
		}
		total.old += seen.old
		total.fresh += seen.fresh
	}
	switch {
	case phase == model.PhaseWithdrawn && total.fresh > 0:
		return hold(m, fmt.Sprintf("%s still received %d calls", m.To, total.fresh))
	case phase == model.PhaseDone && total.old > 0:
		return hold(m, fmt.Sprintf("other versions still received %d calls", total.old))
	case phase == model.PhaseDone && total.fresh == 0:
		return hold(m, fmt.Sprintf("%s received no calls to measure", m.To))
	}
	detail := fmt.Sprintf("in force on %d daemons; measured %d calls of %s, %d of other versions",
		in.InForce.Live, total.fresh, m.To, total.old)
	return []Decision{Finish{Move: m.ID, Phase: phase, Detail: detail}}
}

func dataCentres(targets []model.Target) []model.DataCentre {
	var names []model.DataCentre
	for i := range targets {
		if live(&targets[i]) {
			names = append(names, targets[i].DataCentre)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
