// Package plans computes the plan for an intent: the steps, the evidence that each requires, the affected routes and
// daemons, the conditions for a withdrawal, and whether the requested time can be met. It changes nothing.
package plans

import (
	"fmt"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Load is the measured load of a route.
type Load struct {
	CallsPerSecond float64
	// MeanLatency is 0 if no latency was measured.
	MeanLatency time.Duration
}

// Request holds the inputs of a plan. They are not modified.
type Request struct {
	Configuration *model.Configuration
	Intent        model.Intent
	Targets       []model.Target
	Load          map[model.RouteName]Load
	Now           time.Time
	ID            model.PlanID
	// By names the operator.
	By string
	// Schedule replaces DefaultScheduleParams in measurements; nil means the default.
	Schedule *ScheduleParams
}

func (r Request) scheduleParams() ScheduleParams {
	if r.Schedule != nil {
		return *r.Schedule
	}
	return DefaultScheduleParams()
}

// ForIntent returns the plan for one intent, or the reasons for a refusal. Their field paths are relative to the intent.
func ForIntent(r Request) (model.Plan, []model.Problem) {
	service := r.Configuration.Service(r.Intent.Service)
	if service == nil {
		return model.Plan{}, []model.Problem{{Field: "service", Reason: fmt.Sprintf("service %q does not exist", r.Intent.Service)}}
	}
	from, problems := r.check(service)
	if len(problems) > 0 {
		return model.Plan{}, problems
	}
	plan := model.Plan{
		ID: r.ID, Base: r.Configuration.Number, Intent: r.Intent, From: from, By: r.By, At: r.Now,
		Routes: r.routes(), Daemons: r.daemons(),
	}
	s := r.scheduleParams().plan(r.Now, r.Intent, r.callsPerSecond(plan.Routes))
	plan.WatchSeconds = int(s.watch / time.Second)
	plan.Steps, plan.Feasible, plan.Note, plan.Latest = s.steps, s.feasible, s.note, s.latest
	plan.WithdrawnIf = withdrawnIf(r.Intent.To, from)
	if note := r.missingSlots(plan.Routes, from); note != "" {
		plan.Feasible = false
		plan.Note = joinNotes(plan.Note, note)
	}
	return plan, nil
}

// Duplicates returns a problem for each intent with the same service as an earlier intent in the list.
func Duplicates(intents []model.Intent) []model.Problem {
	var problems []model.Problem
	first := map[model.ServiceName]int{}
	for i, intent := range intents {
		if other, ok := first[intent.Service]; ok {
			problems = append(problems, model.Problem{
				Field:  fmt.Sprintf("intents[%d].service", i),
				Reason: fmt.Sprintf("service %q is already moved by intents[%d]", intent.Service, other),
			})
			continue
		}
		first[intent.Service] = i
	}
	return problems
}

// check returns the version that receives the calls now, and every reason to refuse the intent.
func (r Request) check(service *model.Service) (model.VersionName, []model.Problem) {
	var problems []model.Problem
	add := func(field, format string, args ...any) {
		problems = append(problems, model.Problem{Field: field, Reason: fmt.Sprintf(format, args...)})
	}
	in := r.Intent
	switch {
	case service.Version(in.To) == nil:
		add("to", "version %q of service %q does not exist", in.To, in.Service)
	case r.Configuration.IsWithdrawn(model.VersionRef{Service: in.Service, Version: in.To}):
		add("to", "version %q of service %q is withdrawn", in.To, in.Service)
	}
	if !in.By.After(r.Now) {
		add("by", "time %s is in the past", in.By.UTC().Format(time.RFC3339))
	}
	if in.WatchSeconds < 0 {
		add("watchSeconds", "%d s is negative", in.WatchSeconds)
	}
	if in.MinCalls < 0 {
		add("minCalls", "%d calls is negative", in.MinCalls)
	}
	if m := r.Configuration.ActiveMove(in.Service); m != nil {
		add("service", "service %q is already under move %q", in.Service, m.ID)
	}
	var sources []model.VersionName
	for _, v := range service.Versions {
		if v.Share > 0 && v.Version != in.To {
			sources = append(sources, v.Version)
		}
	}
	switch len(sources) {
	case 0:
		add("to", "version %q already has all calls", in.To)
		return "", problems
	case 1:
	default:
		add("service", "service %q has calls on %d other versions; a move starts from one", in.Service, len(sources))
	}
	return sources[0], problems
}

// routes lists the routes of the service.
func (r Request) routes() []model.RouteName {
	var names []model.RouteName
	for i := range r.Configuration.Routes {
		if r.Configuration.Routes[i].LeadsTo(r.Intent.Service) {
			names = append(names, r.Configuration.Routes[i].Name)
		}
	}
	slices.Sort(names)
	return names
}

// daemons returns the daemons of the targets of the service, sorted.
func (r Request) daemons() []model.DaemonID {
	var ids []model.DaemonID
	for i := range r.Targets {
		if r.Targets[i].Service == r.Intent.Service {
			ids = append(ids, r.Targets[i].Daemon)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func (r Request) callsPerSecond(routes []model.RouteName) float64 {
	sum := 0.0
	for _, name := range routes {
		sum += r.Load[name].CallsPerSecond
	}
	return sum
}

const (
	// defaultLatency is assumed for a route without a measured latency.
	defaultLatency = 100 * time.Millisecond
	// maxSlotUse is the fraction of the ready slots that the load may occupy. The driver holds a step at the same fraction.
	maxSlotUse = 0.8
)

// missingSlots returns a note on each version without slots for all calls: the new one must take over all calls, and the
// old one must be able to take them back. The note is empty if both have enough.
func (r Request) missingSlots(routes []model.RouteName, from model.VersionName) string {
	need := 0.0
	for _, name := range routes {
		l := r.Load[name]
		if l.MeanLatency == 0 {
			l.MeanLatency = defaultLatency
		}
		need += l.CallsPerSecond * l.MeanLatency.Seconds() / maxSlotUse
	}
	note := ""
	for _, v := range []model.VersionName{r.Intent.To, from} {
		slots := 0
		for i := range r.Targets {
			t := &r.Targets[i]
			if t.Service == r.Intent.Service && t.Version == v && t.State == model.TargetReady {
				slots += t.Slots
			}
		}
		if slots == 0 || float64(slots) < need {
			note = joinNotes(note, fmt.Sprintf("version %q has %d slots ready, all calls need %.0f", v, slots, max(need, 1)))
		}
	}
	return note
}

func withdrawnIf(to, from model.VersionName) []string {
	return []string{
		fmt.Sprintf("more calls of %s fail than of %s in the same window, on any route or on all, beyond chance", to, from),
		fmt.Sprintf("calls of %s are slower than those of %s in the same window by more than a factor of 1.6, beyond chance", to, from),
		fmt.Sprintf("%s at 100%% does worse than %s did, and again after %s got calls back to compare with", to, from, from),
		"an operator withdraws it",
	}
}

func joinNotes(a, b string) string {
	if a == "" {
		return b
	}
	return a + "; " + b
}
