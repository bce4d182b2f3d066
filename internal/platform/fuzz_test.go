package platform

import (
	"strings"
	"testing"

	"sniperail.example/sniperail/internal/store"
)

// Guards against a malformed body that crashes the adapter, or that is taken for a conflict or a renewal without the fields
// that prove it.
func FuzzDecodeResponse(f *testing.F) {
	f.Add(0, 200, []byte(`{"header":{"revision":"2"},"succeeded":true}`))
	f.Add(1, 200, []byte(`{"header":{"revision":2},"kvs":[{"key":"YQ==","mod_revision":"2"}]}`))
	f.Add(2, 200, []byte(`{"result":{"ID":"7","TTL":"5"}}`))
	f.Add(0, 503, []byte(`{"code":14,"message":"etcdserver: no leader"}`))
	f.Add(3, 200, []byte(`{"ID":"7","TTL":"5"}`))
	kinds := []store.Kind{store.KindTxn, store.KindGet, store.KindKeepAlive, store.KindGrant, store.KindList, store.KindRevoke}
	f.Fuzz(func(t *testing.T, kind, status int, body []byte) {
		call := store.Call{Kind: kinds[uint(kind)%uint(len(kinds))]}
		if result := decodeError(call, status, body); result.Outcome == store.Applied || result.Outcome == store.Conflict {
			t.Fatalf("error response decoded as outcome %s", result.Outcome)
		}
		result := decodeSuccess(call, body)
		if result.Outcome == store.Conflict && (call.Kind != store.KindTxn || result.Revision == 0) {
			t.Fatalf("conflict without proof: %+v", result)
		}
		if result.Outcome == store.Applied && call.Kind == store.KindKeepAlive && result.TTL <= 0 {
			t.Fatalf("renewal without lifetime: %+v", result)
		}
	})
}

// Guards against a malformed watch stream that crashes the adapter or never ends.
func FuzzWatchStream(f *testing.F) {
	f.Add(`{"result":{"created":true}}{"result":{"events":[{"type":"DELETE","kv":{"key":"YQ=="}}]}}`)
	f.Add(`{"error":{"code":11}}`)
	f.Add(`{"result":{"canceled":true}}`)
	f.Fuzz(func(t *testing.T, text string) {
		stream := newWatchStream(strings.NewReader(text))
		for range len(text) + 1 {
			if _, err := stream.next(); err != nil {
				return
			}
		}
		t.Fatal("more messages than bytes")
	})
}
