package traffic_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/traffic"
)

// Guards against a call whose body, path, query or headers are changed on the call path, and against hop-by-hop headers and
// headers of daemons that are forwarded.
func TestCallPassesThrough(t *testing.T) {
	is := is.New(t)
	var seen *http.Request
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		seen = r.Clone(context.Background())
		w.Header().Set(traffic.HeaderRefusal, "forged")
		w.Header().Set("X-Kept", "2")
		okHandler(w, r)
	})
	a := m.call("POST", "/p/a%2Fb?q=1&r", "body", "X-Kept", "1", "Connection", "X-Hop", "X-Hop", "1", "Te", "trailers",
		traffic.HeaderCall, "forged", traffic.HeaderDeadline, "900", traffic.HeaderIdempotencyKey, "k1")
	is.NoErr(a.err)
	is.Equal(a.status, 200)
	is.Equal(a.body, "ok /p/a/b body")
	is.Equal(a.refusal, "") // a refusal header that the target sets is removed
	is.Equal(a.header.Get("X-Kept"), "2")
	is.Equal(seen.RequestURI, "/p/a%2Fb?q=1&r")
	is.Equal(seen.Header.Get("X-Kept"), "1")
	is.Equal(seen.Header.Get(traffic.HeaderIdempotencyKey), "k1")
	is.Equal(seen.Header.Get(traffic.HeaderAttempt), "1")
	for _, name := range []string{"X-Hop", "Te", "Connection", traffic.HeaderCall} {
		is.Equal(seen.Header.Get(name), "") // not forwarded
	}
	var left int
	_, err := fmt.Sscan(seen.Header.Get(traffic.HeaderDeadline), &left)
	is.NoErr(err)
	is.True(left > 0 && left <= 900) // counted down
}

// Guards against request and response bodies that are mixed up or truncated: empty, long and chunked ones, and of HEAD.
func TestBodiesOfAllSizes(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	for _, size := range []int{0, 1, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			sent := strings.Repeat("abcdefg", size/7+1)[:size]
			var body io.Reader = strings.NewReader(sent)
			if chunked {
				body = io.MultiReader(body)
			}
			a := m.callContext(context.Background(), "POST", "/echo", body)
			is.NoErr(a.err)
			is.Equal(a.status, 200)
			is.True(a.body == sent)
		}
	}
	a := m.call("HEAD", "/echo", "")
	is.NoErr(a.err)
	is.Equal(a.status, 200)
}

// Guards against refusals that a caller cannot read or that are not counted.
func TestIngressRefusalsAreReadableAndCounted(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, okHandler)
	m.updateView(func(v *model.View) {
		v.Configuration.Routes = []model.Route{{Name: "all", Service: "s", PathPrefix: "/a", Methods: []string{"GET", "POST"}}}
	})
	for _, test := range []struct {
		method, path, reason string
		status               int
		header               []string
	}{
		{"GET", "/none", "no-route", 404, nil},
		{"PUT", "/a", "method-not-allowed", 405, nil},
		{"GET", "/a/%2e%2e/b", "ambiguous-path", 400, nil},
		{"GET", "/a//b", "ambiguous-path", 400, nil},
		{"GET", "/a", "invalid-deadline", 400, []string{traffic.HeaderDeadline, "soon"}},
		{"GET", "/a", "upgrade-unsupported", 501, []string{"Connection", "Upgrade", "Upgrade", "websocket"}},
	} {
		a := m.call(test.method, test.path, "", test.header...)
		is.Equal(a.status, test.status)
		is.Equal(a.refusal, test.reason)
		is.Equal(a.executed, "no")
		is.Equal(a.header.Get("Content-Type"), "application/problem+json")
		var problem struct {
			Status           int
			Reason, Executed string
		}
		is.NoErr(json.Unmarshal([]byte(a.body), &problem))
		is.Equal(problem.Reason, test.reason)
		is.Equal(problem.Executed, "no")
		is.True(strings.Contains(m.scrape(), `sniperail_refusals_total{reason="`+test.reason+`"}`))
	}
}

// Guards against request smuggling: two framings of one body must not reach a target as two requests.
func TestSmuggledRequestsDoNotReachTheTarget(t *testing.T) {
	is := is.New(t)
	var seen atomic.Int64
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		if r.URL.Path == "/smuggled" {
			t.Error("a smuggled request reached the target")
		}
		okHandler(w, r)
	})
	inner := "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, request := range []string{
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + inner,
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + inner,
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + inner,
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\nabcd" + inner,
		"GET /a HTTP/1.1\r\nHost: x\r\nX: y\r\n z\r\nA: b\nC\r\n\r\n",
	} {
		responses := m.sendRaw(request)
		is.Equal(strings.Count(responses, "HTTP/1.1 "), 1)
		is.True(strings.HasPrefix(responses, "HTTP/1.1 400") || strings.HasPrefix(responses, "HTTP/1.1 501"))
	}
	is.Equal(seen.Load(), int64(0))
	// A Content-Length in addition to chunks is ignored, and the target sees one well-framed request.
	responses := m.sendRaw("POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n" + inner)
	is.True(strings.Contains(responses, "ok /a abcd"))
	is.Equal(seen.Load(), int64(1))
}

// Guards against a truncated response that is accepted as complete: with and without Content-Length, and truncated before
// and after the ingress has forwarded the header.
func TestTruncatedResponsesAreDetected(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for name, response := range map[string]string{
		"short with length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"long with length":  "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + long,
		"chunked":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"no framing":        "HTTP/1.1 200 OK\r\n\r\nabc",
		"truncated header":  "HTTP/1.1 200 OK\r\nConte",
		"no bytes":          "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				respondRawAndClose(response)(w, r)
			})
			a := m.call("POST", "/a", "body")
			is.True(a.err != nil || (a.status == http.StatusBadGateway && a.executed == "unknown"))
			is.Equal(calls.Load(), int64(1)) // not idempotent: never sent again
			m.ingress.Drain()
			is.NoErr(m.ingress.Wait(context.Background()))
		})
	}
}

// Guards against a second execution and against a missing retry: after a connection broke with bytes sent, only idempotent
// calls are retried; after a connection that could not be opened, all calls are.
func TestBrokenConnectionIsRetriedOnlyIfSafe(t *testing.T) {
	is := is.New(t)
	var breaking, posts, gets atomic.Int64
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case breaking.Load() == 0 || r.Header.Get(traffic.HeaderAttempt) != "1":
			okHandler(w, r)
			return
		case r.Method == "POST":
			posts.Add(1)
		default:
			gets.Add(1)
		}
		respondRawAndClose("")(w, r)
	})
	m.fillRetryBudget(40)
	breaking.Store(1)
	m.updateView(func(v *model.View) {
		second := v.Targets[0]
		second.Daemon = "twin"
		v.Targets = append(v.Targets, second)
	})
	a := m.call("GET", "/a", "")
	is.Equal(a.status, 200)
	is.Equal(gets.Load(), int64(1)) // one broken connection, one retry
	a = m.call("POST", "/a", "body", traffic.HeaderIdempotencyKey, "k")
	is.Equal(a.status, 502)
	is.Equal(a.executed, "unknown")
	is.Equal(posts.Load(), int64(1))
	is.True(strings.Contains(m.scrape(), `sniperail_retries_total{reason="idempotent"} 1`))

	breaking.Store(0)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closedListener.Close())
	m.updateView(func(v *model.View) {
		v.Targets[0].Address = closedListener.Addr().String()
		v.Targets[1].DataCentre = "b" // so that the unreachable one is selected first
	})
	is.Equal(m.call("POST", "/a", "body").status, 200)
	is.True(strings.Contains(m.scrape(), `sniperail_retries_total{reason="not-executed"}`))
	is.True(strings.Contains(m.scrape(), `sniperail_ejections_total{reason="unreachable"}`))
}

// Guards against a refusal that states "not executed" for the second attempt although the first may have been executed.
func TestRetryKeepsPossibleExecution(t *testing.T) {
	is := is.New(t)
	var m *mesh
	m = newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/earn" {
			okHandler(w, r)
			return
		}
		m.admissions[1].Drain()
		respondRawAndClose("")(w, r)
	}, okHandler)
	m.updateView(func(v *model.View) { v.Targets[1].DataCentre = "b" })
	m.fillRetryBudget(20)
	a := m.call("GET", "/a", "")
	is.Equal(a.status, 503)
	is.Equal(a.refusal, "draining")
	is.Equal(a.executed, "unknown")
}

// Guards against retries that multiply along a chain of nested calls.
func TestNestedCallsAreNotRetried(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/earn" {
			okHandler(w, r)
			return
		}
		calls.Add(1)
		respondRawAndClose("")(w, r)
	}
	m := newMesh(t, nil, handler, handler)
	m.fillRetryBudget(40)
	is.Equal(m.call("GET", "/a", "", traffic.HeaderAttempt, "1").status, 502)
	is.Equal(calls.Load(), int64(1))
	is.True(strings.Contains(m.scrape(), `sniperail_retries_refused_total{reason="nested"} 1`))
}

// Guards against a late response that reaches the next caller, and against a deadline that is not forwarded.
func TestLateResponseReachesNoOtherCaller(t *testing.T) {
	is := is.New(t)
	released := make(chan struct{})
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			_, _ = io.Copy(io.Discard, r.Body) // the server watches the connection once the body is read
			<-r.Context().Done()               // the deadline cancels the call here too
			close(released)
		}
		okHandler(w, r)
	})
	a := m.call("POST", "/short", "late")
	is.Equal(a.status, 504)
	is.Equal(a.refusal, "deadline-exceeded")
	is.Equal(a.executed, "unknown")
	<-released
	for i := range 10 {
		body := fmt.Sprint("next", i)
		is.Equal(m.call("POST", "/a", body).body, "ok /a "+body)
	}
}

// Guards against a target that goes on with a call whose caller has disconnected.
func TestCancellationReachesTheTarget(t *testing.T) {
	is := is.New(t)
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	m := newMesh(t, nil, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { is.True(m.callContext(ctx, "GET", "/a", nil).err != nil) })
	<-arrived
	cancel()
	<-cancelled
	wg.Wait()
	is.NoErr(m.ingress.Wait(context.Background()))
	is.NoErr(m.admissions[0].Wait(context.Background()))
}

// Guards against an unsolicited second response on a connection that is taken for the response to the next call.
func TestUnsolicitedResponseReachesNoOtherCaller(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/twice" {
			conn, _, err := http.NewResponseController(w).Hijack()
			is.NoErr(err)
			response := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
			_, _ = io.WriteString(conn, response+strings.Replace(response, "first", "wrong", 1))
			t.Cleanup(func() { _ = conn.Close() })
			return
		}
		okHandler(w, r)
	})
	for range 5 {
		is.Equal(m.call("POST", "/twice", "").body, "first")
		is.Equal(m.call("POST", "/a", "mine").body, "ok /a mine")
	}
}

// Guards against a truncated or too long request body that reaches the target as complete.
func TestBrokenRequestBodiesNeverSucceed(t *testing.T) {
	is := is.New(t)
	var complete atomic.Int64
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			complete.Add(1)
		}
		okHandler(w, r)
	})
	long := strings.Repeat("x", 100<<10)
	for _, request := range []string{
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n" + long,
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + long + "\r\n",
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(m.url, "http://"))
		is.NoErr(err)
		_, err = io.WriteString(conn, request)
		is.NoErr(err)
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
		response, _ := io.ReadAll(conn)
		is.True(!strings.Contains(string(response), "200 OK"))
		_ = conn.Close()
	}
	a := m.callContext(context.Background(), "POST", "/a", io.MultiReader(strings.NewReader(strings.Repeat(long, 330))))
	is.True(a.err != nil || a.status >= 400) // over 32 MB without a length
	is.NoErr(m.ingress.Wait(context.Background()))
	is.Equal(complete.Load(), int64(0))
}

// Guards against a retry storm when no target is reachable: retries must stay within 10% of the calls.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, okHandler, okHandler)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closedListener.Close())
	m.updateView(func(v *model.View) {
		v.Targets[0].Address, v.Targets[1].Address = closedListener.Addr().String(), closedListener.Addr().String()
	})
	for range 95 {
		a := m.call("GET", "/a", "")
		is.Equal(a.refusal, "target-unreachable")
		is.Equal(a.executed, "no")
	}
	is.True(strings.Contains(m.scrape(), `sniperail_retries_total{reason="not-executed"} 9`))
	is.True(strings.Contains(m.scrape(), `sniperail_retries_refused_total{reason="budget-exhausted"}`))
}
