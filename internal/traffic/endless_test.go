package traffic_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessResponses begin responses that continue with filler until the connection is closed.
var endlessResponses = []struct{ name, start, filler string }{
	{"header field", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Long: ", "aaaaaaaa"},
	{"header fields", "HTTP/1.1 200 OK\r\nX-Id: ID\r\n", "X-Field: value\r\n"},
	{"informational responses", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	{"no HTTP", "zzzz", "zzzzzzzz"},
	{"lines that are no HTTP", "no status line\r\n", "no field\r\n"},
	{"chunks", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\naaaaaaaa\r\n"},
	{"chunk size", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5;", "extension"},
	{"trailer", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", "X-Field: value\r\n"},
	{"body without length", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\n\r\n", "aaaaaaaa"},
}

// Guards against a response without end that occupies a slot and memory until the deadline, that reaches the caller as
// complete, or whose connection stays open.
func TestEndlessResponsesAreCut(t *testing.T) {
	for _, c := range endlessResponses {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			bad := startScriptedTarget(t, func(int, *http.Request) string { return c.start })
			bad.filler = strings.Repeat(c.filler, 1000)
			good := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })

			alone := startChain(t, bad)
			alone.deadline = time.Minute // the test would time out if only the deadline ended the call
			for i := range 6 {           // more than the target has slots
				status, header, body, err := alone.call(t.Context(), "POST", "/once/x")
				is.NoErr(err)
				is.Equal(status, http.StatusBadGateway)
				is.True(header.Get("X-Stamp") == "" && !strings.Contains(body, "aaaa"))
				is.Equal(bad.received.Load(), int64(i+1))
				<-bad.cut // the connection is closed
			}

			both := startChain(t, bad, good)
			for range 5 {
				status, _, body, err := both.call(t.Context(), "GET", "/safe/x")
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
				is.Equal(body, "whole")
			}
		})
	}
}

// writeEndlessly writes the filler until the connection is closed, and reports that to cut.
func (s *scriptedTarget) writeEndlessly(w io.Writer) {
	for {
		if _, err := io.WriteString(w, s.filler); err != nil {
			select {
			case s.cut <- struct{}{}:
			default:
			}
			return
		}
	}
}

// Guards against responses without a length that together exceed the memory of the process, and against a budget that is not
// returned when a response has been passed on or cut.
func TestUnsizedResponsesShareABudget(t *testing.T) {
	is := is.New(t)
	const size = 1000
	response := "HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\n\r\n" + strings.Repeat("a", size)
	target := startScriptedTarget(t, func(int, *http.Request) string { return response })
	ch := startChain(t, target)
	ch.inbounds[0].SetUnsizedLimit(size - 1)
	status, _, _, err := ch.call(t.Context(), "POST", "/once/x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	// The bytes of a response are returned shortly after the caller has received it, so there is room for several.
	ch.inbounds[0].SetUnsizedLimit(10 * size)
	for range 50 {
		status, _, body, err := ch.call(t.Context(), "POST", "/once/x")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(len(body), size)
	}
}
