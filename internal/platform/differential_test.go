package platform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	standin "sniperail.example/sniperail/internal/standin/platform"
	"sniperail.example/sniperail/internal/store"
	_ "sniperail.example/sniperail/internal/testseed"
)

// callGenerator generates calls with few keys, leases and revisions, so that conflicts and unknown leases are frequent.
func callGenerator() *rapid.Generator[store.Call] {
	return rapid.Custom(func(t *rapid.T) store.Call {
		key := rapid.SampledFrom([]string{"a", "ab", "b"})
		revision := rapid.Int64Range(0, 6)
		lease := store.LeaseID(rapid.IntRange(0, 3).Draw(t, "lease"))
		call := store.Call{
			Kind: rapid.SampledFrom([]store.Kind{
				store.KindGet, store.KindList, store.KindTxn, store.KindTxn, store.KindGrant, store.KindKeepAlive,
				store.KindRevoke,
			}).Draw(t, "kind"),
			Key: key.Draw(t, "key"), Limit: rapid.IntRange(0, 2).Draw(t, "limit"), Lease: lease,
			TTL: time.Duration(rapid.IntRange(1000, 9000).Draw(t, "ttl")) * time.Second,
		}
		for i, compared := range rapid.SliceOfNDistinct(key, 0, 2, rapid.ID).Draw(t, "compares") {
			call.Txn.Compares = append(call.Txn.Compares, store.Compare{
				Key: compared, UseCreate: i == 1, ModRevision: revision.Draw(t, "mod"), CreateRevision: revision.Draw(t, "create"),
			})
		}
		written := rapid.SliceOfNDistinct(key, 0, 3, rapid.ID).Draw(t, "writes")
		for i, k := range written {
			if i == 2 {
				call.Txn.Deletes = append(call.Txn.Deletes, k)
				continue
			}
			put := store.Put{Key: k, Value: []byte(fmt.Sprint(rapid.Byte().Draw(t, "value")))}
			if i == 0 {
				put.Lease = lease
			}
			call.Txn.Puts = append(call.Txn.Puts, put)
		}
		return call
	})
}

// Guards against an adapter or an HTTP layer of the stand-in that changes the meaning of a call: the same calls must have
// the same results with and without HTTP.
func TestAdapterMatchesDirectCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		remote, direct := standin.Start(ctx, standin.Limits{}), standin.Start(ctx, standin.Limits{})
		server := httptest.NewServer(remote.Handler())
		defer server.Close()
		client := mustClient(server.URL)
		defer client.Close()
		for _, call := range rapid.SliceOfN(callGenerator(), 1, 20).Draw(t, "calls") {
			got, want := client.Do(ctx, call), direct.Store().Do(ctx, call)
			ignore := cmpopts.IgnoreFields(store.Result{}, "Detail")
			if got.Outcome == store.NotFound {
				// Over HTTP, the response for a lease that has ended has no revision.
				ignore = cmpopts.IgnoreFields(store.Result{}, "Detail", "Revision", "Lease", "TTL")
			}
			if call.Kind == store.KindRevoke {
				ignore = cmpopts.IgnoreFields(store.Result{}, "Detail", "Revision", "Lease")
			}
			if diff := cmp.Diff(want, got, ignore, cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("%+v: direct -, adapter +\n%s", call, diff)
			}
		}
	})
}
