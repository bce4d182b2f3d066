package traffic_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/traffic"
)

// oddHead is a head that Go's client takes and that its server would change, refuse or leave out parts of.
type oddHead struct {
	method, response string
	// status is what the caller gets, reason that of the refusal; "" if it gets the response.
	status       int
	reason, body string
	// header and value are a header that the caller gets; a header without a value is one that it must not get.
	header, value string
}

const started = "HTTP/1.1 200 OK\r\nX-Id: ID\r\n"

var oddHeads = map[string]oddHead{
	"length beside chunks": {"POST", started + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		200, "", "whole", "Content-Length", "5"},
	"length in the trailer": {"POST", started + "Trailer: Content-Length\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"5\r\nwhole\r\n0\r\nContent-Length: 1\r\n\r\n", 502, "connection-lost", "", "X-Stamp", ""},
	"trailer": {"POST", started + "Trailer: X-Late\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"5\r\nwhole\r\n0\r\nX-Late: 1\r\n\r\n", 200, "", "whole", "Trailer", ""},
	"long trailer": {"POST", started + "Trailer: X-Late\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" +
		strings.Repeat("a", 128<<10) + "\r\n0\r\nX-Late: 1\r\n\r\n", 200, "", strings.Repeat("a", 128<<10), "Trailer", ""},
	"204 with body": {"POST", "HTTP/1.1 204 No\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nwhole", 204, "", "", "X-Stamp", "s"},
	"204 with chunks": {"POST", "HTTP/1.1 204 No\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		204, "", "", "X-Stamp", "s"},
	"204 with long body": {"POST", "HTTP/1.1 204 No\r\nX-Id: ID\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("a", 300_000),
		204, "", "", "Content-Length", ""},
	"304 with body": {"GET", "HTTP/1.1 304 Same\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nwhole", 304, "", "", "X-Stamp", "s"},
	"304 without body": {"GET", "HTTP/1.1 304 Same\r\nX-Id: ID\r\nEtag: \"e\"\r\nContent-Length: 5\r\n\r\n",
		304, "", "", "Content-Length", ""},
	"HEAD":                    {"HEAD", started + "Content-Length: 5\r\n\r\n", 200, "", "", "Content-Length", "5"},
	"HEAD of a long response": {"HEAD", started + "Content-Length: 300000\r\n\r\n", 200, "", "", "Content-Length", "300000"},
	"HEAD with chunks":        {"HEAD", started + "Transfer-Encoding: chunked\r\n\r\n", 200, "", "", "X-Id", "req-1"},
	"HEAD without a length":   {"HEAD", started + "X-Stamp: s\r\n\r\n", 200, "", "", "X-Stamp", "s"},
	"space in a name":         {"POST", started + "X Odd: 1\r\nContent-Length: 5\r\n\r\nwhole", 200, "", "whole", "X Odd", ""},
	"empty value":             {"POST", started + "X-Stamp:\r\nContent-Length: 5\r\n\r\nwhole", 200, "", "whole", "X-Stamp", ""},
	"folded value":            {"POST", started + "X-Stamp: a\r\n  b\r\nContent-Length: 5\r\n\r\nwhole", 200, "", "whole", "X-Stamp", "a b"},
	"bytes over 127":          {"POST", started + "X-Stamp: \xe9\r\nContent-Length: 5\r\n\r\nwhole", 200, "", "whole", "X-Stamp", "\xe9"},
	"length named as hop-by-hop": {"POST", started + "Connection: Content-Length, X-Stamp\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nwhole",
		200, "", "whole", "X-Stamp", ""},
	"two equal lengths": {"POST", started + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole", 200, "", "whole", "Content-Length", "5"},
	"no reason":         {"POST", "HTTP/1.1 200\r\nX-Id: ID\r\nContent-Length: 5\r\n\r\nwhole", 200, "", "whole", "X-Id", "req-1"},
	"HTTP/1.0":          {"POST", "HTTP/1.0 200 OK\r\nX-Id: ID\r\nContent-Length: 5\r\n\r\nwhole", 200, "", "whole", "X-Id", "req-1"},
	"599":               {"POST", "HTTP/1.1 599 Odd\r\nX-Id: ID\r\nContent-Length: 5\r\n\r\nwhole", 599, "", "whole", "X-Id", "req-1"},
	"NUL in a value":    {"POST", started + "X-Stamp: a\x00b\r\nContent-Length: 5\r\n\r\nwhole", 502, "connection-lost", "", "X-Stamp", ""},
	"CR in a value":     {"POST", started + "X-Stamp: a\rb\r\nContent-Length: 5\r\n\r\nwhole", 502, "connection-lost", "", "X-Stamp", ""},
	"invalid name":      {"POST", started + "X@Odd\x01: 1\r\nContent-Length: 5\r\n\r\nwhole", 502, "connection-lost", "", "X-Stamp", ""},
	"two lengths":       {"POST", started + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nwhole", 502, "connection-lost", "", "X-Stamp", ""},
	"space after the name of the length": {"POST", started + "Content-Length : 9\r\nConnection: close\r\n\r\nwhole",
		502, "response-invalid", "", "X-Stamp", ""},
	"space after the name of the encoding": {"POST", started + "transfer-encoding  : chunked\r\nConnection: close\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		502, "response-invalid", "", "X-Stamp", ""},
}

// Guards against a head of a target that makes a daemon panic, or with which the caller gets another response, or none.
func TestOddHeadsArePassedOnOrRefused(t *testing.T) {
	for name, odd := range oddHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := startScriptedTarget(t, func(int, *http.Request) string { return odd.response })
			ch := startChain(t, target)
			path := map[string]string{"POST": "/once/x", "GET": "/safe/x", "HEAD": "/safe/x"}[odd.method]
			for n := range 3 {
				status, header, body, err := ch.call(t.Context(), odd.method, path)
				is.NoErr(err)
				is.Equal(status, odd.status)
				is.Equal(header.Get(traffic.HeaderRefusal), odd.reason)
				is.True(odd.reason != "" || body == odd.body)
				is.Equal(header.Get(odd.header), odd.value)
				is.Equal(target.received.Load(), int64(n+1))
			}
			waitUntil(func() bool { running, _, _ := ch.inbounds[0].Occupancy(); return running == 0 })
			is.Equal(ch.logs.FilterMessage("handler-panicked").Len(), 0)
		})
	}
}

// panickingWriter is the response of a server that refuses each status.
type panickingWriter struct{ http.ResponseWriter }

func (panickingWriter) WriteHeader(status int) { panic(status) }

// Guards against a panic beside the target that leaves no line with the request, or that ends in anything but a closed connection.
func TestPanicBesideTargetIsLogged(t *testing.T) {
	is := is.New(t)
	ch := startChain(t, startScriptedTarget(t, func(int, *http.Request) string { return okResponse }))
	r := httptest.NewRequestWithContext(t.Context(), "POST", "/once/x", nil)
	r.Header.Set("X-Id", "req-2")
	func() {
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
		ch.inbounds[0].ServeHTTP(panickingWriter{httptest.NewRecorder()}, r)
	}()
	is.Equal(ch.logs.FilterMessage("handler-panicked").FilterField(zap.String("request", "req-2")).Len(), 1)
}

// Guards against a status that no response has and that the callers' server sends as it is, or as 200 if it is 0.
func TestInvalidStatusOfHandlerIsNotSent(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{0, 7, 99, 100, 600, 999} {
		_, address := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }),
			func(conn net.Conn) net.Conn { return conn })
		response, err := http.Get("http://" + address)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusBadGateway)
	}
}
