// Package once runs the state machine of internal/command/claims: it owns the goroutine that holds the claims of a
// daemon, performs their platform calls and answers the call path.
package once

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/claims"
	"sniperail.example/sniperail/internal/store"
)

// eventBuffer lets reports pass while the loop handles another event.
const eventBuffer = 256

// Config configures a Guard.
type Config struct {
	Claims claims.Config
	// Count adds one to a counter of the given reason; nil counts nothing.
	Count func(reason string)
	// NewID returns a text that no other call in any process returns; nil uses 128 random bits.
	NewID func() string
}

// Guard lets each identity run at most once. It is safe for concurrent use.
type Guard struct {
	store   store.Store
	config  Config
	events  chan message
	stopped chan struct{}
	cancel  context.CancelFunc
}

// message is an event, with the channel for the decision of a Begin.
type message struct {
	event claims.Event
	reply chan claims.Decision
	// drained is closed when nothing waits to be written.
	drained chan struct{}
	// cancels is the reply channel of the Begin whose caller gave up.
	cancels chan claims.Decision
}

// NewGuard starts a guard, or returns an error that names every invalid field.
func NewGuard(s store.Store, config Config) (*Guard, error) {
	if problems := config.Claims.Check(); len(problems) > 0 {
		return nil, errors.Errorf("claims: %v", problems)
	}
	if config.Count == nil {
		config.Count = func(string) {}
	}
	if config.NewID == nil {
		config.NewID = rand.Text
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Guard{
		store: s, config: config, events: make(chan message, eventBuffer), stopped: make(chan struct{}), cancel: cancel,
	}
	go g.run(ctx)
	return g, nil
}

// Begin claims an identity for a request that may run until the deadline. Only a decision of kind claims.Run allows the
// request to be dispatched, and only until the claim's deadline; the caller then reports Finish, Release or Lose. Begin
// returns claims.Refused when ctx ends.
func (g *Guard) Begin(ctx context.Context, identity string, deadline time.Time) claims.Decision {
	decision := g.begin(ctx, identity, deadline)
	g.config.Count(fmt.Sprintf("decision-%s %s", decision.Kind, decision.Reason))
	return decision
}

func (g *Guard) begin(ctx context.Context, identity string, deadline time.Time) claims.Decision {
	if ctx.Err() != nil {
		return claims.Decision{Kind: claims.Refused, Reason: claims.ReasonCancelled}
	}
	reply := make(chan claims.Decision, 1)
	event := claims.Begin{Key: claims.Key(identity), ID: g.config.NewID(), Deadline: deadline}
	select {
	case g.events <- message{event: event, reply: reply}:
	case <-ctx.Done():
		return claims.Decision{Kind: claims.Refused, Reason: claims.ReasonCancelled}
	case <-g.stopped:
		return claims.Decision{Kind: claims.Refused, Reason: claims.ReasonStopped}
	}
	select {
	case decision := <-reply:
		return decision
	case <-ctx.Done():
		// The decision may be Run already; the loop then releases the claim, because nothing was dispatched.
		g.send(context.WithoutCancel(ctx), message{cancels: reply})
		return claims.Decision{Kind: claims.Refused, Reason: claims.ReasonCancelled}
	case <-g.stopped:
		return claims.Decision{Kind: claims.Refused, Reason: claims.ReasonStopped}
	}
}

// Finish reports the complete answer of a request that ran. It returns before the answer is stored.
func (g *Guard) Finish(ctx context.Context, claim claims.Claim, answer claims.Response) {
	g.send(ctx, message{event: claims.Finish{Claim: claim, Response: answer}})
}

// Release reports that the request was surely not executed and is not going to be under this claim.
func (g *Guard) Release(ctx context.Context, claim claims.Claim) {
	g.send(ctx, message{event: claims.Release{Claim: claim}})
}

// ReportLost reports that the request was dispatched and that its outcome is unknown.
func (g *Guard) ReportLost(ctx context.Context, claim claims.Claim) {
	g.send(ctx, message{event: claims.Lose{Claim: claim}})
}

// send passes a message to the loop. A report that ctx or the end of the guard prevents leaves the claim as running,
// which repeats see as unknown after its deadline.
func (g *Guard) send(ctx context.Context, m message) {
	select {
	case g.events <- m:
	case <-ctx.Done():
		g.config.Count("report-dropped")
	case <-g.stopped:
		g.config.Count("report-dropped")
	}
}

// Close stores the reported answers until ctx ends and stops the guard. Callers that still wait are refused.
func (g *Guard) Close(ctx context.Context) {
	drained := make(chan struct{})
	g.send(ctx, message{drained: drained})
	select {
	case <-drained:
	case <-ctx.Done():
	case <-g.stopped:
	}
	g.cancel()
	<-g.stopped
}
