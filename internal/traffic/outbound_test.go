package traffic_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/traffic"
)

// Guards against invalid responses of a target that reach a caller, against requests that are executed twice, and against
// refusals that falsely state that nothing was executed.
func TestInvalidResponsesReachNoCaller(t *testing.T) {
	cases := []struct {
		name, response string
		// executed is whether the target may have executed the request, so that a refusal must not state "not executed".
		executed bool
	}{
		{"another request's id", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong", true},
		{"truncated body", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 50\r\nConnection: close\r\n\r\ncut", true},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nabcde\r\n", true},
		{"no response", "", true},
		{"not HTTP", "nonsense that is no response\r\n\r\nConnection: close", true},
		{"content encoding", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Encoding: gzip\r\nContent-Length: 5\r\n\r\nabcde", true},
		{"not executed", "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false},
		{"another run", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			bad := startScriptedTarget(t, func(int, *http.Request) string { return c.response })
			ch := startChain(t, bad)
			status, header, body, err := ch.call(t.Context(), "POST", "/once/x")
			is.NoErr(err)
			if c.name == "another run" {
				// The response has no request id, so it cannot be told from the response to another request.
				is.True(status == http.StatusBadGateway || status == http.StatusServiceUnavailable)
				return
			}
			if c.executed {
				is.Equal(status, http.StatusBadGateway)
				is.Equal(bad.received.Load(), int64(1))
			} else {
				is.Equal(status, http.StatusServiceUnavailable)
				is.True(header.Get("Retry-After") != "")
			}
			is.True(!strings.Contains(body, "wrong") && header.Get("X-Stamp") == "")

			good := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
			both := startChain(t, bad, good)
			for range 10 {
				status, _, body, err = both.call(t.Context(), "GET", "/safe/x")
				is.NoErr(err)
				is.Equal(status, http.StatusOK) // an idempotent request is retried at the other target
				is.Equal(body, "whole")
			}
		})
	}
}

// Guards against a complete response without Content-Length, which ends with its connection, that is refused.
func TestResponseThatEndsWithItsConnectionIsComplete(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\n\r\nto the end"
	})
	status, header, body, err := startChain(t, target).call(t.Context(), "POST", "/once/x")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "to the end")
	is.Equal(header.Get("Content-Length"), "10")
}

// Guards against a route whose name has spaces and whose calls are all refused by the target's daemon.
func TestRouteNamesMayContainSpaces(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	status, _, body, err := startChain(t, target).call(t.Context(), "POST", "/named/x")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "whole")
}

// Guards against bytes after a response that are taken for the next response.
func TestBytesAfterResponseAreNoNextResponse(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string {
		return okResponse + "HTTP/1.1 200 OK\r\nX-Id: extra\r\nContent-Length: 5\r\n\r\nwrong"
	})
	ch := startChain(t, target)
	for range 20 {
		status, _, body, err := ch.call(t.Context(), "POST", "/once/x")
		is.NoErr(err)
		is.True(status == http.StatusOK && body == "whole" || status == http.StatusBadGateway)
	}
}

// Guards against headers that targets expect and do not receive, or that a caller can forge.
func TestTargetHeadersAreSetAndNotForged(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	ch := startChain(t, target)
	r, _ := http.NewRequestWithContext(t.Context(), "GET", ch.url+"/safe/x?q=%2F", nil)
	r.Header.Set("X-Id", "req-1")
	r.Header.Set("X-Deadline", "500")
	r.Header.Set("X-Caller", "forged")
	r.Header.Set("X-Expect", "forged")
	r.Header.Set("X-Own", "kept")
	response, err := http.DefaultTransport.RoundTrip(r)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.Header.Get("X-Stamp"), "s")
	is.Equal(response.Header.Get(traffic.HeaderLoad), "") // internal headers are not sent to callers
	h := target.headers[0]
	is.Equal(h.Get("X-Caller"), "own")
	is.Equal(h.Get("X-Expect"), "i0")
	is.Equal(h.Get("X-Own"), "kept")
	is.Equal(h.Get("X-Id"), "req-1")
	is.Equal(h.Get(traffic.HeaderDispatch), "")
	is.True(len(h.Get("X-Deadline")) <= 3 && h.Get("X-Deadline") != "500")
}

// Guards against calls to a target that is leaving, whose version is withheld, or that was replaced by another run.
func TestUnavailableTargetsReceiveNoCalls(t *testing.T) {
	target := func(state model.TargetState, instance model.InstanceID) model.Target {
		return model.Target{Service: "s", Version: "v1", State: state, Instance: instance, Slots: 4}
	}
	cases := []struct {
		name     string
		target   model.Target
		withheld bool
	}{
		{"draining", target(model.TargetDraining, "i0"), false},
		{"gone", target(model.TargetGone, "i0"), false},
		{"another run", target(model.TargetReady, "i9"), false},
		{"withheld", target(model.TargetReady, "i0"), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			backend := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
			ch := startChain(t, backend)
			ch.inbounds[0].SetTarget(c.target, c.withheld)
			status, header, _, err := ch.call(t.Context(), "POST", "/once/x")
			is.NoErr(err)
			is.Equal(status, http.StatusServiceUnavailable)
			is.True(header.Get("Retry-After") != "")
			is.Equal(backend.received.Load(), int64(0))
		})
	}
}

// Guards against a target that goes on with a call whose caller has disconnected, and against a refusal reason that counts
// this as a failure of the target.
func TestDisconnectCancelsTheCall(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	gone := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(gone)
	})}
	go func() { _ = backend.Serve(listener) }()
	t.Cleanup(func() { _ = backend.Close() })
	ch := startChain(t, &scriptedTarget{listener: listener})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	if _, _, _, err := ch.call(ctx, "GET", "/safe/x"); err == nil {
		t.Fatal("the call was answered")
	}
	<-gone
	waitUntil(func() bool { return ch.inbounds[0].InFlight() == 0 })
	refused := ch.scrape(t)
	is.True(strings.Contains(refused, `sniperail_refusals_total{reason="caller-gone"}`))
	is.True(!strings.Contains(refused, `sniperail_refusals_total{reason="connection-lost"}`)) // not a failure of the target
}

// Guards against "no route" from a daemon that has no configuration yet: callers would not retry.
func TestMissingConfigurationIsRetryable(t *testing.T) {
	is := is.New(t)
	ch := startChain(t)
	ch.table = routing.NewTable(&model.View{Configuration: &model.Configuration{}})
	status, header, _, err := ch.call(t.Context(), "GET", "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
}
