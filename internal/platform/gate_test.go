package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/platform"
	standin "sniperail.example/sniperail/internal/standin/platform"
	"sniperail.example/sniperail/internal/store"
	"sniperail.example/sniperail/internal/telemetry"
)

// outcomeCounts is the number of calls by outcome.
type outcomeCounts map[store.Outcome]int

// startGate returns a stand-in behind a gate with a burst of 8 and without jitter in its pauses. The clock is synctest's.
func startGate(t *testing.T) (*standin.Service, *platform.Gate, outcomeCounts, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	service, counts := standin.Start(ctx, standin.Limits{}), outcomeCounts{}
	var mu sync.Mutex
	gate, err := platform.NewGate(service.Store(), platform.GateConfig{
		WritesPerSecond: 2, WriteBurst: 8, ReadsPerSecond: 2, ReadBurst: 8,
		BackoffBase: 100 * time.Millisecond, BackoffMax: time.Second,
		RecordCall: func(_ store.Kind, _ string, outcome store.Outcome) {
			mu.Lock()
			defer mu.Unlock()
			counts[outcome]++
		},
		Random: func(n int64) int64 { return n - 1 },
	})
	if err != nil {
		t.Fatal(err)
	}
	return service, gate, counts, ctx
}

// advanceClock advances the fake clock.
func advanceClock(d time.Duration) { <-time.After(d) }

func getWithPriority(priority store.Priority) store.Call {
	return store.Call{Kind: store.KindGet, Key: "a", Priority: priority, Reason: "test"}
}

// Guards against reports that use the part of the rate that claims and leases need.
func TestGateShedsLeastImportantFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, gate, counts, ctx := startGate(t)
		countApplied := func(priority store.Priority) int {
			n := 0
			for gate.Do(ctx, getWithPriority(priority)).Outcome == store.Applied {
				n++
			}
			return n
		}
		is.Equal(countApplied(store.PriorityReport), 4) // reports leave half of the burst
		is.Equal(countApplied(store.PriorityRead), 1)
		is.Equal(countApplied(store.PriorityCommand), 1)
		is.Equal(countApplied(store.PriorityClaim), 2) // claims may use the rest
		start := time.Now()
		is.Equal(gate.Do(ctx, getWithPriority(store.PriorityLease)).Outcome, store.Applied)
		is.Equal(time.Since(start), 500*time.Millisecond) // a lease call waits for the next token
		is.Equal(counts, outcomeCounts{store.Applied: 9, store.Shed: 4})
		is.Equal(service.Counts().Calls[store.KindGet], int64(9)) // shed calls do not reach the service
	})
}

// Guards against calls without growing pauses while the service is down: daemons would retry in lockstep.
func TestGatePausesAfterUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, gate, _, ctx := startGate(t)
		service.SetFaults(standin.Faults{Down: ptr(standin.DownRefuse)})
		for _, pause := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
			is.Equal(gate.Do(ctx, getWithPriority(store.PriorityClaim)).Outcome, store.Unavailable)
			advanceClock(pause*time.Millisecond - 1)
			is.Equal(gate.Do(ctx, getWithPriority(store.PriorityLease)).Outcome, store.Shed)
			advanceClock(1)
		}
		service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
		is.Equal(gate.Do(ctx, getWithPriority(store.PriorityClaim)).Outcome, store.Applied)
		is.Equal(gate.Do(ctx, getWithPriority(store.PriorityClaim)).Outcome, store.Applied) // the pause has ended
	})
}

// Guards against a pause after a lost response, which would block the read that reconciles the write.
func TestGateDoesNotPauseAfterUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, gate, _, ctx := startGate(t)
		service.SetFaults(standin.Faults{LoseAnswers: ptr(1)})
		write := create("a", "1")
		write.Priority = store.PriorityClaim
		is.Equal(gate.Do(ctx, write).Outcome, store.Unknown)
		is.Equal(len(gate.Do(ctx, getWithPriority(store.PriorityClaim)).Entries), 1)
	})
}

// Guards against one caller's timeout that pauses all calls of the daemon.
func TestGateDoesNotPauseAfterCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, gate, _, ctx := startGate(t)
		service.SetFaults(standin.Faults{SlowMS: ptr(50)})
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		is.Equal(gate.Do(short, getWithPriority(store.PriorityClaim)).Outcome, store.Unavailable)
		is.Equal(gate.Do(ctx, getWithPriority(store.PriorityClaim)).Outcome, store.Applied)
	})
}

// Guards against watches that are reopened in a tight loop on a service that ends them.
func TestGateBacksOffFailingWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, gate, _, ctx := startGate(t)
		service.SetFaults(standin.Faults{Down: ptr(standin.DownRefuse)})
		start := time.Now()
		for range 3 {
			is.Equal(<-gate.Watch(ctx, "a", 0), store.WatchEvent{Lost: true})
		}
		is.Equal(time.Since(start), 300*time.Millisecond) // pauses of 100 and 200 ms
		service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
		events := gate.Watch(ctx, "a", 0)
		is.Equal(gate.Do(ctx, store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{{Key: "a"}}}}).Outcome, store.Applied)
		is.Equal((<-events).Entry.Key, "a")
	})
}

// Guards against calls that are not counted at the metrics endpoint, and against a gate with invalid settings.
func TestCallsAreCountedInMetrics(t *testing.T) {
	is := is.New(t)
	metrics, err := telemetry.NewMetrics("test")
	is.NoErr(err)
	count := platform.CallRecorder(metrics.CounterSet("platform_calls", "Calls to the platform."))
	count(store.KindGet, "test", store.Applied)
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(recorder.Body.String(), `platform_calls_total{reason="get test applied"} 1`))
	is.NoErr(metrics.Shutdown(context.Background()))
	_, err = platform.NewGate(nil, platform.GateConfig{})
	is.True(err != nil) // invalid settings are refused
}
