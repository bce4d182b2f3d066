package once

import (
	"context"
	"runtime"
	"time"

	"sniperail.example/sniperail/internal/command/claims"
	"sniperail.example/sniperail/internal/store"
)

// loop is the state of the goroutine that owns the claims.
type loop struct {
	guard   *Guard
	state   *claims.State
	tokens  claims.Token
	replies map[claims.Token]chan claims.Decision
	// open maps the reply channel of a Begin that is not decided yet to its token.
	open    map[chan claims.Decision]claims.Token
	drained []chan struct{}
	results chan claims.Event
	calls   chan store.Call
}

// run owns the claims until ctx ends. A worker performs the platform calls, one at a time.
func (g *Guard) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(g.stopped)
	l := &loop{
		guard: g, state: claims.New(g.config.Claims), replies: map[claims.Token]chan claims.Decision{},
		open: map[chan claims.Decision]claims.Token{}, results: make(chan claims.Event), calls: make(chan store.Call, 1),
	}
	worker := make(chan struct{})
	go func() { defer close(worker); l.work(ctx) }()
	defer func() { <-worker }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		if at, ok := l.state.Next(); ok {
			wait = max(0, time.Until(at))
		}
		timer.Reset(wait)
		select {
		case m := <-g.events:
			l.receive(m)
		case event := <-l.results:
			l.handle(event)
		case <-timer.C:
			l.handle(claims.Wake{})
		case <-ctx.Done():
			return
		}
	}
}

// receive turns a message of the call path into an event.
func (l *loop) receive(m message) {
	switch {
	case m.drained != nil:
		l.drained = append(l.drained, m.drained)
		l.handle(claims.Wake{})
	case m.cancels != nil:
		select {
		case decision := <-m.cancels:
			// The Begin gave up before it read the decision.
			if decision.Kind == claims.Run {
				l.handle(claims.Release{Claim: decision.Claim})
			}
		default:
			if token, ok := l.open[m.cancels]; ok {
				delete(l.open, m.cancels)
				delete(l.replies, token)
				l.handle(claims.Cancel{Token: token})
			}
		}
	default:
		if begin, ok := m.event.(claims.Begin); ok {
			l.tokens++
			begin.Token = l.tokens
			l.replies[begin.Token] = m.reply
			l.open[m.reply] = begin.Token
			m.event = begin
		}
		l.handle(m.event)
	}
}

// handle applies an event and performs its effects.
func (l *loop) handle(event claims.Event) {
	for _, effect := range l.state.Handle(event, time.Now()) {
		switch e := effect.(type) {
		case claims.Decide:
			if reply := l.replies[e.Token]; reply != nil {
				delete(l.replies, e.Token)
				delete(l.open, reply)
				reply <- e.Decision
			}
		case claims.Grant:
			l.calls <- store.Call{
				Kind: store.KindGrant, Priority: store.PriorityClaim, Reason: "claim-lease", TTL: e.TTL,
			}
		case claims.Write:
			l.write(e)
		case claims.Count:
			l.guard.config.Count(e.Reason)
		}
	}
	if l.state.Idle() {
		for _, drained := range l.drained {
			close(drained)
		}
		l.drained = nil
	}
}

// write passes a group to the worker.
func (l *loop) write(e claims.Write) {
	txn, err := encodeSteps(e.Steps)
	if err != nil {
		// Records hold only texts, numbers and bytes, which always have a JSON form.
		panic(err)
	}
	l.calls <- store.Call{Kind: store.KindTxn, Priority: store.PriorityClaim, Reason: "claims", Txn: txn}
}

// work performs calls and returns their results as events.
func (l *loop) work(ctx context.Context) {
	for {
		select {
		case call := <-l.calls:
			result := l.guard.store.Do(ctx, call)
			event := claims.Event(decodeWritten(result))
			if call.Kind == store.KindGrant {
				event = claims.Granted{Outcome: result.Outcome, Lease: result.Lease, TTL: result.TTL}
			}
			select {
			case l.results <- event:
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
