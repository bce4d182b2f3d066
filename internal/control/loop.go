// Package control drives the pure control core of a daemon. One goroutine, locked to its own operating system thread,
// owns all control state; workers do the I/O and come back as events; traffic goroutines read the published table.
package control

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/store"
)

// Core decides: events in, effects out. It does no I/O and is called by one goroutine only.
type Core interface {
	Handle(now time.Time, ev effect.Event) []effect.Effect
	// NextWake returns when the core wants an effect.Wake; the zero time means never.
	NextWake() time.Time
}

// Peers sends messages to other daemons. A nil reply means that there was no answer in time.
type Peers interface {
	Call(ctx context.Context, address string, body message.Request) message.Reply
}

// Counters counts effect.Count by counter name and reason.
type Counters interface {
	Add(counter, reason string)
}

const (
	// eventBacklog bounds the events that wait for the loop. Workers block when it is full; traffic goroutines never do.
	eventBacklog = 1024
	// shortestWake bounds the wakes a second, so that a core which asks for one in the past does not take a whole core.
	shortestWake = 2 * time.Millisecond
	// storeTimeout bounds one call to the platform's service, which answers in milliseconds when it is well.
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
	observed chan []model.KeyedSum
	table    atomic.Pointer[routing.Table]
	workers  sync.WaitGroup
	// askTarget asks the target beside the daemon for its health.
	askTarget func(ctx context.Context, path string) model.InstanceID
	// published is called with each new view, on the loop goroutine.
	published func(*model.View)

	// The fields below belong to the loop goroutine.
	pending   map[effect.Token]chan any
	lastToken effect.Token
	watches   map[string]context.CancelFunc
}

// input is an event for the core, with the channel that takes its answer, if it has one.
type input struct {
	event  func(token effect.Token) effect.Event
	answer chan any
}

// NewLoop returns a loop that Run starts.
func NewLoop(core Core, peers Peers, s store.Store, logger *zap.Logger, counters Counters) *Loop {
	l := &Loop{
		core: core, peers: peers, store: s, logger: logger, counters: counters,
		inputs:   make(chan input, eventBacklog),
		observed: make(chan []model.KeyedSum, 16),
		pending:  map[effect.Token]chan any{},
		watches:  map[string]context.CancelFunc{},
	}
	l.table.Store(routing.NewTable(&model.View{Configuration: &model.Configuration{}}))
	return l
}

// OnPublish sets a function that takes each new view on the loop goroutine, before the effects that follow the view are
// performed. It must be set before Run and must not block.
func (l *Loop) OnPublish(take func(*model.View)) { l.published = take }

// OnAskTarget sets how the target beside the daemon is asked for its health. It must be set before Run.
func (l *Loop) OnAskTarget(ask func(ctx context.Context, path string) model.InstanceID) {
	l.askTarget = ask
}

// Table returns the published routing table. It never returns nil.
func (l *Loop) Table() *routing.Table { return l.table.Load() }

// Observe hands a batch of request outcomes to the loop. It never blocks: it returns false if the batch was dropped.
func (l *Loop) Observe(sums []model.KeyedSum) bool {
	select {
	case l.observed <- sums:
		return true
	default:
		return false
	}
}

// Handle answers a message of a peer. It returns false if ctx ended first.
func (l *Loop) Handle(ctx context.Context, body message.Request) (message.Reply, bool) {
	got, ok := l.ask(ctx, func(t effect.Token) effect.Event { return effect.RequestReceived{Token: t, Body: body} })
	if !ok {
		return nil, false
	}
	return got.(message.Reply), true
}

// Submit runs an operator's command and returns its outcome. If ctx ends first the outcome is unknown.
func (l *Loop) Submit(ctx context.Context, by string, command any) model.Outcome {
	got, ok := l.ask(ctx, func(t effect.Token) effect.Event {
		return effect.CommandSubmitted{Token: t, By: by, Command: command}
	})
	if !ok {
		return model.Refused(model.OutcomeUnknown, "", "the daemon did not answer in time; read the status before a repeat")
	}
	return got.(model.Outcome)
}

// Status returns the state of the daemon's data centre as this daemon knows it.
func (l *Loop) Status(ctx context.Context) (*message.StatusReply, bool) {
	got, ok := l.ask(ctx, func(t effect.Token) effect.Event { return effect.StatusRequested{Token: t} })
	if !ok {
		return nil, false
	}
	return got.(*message.StatusReply), true
}

// Report hands over what the target beside this daemon says of itself, and returns once its consequence is sure.
func (l *Loop) Report(ctx context.Context, report model.TargetReport) model.Outcome {
	got, ok := l.ask(ctx, func(t effect.Token) effect.Event { return effect.TargetReported{Token: t, Report: report} })
	if !ok {
		return model.Refused(model.OutcomeUnknown, "", "the daemon did not answer in time")
	}
	return got.(model.Outcome)
}

// ObserveTarget hands over the outcomes of the target's calls. It never blocks: it returns false if they were dropped.
func (l *Loop) ObserveTarget(ev effect.TargetOutcomesObserved) bool {
	select {
	case l.inputs <- input{event: func(effect.Token) effect.Event { return ev }}:
		return true
	default:
		return false
	}
}

// Stopping says that the daemon was asked to end.
func (l *Loop) Stopping(ctx context.Context) { l.post(ctx, effect.Stopping{}) }

// SeedsChanged replaces the peers that are asked while the platform cannot be read.
func (l *Loop) SeedsChanged(ctx context.Context, seeds []string) {
	l.post(ctx, effect.SeedsChanged{Seeds: seeds})
}

// TargetChanged reports the state of the target beside this daemon.
func (l *Loop) TargetChanged(ctx context.Context, state model.TargetState) {
	l.post(ctx, effect.TargetChanged{State: state})
}

func (l *Loop) ask(ctx context.Context, event func(effect.Token) effect.Event) (any, bool) {
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

func (l *Loop) post(ctx context.Context, ev effect.Event) {
	select {
	case l.inputs <- input{event: func(effect.Token) effect.Event { return ev }}:
	case <-ctx.Done():
	}
}

// Run owns the control state until ctx ends, then waits for the workers.
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
			l.handle(ctx, in)
		case sums := <-l.observed:
			l.step(ctx, effect.OutcomesObserved{Sums: sums})
		case <-timer.C:
			l.step(ctx, effect.Wake{})
		}
		if next := l.core.NextWake(); !next.IsZero() {
			timer.Reset(max(shortestWake, time.Until(next)))
		}
	}
}

func (l *Loop) handle(ctx context.Context, in input) {
	var token effect.Token
	if in.answer != nil {
		l.lastToken++
		token = l.lastToken
		l.pending[token] = in.answer
	}
	l.step(ctx, in.event(token))
}

func (l *Loop) step(ctx context.Context, ev effect.Event) {
	for _, e := range l.core.Handle(time.Now(), ev) {
		l.perform(ctx, e)
	}
}
