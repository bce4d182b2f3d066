package agent

import (
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// loadPeriod is the length of a measurement period of load. The last complete period is reported, so reported load is at
// most one to two periods old.
const loadPeriod = 5 * time.Second

// minLoadPeriod is the age at which the first period is reported although it is not complete.
const minLoadPeriod = time.Second

// loadWindow measures the calls that this daemon received as ingress, by route. current is the running period since
// startedAt, last the period before it.
type loadWindow struct {
	startedAt    time.Time
	current      map[model.OutcomeKey]model.OutcomeSum
	last         map[model.OutcomeKey]model.OutcomeSum
	lastDuration time.Duration
}

// rotate ends the current period if it is over. If it lasted two periods or longer, there were no calls to end it earlier,
// and no load is reported.
func (w *loadWindow) rotate(now time.Time) {
	age := now.Sub(w.startedAt)
	if age < loadPeriod {
		return
	}
	w.last, w.lastDuration = w.current, age
	if age >= 2*loadPeriod {
		w.last, w.lastDuration = nil, 0
	}
	w.current, w.startedAt = map[model.OutcomeKey]model.OutcomeSum{}, now
}

func (w *loadWindow) record(now time.Time, sums []model.KeyedSum) {
	w.rotate(now)
	for _, s := range sums {
		key := model.OutcomeKey{Service: s.Service, Route: s.Route}
		sum := w.current[key]
		sum.Add(s.OutcomeSum)
		w.current[key] = sum
	}
}

// loadOf returns the load of a service.
func (w *loadWindow) loadOf(now time.Time, service model.ServiceName) []message.RouteLoad {
	w.rotate(now)
	sums, length := w.last, w.lastDuration
	if age := now.Sub(w.startedAt); length == 0 && age >= minLoadPeriod {
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

// loadCollector sums the replies to a load query and calls done with the sum once none is pending.
type loadCollector struct {
	routes  map[model.RouteName]message.RouteLoad
	daemons int
	pending int
	done    func(reply *message.LoadReply)
}

// add adds the load that a number of daemons measured. The mean latency is weighted by the rate of calls.
func (c *loadCollector) add(routes []message.RouteLoad, daemons int) {
	c.daemons += daemons
	for _, r := range routes {
		sum := c.routes[r.Route]
		calls := sum.CallsPerSecond + r.CallsPerSecond
		if calls > 0 {
			sum.MeanLatencyMS = (sum.MeanLatencyMS*sum.CallsPerSecond + r.MeanLatencyMS*r.CallsPerSecond) / calls
		}
		sum.Route, sum.CallsPerSecond = r.Route, calls
		c.routes[r.Route] = sum
	}
}

// handleReply handles one reply, or nil if there was none. The last one completes the collection.
func (c *loadCollector) handleReply(reply message.Reply) {
	if r, ok := reply.(*message.LoadReply); ok {
		c.add(r.Routes, r.Daemons)
	}
	c.pending--
	if c.pending > 0 {
		return
	}
	sum := &message.LoadReply{Daemons: c.daemons}
	for _, name := range slices.Sorted(maps.Keys(c.routes)) {
		sum.Routes = append(sum.Routes, c.routes[name])
	}
	c.done(sum)
}

// GatherLoad queries all daemons for the load of a service. done is called with the sum of the replies that came in time.
func (a *Agent) GatherLoad(service model.ServiceName, done func(reply *message.LoadReply)) {
	a.collectLoad(&message.LoadQuery{Service: service, Scope: message.ScopeAll}, done)
}

func (a *Agent) handleLoadQuery(token effect.Token, q *message.LoadQuery) {
	a.collectLoad(q, func(reply *message.LoadReply) { a.emit(effect.Reply{Token: token, Body: reply}) })
}

// collectLoad sums the load of this daemon and the daemons below it, or forwards a query for all data centres to the leader.
func (a *Agent) collectLoad(q *message.LoadQuery, done func(reply *message.LoadReply)) {
	c := &loadCollector{routes: map[model.RouteName]message.RouteLoad{}, pending: 1, done: done}
	if q.Scope == message.ScopeAll && !a.lead.lease.Held() && a.parent.leaderAddress != "" {
		c.pending++
		a.send(a.parent.leaderAddress, q, c.handleReply)
		c.handleReply(nil)
		return
	}
	c.add(a.load.loadOf(a.now, q.Service), 1)
	below := &message.LoadQuery{Service: q.Service, Scope: message.ScopeTree}
	for _, address := range a.loadReceivers(q.Scope) {
		c.pending++
		a.send(address, below, c.handleReply)
	}
	c.handleReply(nil)
}

// loadReceivers returns the addresses of the children and, on a leader for ScopeAll, of the other leaders. The address of a
// child is unknown until its first full heartbeat.
func (a *Agent) loadReceivers(scope message.Scope) []string {
	var to []string
	for _, c := range a.members.Children() {
		if m := a.members.Member(c.ID); m != nil {
			to = append(to, m.Target.PeerAddress)
		}
	}
	if scope == message.ScopeAll && a.lead.lease.Held() {
		for _, p := range a.sortedPeers() {
			if p.address != "" {
				to = append(to, p.address)
			}
		}
	}
	return to
}
