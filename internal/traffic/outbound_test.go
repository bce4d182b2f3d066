package traffic_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/telemetry"
	"sniperail.example/sniperail/internal/traffic"
)

var headerNames = traffic.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", ExpectInstance: "X-Expect", NotExecuted: "X-Not-Executed",
	CallerService: "X-Caller", TargetLoad: "X-Load",
}

// scriptedTarget is a target that answers each request with the bytes that a function returns, and records the requests.
type scriptedTarget struct {
	listener net.Listener
	respond  func(n int, r *http.Request) string
	received atomic.Int64
	group    sync.WaitGroup
	mu       sync.Mutex
	headers  []http.Header
	conns    []net.Conn
	// filler is written after each response until the connection is closed, which is then reported to cut; "" for none.
	filler string
	cut    chan struct{}
	// ending says what happens to the connection after a response.
	ending connectionEnding
}

// connectionEnding is what a scripted target does with a connection after a response.
type connectionEnding uint8

const (
	keepConnection connectionEnding = iota
	closeConnection
	resetConnection
)

func startScriptedTarget(t *testing.T, respond func(n int, r *http.Request) string) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{listener: listener, respond: respond, cut: make(chan struct{}, 1)}
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			s.group.Add(1)
			go s.serve(conn)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.group.Wait()
	})
	return s
}

func (s *scriptedTarget) serve(conn net.Conn) {
	defer s.group.Done()
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		n := int(s.received.Add(1))
		s.mu.Lock()
		s.headers = append(s.headers, request.Header.Clone())
		s.mu.Unlock()
		response := s.respond(n, request)
		if response == "" {
			return
		}
		response = strings.ReplaceAll(response, "ID", request.Header.Get("X-Id"))
		send, _, _ := strings.Cut(request.Header.Get(traffic.HeaderDispatch), " ")
		response = strings.ReplaceAll(response, "SEND", send)
		if s.filler != "" {
			_, _ = io.WriteString(conn, response)
			s.writeEndlessly(conn)
			return
		}
		if _, err := io.WriteString(conn, response); err != nil || strings.Contains(response, "Connection: close") {
			return
		}
		if s.ending == resetConnection {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if s.ending != keepConnection {
			return
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nwhole"

// chain is an Outbound that sends requests to the Inbounds of some targets.
type chain struct {
	url      string
	inbounds []*traffic.Inbound
	table    *routing.Table
	metrics  *telemetry.Metrics
	// deadline is the deadline that calls set.
	deadline time.Duration
}

func (c *chain) Table() *routing.Table { return c.table }

// startChain starts a chain with a route for idempotent requests below /safe/ and one for other requests below /once/.
func startChain(t *testing.T, targets ...*scriptedTarget) *chain {
	t.Helper()
	return startChainWithDaemons(t, nil, targets)
}

// startChainWithDaemons starts a chain whose first targets are behind scripted daemons, which get the requests of the Outbound
// themselves.
func startChainWithDaemons(t *testing.T, daemons, targets []*scriptedTarget) *chain {
	t.Helper()
	metrics, err := telemetry.NewMetrics("test")
	if err != nil {
		t.Fatal(err)
	}
	m, err := traffic.NewMetrics(metrics)
	if err != nil {
		t.Fatal(err)
	}
	m.FractionalRetryAfter = true
	log := traffic.RequestLog{Logger: zap.NewNop(), RequestID: headerNames.RequestID}
	c := &chain{metrics: metrics, deadline: 10 * time.Second}
	view := &model.View{Ready: true, DataCentre: "d", Configuration: &model.Configuration{
		Services: []model.Service{{Name: "s", Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare}}}},
		Routes: []model.Route{
			{Name: "safe", Service: "s", PathPrefix: "/safe/", Idempotent: true, MaxAttempts: 2, TimeoutMS: 20_000},
			{Name: "once", Service: "s", PathPrefix: "/once/", MaxAttempts: 2, TimeoutMS: 20_000},
			{Name: "named % with spaces", Service: "s", PathPrefix: "/named/", MaxAttempts: 2, TimeoutMS: 20_000},
		},
	}}
	for i, daemon := range daemons {
		view.Targets = append(view.Targets, model.Target{
			Daemon: model.DaemonID(fmt.Sprint("s", i)), Service: "s", Version: "v1", DataCentre: "d", State: model.TargetReady,
			Instance: "i", Slots: 4, Address: daemon.listener.Addr().String(),
		})
	}
	for i, target := range targets {
		in := traffic.NewInbound(traffic.InboundOptions{
			Address: target.listener.Addr().String(), Headers: headerNames, Metrics: m, Limits: traffic.DefaultLimits(), Log: log,
			Observe: func([]model.KeyedSum, int, time.Time) bool { return true },
		})
		server := httptest.NewServer(in)
		t.Cleanup(server.Close)
		t.Cleanup(in.Close)
		described := model.Target{
			Daemon: model.DaemonID(fmt.Sprint("d", i)), Service: "s", Version: "v1", DataCentre: "d", State: model.TargetReady,
			Instance: model.InstanceID(fmt.Sprint("i", i)), Slots: 4, Address: server.Listener.Addr().String(),
		}
		in.SetTarget(described, false)
		view.Targets = append(view.Targets, described)
		c.inbounds = append(c.inbounds, in)
	}
	c.table = routing.NewTable(view)
	out := traffic.NewOutbound(traffic.OutboundOptions{
		Tables: c, Headers: headerNames, Metrics: m, Limits: traffic.DefaultLimits(), Log: log, Service: "own",
		Budget: retry.SharedLimit{Ratio: 1, Slack: 100, Window: time.Minute},
	})
	c.url = servePipelined(t, out)
	t.Cleanup(out.Close)
	return c
}

// servePipelined serves a handler on the server that the callers of a sidecar are connected to, and returns its URL.
func servePipelined(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	minute := func() time.Duration { return time.Minute }
	server := traffic.NewPipelineServer(traffic.PipelineOptions{
		Handler: handler, HeaderBytes: 64 << 10, HeaderTimeout: minute, IdleTimeout: minute, Logger: zap.NewNop(),
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		_ = server.Close()
		<-served
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	return "http://" + listener.Addr().String()
}

// scrape returns the metrics as text.
func (c *chain) scrape(t *testing.T) string {
	t.Helper()
	w := httptest.NewRecorder()
	c.metrics.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	return w.Body.String()
}

// call sends a request and returns the status, the header and the body, or an error if the response is incomplete.
func (c *chain) call(ctx context.Context, method, path string) (int, http.Header, string, error) {
	return c.callWithID(ctx, "req-1", method, path)
}

// callWithID sends a request with an id like call.
func (c *chain) callWithID(ctx context.Context, id, method, path string) (int, http.Header, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, nil)
	if err != nil {
		return 0, nil, "", err
	}
	r.Header.Set("X-Id", id)
	r.Header.Set("X-Deadline", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body), err
}

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
