package traffic_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that wait for their deadline at a daemon that used to answer and was suspended, while its
// announcement still stands in the platform.
func TestStalledPeerEndsItsCalls(t *testing.T) {
	is := is.New(t)
	var stopped atomic.Bool
	release := make(chan struct{})
	answer := func(int, *http.Request) string {
		if stopped.CompareAndSwap(true, false) {
			<-release
		}
		return okAnswer
	}
	ch := startChain(t, startScripted(t, answer), startScripted(t, answer))
	t.Cleanup(func() { close(release) })
	ch.run(t)
	for range 20 {
		status, _, _, err := ch.call(t.Context(), "GET", "/safe/x")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	stopped.Store(true)
	status, _, body, err := ch.call(t.Context(), "GET", "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusOK) // the other target answered
	is.Equal(body, "whole")
	is.True(strings.Contains(ch.scrape(t), `sniperail_ejections_total{reason="target-stalled"} 1`))
}

// Guards against a target that loses single responses and is passed over for a second or more each time, by every daemon:
// its calls would go to the other targets of the service and fill them.
func TestSpoiledResponseDoesNotEject(t *testing.T) {
	is := is.New(t)
	answers := func(bad string) func(int, *http.Request) string {
		return func(n int, _ *http.Request) string {
			if n%3 == 0 {
				return bad
			}
			return okAnswer
		}
	}
	for _, bad := range []string{"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong"} {
		ch := startChain(t, startScripted(t, answers(bad)), startScripted(t, answers(bad)))
		for range 40 {
			_, _, _, err := ch.call(t.Context(), "POST", "/once/x")
			is.NoErr(err)
		}
		is.True(!strings.Contains(ch.scrape(t), "sniperail_ejections_total{"))
	}
}

// Guards against a target whose responses all fail and which gets calls as before.
func TestTargetThatOnlyFailsIsEjected(t *testing.T) {
	is := is.New(t)
	ch := startChain(t, startScripted(t, func(int, *http.Request) string { return "" }))
	for range 10 {
		_, _, _, err := ch.call(t.Context(), "POST", "/once/x")
		is.NoErr(err)
	}
	is.True(strings.Contains(ch.scrape(t), fmt.Sprintf("sniperail_ejections_total{reason=%q}", "connection-lost")))
}
