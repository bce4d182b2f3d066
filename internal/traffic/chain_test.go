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

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/telemetry"
	"sniperail.example/sniperail/internal/traffic"
)

var headerNames = traffic.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", ExpectInstance: "X-Expect", NotExecuted: "X-Not-Executed",
	CallerService: "X-Caller", TenantID: "X-Tenant", TargetLoad: "X-Load", TargetRateLimit: "X-Rate-Limit", TargetLeaving: "X-Leaving",
	TargetWarmup: "X-Warmup",
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
	// bodyRead is the number of bytes of a request body that are read before the response; all if it is 0.
	bodyRead int64
}

// connectionEnding is what a scripted target does with a connection after a response.
type connectionEnding uint8

const (
	keepConnection connectionEnding = iota
	closeConnection
	resetConnection
	// closeSending closes the sending side, and reads what still arrives.
	closeSending
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
		s.readBody(conn, request)
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
		switch s.ending {
		case keepConnection:
			continue
		case resetConnection:
			_ = conn.(*net.TCPConn).SetLinger(0)
		case closeSending:
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}
		return
	}
}

// readBody reads as much of a request body as the target reads before it responds.
func (s *scriptedTarget) readBody(conn net.Conn, request *http.Request) {
	if request.Header.Get("Expect") == "100-continue" {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if s.bodyRead > 0 {
		_, _ = io.CopyN(io.Discard, request.Body, s.bodyRead)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
}

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nwhole"

// chain is an Outbound that sends requests to the Inbounds of some targets.
type chain struct {
	url      string
	outbound *traffic.Outbound
	inbounds []*traffic.Inbound
	table    *routing.Table
	metrics  *telemetry.Metrics
	// logs holds the lines of the request log.
	logs *observer.ObservedLogs
	// deadline is the deadline that calls set.
	deadline time.Duration
	// confirmed reports whether the configuration is confirmed; nil if it always is.
	confirmed func() bool
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
	return startChainWithOptions(t, func(*traffic.OutboundOptions) {}, daemons, targets)
}

// startChainWithOptions starts a chain like startChainWithDaemons whose Outbound has further options.
func startChainWithOptions(t *testing.T, set func(*traffic.OutboundOptions), daemons, targets []*scriptedTarget) *chain {
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
	core, logs := observer.New(zap.InfoLevel)
	log := traffic.RequestLog{Logger: zap.New(core), RequestID: headerNames.RequestID}
	c := &chain{metrics: metrics, logs: logs, deadline: 10 * time.Second}
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
		address := serveStandard(t, in)
		t.Cleanup(in.Close)
		described := model.Target{
			Daemon: model.DaemonID(fmt.Sprint("d", i)), Service: "s", Version: "v1", DataCentre: "d", State: model.TargetReady,
			Instance: model.InstanceID(fmt.Sprint("i", i)), Slots: 4, Address: address,
		}
		in.SetTarget(described, false)
		view.Targets = append(view.Targets, described)
		c.inbounds = append(c.inbounds, in)
	}
	c.table = routing.NewTable(view)
	options := traffic.OutboundOptions{
		Tables: c, Headers: headerNames, Metrics: m, Limits: traffic.DefaultLimits(), Log: log, Service: "own",
		Confirmed: func() bool { return c.confirmed == nil || c.confirmed() },
		Budget:    retry.SharedLimit{Ratio: 1, Slack: 100, Window: time.Minute},
	}
	set(&options)
	out := traffic.NewOutbound(options)
	c.outbound = out
	_, address := servePipelined(t, out, func(conn net.Conn) net.Conn { return conn })
	c.url = "http://" + address
	t.Cleanup(out.Close)
	return c
}

// separateServices makes the first target the only one of a service of its own, to which the route below /safe/ goes. It must be called
// before the first request.
func (c *chain) separateServices() {
	view := c.table.View
	first := view.Configuration.Services[0]
	first.Name = "first"
	view.Configuration.Services = append(view.Configuration.Services, first)
	view.Configuration.Routes[0].Service = first.Name
	view.Targets[0].Service = first.Name
	if len(c.inbounds) == len(view.Targets) {
		c.inbounds[0].SetTarget(view.Targets[0], false)
	}
	c.table = routing.NewTable(view)
}

// setTargets replaces the targets that the Outbound knows.
func (c *chain) setTargets(targets []model.Target) {
	view := *c.table.View
	view.Targets = targets
	c.table = routing.NewTable(&view)
}

// address is the address of the callers' listener.
func (c *chain) address() string { return strings.TrimPrefix(c.url, "http://") }

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
