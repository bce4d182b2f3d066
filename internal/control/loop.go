// Package control runs the control loop of a daemon around its decision core. One goroutine, locked to its own operating
// system thread, owns all control state. Workers do the I/O and post the results as events; traffic goroutines read the
// published routing table.
package control

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/command/confirmation"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/store"
)

// Core makes the decisions: it takes events and returns effects. It does no I/O and is called by one goroutine only.
type Core interface {
	Handle(now time.Time, ev effect.Event) []effect.Effect
	// NextWake returns when the core needs an effect.Wake; the zero time means never.
	NextWake() time.Time
}

// Peers sends messages to other daemons. A nil reply means that none was received in time.
type Peers interface {
	Call(ctx context.Context, address string, body message.Request) message.Reply
}

// Counters increments counters, by counter name and reason, for effect.Count.
type Counters interface {
	Add(counter, reason string)
}

const (
	// eventQueueSize bounds the queued events. Workers block when the queue is full; traffic goroutines never block.
	eventQueueSize = 1024
	// minWakeInterval bounds the rate of wakes, so that a core that asks for a wake in the past does not occupy a whole CPU.
	minWakeInterval = 2 * time.Millisecond
	// storeTimeout bounds one call to the platform's store, which normally answers within milliseconds.
	storeTimeout = 3 * time.Second
)

// Loop is the control loop of a daemon.
type Loop struct {
	core     Core
	peers    Peers
	store    store.Store
	logger   *zap.Logger
	counters Counters

	inputs   chan input
	outcomes chan []model.KeyedSum
	table    atomic.Pointer[routing.Table]
	// confirmed is the time at which the configuration was confirmed. It is set after the table to which it applies.
	confirmed atomic.Int64
	workers   sync.WaitGroup
	// checkHealth requests the health of the local target.
	checkHealth func(ctx context.Context, path string) effect.HealthChecked
	// onPublish is called with each new view, on the loop goroutine.
	onPublish func(*model.View)

	// The fields below are used by the loop goroutine only.
	pendingAnswers map[effect.Token]chan any
	lastToken      effect.Token
	watches        map[string]context.CancelFunc
}

// input is an event for the core, with the channel for its answer; nil if the event has none.
type input struct {
	event  func(token effect.Token) effect.Event
	answer chan any
}

// NewLoop returns a loop, which handles events once Run is called.
func NewLoop(core Core, peers Peers, s store.Store, logger *zap.Logger, counters Counters) *Loop {
	l := &Loop{
		core: core, peers: peers, store: s, logger: logger, counters: counters,
		inputs:         make(chan input, eventQueueSize),
		outcomes:       make(chan []model.KeyedSum, 16),
		pendingAnswers: map[effect.Token]chan any{},
		watches:        map[string]context.CancelFunc{},
	}
	l.table.Store(routing.NewTable(&model.View{Configuration: &model.Configuration{}}))
	l.confirmed.Store(int64(confirmation.Never))
	return l
}

// OnPublish sets a function that is called with each new view on the loop goroutine, before the effects after
// effect.Publish are performed. It must be set before Run and must not block.
func (l *Loop) OnPublish(callback func(*model.View)) { l.onPublish = callback }

// SetHealthCheck sets the function that requests the health of the local target. It must be set before Run.
func (l *Loop) SetHealthCheck(check func(ctx context.Context, path string) effect.HealthChecked) {
	l.checkHealth = check
}

// Table returns the latest published routing table. It never returns nil.
func (l *Loop) Table() *routing.Table { return l.table.Load() }

// Confirmed returns the time at which the configuration was last confirmed, or confirmation.Never. A table that is read
// afterwards has that configuration or a newer one.
func (l *Loop) Confirmed() time.Duration { return time.Duration(l.confirmed.Load()) }

// Observe sends a batch of request outcomes to the loop. It never blocks: it returns false if the batch was dropped.
func (l *Loop) Observe(sums []model.KeyedSum) bool {
	select {
	case l.outcomes <- sums:
		return true
	default:
		return false
	}
}

// Handle returns the reply to a message of a peer. It returns false if ctx ended first.
func (l *Loop) Handle(ctx context.Context, body message.Request) (message.Reply, bool) {
	got, ok := l.request(ctx, func(t effect.Token) effect.Event { return effect.RequestReceived{Token: t, Body: body} })
	if !ok {
		return nil, false
	}
	return got.(message.Reply), true
}

// Submit runs an operator's command and returns its outcome. If ctx ends first the outcome is unknown.
func (l *Loop) Submit(ctx context.Context, by string, command any) model.Outcome {
	got, ok := l.request(ctx, func(t effect.Token) effect.Event {
		return effect.CommandSubmitted{Token: t, By: by, Command: command}
	})
	if !ok {
		return model.Refused(model.OutcomeUnknown, "", "the daemon did not answer in time; read the status before a repeat")
	}
	return got.(model.Outcome)
}

// Status returns the state of the daemon's data centre as this daemon knows it.
func (l *Loop) Status(ctx context.Context) (*message.StatusReply, bool) {
	got, ok := l.request(ctx, func(t effect.Token) effect.Event { return effect.StatusRequested{Token: t} })
	if !ok {
		return nil, false
	}
	return got.(*message.StatusReply), true
}

// Report sends a report of the local target to the loop and returns the outcome. The core may delay its answer until the
// platform has stored the new state of the target.
func (l *Loop) Report(ctx context.Context, report model.TargetReport) model.Outcome {
	got, ok := l.request(ctx, func(t effect.Token) effect.Event { return effect.TargetReported{Token: t, Report: report} })
	if !ok {
		return model.Refused(model.OutcomeUnknown, "", "the daemon did not answer in time")
	}
	return got.(model.Outcome)
}

// AskQuota asks the owner of a tenant for tokens. The reply is nil if the owner has not answered; share is then the number of
// requests that this daemon may execute in a window without it. It returns false if ctx ended first.
func (l *Loop) AskQuota(ctx context.Context, q message.QuotaRequest) (reply *message.QuotaReply, share int, ok bool) {
	got, ok := l.request(ctx, func(t effect.Token) effect.Event { return effect.QuotaAsked{Token: t, Request: q} })
	if !ok {
		return nil, 0, false
	}
	answer := got.(effect.ReturnQuota)
	return answer.Reply, answer.Share, true
}

// ObserveTarget sends the outcomes of the local target's calls to the loop. It never blocks: it returns false if they were
// dropped.
func (l *Loop) ObserveTarget(ev effect.TargetOutcomesObserved) bool { return l.offer(ev) }

// ObserveTargetLeaving sends the run of the local target that is leaving to the loop. It never blocks: it returns false if the
// event was dropped.
func (l *Loop) ObserveTargetLeaving(instance model.InstanceID, born int64) bool {
	return l.offer(effect.TargetLeaving{Instance: instance, Born: born})
}

// offer sends an event to the loop unless its queue is full.
func (l *Loop) offer(ev effect.Event) bool {
	select {
	case l.inputs <- input{event: func(effect.Token) effect.Event { return ev }}:
		return true
	default:
		return false
	}
}

// NotifyStopping notifies the loop that the daemon is about to stop.
func (l *Loop) NotifyStopping(ctx context.Context) { l.post(ctx, effect.Stopping{}) }

// NotifySeedsChanged replaces the peers that are asked for the configuration while the platform cannot be read.
func (l *Loop) NotifySeedsChanged(ctx context.Context, seeds []string) {
	l.post(ctx, effect.SeedsChanged{Seeds: seeds})
}

// NotifyTargetChanged notifies the loop of the state of the local target.
func (l *Loop) NotifyTargetChanged(ctx context.Context, state model.TargetState) {
	l.post(ctx, effect.TargetChanged{State: state})
}

// request posts an event and waits for its answer. It returns false if ctx ended first.
func (l *Loop) request(ctx context.Context, event func(effect.Token) effect.Event) (any, bool) {
	in := input{event: event, answer: make(chan any, 1)}
	select {
	case l.inputs <- in:
	case <-ctx.Done():
		return nil, false
	}
	select {
	case got := <-in.answer:
		return got, true
	case <-ctx.Done():
		return nil, false
	}
}

// post queues an event that has no answer. It waits for space in the queue until ctx ends.
func (l *Loop) post(ctx context.Context, ev effect.Event) {
	select {
	case l.inputs <- input{event: func(effect.Token) effect.Event { return ev }}:
	case <-ctx.Done():
	}
}

// Run handles events until ctx ends, then waits for the workers.
func (l *Loop) Run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer l.workers.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.inputs:
			l.handleInput(ctx, in)
		case sums := <-l.outcomes:
			l.handleEvent(ctx, effect.OutcomesObserved{Sums: sums})
		case <-timer.C:
			l.handleEvent(ctx, effect.Wake{})
		}
		if next := l.core.NextWake(); !next.IsZero() {
			timer.Reset(max(minWakeInterval, time.Until(next)))
		}
	}
}

func (l *Loop) handleInput(ctx context.Context, in input) {
	var token effect.Token
	if in.answer != nil {
		l.lastToken++
		token = l.lastToken
		l.pendingAnswers[token] = in.answer
	}
	l.handleEvent(ctx, in.event(token))
}

func (l *Loop) handleEvent(ctx context.Context, ev effect.Event) {
	for _, e := range l.core.Handle(time.Now(), ev) {
		l.perform(ctx, e)
	}
}
