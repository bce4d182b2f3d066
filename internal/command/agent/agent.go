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

// timer identifies one of the agent's timers.
type timer int

// Timers of an agent. A timer with a zero time is not set.
const (
	timerFindParent timer = iota
	timerHeartbeat
	timerSweep
	timerPushUpdates
	timerKeepAlive
	timerExchange
	timerListLeaders
	timerReadConfiguration
	timerIsolated
	numTimers
)

// Agent is the control core of one daemon. It must be called from one goroutine and does no I/O.
type Agent struct {
	cfg  Config
	self model.Target
	now  time.Time
	// effects are the effects of the current event so far.
	effects []effect.Effect
	// lastEventAt is the time of the previous event.
	lastEventAt time.Time

	timers      [numTimers]time.Time
	nextRequest effect.RequestID
	// pendingSends and pendingStoreCalls are the callbacks of requests and store calls without a result yet.
	pendingSends      map[effect.RequestID]func(reply message.Reply)
	pendingStoreCalls map[effect.RequestID]func(result store.Result)
	extension         Extension
	started           bool

	// term is the highest known term of a leader of this data centre.
	term    model.Term
	replica distribution.Replica
	members *membership.Members
	roster  *membership.Roster
	marks   map[markKey]model.Mark
	refusal *model.Refusal
	// lastConnected is when the daemon was last known to be connected to the source of configuration, directly or through
	// its parents.
	lastConnected time.Time
	// ready is set once the daemon may serve, and is never reset: it then holds at least minNumber, a number that a leader
	// confirmed to be current. hasMinNumber is set once a leader has confirmed one.
	ready        bool
	hasMinNumber bool
	minNumber    model.Number
	// dirty is set if the view has changed since it was published; publishedIsolated is View.Isolated as last published.
	dirty             bool
	published         *model.View
	publishedIsolated bool

	parent parent
	lead   leadership
	load   loadWindow
	// sums are outcomes not yet sent to the parent or, on a leader, to the driver. evidence are the outcomes that the driver
	// has received, by data centre.
	sums     map[model.OutcomeKey]model.OutcomeSum
	evidence map[model.DataCentre]model.Evidence
}

// New returns the core of a daemon without state. The first event should be a Wake.
func New(cfg Config) *Agent {
	// Messages carry times in UTC without a monotonic part, and targets are compared by value.
	cfg.Target.Since = cfg.Target.Since.UTC().Round(0)
	return &Agent{
		cfg: cfg, self: cfg.Target,
		pendingSends:      map[effect.RequestID]func(message.Reply){},
		pendingStoreCalls: map[effect.RequestID]func(store.Result){},
		members:           newMembers(&cfg),
		roster:            membership.NewRoster(0),
		marks:             map[markKey]model.Mark{},
		sums:              map[model.OutcomeKey]model.OutcomeSum{},
		evidence:          map[model.DataCentre]model.Evidence{},
		lead:              newLeadership(&cfg),
		dirty:             true,
	}
}

// Handle processes one event and returns the effects to perform, in order.
func (a *Agent) Handle(now time.Time, ev effect.Event) []effect.Effect {
	a.now, a.effects = now, nil
	if !a.started {
		a.started = true
		a.lastConnected = now
		a.schedule(timerFindParent, a.jitter(startJitter))
		a.schedule(timerIsolated, IsolatedAfter)
	}
	if gap := now.Sub(a.lastEventAt); a.isParent() && gap > maxEventGap {
		a.members.ExtendDeadlines(gap)
	}
	a.lastEventAt = now
	a.handleEvent(ev)
	a.runTimers()
	if a.extension != nil {
		a.extension.Handle(now, ev)
	}
	a.updateConnection()
	a.publishView()
	return a.effects
}

// NextWake returns the time at which the core needs the next effect.Wake, or the zero time if it needs none.
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

func (a *Agent) handleEvent(ev effect.Event) {
	switch ev := ev.(type) {
	case effect.RequestReceived:
		a.handleRequest(ev)
	case effect.SendDone:
		if done := a.pendingSends[ev.Request]; done != nil {
			delete(a.pendingSends, ev.Request)
			done(ev.Reply)
		}
	case effect.StoreDone:
		if done := a.pendingStoreCalls[ev.Request]; done != nil {
			delete(a.pendingStoreCalls, ev.Request)
			done(ev.Result)
		}
	case effect.KeyChanged:
		a.handleKeyChanged(ev)
	case effect.OutcomesObserved:
		a.recordOutcomes(ev.Sums)
		a.load.record(a.now, ev.Sums)
	case effect.TargetChanged:
		a.handleTargetState(ev.State)
	case effect.StatusRequested:
		a.emit(effect.ReturnStatus{Token: ev.Token, Status: a.statusReply()})
	}
}

func (a *Agent) handleRequest(ev effect.RequestReceived) {
	var reply message.Reply
	switch body := ev.Body.(type) {
	case *message.Announce:
		reply = a.handleAnnounce(body)
	case *message.Heartbeat:
		reply = a.handleHeartbeat(body)
	case *message.Update:
		reply = a.handleUpdate(body)
	case *message.Exchange:
		reply = a.handleExchange(body)
	case *message.Withhold:
		a.AddMarks(body.Marks)
		reply = &message.WithholdReply{Code: message.Accepted}
	case *message.SnapshotQuery:
		reply = a.handleSnapshotQuery(body)
	case *message.StatusQuery:
		reply = a.statusReply()
	case *message.LoadQuery:
		a.handleLoadQuery(ev.Token, body)
		return
	default:
		return
	}
	a.emit(effect.Reply{Token: ev.Token, Body: reply})
}

func (a *Agent) runTimers() {
	actions := [numTimers]func(){
		timerFindParent: a.findParent, timerHeartbeat: a.sendHeartbeat, timerSweep: a.sweepMembers, timerPushUpdates: a.pushUpdates,
		timerKeepAlive: a.sendKeepAlive, timerExchange: a.sendExchanges, timerListLeaders: a.listLeaders,
		timerReadConfiguration: a.readConfiguration, timerIsolated: func() { a.dirty = true },
	}
	for i, action := range actions {
		if t := a.timers[i]; !t.IsZero() && !a.now.Before(t) {
			a.timers[i] = time.Time{}
			action()
		}
	}
}

// schedule sets a timer, replacing its previous time.
func (a *Agent) schedule(t timer, after time.Duration) { a.timers[t] = a.now.Add(after) }

// scheduleNoLater sets a timer unless it is already set to an earlier time.
func (a *Agent) scheduleNoLater(t timer, after time.Duration) {
	at := a.now.Add(after)
	if a.timers[t].IsZero() || at.Before(a.timers[t]) {
		a.timers[t] = at
	}
}

func (a *Agent) cancel(timers ...timer) {
	for _, t := range timers {
		a.timers[t] = time.Time{}
	}
}

func (a *Agent) jitter(limit time.Duration) time.Duration {
	return time.Duration(a.cfg.Rand.Float64() * float64(limit))
}

func (a *Agent) emit(e effect.Effect) { a.effects = append(a.effects, e) }

// send sends a request to a peer; done is called with the reply, or with nil if there was none.
func (a *Agent) send(address string, body message.Request, done func(reply message.Reply)) effect.RequestID {
	a.nextRequest++
	if done != nil {
		a.pendingSends[a.nextRequest] = done
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
