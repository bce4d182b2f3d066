package agent

import (
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/command/distribution"
	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// timer names a deadline of an agent.
type timer int

// Deadlines of an agent. A zero time is not set.
const (
	timerSeek timer = iota
	timerHeartbeat
	timerSweep
	timerFlush
	timerKeepAlive
	timerExchange
	timerList
	timerCheck
	timerIsolated
	timerCount
)

// Agent is the control core of one daemon. One goroutine calls it; it does no I/O.
type Agent struct {
	cfg  Config
	self model.Target
	now  time.Time
	out  []effect.Effect
	// last is the time of the event before.
	last time.Time

	timers      [timerCount]time.Time
	nextRequest effect.RequestID
	sends       map[effect.RequestID]func(reply message.Reply)
	calls       map[effect.RequestID]func(result store.Result)
	extension   Extension
	started     bool

	// term is the highest term of a leader of this data centre that the daemon has heard of.
	term    model.Term
	replica distribution.Replica
	members *membership.Members
	roster  *membership.Roster
	marks   map[markKey]model.Mark
	refusal *model.Refusal
	// rootSeen is when the daemon was last known to be connected to the source of configuration.
	rootSeen time.Time
	// ready is set once, when the number held cannot be old; required is the number that the leader vouched for.
	ready    bool
	vouched  bool
	required model.Number
	// dirty says that the view must be published; shownIsolated is the isolation that it last showed.
	dirty         bool
	published     *model.View
	shownIsolated bool

	parent parent
	lead   leadership
	load   loadWindow
	// sums are outcomes to send up or, on a leader, to the driver; evidence is what other leaders sent to the driver.
	sums     map[model.OutcomeKey]model.OutcomeSum
	evidence map[model.DataCentre]model.Evidence
}

// New returns the core of a daemon that knows nothing yet. The first event should be a Wake.
func New(cfg Config) *Agent {
	// Times cross messages as UTC without a monotonic part; targets are compared by value.
	cfg.Target.Since = cfg.Target.Since.UTC().Round(0)
	return &Agent{
		cfg: cfg, self: cfg.Target,
		sends:    map[effect.RequestID]func(message.Reply){},
		calls:    map[effect.RequestID]func(store.Result){},
		members:  newMembers(&cfg),
		roster:   membership.NewRoster(0),
		marks:    map[markKey]model.Mark{},
		sums:     map[model.OutcomeKey]model.OutcomeSum{},
		evidence: map[model.DataCentre]model.Evidence{},
		lead:     newLeadership(&cfg),
		dirty:    true,
	}
}

// Handle takes one event and returns the effects to perform, in order.
func (a *Agent) Handle(now time.Time, ev effect.Event) []effect.Effect {
	a.now, a.out = now, nil
	if !a.started {
		a.started = true
		a.rootSeen = now
		a.set(timerSeek, a.jitter(startJitter))
		a.set(timerIsolated, IsolatedAfter)
	}
	if gap := now.Sub(a.last); a.serves() && gap > pauseLimit {
		a.members.Paused(gap)
	}
	a.last = now
	a.event(ev)
	a.runTimers()
	if a.extension != nil {
		a.extension.Handle(now, ev)
	}
	a.observeRoot()
	a.publish()
	return a.out
}

// NextWake returns the time of the next effect.Wake that the core wants; zero for none.
func (a *Agent) NextWake() time.Time {
	var next time.Time
	if a.extension != nil {
		next = a.extension.NextWake()
	}
	for _, t := range a.timers {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

func (a *Agent) event(ev effect.Event) {
	switch ev := ev.(type) {
	case effect.RequestReceived:
		a.received(ev)
	case effect.SendDone:
		if done := a.sends[ev.Request]; done != nil {
			delete(a.sends, ev.Request)
			done(ev.Reply)
		}
	case effect.StoreDone:
		if done := a.calls[ev.Request]; done != nil {
			delete(a.calls, ev.Request)
			done(ev.Result)
		}
	case effect.KeyChanged:
		a.watched(ev)
	case effect.OutcomesObserved:
		a.observed(ev.Sums)
		a.load.observe(a.now, ev.Sums)
	case effect.TargetChanged:
		a.targetChanged(ev.State)
	case effect.StatusRequested:
		a.emit(effect.ReturnStatus{Token: ev.Token, Status: a.status()})
	}
}

func (a *Agent) received(ev effect.RequestReceived) {
	var reply message.Reply
	switch body := ev.Body.(type) {
	case *message.Announce:
		reply = a.announced(body)
	case *message.Heartbeat:
		reply = a.heartbeat(body)
	case *message.Update:
		reply = a.update(body)
	case *message.Exchange:
		reply = a.exchanged(body)
	case *message.Withhold:
		a.AddMarks(body.Marks)
		reply = &message.WithholdReply{Code: message.Accepted}
	case *message.SnapshotQuery:
		reply = a.snapshot(body)
	case *message.StatusQuery:
		reply = a.status()
	case *message.LoadQuery:
		a.loadQueried(ev.Token, body)
		return
	default:
		return
	}
	a.emit(effect.Reply{Token: ev.Token, Body: reply})
}

func (a *Agent) runTimers() {
	actions := [timerCount]func(){
		timerSeek: a.seek, timerHeartbeat: a.sendHeartbeat, timerSweep: a.sweep, timerFlush: a.flush,
		timerKeepAlive: a.keepAlive, timerExchange: a.sendExchanges, timerList: a.listLeaders,
		timerCheck: a.readConfiguration, timerIsolated: func() { a.dirty = true },
	}
	for i, action := range actions {
		if t := a.timers[i]; !t.IsZero() && !a.now.Before(t) {
			a.timers[i] = time.Time{}
			action()
		}
	}
}

// set puts a deadline, replacing an earlier one.
func (a *Agent) set(t timer, after time.Duration) { a.timers[t] = a.now.Add(after) }

// soon puts a deadline unless an earlier one is set.
func (a *Agent) soon(t timer, after time.Duration) {
	at := a.now.Add(after)
	if a.timers[t].IsZero() || at.Before(a.timers[t]) {
		a.timers[t] = at
	}
}

func (a *Agent) stop(timers ...timer) {
	for _, t := range timers {
		a.timers[t] = time.Time{}
	}
}

func (a *Agent) jitter(limit time.Duration) time.Duration {
	return time.Duration(a.cfg.Rand.Float64() * float64(limit))
}

func (a *Agent) emit(e effect.Effect) { a.out = append(a.out, e) }

// send sends a request; done gets the reply, or nil if there was none.
func (a *Agent) send(address string, body message.Request, done func(reply message.Reply)) effect.RequestID {
	a.nextRequest++
	if done != nil {
		a.sends[a.nextRequest] = done
	}
	a.emit(effect.Send{Request: a.nextRequest, Address: address, Body: body})
	return a.nextRequest
}

func (a *Agent) log(event string, pairs ...string) {
	fields := make([]effect.Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, effect.Field{Key: pairs[i], Value: pairs[i+1]})
	}
	a.emit(effect.Log{Event: event, Fields: fields})
}

func (a *Agent) count(counter, reason string) { a.emit(effect.Count{Counter: counter, Reason: reason}) }

func numberText(n model.Number) string { return strconv.FormatUint(uint64(n), 10) }

func termText(t model.Term) string { return strconv.FormatInt(int64(t), 10) }
