package traffic_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/traffic"
)

// refusalStatuses promise that a request was not executed and never will be.
var refusalStatuses = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout,
}

// Guards against a refusal that a target writes once more on a kept connection, after it has begun to execute the next request:
// the next caller must not be told that its request was not executed, and the request must not be executed elsewhere.
func TestRepeatedRefusalOfTargetIsNotTrusted(t *testing.T) {
	for _, status := range refusalStatuses {
		for _, marked := range []bool{true, false} {
			t.Run(fmt.Sprint(status, marked), func(t *testing.T) {
				is := is.New(t)
				mark := ""
				if marked {
					mark = "X-Not-Executed: 1\r\n"
				}
				refusal := "HTTP/1.1 " + strconv.Itoa(status) + " No\r\n" + mark + "X-Id: first\r\nContent-Length: 2\r\n\r\nno"
				faulty := startScriptedTarget(t, func(int, *http.Request) string { return refusal })
				other := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
				ch := startChain(t, faulty)
				_, _, _, err := ch.callWithID(t.Context(), "first", "POST", "/once/x")
				is.NoErr(err)
				// The target runs this request, and then writes the refusal of the first one again.
				got, header, _, err := ch.callWithID(t.Context(), "second", "POST", "/once/x")
				is.NoErr(err)
				is.Equal(got, http.StatusBadGateway)
				is.Equal(header.Get("Retry-After"), "")
				is.Equal(faulty.received.Load(), int64(2))

				both := startChain(t, faulty, other)
				for range 10 {
					before := faulty.received.Load() + other.received.Load()
					got, _, _, err = both.callWithID(t.Context(), "third", "POST", "/once/x")
					is.NoErr(err)
					is.True(got == http.StatusBadGateway || got == http.StatusOK)
					is.Equal(faulty.received.Load()+other.received.Load(), before+1)
				}
			})
		}
	}
}

// Guards against a refusal of a daemon that is taken for the answer to a later send of the same request on the same connection.
// A refusal for load does not exclude a target, so that a request can be sent to it again.
func TestRepeatedRefusalOfDaemonIsNotTrusted(t *testing.T) {
	is := is.New(t)
	earlier := ""
	daemon := startScriptedTarget(t, func(n int, r *http.Request) string {
		refusal := "HTTP/1.1 503 Busy\r\nSniperail-Call: SEND\r\nSniperail-Load: 4 0 4 1000 1000 0\r\n" +
			"Sniperail-Refusal: busy\r\nSniperail-Executed: no\r\nContent-Length: 0\r\n\r\n"
		if n == 1 {
			send, _, _ := strings.Cut(r.Header.Get(traffic.HeaderDispatch), " ")
			earlier = strings.ReplaceAll(refusal, "SEND", send)
			return refusal
		}
		return earlier // the second send is executed
	})
	status, header, _, err := startChainWithDaemons(t, []*scriptedTarget{daemon}, nil).call(t.Context(), "POST", "/once/x")
	is.NoErr(err)
	is.Equal(daemon.received.Load(), int64(2))
	is.Equal(status, http.StatusBadGateway)
	is.Equal(header.Get("Retry-After"), "")
}

// cutResponses are responses that are cut within their head. SEND is the id by which the Outbound knows its send.
var cutResponses = map[string]string{
	"length":       "HTTP/1.1 200 OK\r\nX-Id: ID\r\nSniperail-Call: SEND\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\n",
	"zero length":  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nSniperail-Call: SEND\r\nContent-Length: 0\r\nX-Stamp: s\r\n\r\n",
	"chunked":      "HTTP/1.1 200 OK\r\nX-Id: ID\r\nSniperail-Call: SEND\r\nTransfer-Encoding: chunked\r\nX-Stamp: s\r\n\r\n",
	"no length":    "HTTP/1.1 200 OK\r\nX-Id: ID\r\nSniperail-Call: SEND\r\nX-Stamp: s\r\n\r\n",
	"bare newline": "HTTP/1.1 200 OK\nX-Id: ID\nSniperail-Call: SEND\nX-Stamp: s\n\n",
}

// Guards against a response that ends within its head and reaches the caller as a success with an empty or short body, or that
// leads to a second execution. The target and the daemon beside it end after each byte of the head.
func TestResponseCutInItsHeadIsNoSuccess(t *testing.T) {
	for name, head := range cutResponses {
		for _, ending := range []connectionEnding{closeConnection, resetConnection} {
			for _, atDaemon := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " ", ending, " daemon=", atDaemon), func(t *testing.T) {
					is := is.New(t)
					cut := 0
					faulty := startScriptedTarget(t, func(_ int, r *http.Request) string {
						send, _, _ := strings.Cut(r.Header.Get(traffic.HeaderDispatch), " ")
						filled := strings.NewReplacer("ID", r.Header.Get("X-Id"), "SEND", send).Replace(head)
						return filled[:min(cut, len(filled)-1)]
					})
					faulty.ending = ending
					good := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
					alone, both := startChain(t, faulty), startChain(t, faulty, good)
					if atDaemon {
						alone = startChainWithDaemons(t, []*scriptedTarget{faulty}, nil)
						both = startChainWithDaemons(t, []*scriptedTarget{faulty}, []*scriptedTarget{good})
					}
					for cut = 1; cut <= len(head); cut++ {
						before := faulty.received.Load()
						status, header, _, err := alone.call(t.Context(), "POST", "/once/x")
						is.NoErr(err)
						is.Equal(status, http.StatusBadGateway)
						is.Equal(header.Get("X-Stamp"), "")
						is.Equal(faulty.received.Load(), before+1)
					}
					cut = len(head) / 2
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

// Guards against a second copy of a response that reaches the next caller on the connection. The copy comes right behind the
// response, or in place of the next one.
func TestSecondCopyReachesNoOtherCaller(t *testing.T) {
	const copied = "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nfirst"
	unnamed := strings.Replace(copied, "X-Id: first\r\n", "", 1)
	own := strings.ReplaceAll(copied, "first", "ID")
	cases := map[string]func(n int) string{
		"behind the response":                  func(int) string { return own + copied },
		"before the next response":             func(n int) string { return []string{own, copied + own}[min(n-1, 1)] },
		"before the next response, without id": func(n int) string { return []string{own, unnamed + own}[min(n-1, 1)] },
		"in place of the next response":        func(n int) string { return []string{own, copied}[min(n-1, 1)] },
	}
	for name, respond := range cases {
		for _, method := range []string{"POST", "GET"} {
			t.Run(name+" "+method, func(t *testing.T) {
				is := is.New(t)
				target := startScriptedTarget(t, func(n int, r *http.Request) string {
					return strings.ReplaceAll(respond(n), "Content-Length: 5\r\n\r\nID",
						"Content-Length: "+strconv.Itoa(len(r.Header.Get("X-Id")))+"\r\n\r\nID")
				})
				ch := startChain(t, target)
				path := map[string]string{"POST": "/once/x", "GET": "/safe/x"}[method]
				for i := range 20 {
					id := []string{"first", "next"}[min(i, 1)]
					status, header, body, err := ch.callWithID(t.Context(), id, method, path)
					is.NoErr(err)
					if status == http.StatusOK {
						is.Equal(body, id)
						is.Equal(header.Get("X-Id"), id)
						continue
					}
					is.Equal(status, http.StatusBadGateway)
				}
			})
		}
	}
}

// Guards against a long response that breaks off on its way and reaches the caller as complete, through the server that
// callers are connected to.
func TestTruncatedLongResponseIsIncomplete(t *testing.T) {
	const length = 300 << 10
	part := strings.Repeat("a", length/2)
	cases := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + part,
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(length, 16) + "\r\n" + part,
		"no last chunk": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strconv.FormatInt(length/2, 16) + "\r\n" + part + "\r\n",
		"in the trailer": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strconv.FormatInt(length/2, 16) + "\r\n" + part + "\r\n0\r\nX-Tr",
	}
	for name, response := range cases {
		for _, ending := range []connectionEnding{closeConnection, resetConnection} {
			t.Run(fmt.Sprint(name, ending), func(t *testing.T) {
				is := is.New(t)
				target := startScriptedTarget(t, func(int, *http.Request) string { return response })
				target.ending = ending
				status, _, body, err := startChain(t, target).call(t.Context(), "POST", "/once/x")
				is.True(err != nil || status == http.StatusBadGateway)
				is.True(len(body) < length)
				is.Equal(target.received.Load(), int64(1))
			})
		}
	}
}
