package moves_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/plans"
)

const (
	moveID  = model.PlanID("p1")
	service = model.ServiceName("placements")
)

var (
	start   = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	centres = []model.DataCentre{"cz-a", "cz-b", "cz-c"}
	routes  = []model.RouteName{"list", "place"}
)

// behaviour is what a version does with the calls of a second: the part that fails and the factor of its latency.
type behaviour func(second int, route model.RouteName, share float64) (failure, slow float64)

func healthy(int, model.RouteName, float64) (failure, slow float64) { return 0.002, 1 }

func failing(rate float64) behaviour {
	return func(int, model.RouteName, float64) (failure, slow float64) { return rate, 1 }
}

// scene is a session: what the versions do, and what happens around them.
type scene struct {
	seconds, watch, minCalls int
	callsPerSecond           int
	fresh, old               behaviour
	// lost and late say whether a data centre's reports of a second are lost, or how many seconds late they are.
	lost func(second int, centre model.DataCentre) bool
	late func(second int, centre model.DataCentre) int
	// before runs ahead of each second.
	before func(s *session, second int)
}

// session runs a move second by second: the driver decides, the real configuration package applies, and a step is in
// force one second later.
type session struct {
	scene
	random  *rand.Rand
	cfg     *model.Configuration
	plan    model.Plan
	driver  *moves.Driver
	targets []model.Target
	marks   []model.Mark
	blind   []model.DataCentre
	// inForce is the number that the daemons use, and lags by a second; frozen keeps it from growing.
	inForce model.Number
	frozen  bool
	pending map[int][]model.Evidence
	log     strings.Builder
	last    string
	// check is called in each second with the decisions.
	check func(second int, evidence []model.Evidence, decisions []moves.Decision)
}

func newSession(sc scene, seed uint64) *session {
	if sc.fresh == nil {
		sc.fresh = healthy
	}
	if sc.old == nil {
		sc.old = healthy
	}
	s := &session{
		scene: sc, random: rand.New(rand.NewPCG(seed, 1)), driver: moves.NewDriver(moves.DefaultPolicy()),
		pending: map[int][]model.Evidence{}, check: func(int, []model.Evidence, []moves.Decision) {},
	}
	s.cfg = &model.Configuration{Number: 1, Services: []model.Service{{
		Name: service, Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare}, {Version: "v2"}},
	}}}
	load := map[model.RouteName]plans.Load{}
	for _, r := range routes {
		s.cfg.Routes = append(s.cfg.Routes, model.Route{Name: r, Service: service, PathPrefix: "/" + string(r)})
		load[r] = plans.Load{CallsPerSecond: float64(sc.callsPerSecond) / 2, MeanLatency: 20 * time.Millisecond}
	}
	for i := range 6 {
		s.targets = append(s.targets, model.Target{
			Daemon: model.DaemonID(fmt.Sprintf("d%d", i)), Service: service, Version: []model.VersionName{"v1", "v2"}[i/3],
			DataCentre: centres[i%3], Slots: 12, State: model.TargetReady, Since: start,
		})
	}
	var problems []model.Problem
	s.plan, problems = plans.ForIntent(plans.Request{
		Configuration: s.cfg, Targets: s.targets, Load: load, Now: start, ID: moveID, By: "operator",
		Intent: model.Intent{Service: service, To: "v2", By: start.Add(time.Duration(sc.seconds) * time.Second),
			WatchSeconds: sc.watch, MinCalls: sc.minCalls},
	})
	if len(problems) > 0 {
		panic(problems[0].Reason)
	}
	s.command(0, configuration.Confirm{Plan: moveID})
	return s
}

func at(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }

// command applies a command and logs the outcome.
func (s *session) command(second int, cmd configuration.Command) {
	next, outcome := configuration.Apply(s.cfg, cmd, &s.plan, configuration.Stamp{ID: fmt.Sprint(s.cfg.Number), By: "test", Now: at(second)})
	if next != nil {
		s.cfg = next
	}
	s.write(second, "%T -> %s %d", cmd, outcome.Code, outcome.Number)
}

func (s *session) write(second int, format string, args ...any) {
	fmt.Fprintf(&s.log, "%4d  %s\n", second, strings.ReplaceAll(fmt.Sprintf(format, args...), "configuration.", ""))
}

func (s *session) move() *model.Move { return s.cfg.Move(moveID) }

// share is the part of calls that the new version receives: nothing once a mark withholds it.
func (s *session) share() float64 {
	if len(s.marks) > 0 {
		return 0
	}
	return float64(s.cfg.Service(service).Version("v2").Share) / float64(model.FullShare)
}

// run plays the session until the move ends.
func (s *session) run(limit int) string {
	for second := 1; second <= limit && s.move().Phase.Active(); second++ {
		s.second(second)
	}
	m := s.move()
	s.write(limit, "end: %s at step %d, %s", m.Phase, m.Step, s.cfg.Service(service).Version("v2").Share)
	return s.log.String()
}

func (s *session) second(second int) {
	if s.before != nil {
		s.before(s, second)
	}
	share := s.share()
	for _, dc := range centres {
		s.report(second, dc, share)
	}
	evidence := s.pending[second]
	delete(s.pending, second)
	decisions := s.driver.Decide(moves.Inputs{
		Now: at(second), Configuration: s.cfg, Evidence: evidence, Targets: s.targets, Marks: s.marks, By: "driver",
		InForce: model.InForce{Number: s.inForce, Live: len(s.targets), Blind: s.blind},
	})
	s.check(second, evidence, decisions)
	if !s.frozen {
		s.inForce = s.cfg.Number
	}
	for _, d := range decisions {
		s.apply(second, d)
	}
}

// report draws the calls of one data centre in one second and sends them to the driver.
func (s *session) report(second int, dc model.DataCentre, share float64) {
	e := model.Evidence{DataCentre: dc, From: at(second - 1), To: at(second)}
	calls := map[model.OutcomeKey]*model.OutcomeSum{}
	per := s.callsPerSecond / len(centres)
	if s.random.IntN(len(centres)) < s.callsPerSecond%len(centres) {
		per++
	}
	for range per {
		key := model.OutcomeKey{Service: service, Route: routes[s.random.IntN(2)], Version: "v1"}
		do := s.old
		if s.random.Float64() < share {
			key.Version, do = "v2", s.fresh
		}
		failure, slow := do(second, key.Route, share)
		if calls[key] == nil {
			calls[key] = &model.OutcomeSum{}
		}
		latency := time.Duration(slow * (10 + 20*s.random.Float64()) * float64(time.Millisecond))
		calls[key].Observe(s.random.Float64() < failure, latency)
	}
	for _, r := range routes {
		for _, v := range []model.VersionName{"v1", "v2"} {
			key := model.OutcomeKey{Service: service, Route: r, Version: v}
			if calls[key] != nil {
				e.Sums = append(e.Sums, model.KeyedSum{OutcomeKey: key, OutcomeSum: *calls[key]})
			}
		}
	}
	if s.lost != nil && s.lost(second, dc) {
		return
	}
	arrives := second
	if s.late != nil {
		arrives += s.late(second, dc)
	}
	s.pending[arrives] = append(s.pending[arrives], e)
}

// apply logs a decision, holds once per reason, and performs it.
func (s *session) apply(second int, d moves.Decision) {
	line := fmt.Sprintf("%T %+v", d, d)
	hold, held := d.(moves.Hold)
	if held {
		line = "hold: " + hold.Reason
	}
	if line != s.last {
		s.write(second, "%s %s", strings.ReplaceAll(line, "moves.", ""), hold.Detail)
	}
	s.last = line
	switch d := d.(type) {
	case moves.Advance:
		s.command(second, configuration.Advance{Move: d.Move, From: d.From, To: d.To, Detail: d.Detail})
	case moves.Withdraw:
		s.command(second, configuration.Withdraw{Move: d.Move, Reason: d.Reason})
	case moves.Finish:
		s.command(second, configuration.Finish{Move: d.Move, Phase: d.Phase, Detail: d.Detail})
	case moves.Withhold:
		s.marks = append(s.marks, d.Mark)
	}
}
