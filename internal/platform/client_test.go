package platform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sniperail.example/sniperail/internal/platform"
	standin "sniperail.example/sniperail/internal/standin/platform"
	"sniperail.example/sniperail/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout ends a test that hangs; no assertion depends on it.
const testTimeout = 30 * time.Second

func newClient(t *testing.T, endpoints ...string) *platform.Client {
	t.Helper()
	client, err := platform.NewClient(platform.ClientConfig{Endpoints: endpoints, Timeout: testTimeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// startService starts a stand-in of the key-value service on a loopback listener, and a client of it.
func startService(t *testing.T) (*standin.Service, *platform.Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	service := standin.Start(ctx, standin.Limits{})
	server := httptest.NewServer(service.Handler())
	client := newClient(t, server.URL)
	t.Cleanup(func() {
		cancel()
		<-service.Stopped()
		client.Close()
		server.Close()
	})
	return service, client
}

func create(key, value string) store.Call {
	return store.Call{Kind: store.KindTxn, Txn: store.Txn{
		Compares: []store.Compare{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte(value)}},
	}}
}

func get(key string) store.Call { return store.Call{Kind: store.KindGet, Key: key} }

func ptr[T any](v T) *T { return &v }

// Guards against a conflict that does not return the current entry: the caller could not see who owns a claim.
func TestConflictReturnsTheCurrentEntry(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, client := startService(t)
	is.Equal(client.Do(ctx, create("a", "1")).Outcome, store.Applied)
	conflict := client.Do(ctx, create("a", "2"))
	is.Equal(conflict.Outcome, store.Conflict)
	is.Equal(conflict.Entries, []store.Entry{{Key: "a", Value: []byte("1"), CreateRevision: 2, ModRevision: 2}})
	is.Equal(client.Do(ctx, get("a")).Entries, conflict.Entries)
}

// Guards against a lost response that is reported as "no effect": the caller would repeat the write.
func TestLostResponseToWriteIsUnknown(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	service, client := startService(t)
	client.Do(ctx, get("a")) // net/http retries some requests on a connection that was used before
	service.SetFaults(standin.Faults{LoseAnswers: ptr(1)})
	is.Equal(client.Do(ctx, create("a", "1")).Outcome, store.Unknown)
	is.Equal(string(client.Do(ctx, get("a")).Entries[0].Value), "1")
	is.Equal(service.Counts().Calls[store.KindTxn], int64(1)) // the adapter did not send the write again
}

// Guards against a failed write that is reported as unknown although it had no effect, or as unavailable although it may
// have had one.
func TestFailedWritesAreUnknownOnlyIfSent(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	service, client := startService(t)
	service.SetFaults(standin.Faults{Down: ptr(standin.DownRefuse)})
	is.Equal(client.Do(ctx, create("a", "1")).Outcome, store.Unavailable)
	service.SetFaults(standin.Faults{Down: ptr(standin.DownDrop)})
	is.Equal(client.Do(ctx, create("a", "1")).Outcome, store.Unknown)
	is.Equal(client.Do(ctx, get("a")).Outcome, store.Unavailable)
	service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
	is.Equal(client.Do(ctx, get("a")), store.Result{Outcome: store.Applied, Revision: 1})
}

// Guards against a write that is reported as not executed because its caller cancelled it after it was sent.
func TestCallerCancelsAfterSending(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(received)
		<-r.Context().Done()
	}))
	client := newClient(t, server.URL)
	defer server.Close()
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-received; cancel() }()
	is.Equal(client.Do(ctx, create("a", "1")).Outcome, store.Unknown)
	is.Equal(client.Do(ctx, create("a", "1")).Outcome, store.Unavailable) // ended before sending
}

// Guards against an endpoint that refuses connections and makes calls fail although another endpoint works.
func TestNextEndpointAfterRefusedConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := "http://" + listener.Addr().String()
	is.NoErr(listener.Close())
	is.Equal(newClient(t, closed).Do(t.Context(), create("a", "1")).Outcome, store.Unavailable)

	ctx, cancel := context.WithCancel(context.Background())
	service := standin.Start(ctx, standin.Limits{})
	server := httptest.NewServer(service.Handler())
	client := newClient(t, closed, server.URL)
	defer server.Close()
	defer client.Close()
	defer cancel()
	is.Equal(client.Do(t.Context(), create("a", "1")).Outcome, store.Applied)
}

// Guards against malformed responses, error pages and redirects that are taken for a success or a conflict.
func TestMalformedResponsesAreNotTakenForSuccess(t *testing.T) {
	txn, read := create("a", "1"), get("a")
	renew := store.Call{Kind: store.KindKeepAlive, Lease: 7}
	for _, test := range []struct {
		name   string
		call   store.Call
		status int
		body   string
		want   store.Outcome
	}{
		{"empty object for a transaction", txn, 200, `{}`, store.Unknown},
		{"broken JSON for a transaction", txn, 200, `{"header":`, store.Unknown},
		{"error page of a proxy", txn, 502, `<html>`, store.Unknown},
		{"proposal timed out", txn, 503, `{"code":14,"message":"etcdserver: request timed out"}`, store.Unknown},
		{"no leader", txn, 503, `{"code":14,"message":"etcdserver: no leader"}`, store.Unavailable},
		{"rate limit", txn, 429, `{"code":8,"message":"etcdserver: too many requests"}`, store.Unavailable},
		{"redirect", txn, 307, ``, store.Unavailable},
		{"lease not found", txn, 404, `{"code":5,"message":"etcdserver: requested lease not found"}`, store.NotFound},
		{"failed read", read, 500, ``, store.Unavailable},
		{"broken JSON for a read", read, 200, `{"kvs":[{"key":1}]}`, store.Unavailable},
		{"renewal of a lease that has ended", renew, 200, `{"result":{"ID":"7"}}`, store.NotFound},
		{"renewal without result", renew, 200, `{}`, store.Unknown},
		{"grant without lease", store.Call{Kind: store.KindGrant, TTL: time.Second}, 200, `{}`, store.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			is.Equal(newClient(t, server.URL).Do(t.Context(), test.call).Outcome, test.want)
		})
	}
}

// Guards against requests that only this project's stand-in understands: the bodies follow the published protocol.
func TestRequestBodiesFollowTheProtocol(t *testing.T) {
	var path, body string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		path, body = r.URL.Path, string(data)
	}))
	defer server.Close()
	client := newClient(t, server.URL)
	for _, test := range []struct {
		call       store.Call
		path, body string
	}{
		{get("foo"), "/v3/kv/range", `{"key":"Zm9v"}`},
		{store.Call{Kind: store.KindList, Key: "foo", Limit: 2}, "/v3/kv/range", `{"key":"Zm9v","range_end":"Zm9w","limit":"2"}`},
		{
			store.Call{Kind: store.KindTxn, Txn: store.Txn{
				Compares: []store.Compare{{Key: "foo", CreateRevision: 2, UseCreate: true}, {Key: "foo", ModRevision: 3}},
				Puts:     []store.Put{{Key: "foo", Value: []byte("bar"), Lease: 7}}, Deletes: []string{"bar"},
			}},
			"/v3/kv/txn",
			`{"compare":[{"result":"EQUAL","target":"CREATE","key":"Zm9v","create_revision":"2"},` +
				`{"result":"EQUAL","target":"MOD","key":"Zm9v","mod_revision":"3"}],` +
				`"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"7"}},` +
				`{"request_delete_range":{"key":"YmFy"}}],"failure":[{"request_range":{"key":"Zm9v"}}]}`,
		},
		{store.Call{Kind: store.KindGrant, TTL: 1500 * time.Millisecond}, "/v3/lease/grant", `{"TTL":"2"}`},
		{store.Call{Kind: store.KindKeepAlive, Lease: 7}, "/v3/lease/keepalive", `{"ID":"7"}`},
		{store.Call{Kind: store.KindRevoke, Lease: 7}, "/v3/lease/revoke", `{"ID":"7"}`},
	} {
		t.Run(string(test.call.Kind), func(t *testing.T) {
			is := is.New(t)
			client.Do(t.Context(), test.call)
			is.Equal(path, test.path)
			is.Equal(body, test.body)
		})
	}
}

// Guards against a lease holder that is not told that its lease has ended.
func TestEndedLeaseIsReported(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	service, client := startService(t)
	lease := client.Do(ctx, store.Call{Kind: store.KindGrant, TTL: time.Hour})
	is.Equal(lease.TTL, time.Hour)
	put := store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{{Key: "a", Lease: lease.Lease}}}}
	is.Equal(client.Do(ctx, put).Outcome, store.Applied)
	renew := store.Call{Kind: store.KindKeepAlive, Lease: lease.Lease}
	is.Equal(client.Do(ctx, renew).TTL, time.Hour)
	service.SetFaults(standin.Faults{LapseKey: "a"})
	is.Equal(len(client.Do(ctx, get("a")).Entries), 0)
	is.Equal(client.Do(ctx, renew).Outcome, store.NotFound)
	is.Equal(client.Do(ctx, put).Outcome, store.NotFound)
	is.Equal(client.Do(ctx, store.Call{Kind: store.KindRevoke, Lease: lease.Lease}).Outcome, store.NotFound)
}

// Guards against a watch that misses changes made between the read and its start, and against an ended watch that looks
// like an idle one.
func TestWatchDeliversChangesAndItsEnd(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	service, client := startService(t)
	first := client.Do(ctx, create("a", "1"))
	is.Equal(client.Do(ctx, store.Call{Kind: store.KindTxn, Txn: store.Txn{Deletes: []string{"a"}}}).Outcome, store.Applied)
	events := client.Watch(ctx, "a", first.Revision)
	is.Equal(<-events, store.WatchEvent{Entry: store.Entry{Key: "a", ModRevision: 3}, Deleted: true})
	is.Equal(client.Do(ctx, create("b", "1")).Outcome, store.Applied)
	is.Equal(client.Do(ctx, create("a", "2")).Outcome, store.Applied)
	is.Equal((<-events).Entry, store.Entry{Key: "a", Value: []byte("2"), CreateRevision: 5, ModRevision: 5})
	service.SetFaults(standin.Faults{EndWatches: true})
	is.Equal(<-events, store.WatchEvent{Lost: true, Detail: "watch stream: unexpected EOF"})
	_, open := <-events
	is.True(!open)

	watchCtx, stop := context.WithCancel(ctx)
	events = client.Watch(watchCtx, "a", first.Revision+10)
	stop()
	for event := range events {
		is.True(event.Lost) // no event but the end
	}
	service.SetFaults(standin.Faults{Down: ptr(standin.DownRefuse)})
	refused := <-client.Watch(ctx, "a", 0)
	is.True(refused.Lost && refused.Detail != "")
}

// Guards against settings whose errors are reported one at a time.
func TestNewClientNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	config := platform.ClientConfig{Endpoints: []string{"127.0.0.1:2379"}, DialTimeout: -1}
	is.Equal(len(config.Check()), 3)
	_, err := platform.NewClient(config)
	is.True(err != nil)
}

func mustClient(endpoint string) *platform.Client {
	client, err := platform.NewClient(platform.ClientConfig{Endpoints: []string{endpoint}, Timeout: testTimeout})
	if err != nil {
		panic(err)
	}
	return client
}
