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

// behaviour returns how a version executes the calls of a second: the fraction that fails and the factor of the latency.
type behaviour func(second int, route model.RouteName, share float64) (failure, slow float64)

func healthy(int, model.RouteName, float64) (failure, slow float64) { return 0.002, 1 }

func failing(rate float64) behaviour {
	return func(int, model.RouteName, float64) (failure, slow float64) { return rate, 1 }
}

// scenario describes a simulation: the behaviour of the versions and the events around them.
type scenario struct {
	seconds, watch, minCalls int
	callsPerSecond           int
	newVersion, oldVersion   behaviour
	// isLost reports whether a data centre's report of a second is lost, lateBy by how many seconds it is late.
	isLost func(second int, centre model.DataCentre) bool
	lateBy func(second int, centre model.DataCentre) int
	// beforeSecond is called before each second.
	beforeSecond func(s *simulation, second int)
}

// simulation runs a move second by second: the driver decides, package configuration applies the decisions, and a step is
// in force one second later.
type simulation struct {
	scenario
	random  *rand.Rand
	cfg     *model.Configuration
	plan    model.Plan
	driver  *moves.Driver
	targets []model.Target
	marks   []model.Mark
	blind   []model.DataCentre
	// inForce is the number in force on the daemons, which lags by a second. It does not grow while frozen is true.
	inForce model.Number
	frozen  bool
	pending map[int][]model.Evidence
	log     strings.Builder
	// lastLine is the last decision written to the log, so that a repeated decision is written once.
	lastLine string
	// check is called with the decisions of each second.
	check func(second int, evidence []model.Evidence, decisions []moves.Decision)
}

func newSimulation(sc scenario, seed uint64) *simulation {
	if sc.newVersion == nil {
		sc.newVersion = healthy
	}
	if sc.oldVersion == nil {
		sc.oldVersion = healthy
	}
	s := &simulation{
		scenario: sc, random: rand.New(rand.NewPCG(seed, 1)), driver: moves.NewDriver(moves.DefaultPolicy()),
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

// command applies a command and writes the outcome to the log.
func (s *simulation) command(second int, cmd configuration.Command) {
	next, outcome := configuration.Apply(s.cfg, cmd, &s.plan, configuration.Stamp{
		ID: fmt.Sprint(s.cfg.Number), By: "test", Now: at(second),
	})
	if next != nil {
		s.cfg = next
	}
	s.logLine(second, "%T -> %s %d", cmd, outcome.Code, outcome.Number)
}

func (s *simulation) logLine(second int, format string, args ...any) {
	fmt.Fprintf(&s.log, "%4d  %s\n", second, strings.ReplaceAll(fmt.Sprintf(format, args...), "configuration.", ""))
}

func (s *simulation) move() *model.Move { return s.cfg.Move(moveID) }

// share returns the fraction of calls that the new version gets: 0 once a mark withholds it.
func (s *simulation) share() float64 {
	if len(s.marks) > 0 {
		return 0
	}
	return float64(s.cfg.Service(service).Version("v2").Share) / float64(model.FullShare)
}

// run simulates until the move ends or the limit of seconds is reached, and returns the log.
func (s *simulation) run(limit int) string {
	for second := 1; second <= limit && s.move().Phase.Active(); second++ {
		s.runSecond(second)
	}
	m := s.move()
	s.logLine(limit, "end: %s at step %d, %s", m.Phase, m.Step, s.cfg.Service(service).Version("v2").Share)
	return s.log.String()
}

func (s *simulation) runSecond(second int) {
	if s.beforeSecond != nil {
		s.beforeSecond(s, second)
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
		s.perform(second, d)
	}
}

// report draws the calls of one data centre in one second and queues them for the driver.
func (s *simulation) report(second int, dc model.DataCentre, share float64) {
	e := model.Evidence{DataCentre: dc, From: at(second - 1), To: at(second)}
	calls := map[model.OutcomeKey]*model.OutcomeSum{}
	count := s.callsPerSecond / len(centres)
	if s.random.IntN(len(centres)) < s.callsPerSecond%len(centres) {
		count++
	}
	for range count {
		key := model.OutcomeKey{Service: service, Route: routes[s.random.IntN(2)], Version: "v1"}
		behave := s.oldVersion
		if s.random.Float64() < share {
			key.Version, behave = "v2", s.newVersion
		}
		failure, slow := behave(second, key.Route, share)
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
	if s.isLost != nil && s.isLost(second, dc) {
		return
	}
	arrives := second
	if s.lateBy != nil {
		arrives += s.lateBy(second, dc)
	}
	s.pending[arrives] = append(s.pending[arrives], e)
}

// perform writes a decision to the log, holds once per reason, and applies it.
func (s *simulation) perform(second int, d moves.Decision) {
	line := fmt.Sprintf("%T %+v", d, d)
	hold, isHold := d.(moves.Hold)
	if isHold {
		line = "hold: " + hold.Reason
	}
	if line != s.lastLine {
		s.logLine(second, "%s %s", strings.ReplaceAll(line, "moves.", ""), hold.Detail)
	}
	s.lastLine = line
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
