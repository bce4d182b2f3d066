// Package once runs the state machine of internal/command/claims. A goroutine holds the claims of a daemon, a worker
// performs the calls to the platform, and the call path uses a Guard.
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

// eventBuffer is the capacity of the event channel, so that reports do not block while the loop handles another event.
const eventBuffer = 256

// Config configures a Guard.
type Config struct {
	Claims claims.Config
	// Count increments the counter of the given reason; nil counts nothing.
	Count func(reason string)
	// NewID returns an ID that is unique across all processes; nil uses 128 random bits.
	NewID func() string
}

// Guard ensures that each identity runs at most once. It is safe for concurrent use.
type Guard struct {
	store   store.Store
	config  Config
	events  chan message
	stopped chan struct{}
	cancel  context.CancelFunc
}

// message is a request to the loop: an event, a drain or the cancellation of a Begin.
type message struct {
	event claims.Event
	// reply receives the decision of a Begin.
	reply chan claims.Decision
	// drained is closed when no claim is waiting to be written.
	drained chan struct{}
	// abandonedReply is the reply channel of a Begin whose caller is gone.
	abandonedReply chan claims.Decision
}

// NewGuard starts a guard. It returns an error that names every invalid field of the configuration.
func NewGuard(s store.Store, config Config) (*Guard, error) {
	if problems := config.Claims.Validate(); len(problems) > 0 {
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

// Begin claims an identity for a request that may run until the deadline. The request may be dispatched only after a
// decision of kind claims.Run and before the claim's deadline; the caller then calls Finish, Release or ReportLost. Begin
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
		// The decision may already be Run. The loop then releases the claim, because nothing was dispatched.
		g.send(context.WithoutCancel(ctx), message{abandonedReply: reply})
		return claims.Decision{Kind: claims.Refused, Reason: claims.ReasonCancelled}
	case <-g.stopped:
		return claims.Decision{Kind: claims.Refused, Reason: claims.ReasonStopped}
	}
}

// Finish reports the complete response of a request that ran. It returns before the response is stored.
func (g *Guard) Finish(ctx context.Context, claim claims.Claim, response claims.Response) {
	g.send(ctx, message{event: claims.Finish{Claim: claim, Response: response}})
}

// Release reports that the request was certainly not executed and will not be executed under this claim.
func (g *Guard) Release(ctx context.Context, claim claims.Claim) {
	g.send(ctx, message{event: claims.Release{Claim: claim}})
}

// ReportLost reports that the request was dispatched and that its outcome is unknown.
func (g *Guard) ReportLost(ctx context.Context, claim claims.Claim) {
	g.send(ctx, message{event: claims.ReportLost{Claim: claim}})
}

// send sends a message to the loop. If a report cannot be sent before ctx or the guard ends, the claim stays in phase
// Running, and repeated submissions get OutcomeUnknown after its deadline.
func (g *Guard) send(ctx context.Context, m message) {
	select {
	case g.events <- m:
	case <-ctx.Done():
		g.config.Count("report-dropped")
	case <-g.stopped:
		g.config.Count("report-dropped")
	}
}

// Close waits until all reported responses are stored or ctx ends, and stops the guard. Waiting callers are refused.
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
