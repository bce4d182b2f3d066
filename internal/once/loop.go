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
	guard        *Guard
	state        *claims.State
	lastToken    claims.Token
	replyByToken map[claims.Token]chan claims.Decision
	// tokenByReply maps the reply channel of each Begin without a decision to its token.
	tokenByReply map[chan claims.Decision]claims.Token
	drained      []chan struct{}
	results      chan claims.Event
	calls        chan store.Call
}

// run owns the claims until ctx ends. A worker performs the calls to the platform, one at a time.
func (g *Guard) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(g.stopped)
	l := &loop{
		guard: g, state: claims.New(g.config.Claims), replyByToken: map[claims.Token]chan claims.Decision{},
		tokenByReply: map[chan claims.Decision]claims.Token{}, results: make(chan claims.Event), calls: make(chan store.Call, 1),
	}
	worker := make(chan struct{})
	go func() { defer close(worker); l.runCalls(ctx) }()
	defer func() { <-worker }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		if at, ok := l.state.NextWake(); ok {
			wait = max(0, time.Until(at))
		}
		timer.Reset(wait)
		select {
		case m := <-g.events:
			l.handleMessage(m)
		case event := <-l.results:
			l.handleEvent(event)
		case <-timer.C:
			l.handleEvent(claims.Wake{})
		case <-ctx.Done():
			return
		}
	}
}

// handleMessage converts a message from the call path to an event and handles it.
func (l *loop) handleMessage(m message) {
	switch {
	case m.drained != nil:
		l.drained = append(l.drained, m.drained)
		l.handleEvent(claims.Wake{})
	case m.abandonedReply != nil:
		select {
		case decision := <-m.abandonedReply:
			// The context of the Begin ended before it read the decision.
			if decision.Kind == claims.Run {
				l.handleEvent(claims.Release{Claim: decision.Claim})
			}
		default:
			if token, ok := l.tokenByReply[m.abandonedReply]; ok {
				delete(l.tokenByReply, m.abandonedReply)
				delete(l.replyByToken, token)
				l.handleEvent(claims.Cancel{Token: token})
			}
		}
	default:
		if begin, ok := m.event.(claims.Begin); ok {
			l.lastToken++
			begin.Token = l.lastToken
			l.replyByToken[begin.Token] = m.reply
			l.tokenByReply[m.reply] = begin.Token
			m.event = begin
		}
		l.handleEvent(m.event)
	}
}

// handleEvent applies an event to the state and performs the effects.
func (l *loop) handleEvent(event claims.Event) {
	for _, effect := range l.state.Handle(event, time.Now()) {
		switch e := effect.(type) {
		case claims.Decide:
			if reply := l.replyByToken[e.Token]; reply != nil {
				delete(l.replyByToken, e.Token)
				delete(l.tokenByReply, reply)
				reply <- e.Decision
			}
		case claims.Grant:
			l.calls <- store.Call{
				Kind: store.KindGrant, Priority: store.PriorityClaim, Reason: "claim-lease", TTL: e.TTL,
			}
		case claims.Write:
			l.submitBatch(e)
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

// submitBatch passes a batch of claims to the worker.
func (l *loop) submitBatch(e claims.Write) {
	txn, err := encodeBatch(e.Steps)
	if err != nil {
		// Records contain only strings, numbers and bytes, which can always be encoded.
		panic(err)
	}
	l.calls <- store.Call{Kind: store.KindTxn, Priority: store.PriorityClaim, Reason: "claims", Txn: txn}
}

// runCalls performs the calls to the platform and returns their results as events.
func (l *loop) runCalls(ctx context.Context) {
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
