package traffic_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/traffic"
)

// invalidStatuses are the codes of status lines that no caller may get, with the reason of the refusal in their place. Go's reader
// takes "+99" and "-00" for numbers of three digits, and refuses those of another width like a connection that broke.
var invalidStatuses = map[string]string{
	"000": "response-invalid", "007": "response-invalid", "099": "response-invalid", "-00": "response-invalid", "+99": "response-invalid",
	"600": "response-invalid", "777": "response-invalid", "999": "response-invalid", "101": "response-invalid",
	"20": "connection-lost", "2000": "connection-lost", "2x0": "connection-lost", "-01": "connection-lost",
}

// invalidBodies are the rest of a response to a status line, by the way in which a daemon reads it.
var invalidBodies = map[string]string{
	"buffered": "Content-Length: 5\r\n\r\nwhole",
	"empty":    "Content-Length: 0\r\n\r\n",
	"chunked":  "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"streamed": "Content-Length: 300000\r\n\r\n" + strings.Repeat("a", 300_000),
	"marked":   "X-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nwhole",
}

// Guards against a status line that is no status and reaches the caller, panics in a daemon, leads to a second execution, keeps the
// connection or the slot, or does not count against the version. The target and the daemon beside it send it.
func TestInvalidStatusIsFaultyResponse(t *testing.T) {
	for code, reason := range invalidStatuses {
		for form, body := range invalidBodies {
			for _, atDaemon := range []bool{false, true} {
				t.Run(fmt.Sprint(code, " ", form, " daemon=", atDaemon), func(t *testing.T) {
					is := is.New(t)
					response := "HTTP/1.1 " + code + " Odd\r\nX-Id: ID\r\nSniperail-Call: SEND\r\nX-Stamp: s\r\n" + body
					faulty := startScriptedTarget(t, func(int, *http.Request) string { return response })
					good := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
					alone, both := startChain(t, faulty), startChain(t, faulty, good)
					if atDaemon {
						alone = startChainWithDaemons(t, []*scriptedTarget{faulty}, nil)
						both = startChainWithDaemons(t, []*scriptedTarget{faulty}, []*scriptedTarget{good})
					}
					for n := range 2 {
						status, header, body, err := alone.call(t.Context(), "POST", "/once/x")
						is.NoErr(err)
						is.Equal(status, http.StatusBadGateway)
						is.Equal(header.Get(traffic.HeaderRefusal), reason)
						is.Equal(header.Get(traffic.HeaderExecuted), "unknown")
						is.Equal(header.Get("X-Stamp")+header.Get("Retry-After"), "")
						is.True(!strings.Contains(body, "whole"))
						is.Equal(faulty.received.Load(), int64(n+1)) // executed once
						is.Equal(faulty.connections(), n+1)          // on a connection that is not used again
						if !atDaemon {
							waitUntil(func() bool { running, _, _ := alone.inbounds[0].Occupancy(); return running == 0 })
						}
					}
					logged := alone.logs.FilterField(zap.String("request", "req-1")).FilterField(zap.String("reason", reason))
					is.True(logged.FilterMessage("request-refused").Len() > 0)
					is.Equal(logged.FilterMessage("call-refused").Len() > 0, !atDaemon)
					is.True(strings.Contains(alone.scrape(t), fmt.Sprintf("sniperail_refusals_total{reason=%q}", reason)))
					is.Equal(alone.logs.FilterMessage("handler-panicked").Len(), 0)
					if !atDaemon {
						sums := alone.inbounds[0].CollectOutcomes(t.Context())
						is.Equal(len(sums), 1)
						is.Equal(sums[0].Failures, sums[0].Calls) // each call counts against the version
					}
					for range 5 {
						status, _, body, err := both.call(t.Context(), "GET", "/safe/x")
						is.NoErr(err)
						is.Equal(status, http.StatusOK)
						is.Equal(body, "whole")
					}
				})
			}
		}
	}
}

// Guards against the same on the daemons with at-most-once routes, where also the stored answer must not have such a status.
func TestInvalidStatusIsFaultyResponseAtIngress(t *testing.T) {
	for code, reason := range invalidStatuses {
		for form, body := range invalidBodies {
			t.Run(code+" "+form, func(t *testing.T) {
				is := is.New(t)
				target := startScriptedTarget(t, func(int, *http.Request) string {
					return "HTTP/1.1 " + code + " Odd\r\nX-Stamp: s\r\n" + body
				})
				once := &onceStub{responses: map[string]*traffic.Response{}, begun: map[string]bool{}}
				m := newMesh(t, once)
				m.addTarget(target.listener.Addr().String(), admission.Settings{Slots: 1, Connections: 4, Queue: 2})
				for n, path := range []string{"/a", "/once"} {
					a := m.call("POST", path, `{"n":1}`)
					is.NoErr(a.err)
					is.Equal(a.status, http.StatusBadGateway)
					is.Equal(a.refusal, reason)
					is.Equal(a.executed, "unknown")
					is.Equal(a.header.Get("X-Stamp"), "")
					is.Equal(target.received.Load(), int64(n+1))
					is.Equal(target.connections(), n+1)
				}
				is.Equal(once.results, []traffic.OnceOutcome{traffic.OnceInDoubt})
				ended, cancel := context.WithCancel(t.Context())
				cancel()
				m.ingress.Run(ended) // reports the outcomes
				is.True(strings.Contains(m.scrape(), `sniperail_calls_total{outcome="failed",route="all",service="s",version="v1"} 1`))
			})
		}
	}
}

// Guards against a probe that takes a status line below 100 for the answer of a healthy target.
func TestProbeNeedsSuccess(t *testing.T) {
	for _, code := range []string{"000", "007", "099", "600", "999"} {
		t.Run(code, func(t *testing.T) {
			is := is.New(t)
			target := startScriptedTarget(t, func(int, *http.Request) string {
				return "HTTP/1.1 " + code + " Odd\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
			})
			is.Equal(traffic.ProbeHealth(t.Context(), target.listener.Addr().String()), false)
		})
	}
}

// Guards against interim responses that are taken for the final one.
func TestInterimResponsesAreNotFinal(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\nX-Id: ID\r\n\r\n" + okResponse
	})
	ch := startChain(t, target)
	for range 3 {
		status, _, body, err := ch.call(t.Context(), "POST", "/once/x")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "whole")
	}
	is.Equal(target.connections(), 1)
}

// Guards against closing the connection of an invalid response under the next exchange: without a body, http.Transport offers the
// connection to others before the head has been checked.
func TestInvalidStatusCutsNoOtherExchange(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(n int, _ *http.Request) string {
		return "HTTP/1.1 " + []string{"200", "200", "777"}[n%3] + " Any\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"
	})
	ch := startChain(t, target)
	const callers, calls = 6, 50
	var group sync.WaitGroup
	var invalid atomic.Int64
	for range callers {
		group.Go(func() {
			for range calls {
				status, header, _, err := ch.call(t.Context(), "POST", "/once/x")
				is.NoErr(err)
				if status != http.StatusOK {
					is.Equal(header.Get(traffic.HeaderRefusal), "response-invalid")
					invalid.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.Equal(target.received.Load(), int64(callers*calls))
	is.Equal(invalid.Load(), int64(callers*calls/3))
}

// connections returns the number of connections that were opened to the target.
func (s *scriptedTarget) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
