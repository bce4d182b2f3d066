package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"sniperail.example/sniperail/internal/process"
	"sniperail.example/sniperail/internal/store"
	"sniperail.example/sniperail/internal/telemetry"
)

// KindWatch labels watches in counts. The service counts a waiting watch as one read.
const KindWatch store.Kind = "watch"

// reasonWatch labels watches, which carry no reason of their own.
const reasonWatch = "watch"

// GateConfig configures a Gate.
type GateConfig struct {
	// WritesPerSecond and ReadsPerSecond bound the mean rates; WriteBurst and ReadBurst bound what is sent at once.
	WritesPerSecond, ReadsPerSecond float64
	WriteBurst, ReadBurst           int
	// BackoffBase and BackoffMax bound the pause after a call that the service could not take: a random time between 0
	// and BackoffBase doubled with each failure in a row, at most BackoffMax.
	BackoffBase, BackoffMax time.Duration
	// Count is called for each call with its outcome; watches count when they are opened.
	Count func(kind store.Kind, reason string, outcome store.Outcome)
	// Random returns a number in [0, n). Nil uses the global source.
	Random func(n int64) int64
}

// DefaultGateConfig returns limits for one daemon. They leave room for a leader's leases and for 320 claims a second in
// groups of 32. They do not bound the fleet: 1,300 daemons at these rates exceed the platform's budget, so the number of
// calls that a daemon makes when it starts is bounded by what it asks for.
func DefaultGateConfig() GateConfig {
	return GateConfig{
		WritesPerSecond: 10, WriteBurst: 10, ReadsPerSecond: 10, ReadBurst: 10,
		BackoffBase: 100 * time.Millisecond, BackoffMax: 2 * time.Second,
	}
}

// Check returns one error for each invalid field.
func (c GateConfig) Check() []error {
	var problems []error
	if c.WritesPerSecond <= 0 || c.ReadsPerSecond <= 0 {
		problems = append(problems, errors.New("rates: must be above 0"))
	}
	if c.WriteBurst < 1 || c.ReadBurst < 1 {
		problems = append(problems, errors.New("bursts: must be at least 1"))
	}
	if c.BackoffBase <= 0 || c.BackoffMax < c.BackoffBase {
		problems = append(problems, errors.New("backoff: base must be above 0 and at most the maximum"))
	}
	return problems
}

// CountInto returns a GateConfig.Count that adds to a counter under "kind reason outcome".
func CountInto(set *telemetry.CounterSet) func(store.Kind, string, store.Outcome) {
	return func(kind store.Kind, reason string, outcome store.Outcome) {
		set.Add(context.Background(), fmt.Sprintf("%s %s %s", kind, reason, outcome), 1)
	}
}

// Gate is a store.Store through which all calls of one daemon pass. It is safe for concurrent use.
type Gate struct {
	store   store.Store
	config  GateConfig
	writes  *rate.Limiter
	reads   *rate.Limiter
	calls   pause
	watches pause
}

var _ store.Store = (*Gate)(nil)

// NewGate returns a gate in front of a store, or an error that names every invalid field.
func NewGate(s store.Store, config GateConfig) (*Gate, error) {
	if problems := config.Check(); len(problems) > 0 {
		return nil, errors.Errorf("platform gate: %v", problems)
	}
	if config.Random == nil {
		config.Random = rand.Int64N
	}
	if config.Count == nil {
		config.Count = func(store.Kind, string, store.Outcome) {}
	}
	return &Gate{
		store: s, config: config,
		writes: rate.NewLimiter(rate.Limit(config.WritesPerSecond), config.WriteBurst),
		reads:  rate.NewLimiter(rate.Limit(config.ReadsPerSecond), config.ReadBurst),
	}, nil
}

// Do performs a call, or answers Shed if the daemon is over its rate or pauses after a failure.
func (g *Gate) Do(ctx context.Context, call store.Call) store.Result {
	result := g.do(ctx, call)
	g.config.Count(call.Kind, call.Reason, result.Outcome)
	return result
}

func (g *Gate) do(ctx context.Context, call store.Call) store.Result {
	started := time.Now()
	if wait := g.calls.remaining(started); wait > 0 {
		return store.Result{Outcome: store.Shed, Detail: fmt.Sprintf("pause of %s after a failure", wait)}
	}
	if !g.admit(ctx, call) {
		return store.Result{Outcome: store.Shed, Detail: "over the rate of this daemon"}
	}
	result := g.store.Do(ctx, call)
	switch {
	case ctx.Err() != nil:
		// The caller gave up, which says nothing about the service.
	case result.Outcome == store.Unavailable:
		g.calls.failed(started, time.Now(), g.config)
	case result.Outcome != store.Unknown:
		// An unknown outcome does not start a pause, because the read that reconciles it has to pass.
		g.calls.succeeded()
	}
	return result
}

// admit takes a token. Each priority leaves a share of the burst to the more important ones, so that the least
// important calls are shed first. Lease and withdrawal calls wait for a token instead of being shed.
func (g *Gate) admit(ctx context.Context, call store.Call) bool {
	limiter := g.reads
	if call.Kind.IsWrite() {
		limiter = g.writes
	}
	if call.Priority <= store.PriorityWithdraw {
		return limiter.Wait(ctx) == nil
	}
	return limiter.Tokens() >= 1+reserve(call.Priority, limiter.Burst()) && limiter.Allow()
}

// reserve is the number of tokens that a priority leaves to the more important ones: nothing for claims, which are
// calls of callers, up to half of the burst for reports.
func reserve(priority store.Priority, burst int) float64 {
	steps := float64(store.PriorityReport - store.PriorityClaim)
	return float64(burst) / 2 * float64(priority-store.PriorityClaim) / steps
}

// Watch opens a watch when the daemon's rate allows it and no pause is in force. Watches that end without an event are
// failures, so that watchers of a failing service return after growing random pauses.
func (g *Gate) Watch(ctx context.Context, key string, after int64) <-chan store.WatchEvent {
	events := make(chan store.WatchEvent)
	go func() {
		defer close(events)
		if !process.Wait(ctx, g.watches.remaining(time.Now())) || g.reads.Wait(ctx) != nil {
			g.config.Count(KindWatch, reasonWatch, store.Shed)
			return
		}
		g.config.Count(KindWatch, reasonWatch, store.Applied)
		started := time.Now()
		for event := range g.store.Watch(ctx, key, after) {
			if event.Lost && time.Since(started) < g.config.BackoffMax {
				g.watches.failed(started, time.Now(), g.config)
			} else {
				g.watches.succeeded()
			}
			select {
			case events <- event:
			case <-ctx.Done():
				return
			}
		}
	}()
	return events
}
