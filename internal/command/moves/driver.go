package moves

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Driver decides the steps of all moves. It keeps evidence in memory only: after a change of the driver, the new one knows
// the configuration and collects the evidence for the current step again.
type Driver struct {
	policy   Policy
	judge    *Judge
	progress map[model.PlanID]*progress
	reports  map[model.DataCentre]lastReport
	demand   serviceDemand
}

// lastReport is the last report of a data centre: the end of its window by the clock of that data centre and its time of
// arrival by the driver's clock. Clocks may differ, so only the time of arrival shows whether the data centre is blind.
type lastReport struct{ windowEnd, arrivedAt time.Time }

// progress is what the driver observed of one move since the last change of the move.
type progress struct {
	number model.Number
	step   int
	// countsCalls means that the judge counts calls for the step. A pause within the step does not reset the count.
	countsCalls bool
	// inForce is when number was first seen in force on every live daemon; zero before.
	inForce time.Time
	// lastCalls counts the calls of the old and the new version in the last window after inForce, by data centre.
	lastCalls map[model.DataCentre]callCounts
}

type callCounts struct{ old, new uint32 }

// NewDriver returns a driver without evidence.
func NewDriver(policy Policy) *Driver {
	return &Driver{
		policy: policy, judge: NewJudge(policy, Level{Judges: 1}),
		progress: map[model.PlanID]*progress{}, reports: map[model.DataCentre]lastReport{}, demand: serviceDemand{},
	}
}

// Decide processes the evidence of a round and decides every active move. It is called about once a second and whenever
// the configuration or the marks change.
func (d *Driver) Decide(in Inputs) []Decision {
	d.judge.Track(in.Configuration)
	d.trackInForce(in)
	d.observe(in.Now, in.Evidence)
	var decisions []Decision
	for i := range in.Configuration.Moves {
		m := &in.Configuration.Moves[i]
		if m.Phase.Active() {
			decisions = append(decisions, d.decideMove(in, m)...)
		}
	}
	return decisions
}

// Verdict returns the judgement of a move, for reports.
func (d *Driver) Verdict(move model.PlanID) Verdict { return d.judge.Verdict(move) }

// trackInForce records which changes of moves are in force on all live daemons.
func (d *Driver) trackInForce(in Inputs) {
	active := map[model.PlanID]bool{}
	for i := range in.Configuration.Moves {
		m := &in.Configuration.Moves[i]
		if !m.Phase.Active() {
			continue
		}
		active[m.ID] = true
		p := d.progress[m.ID]
		if p == nil || p.number != m.Number {
			countsCalls := p != nil && p.countsCalls && p.step == m.Step
			p = &progress{number: m.Number, step: m.Step, countsCalls: countsCalls, lastCalls: map[model.DataCentre]callCounts{}}
			d.progress[m.ID] = p
		}
		if p.inForce.IsZero() && in.InForce.Number >= m.Number && len(in.InForce.Blind) == 0 {
			p.inForce = in.Now
			if !p.countsCalls {
				p.countsCalls = true
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

// observe passes new evidence to the judge. It drops a window that was already reported or that overlaps a reported one.
func (d *Driver) observe(now time.Time, evidence []model.Evidence) {
	var batches []Batch
	for _, e := range evidence {
		if e.From.Before(d.reports[e.DataCentre].windowEnd) {
			continue
		}
		d.reports[e.DataCentre] = lastReport{windowEnd: e.To, arrivedAt: now}
		batches = append(batches, Batch{DataCentre: e.DataCentre, From: e.From, Sums: e.Sums})
		d.demand.add(e)
	}
	d.judge.Observe(batches...)
}

func (d *Driver) decideMove(in Inputs, m *model.Move) []Decision {
	d.recordCalls(in, m)
	if m.Phase == model.PhaseWithdrawing {
		return d.decideFinish(in, m, model.PhaseWithdrawn)
	}
	if reason, ownProof := d.withdrawalReason(in, m); reason != "" {
		return withdrawDecisions(in, m, reason, ownProof)
	}
	last := len(m.Steps) - 1
	if m.Phase == model.PhasePaused {
		if m.Step >= last && d.judge.Verdict(m.ID).Suspect {
			return holdDecision(m, "paused by an operator, suspect at 100%: resume to compare with the old version, or withdraw")
		}
		return holdDecision(m, "paused by an operator")
	}
	if m.Step >= last {
		return d.decideWatch(in, m)
	}
	if reason := d.blockingReason(in, m); reason != "" {
		return holdDecision(m, reason)
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

func holdDecision(m *model.Move, reason string) []Decision {
	return []Decision{Hold{Move: m.ID, Reason: reason}}
}

// withdrawDecisions returns the decisions that withdraw a move. If the proof is the driver's own, a mark comes first,
// since marks can be distributed without the platform.
func withdrawDecisions(in Inputs, m *model.Move, reason string, ownProof bool) []Decision {
	decision := Withdraw{Move: m.ID, Reason: reason}
	if !ownProof {
		return []Decision{decision}
	}
	mark := model.Mark{VersionRef: m.Version(), Move: m.ID, Reason: reason, By: in.By, At: in.Now}
	return []Decision{Withhold{Mark: mark}, decision}
}

// withdrawalReason returns why a move must be withdrawn, or "". The proof is a mark of any judge or, if ownProof, the
// driver's own evidence.
func (d *Driver) withdrawalReason(in Inputs, m *model.Move) (reason string, ownProof bool) {
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

// blockingReason returns why the next step must wait regardless of the evidence, or "".
func (d *Driver) blockingReason(in Inputs, m *model.Move) string {
	next := m.Steps[m.Step+1]
	if reason := d.notInForceReason(in, m); reason != "" {
		return reason
	}
	if in.Now.Before(next.Earliest) {
		return fmt.Sprintf("next step %s not before %s", next.Share, next.Earliest.UTC().Format(time.TimeOnly))
	}
	return d.capacityShortage(in, m, next.Share)
}

// notInForceReason returns why the current number is not known to be in force on all live daemons with reports from all
// data centres, or "".
func (d *Driver) notInForceReason(in Inputs, m *model.Move) string {
	if blind := d.blindDataCentres(in); len(blind) > 0 {
		return "no reports from " + strings.Join(blind, ", ")
	}
	if p := d.progress[m.ID]; p.inForce.IsZero() {
		return fmt.Sprintf("number %d is not in force on every live daemon: lowest is %d", m.Number, in.InForce.Number)
	}
	return ""
}

// blindDataCentres returns the data centres without a recent report.
func (d *Driver) blindDataCentres(in Inputs) []string {
	var blind []string
	for _, dc := range in.InForce.Blind {
		blind = append(blind, string(dc))
	}
	for i := range in.Targets {
		t := &in.Targets[i]
		if isLive(t) && in.Now.Sub(d.reports[t.DataCentre].arrivedAt) > d.policy.BlindAfter {
			blind = append(blind, string(t.DataCentre))
		}
	}
	slices.Sort(blind)
	return slices.Compact(blind)
}

func isLive(t *model.Target) bool { return t.State != model.TargetSilent }

// decideWatch decides a move at 100%: back one step if the new version is suspect, withdrawal if it is suspect again, and
// otherwise the end of the move after the watch period.
func (d *Driver) decideWatch(in Inputs, m *model.Move) []Decision {
	v := d.judge.Verdict(m.ID)
	last := len(m.Steps) - 1
	if v.Suspect {
		if countStepsBack(in.Configuration, m) > 0 {
			return withdrawDecisions(in, m, "worse than the old version was, again, at 100%", true)
		}
		if last > 0 {
			return []Decision{Advance{Move: m.ID, From: m.Step, To: last - 1,
				Detail: "suspect at 100%: the old version gets calls to compare with"}}
		}
	}
	if reason := d.notInForceReason(in, m); reason != "" {
		return holdDecision(m, reason)
	}
	if end := m.Since.Add(time.Duration(m.WatchSeconds) * time.Second); in.Now.Before(end) {
		return holdDecision(m, "observed at 100% until "+end.UTC().Format(time.TimeOnly))
	}
	if minCalls := m.Steps[min(1, last)].MinCalls; v.Calls < minCalls {
		// A driver that took over during the watch period has not seen all of its calls.
		return []Decision{Hold{Move: m.ID, Reason: "too few calls at 100%", Detail: fmt.Sprintf("%d of %d", v.Calls, minCalls)}}
	}
	if v.Kind == BothBad {
		return []Decision{Hold{Move: m.ID, Reason: v.Cause, Detail: v.Evidence}}
	}
	return d.decideFinish(in, m, model.PhaseDone)
}

// countStepsBack returns how often the move already went back from its last step. It counts events of the configuration,
// since the driver may have changed.
func countStepsBack(cfg *model.Configuration, m *model.Move) int {
	timesReached := 0
	for i := range cfg.Events {
		e := &cfg.Events[i]
		if e.Move == m.ID && e.Share == model.FullShare && (e.Kind == model.EventStep || e.Kind == model.EventWatching) {
			timesReached++
		}
	}
	return timesReached - 1
}

// recordCalls records, for each data centre, the calls of both versions in its last window that began at least
// Policy.SettleTime after the current number came into force.
func (d *Driver) recordCalls(in Inputs, m *model.Move) {
	p := d.progress[m.ID]
	if p.inForce.IsZero() {
		return
	}
	for _, e := range in.Evidence {
		if e.From.Before(p.inForce.Add(d.policy.SettleTime)) {
			continue
		}
		var counts callCounts
		for i := range e.Sums {
			s := &e.Sums[i]
			switch {
			case s.Service != m.Service:
			case s.Version == m.To:
				counts.new += s.Calls
			default:
				counts.old += s.Calls
			}
		}
		p.lastCalls[e.DataCentre] = counts
	}
}

// decideFinish ends a move once its last change is in force on every live daemon and the measured calls agree with it.
func (d *Driver) decideFinish(in Inputs, m *model.Move, phase model.Phase) []Decision {
	if reason := d.notInForceReason(in, m); reason != "" {
		return holdDecision(m, reason)
	}
	p := d.progress[m.ID]
	var total callCounts
	for _, dc := range liveDataCentres(in.Targets) {
		counts, ok := p.lastCalls[dc]
		if !ok {
			return holdDecision(m, fmt.Sprintf("no calls measured in %s since number %d is in force", dc, m.Number))
		}
		total.old += counts.old
		total.new += counts.new
	}
	switch {
	case phase == model.PhaseWithdrawn && total.new > 0:
		return holdDecision(m, fmt.Sprintf("%s still received %d calls", m.To, total.new))
	case phase == model.PhaseDone && total.old > 0:
		return holdDecision(m, fmt.Sprintf("other versions still received %d calls", total.old))
	case phase == model.PhaseDone && total.new == 0:
		return holdDecision(m, fmt.Sprintf("%s received no calls to measure", m.To))
	}
	detail := fmt.Sprintf("in force on %d daemons; measured %d calls of %s, %d of other versions",
		in.InForce.Live, total.new, m.To, total.old)
	return []Decision{Finish{Move: m.ID, Phase: phase, Detail: detail}}
}

func liveDataCentres(targets []model.Target) []model.DataCentre {
	var names []model.DataCentre
	for i := range targets {
		if isLive(&targets[i]) {
			names = append(names, targets[i].DataCentre)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
