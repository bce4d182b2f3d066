package explanation

import (
	"cmp"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// Draws is the number of choices that are drawn for an explanation. The standard error of a chance is then at most 0.5%, and a
// window of weights in basis points is drawn once.
const Draws = 10_000

// Reasons for which a target gets no calls.
const (
	LeftOutEvacuated  = "evacuated"
	LeftOutNotReady   = "not-ready"
	LeftOutWithheld   = "version-withheld"
	LeftOutNoShare    = "no-share"
	LeftOutLeaving    = "leaving"
	LeftOutSuspect    = "suspect"
	LeftOutHigherLoss = "higher-loss"
)

// Candidate is a target of one of the route's services.
type Candidate struct {
	Target *model.Target
	Load   Load
	// Estimated says that the target is a candidate of a selection, and Estimate is what it expects there.
	Estimated bool
	Estimate  routing.Estimate
	// Evacuated says that the data centre of the target is evacuated. Load.Leaving is then set as well.
	Evacuated bool
	// LeftOut says why the target is never chosen; empty if it is.
	LeftOut string
	// Chance is the fraction of the draws that chose the target.
	Chance float64
}

// drawn counts the results of the draws.
type drawn struct {
	chosen  map[model.DaemonID]int
	refused map[routing.Reason]int
}

// draw makes the choices of the first attempts of consecutive requests without a deadline of their own.
func draw(
	table *routing.Table, route *routing.Route, loads Loads, isBrief func(executionTime, mean time.Duration) bool,
	random routing.RandomSource,
) drawn {
	d := drawn{map[model.DaemonID]int{}, map[routing.Reason]int{}}
	for i := range uint64(Draws) {
		service, counter := table.SelectService(route, i)
		version, reason := service.SelectVersion(counter)
		if reason != routing.Found {
			d.refused[reason]++
			continue
		}
		s := routing.Selection{Remaining: route.TargetLatency}
		choice, ok := version.SelectByExpectedLoss(loads, random, s)
		if !ok {
			if other := service.Fallback(version); other != nil {
				choice, ok = other.SelectByExpectedLoss(loads, random, s)
			}
		}
		switch {
		case !ok:
			d.refused[routing.NoTarget]++
		case choice.WaitsBeyond(route.Timeout, isBrief):
			d.refused[DeadlineTooShort]++
		default:
			d.chosen[choice.Target.Daemon]++
		}
	}
	return d
}

// refusals returns the reasons of the draws without a choice, the most frequent first.
func (d drawn) refusals() []Refusal {
	var out []Refusal
	for reason, n := range d.refused {
		out = append(out, Refusal{reason, fraction(n, Draws)})
	}
	slices.SortFunc(out, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Chance, a.Chance), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// candidates returns the targets of the route's services, those with the highest chance first.
func candidates(table *routing.Table, route *routing.Route, loads Loads, d drawn) []Candidate {
	estimates, receives := map[model.DaemonID]routing.Estimate{}, map[model.VersionRef]bool{}
	for _, part := range route.Services() {
		for _, v := range table.Service(part.Service).Versions() {
			receives[v.VersionRef] = part.Weight > 0
			for daemon, estimate := range v.Estimates(loads) {
				estimates[daemon] = estimate
			}
		}
	}
	var out []Candidate
	for i := range table.View.Targets {
		t := &table.View.Targets[i]
		if !route.LeadsTo(t.Service) {
			continue
		}
		c := Candidate{Target: t, Load: loads[t.Daemon], Chance: fraction(d.chosen[t.Daemon], Draws)}
		c.Evacuated = table.View.IsEvacuated(t.DataCentre)
		c.Estimate, c.Estimated = estimates[t.Daemon]
		c.LeftOut = leftOut(table, &c, receives[t.Ref()])
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(b.Chance, a.Chance) })
	return out
}

// leftOut returns why a target is never chosen, or the empty string.
func leftOut(table *routing.Table, c *Candidate, receives bool) string {
	switch {
	case c.Chance > 0:
		return ""
	case c.Evacuated:
		return LeftOutEvacuated
	case c.Target.State != model.TargetReady:
		return LeftOutNotReady
	case table.IsWithheld(c.Target.Ref()):
		return LeftOutWithheld
	case !receives:
		return LeftOutNoShare
	case c.Load.Leaving:
		return LeftOutLeaving
	case c.Load.Suspect:
		return LeftOutSuspect
	}
	return LeftOutHigherLoss
}
