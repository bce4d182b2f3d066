package rollouts

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

const (
	service    = model.ServiceName("tickets")
	oldVersion = model.VersionName("v1")
	newVersion = model.VersionName("v2")

	meanExecutionTime = 120 * time.Millisecond
	executionSigma    = 0.5
	callTimeout       = time.Second
	latencyObjective  = 400 * time.Millisecond
	// warmTime is the time from the order until the targets of the new version are warm.
	warmTime = 2 * time.Second
	// history is the time for which the old version has served before the order.
	history = 10 * time.Second
	// round is the time between two decisions. A decision is in force one round later.
	round = 300 * time.Millisecond
	// badAnswers is the number of bad answers after which a version must be stopped within stopTime.
	badAnswers = 50
	stopTime   = 5 * time.Second
)

// routes are the routes of the service, with the fractions of its calls. The calls of the last one always time out, whatever
// the version, as where an operator has set a timeout that is too short.
var routes = []struct {
	name     model.RouteName
	fraction float64
}{{"lookup", 0.88}, {"status", 0.1}, {"brief", 0.02}}

const (
	smallRoute = 1
	briefRoute = 2
)

// dataCentres are those over which targets and callers are spread evenly.
var dataCentres = []model.DataCentre{"dc-a", "dc-b", "dc-c"}

// decider decides on the steps of a move, as rollout.Driver does.
type decider interface {
	Observe(now time.Time, configuration *model.Configuration, m *model.Rollout, observations []rollout.Observation)
	Decide(now time.Time, m *model.Rollout, observations []rollout.Observation) rollout.Decision
}

// Result is the result of one move.
type Result struct {
	Phase  model.Phase
	Reason string
	// Took is the time from the order to the end of the move.
	Took time.Duration
	// Calls are those of the service until the deadline, Exposed those of the new version, and Allowed those that a bad
	// version may receive. Late counts the calls that a bad version received after it had to be stopped.
	Calls, Exposed, Late int
	Allowed              float64
}

// fleet is a simulated service under a move.
type fleet struct {
	scenario Scenario
	random   *rand.Rand
	source   *rand.PCG
	start    time.Time
	targets  []*target
	byDaemon map[model.DaemonID]*target
	move     *model.Rollout
	// tables are the routing tables by data centre. pending is a decided move that is not in force yet.
	tables  []*routing.Table
	pending *model.Rollout
	counter uint64
	ends    callEnds
	// mustStopAt is the time after which a bad version must receive no calls; zero while it may.
	mustStopAt time.Time
	bad        int
	result     Result
}

// callEnd is the end of a running call.
type callEnd struct {
	at     time.Time
	target *target
	key    model.OutcomeKey
	failed bool
	took   time.Duration
	spoilt bool
}

// callEnds is a heap of the ends of running calls, the earliest first.
type callEnds []callEnd

func (e callEnds) Len() int           { return len(e) }
func (e callEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e callEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *callEnds) Push(x any)        { *e = append(*e, x.(callEnd)) }
func (e *callEnds) Pop() any          { old := *e; last := old[len(old)-1]; *e = old[:len(old)-1]; return last }

// Simulate plays the move of a scenario under the project's driver.
func Simulate(s Scenario) Result { return simulate(s, rollout.NewDriver(s.Limit)) }

func simulate(s Scenario, d decider) Result {
	f := newFleet(s)
	rate := float64(s.Targets*s.Slots) * s.Utilization / meanExecutionTime.Seconds()
	nextCall := f.start.Add(-history)
	window := time.Duration(0)
	for now := f.start; now.Sub(f.start) < 2*s.Within; now = now.Add(round) {
		for nextCall.Before(now) {
			f.call(nextCall)
			nextCall = nextCall.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		}
		f.endCalls(now)
		if f.decide(now, d, window) {
			break
		}
		window = round
	}
	f.result.Phase, f.result.Reason = f.move.Phase, f.move.Reason
	f.result.Allowed = s.Limit.Fraction*rate*s.Within.Seconds() + s.Limit.Slack
	return f.result
}

func newFleet(s Scenario) *fleet {
	start := time.Unix(10_000, 0)
	f := &fleet{scenario: s, source: rand.NewPCG(s.Seed, 5), start: start, byDaemon: map[model.DaemonID]*target{}}
	f.random = rand.New(f.source)
	for i, version := range []model.VersionName{oldVersion, newVersion} {
		for j := range s.Targets {
			t := &target{
				Target: model.Target{
					Daemon: model.DaemonID(fmt.Sprintf("%s-%04d", version, j)), Service: service, Version: version,
					DataCentre: dataCentres[j%len(dataCentres)], Region: "r", Slots: s.Slots, State: model.TargetReady,
					WarmAt: start.Add(time.Duration(i) * warmTime),
				},
				pace: []float64{0.7, 1, 1.3}[f.random.IntN(3)], sums: map[model.OutcomeKey]*model.OutcomeSum{},
			}
			if version == newVersion && s.Kind == KindGoodHalf {
				t.pace *= halfSpeedFactor
			}
			f.targets = append(f.targets, t)
			f.byDaemon[t.Daemon] = t
		}
	}
	f.move = &model.Rollout{Move: model.Move{
		ID: "m", Service: service, From: oldVersion, To: newVersion, Deadline: start.Add(s.Within),
		Phase: model.PhaseRunning, Step: -1, Since: start,
	}}
	f.publish()
	return f
}

// publish compiles the routing tables of the move in force.
func (f *fleet) publish() {
	f.tables = f.tables[:0]
	for _, dc := range dataCentres {
		view := &model.View{Configuration: f.configuration(), DataCentre: dc, Region: "r"}
		if f.move.Phase == model.PhaseRunning {
			view.Canaries = map[model.ServiceName][]model.DaemonID{service: f.move.Canaries}
		}
		for _, t := range f.targets {
			view.Targets = append(view.Targets, t.Target)
		}
		f.tables = append(f.tables, routing.NewTable(view))
	}
}

func (f *fleet) configuration() *model.Configuration {
	share := model.Share(0)
	if f.move.Phase == model.PhaseRunning && f.move.Step >= 0 {
		share = f.move.Steps[f.move.Step].Share
	}
	c := &model.Configuration{
		Services: []model.Service{{Name: service, Versions: []model.VersionShare{
			{Version: newVersion, Share: share}, {Version: oldVersion, Share: model.FullShare - share},
		}}},
		Moves: []model.Move{f.move.Move},
	}
	for _, r := range routes {
		c.Routes = append(c.Routes, model.Route{Name: r.name, Service: service})
	}
	return c
}

// call plays one call.
func (f *fleet) call(now time.Time) {
	f.endCalls(now)
	table := f.tables[f.random.IntN(len(f.tables))]
	f.counter++
	version, reason := table.Service(service).SelectVersion(f.counter)
	if reason != routing.Found {
		return
	}
	choice, ok := version.SelectByExpectedLoss(loads{f, now}, f.source, routing.Selection{Remaining: latencyObjective})
	if !ok {
		return
	}
	t := f.byDaemon[choice.Target.Daemon]
	isNew := t.Version == newVersion
	if !now.Before(f.start) && now.Before(f.move.Deadline) {
		f.result.Calls++
		if isNew {
			f.result.Exposed++
		}
	}
	if isNew && !f.mustStopAt.IsZero() && now.After(f.mustStopAt) {
		f.result.Late++
	}
	f.run(now, t, isNew)
}

// run runs a call at a target and schedules its end.
func (f *fleet) run(now time.Time, t *target, isNew bool) {
	route := f.drawRoute()
	fail, slow := f.scenario.failureRate(isNew, now.Sub(f.start.Add(warmTime)), route, t.outstanding(now))
	took := time.Duration(t.pace * float64(meanExecutionTime) * math.Exp(executionSigma*f.random.NormFloat64()-executionSigma*executionSigma/2))
	spoilt := f.random.Float64() < max(fail, slow)
	if spoilt && slow > 0 {
		took *= slowFactor
	}
	begin := t.start(now)
	end := begin.Add(took)
	failed := spoilt && slow == 0
	if limit := now.Add(callTimeout); end.After(limit) {
		end, failed = limit, true
	}
	t.occupy(end)
	t.arrivedAt = now
	heap.Push(&f.ends, callEnd{
		at: end, target: t, failed: failed || route == briefRoute, took: end.Sub(now), spoilt: spoilt && isNew,
		key: model.OutcomeKey{Service: service, Route: routes[route].name, Version: t.Version},
	})
}

func (f *fleet) drawRoute() int {
	at := f.random.Float64()
	for i, r := range routes {
		if at -= r.fraction; at < 0 {
			return i
		}
	}
	return len(routes) - 1
}

// endCalls records the outcomes of the calls that have ended.
func (f *fleet) endCalls(now time.Time) {
	for len(f.ends) > 0 && !f.ends[0].at.After(now) {
		e := heap.Pop(&f.ends).(callEnd)
		e.target.record(e.key, e.failed, e.took)
		if !e.spoilt {
			continue
		}
		if f.bad++; f.bad == badAnswers {
			f.mustStopAt = e.at.Add(stopTime)
		}
	}
}

// decide plays one round of the driver, given the time since the round before, and reports whether the move is over. The first
// reports count from the start of the daemons.
func (f *fleet) decide(now time.Time, d decider, window time.Duration) bool {
	if f.pending != nil {
		f.move, f.pending = f.pending, nil
		f.publish()
	}
	if !f.move.Phase.Active() {
		f.result.Took = now.Sub(f.start)
		return true
	}
	observations := make([]rollout.Observation, 0, len(f.targets))
	for _, t := range f.targets {
		o := rollout.Observation{
			Target: t.Target, Running: t.outstanding(now), Idle: now.Sub(t.arrivedAt), At: now, Window: window,
		}
		for key, sum := range t.sums {
			o.Sums = append(o.Sums, model.KeyedSum{OutcomeKey: key, OutcomeSum: *sum})
		}
		clear(t.sums)
		observations = append(observations, o)
	}
	d.Observe(now, f.configuration(), f.move, observations)
	f.pending = d.Decide(now, f.move, observations).Next
	return false
}
