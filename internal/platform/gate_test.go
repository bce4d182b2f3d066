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

// counted returns the calls with one outcome.
type counted map[store.Outcome]int

// gated returns a stand-in behind a gate with a burst of 8 and full-length pauses, on a fake clock.
func gated(t *testing.T) (*standin.Service, *platform.Gate, counted, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	service, counts := standin.Start(ctx, standin.Limits{}), counted{}
	var mu sync.Mutex
	gate, err := platform.NewGate(service.Store(), platform.GateConfig{
		WritesPerSecond: 2, WriteBurst: 8, ReadsPerSecond: 2, ReadBurst: 8,
		BackoffBase: 100 * time.Millisecond, BackoffMax: time.Second,
		Count: func(_ store.Kind, _ string, outcome store.Outcome) {
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

// advance waits on the fake clock.
func advance(d time.Duration) { <-time.After(d) }

func with(priority store.Priority) store.Call {
	return store.Call{Kind: store.KindGet, Key: "a", Priority: priority, Reason: "test"}
}

// Guards against reports that use up the rate that claims and leases need.
func TestGateShedsLeastImportantFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, gate, counts, ctx := gated(t)
		passed := func(priority store.Priority) int {
			n := 0
			for gate.Do(ctx, with(priority)).Outcome == store.Applied {
				n++
			}
			return n
		}
		is.Equal(passed(store.PriorityReport), 4) // reports leave half of the burst
		is.Equal(passed(store.PriorityRead), 1)
		is.Equal(passed(store.PriorityCommand), 1)
		is.Equal(passed(store.PriorityClaim), 2) // claims may use the rest
		began := time.Now()
		is.Equal(gate.Do(ctx, with(store.PriorityLease)).Outcome, store.Applied)
		is.Equal(time.Since(began), 500*time.Millisecond) // a lease call waits for the next token
		is.Equal(counts, counted{store.Applied: 9, store.Shed: 4})
		is.Equal(service.Counts().Calls[store.KindGet], int64(9)) // shed calls do not reach the service
	})
}

// Guards against daemons that repeat calls in step while the service is down.
func TestGatePausesAfterUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, gate, _, ctx := gated(t)
		service.SetFaults(standin.Faults{Down: ptr(standin.DownRefuse)})
		for _, limit := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
			is.Equal(gate.Do(ctx, with(store.PriorityClaim)).Outcome, store.Unavailable)
			advance(limit*time.Millisecond - 1)
			is.Equal(gate.Do(ctx, with(store.PriorityLease)).Outcome, store.Shed)
			advance(1)
		}
		service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
		is.Equal(gate.Do(ctx, with(store.PriorityClaim)).Outcome, store.Applied)
		is.Equal(gate.Do(ctx, with(store.PriorityClaim)).Outcome, store.Applied) // the pause has ended
	})
}

// Guards against a lost answer that blocks the read by which the caller reconciles it.
func TestGateDoesNotPauseAfterUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, gate, _, ctx := gated(t)
		service.SetFaults(standin.Faults{LoseAnswers: ptr(1)})
		write := create("a", "1")
		write.Priority = store.PriorityClaim
		is.Equal(gate.Do(ctx, write).Outcome, store.Unknown)
		is.Equal(len(gate.Do(ctx, with(store.PriorityClaim)).Entries), 1)
	})
}

// Guards against a caller's own timeout that stops the calls of the whole daemon.
func TestGateDoesNotPauseAfterCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, gate, _, ctx := gated(t)
		service.SetFaults(standin.Faults{SlowMS: ptr(50)})
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		is.Equal(gate.Do(short, with(store.PriorityClaim)).Outcome, store.Unavailable)
		is.Equal(gate.Do(ctx, with(store.PriorityClaim)).Outcome, store.Applied)
	})
}

// Guards against watchers that return at once, again and again, to a service that ends watches.
func TestGateSpacesFailingWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, gate, _, ctx := gated(t)
		service.SetFaults(standin.Faults{Down: ptr(standin.DownRefuse)})
		began := time.Now()
		for range 3 {
			is.Equal(<-gate.Watch(ctx, "a", 0), store.WatchEvent{Lost: true})
		}
		is.Equal(time.Since(began), 300*time.Millisecond) // pauses of 100 and 200 ms
		service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
		events := gate.Watch(ctx, "a", 0)
		is.Equal(gate.Do(ctx, store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{{Key: "a"}}}}).Outcome, store.Applied)
		is.Equal((<-events).Entry.Key, "a")
	})
}

// Guards against counts that do not reach the metrics endpoint.
func TestGateCountsIntoMetrics(t *testing.T) {
	is := is.New(t)
	metrics, err := telemetry.NewMetrics("test")
	is.NoErr(err)
	count := platform.CountInto(metrics.CounterSet("platform_calls", "Calls to the platform."))
	count(store.KindGet, "test", store.Applied)
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(recorder.Body.String(), `platform_calls_total{reason="get test applied"} 1`))
	is.NoErr(metrics.Shutdown(context.Background()))
	_, err = platform.NewGate(nil, platform.GateConfig{})
	is.True(err != nil) // invalid settings are refused
}
