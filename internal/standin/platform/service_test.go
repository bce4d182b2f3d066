package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sniperail.example/sniperail/internal/platform/wire"
	"sniperail.example/sniperail/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start starts a service that ends with the test.
func start(t testing.TB, limits Limits) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	service := Start(ctx, limits)
	t.Cleanup(func() {
		cancel()
		<-service.Stopped()
	})
	return service
}

// post sends a body to the handler. A connection that the handler drops gives status 0.
func post(ctx context.Context, handler http.Handler, path, body string) (status int, response string) {
	defer func() {
		if r := recover(); r != nil && r != http.ErrAbortHandler {
			panic(r)
		}
	}()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}

// Guards against leases that outlive their TTL, or that expire although they were renewed.
func TestLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, s := t.Context(), start(t, Limits{}).Store()
		lease := s.Do(ctx, store.Call{Kind: store.KindGrant, TTL: 5 * time.Second}).Lease
		put := store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{{Key: "a", Lease: lease}}}}
		is.Equal(s.Do(ctx, put).Outcome, store.Applied)
		events := s.Watch(ctx, "a", 2)
		<-time.After(3 * time.Second)
		is.Equal(s.Do(ctx, store.Call{Kind: store.KindKeepAlive, Lease: lease}).Outcome, store.Applied)
		began := time.Now()
		is.True((<-events).Deleted)
		is.Equal(time.Since(began), 5*time.Second)
		is.Equal(s.Do(ctx, put).Outcome, store.NotFound)
	})
}

// Guards against limits that admit too many calls, and against a refused call that is counted as served.
func TestLimitsRefuseExcessCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := start(t, Limits{WritesPerSecond: 2, ReadsPerSecond: 3})
		ctx, s := t.Context(), service.Store()
		served := func(call store.Call) int {
			n := 0
			for range 5 {
				if s.Do(ctx, call).Outcome == store.Applied {
					n++
				}
			}
			return n
		}
		is.Equal(served(store.Call{Kind: store.KindGrant, TTL: time.Second}), 2)
		is.Equal(served(store.Call{Kind: store.KindGet, Key: "a"}), 3)
		counts := service.Counts()
		is.Equal(counts.Refused, int64(5))
		is.Equal(counts.Leases, 2)
		is.Equal([]int64{counts.PeakWrites, counts.PeakReads}, []int64{5, 5})
		<-time.After(time.Second)
		is.Equal(served(store.Call{Kind: store.KindGet, Key: "a"}), 3)
	})
}

// Guards against a watch that silently misses changes: a watch that starts at a compacted revision is refused, and one that
// is too slow ends.
func TestWatchEndsInsteadOfMissingChanges(t *testing.T) {
	is := is.New(t)
	s := newState()
	put := func() {
		s.txn(wire.TxnRequest{Success: []wire.Operation{{Put: &wire.PutRequest{Key: []byte("a")}}}})
	}
	slow, ok := s.startWatch(wire.WatchCreate{Key: []byte("a")})
	is.True(ok)
	for range maxHistory + 5 {
		put()
	}
	is.Equal(len(s.watchers), 0)
	is.Equal(len(slow.events), maxPendingBatches)
	_, ok = s.startWatch(wire.WatchCreate{Key: []byte("a"), StartRevision: 6})
	is.True(!ok) // compacted
	w, ok := s.startWatch(wire.WatchCreate{Key: []byte("a"), StartRevision: wire.Int64(s.revision)})
	is.True(ok)
	is.Equal(len(<-w.events), 1)
}

// Guards against requests outside the supported subset of the API that succeed without being executed.
func TestUnsupportedRequestsAreRefused(t *testing.T) {
	handler := start(t, Limits{}).Handler()
	for _, test := range []struct{ path, body string }{
		{wire.PathTxn, `{"compare":[{"result":"GREATER","target":"MOD","key":"YQ=="}]}`},
		{wire.PathTxn, `{"success":[{"request_put":{"key":"YQ=="}},{"request_delete_range":{"key":"YQ=="}}]}`},
		{wire.PathTxn, `{"success":[{"request_put":{}}]}`},
		{wire.PathTxn, `{"success":[` + strings.Repeat(`{},`, maxOperations) + `{}]}`},
		{wire.PathGrant, `{"TTL":"0"}`},
		{wire.PathWatch, `{}`},
		{wire.PathRange, `{"key":`},
		{"/standin/faults", `{"down":"sideways"}`},
		{"/standin/faults", `{"slow_ms":-1}`},
	} {
		is := is.New(t)
		status, _ := post(t.Context(), handler, test.path, test.body)
		is.Equal(status, http.StatusBadRequest) // the request is refused
	}
}

// Guards against a malformed request that crashes the stand-in or makes its revision decrease.
func FuzzHandler(f *testing.F) {
	paths := []string{
		wire.PathRange, wire.PathTxn, wire.PathGrant, wire.PathKeepAlive, wire.PathRevoke, wire.PathWatch, "/standin/faults",
	}
	f.Add(0, `{"key":"YQ==","range_end":"AA==","limit":"1"}`)
	f.Add(1, `{"compare":[{"result":"EQUAL","target":"CREATE","key":"YQ=="}],"success":[{"request_put":{"key":"YQ==","lease":"1"}}]}`)
	f.Add(2, `{"TTL":"5"}`)
	f.Add(5, `{"create_request":{"key":"YQ==","start_revision":"1"}}`)
	f.Add(6, `{"lose_answers":1,"lapse_key":"a"}`)
	service := start(f, Limits{})
	handler := service.Handler()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	f.Fuzz(func(t *testing.T, path int, body string) {
		before := service.Counts().Revision
		post(ended, handler, paths[uint(path)%uint(len(paths))], body)
		none := 0
		service.SetFaults(Faults{SlowMS: &none})
		if after := service.Counts().Revision; after < before {
			t.Fatalf("revision fell from %d to %d", before, after)
		}
	})
}
