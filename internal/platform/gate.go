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

// KindWatch is the kind of watches in the call counter. The service counts an open watch as one read.
const KindWatch store.Kind = "watch"

// reasonWatch is the reason of watches in the call counter, because Watch takes no reason.
const reasonWatch = "watch"

// GateConfig configures a Gate.
type GateConfig struct {
	// WritesPerSecond and ReadsPerSecond limit the mean rates; WriteBurst and ReadBurst limit the calls sent at once.
	WritesPerSecond, ReadsPerSecond float64
	WriteBurst, ReadBurst           int
	// BackoffBase and BackoffMax bound the pause after an Unavailable call. The pause is a random time between 0 and a
	// limit, which is BackoffBase at first, doubles with each consecutive failure and is at most BackoffMax.
	BackoffBase, BackoffMax time.Duration
	// RecordCall is called for each call with its outcome, and for each watch when it is opened.
	RecordCall func(kind store.Kind, reason string, outcome store.Outcome)
	// Random returns a number in [0, n). Nil uses the global source.
	Random func(n int64) int64
}

// DefaultGateConfig returns limits for one daemon. They are enough for a leader's leases and for 320 claims per second in
// batches of 32. They do not protect the platform from the whole fleet: 1,300 daemons at these rates exceed its budget, so
// the code that makes calls when a daemon starts has to keep their number low.
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

// CallRecorder returns a GateConfig.RecordCall that increments the counter labelled "kind reason outcome".
func CallRecorder(set *telemetry.CounterSet) func(store.Kind, string, store.Outcome) {
	return func(kind store.Kind, reason string, outcome store.Outcome) {
		set.Add(context.Background(), fmt.Sprintf("%s %s %s", kind, reason, outcome), 1)
	}
}

// Gate is a store.Store that limits the rate of all calls of one daemon and pauses them after failures. It is safe for
// concurrent use.
type Gate struct {
	store        store.Store
	config       GateConfig
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	callBackoff  backoff
	watchBackoff backoff
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
	if config.RecordCall == nil {
		config.RecordCall = func(store.Kind, string, store.Outcome) {}
	}
	return &Gate{
		store: s, config: config,
		writeLimiter: rate.NewLimiter(rate.Limit(config.WritesPerSecond), config.WriteBurst),
		readLimiter:  rate.NewLimiter(rate.Limit(config.ReadsPerSecond), config.ReadBurst),
	}, nil
}

// Do performs a call. The outcome is Shed if the daemon exceeds its rate or a pause after a failure is in force.
func (g *Gate) Do(ctx context.Context, call store.Call) store.Result {
	result := g.do(ctx, call)
	g.config.RecordCall(call.Kind, call.Reason, result.Outcome)
	return result
}

func (g *Gate) do(ctx context.Context, call store.Call) store.Result {
	start := time.Now()
	if wait := g.callBackoff.remaining(start); wait > 0 {
		return store.Result{Outcome: store.Shed, Detail: fmt.Sprintf("pause of %s after a failure", wait)}
	}
	if !g.admit(ctx, call) {
		return store.Result{Outcome: store.Shed, Detail: "over the rate of this daemon"}
	}
	result := g.store.Do(ctx, call)
	switch {
	case ctx.Err() != nil:
		// The caller cancelled the call, which says nothing about the service.
	case result.Outcome == store.Unavailable:
		g.callBackoff.recordFailure(start, time.Now(), g.config)
	case result.Outcome != store.Unknown:
		// An unknown outcome starts no pause, because the caller's next call is the read that reconciles it.
		g.callBackoff.recordSuccess()
	}
	return result
}

// admit takes a token and reports whether the call may be sent. Each priority leaves a part of the burst to the more
// important priorities, so that the least important calls are shed first. Lease and withdrawal calls wait for a token
// instead of being shed.
func (g *Gate) admit(ctx context.Context, call store.Call) bool {
	limiter := g.readLimiter
	if call.Kind.IsWrite() {
		limiter = g.writeLimiter
	}
	if call.Priority <= store.PriorityWithdraw {
		return limiter.Wait(ctx) == nil
	}
	return limiter.Tokens() >= 1+reservedTokens(call.Priority, limiter.Burst()) && limiter.Allow()
}

// reservedTokens returns the number of tokens that a priority leaves to the more important ones. It rises from 0 for claims,
// on which callers wait, to half of the burst for reports.
func reservedTokens(priority store.Priority, burst int) float64 {
	steps := float64(store.PriorityReport - store.PriorityClaim)
	return float64(burst) / 2 * float64(priority-store.PriorityClaim) / steps
}

// Watch opens a watch when the rate limit allows it and no pause is in force. A watch that is lost within BackoffMax counts
// as a failure, so that watches on a failing service are reopened after growing random pauses.
func (g *Gate) Watch(ctx context.Context, key string, after int64) <-chan store.WatchEvent {
	events := make(chan store.WatchEvent)
	go func() {
		defer close(events)
		if !process.Wait(ctx, g.watchBackoff.remaining(time.Now())) || g.readLimiter.Wait(ctx) != nil {
			g.config.RecordCall(KindWatch, reasonWatch, store.Shed)
			return
		}
		g.config.RecordCall(KindWatch, reasonWatch, store.Applied)
		start := time.Now()
		for event := range g.store.Watch(ctx, key, after) {
			if event.Lost && time.Since(start) < g.config.BackoffMax {
				g.watchBackoff.recordFailure(start, time.Now(), g.config)
			} else {
				g.watchBackoff.recordSuccess()
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
