package agent

import (
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// loadPeriod is the length of one measurement of load. The last complete one is reported, so a report is between one
// and two periods old at most.
const loadPeriod = 5 * time.Second

// leastLoadPeriod is the age from which a period without a predecessor is reported before it is complete.
const leastLoadPeriod = time.Second

// loadWindow measures the calls that this daemon received as ingress, by route.
type loadWindow struct {
	began        time.Time
	current      map[model.OutcomeKey]model.OutcomeSum
	last         map[model.OutcomeKey]model.OutcomeSum
	lastDuration time.Duration
}

// turn ends a period that is over. A daemon without calls for two periods reports none.
func (w *loadWindow) turn(now time.Time) {
	age := now.Sub(w.began)
	if age < loadPeriod {
		return
	}
	w.last, w.lastDuration = w.current, age
	if age >= 2*loadPeriod {
		w.last, w.lastDuration = nil, 0
	}
	w.current, w.began = map[model.OutcomeKey]model.OutcomeSum{}, now
}

func (w *loadWindow) observe(now time.Time, sums []model.KeyedSum) {
	w.turn(now)
	for _, s := range sums {
		key := model.OutcomeKey{Service: s.Service, Route: s.Route}
		sum := w.current[key]
		sum.Add(s.OutcomeSum)
		w.current[key] = sum
	}
}

// of returns the load of a service.
func (w *loadWindow) of(now time.Time, service model.ServiceName) []message.RouteLoad {
	w.turn(now)
	sums, length := w.last, w.lastDuration
	if age := now.Sub(w.began); length == 0 && age >= leastLoadPeriod {
		sums, length = w.current, age
	}
	var list []message.RouteLoad
	for key, sum := range sums {
		if key.Service == service && length > 0 {
			list = append(list, message.RouteLoad{
				Route: key.Route, CallsPerSecond: float64(sum.Calls) / length.Seconds(),
				MeanLatencyMS: sum.MeanLatency().Seconds() * 1000,
			})
		}
	}
	return list
}

// gathering sums the answers to a load query.
type gathering struct {
	routes  map[model.RouteName]message.RouteLoad
	daemons int
	pending int
	done    func(reply *message.LoadReply)
}

func (g *gathering) add(routes []message.RouteLoad, daemons int) {
	g.daemons += daemons
	for _, r := range routes {
		sum := g.routes[r.Route]
		calls := sum.CallsPerSecond + r.CallsPerSecond
		if calls > 0 {
			sum.MeanLatencyMS = (sum.MeanLatencyMS*sum.CallsPerSecond + r.MeanLatencyMS*r.CallsPerSecond) / calls
		}
		sum.Route, sum.CallsPerSecond = r.Route, calls
		g.routes[r.Route] = sum
	}
}

// answered counts one answer, or its absence, and ends the gathering with the last.
func (g *gathering) answered(reply message.Reply) {
	if r, ok := reply.(*message.LoadReply); ok {
		g.add(r.Routes, r.Daemons)
	}
	g.pending--
	if g.pending > 0 {
		return
	}
	sum := &message.LoadReply{Daemons: g.daemons}
	for _, name := range slices.Sorted(maps.Keys(g.routes)) {
		sum.Routes = append(sum.Routes, g.routes[name])
	}
	g.done(sum)
}

// GatherLoad asks all daemons for the load of a service. done gets the sum of the answers that came in time.
func (a *Agent) GatherLoad(service model.ServiceName, done func(reply *message.LoadReply)) {
	a.gather(&message.LoadQuery{Service: service, Scope: message.ScopeAll}, done)
}

func (a *Agent) loadQueried(token effect.Token, q *message.LoadQuery) {
	a.gather(q, func(reply *message.LoadReply) { a.emit(effect.Reply{Token: token, Body: reply}) })
}

// gather sums the load below this daemon, or hands a query for all data centres to the leader.
func (a *Agent) gather(q *message.LoadQuery, done func(reply *message.LoadReply)) {
	g := &gathering{routes: map[model.RouteName]message.RouteLoad{}, pending: 1, done: done}
	if q.Scope == message.ScopeAll && !a.lead.lease.Held() && a.parent.leader != "" {
		g.pending++
		a.send(a.parent.leader, q, g.answered)
		g.answered(nil)
		return
	}
	g.add(a.load.of(a.now, q.Service), 1)
	below := &message.LoadQuery{Service: q.Service, Scope: message.ScopeTree}
	for _, address := range a.loadReceivers(q.Scope) {
		g.pending++
		a.send(address, below, g.answered)
	}
	g.answered(nil)
}

func (a *Agent) loadReceivers(scope message.Scope) []string {
	var to []string
	for _, c := range a.members.Children() {
		to = append(to, a.members.Member(c.ID).Target.PeerAddress)
	}
	if scope == message.ScopeAll && a.lead.lease.Held() {
		for _, p := range a.peerList() {
			if p.address != "" {
				to = append(to, p.address)
			}
		}
	}
	return to
}
