package traffic_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a long call that is cancelled as stalled because the few other calls to the target were short: its response
// is lost, and if the retry fails, the caller gets a refusal. Seen once, on the simulated day quiet-1 of the deployment
// glbs-ticketrail-grown.
func TestLongCallIsNotCancelled(t *testing.T) {
	is := is.New(t)
	var delayNext atomic.Bool // makes the next call a long one
	release, arrived := make(chan struct{}), make(chan struct{})
	target := startScriptedTarget(t, func(int, *http.Request) string {
		if delayNext.CompareAndSwap(true, false) {
			close(arrived)
			<-release
		}
		return okResponse
	})
	ch := startChain(t, target, startScriptedTarget(t, func(int, *http.Request) string { return "" }))
	ch.deadline = 3 * time.Second
	for range 30 {
		_, _, _, err := ch.call(t.Context(), "GET", "/safe/x")
		is.NoErr(err)
	}
	delayNext.Store(true)
	var called sync.WaitGroup
	called.Go(func() {
		for delayNext.Load() {
			status, _, body, err := ch.call(t.Context(), "GET", "/safe/x")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "whole")
		}
	})
	<-arrived
	// Longer than a third of the deadline, after which a stalled call would be cancelled.
	timer := time.NewTimer(ch.deadline/3 + 300*time.Millisecond)
	<-timer.C
	close(release)
	called.Wait()
	is.True(!strings.Contains(ch.scrape(t), `reason="target-stalled"`))
}

// Guards against a target that is ejected for a second or more, by every daemon, each time it loses a single response: its
// calls would go to the other targets of the service and overload them.
func TestInvalidResponseDoesNotEject(t *testing.T) {
	is := is.New(t)
	responses := func(bad string) func(int, *http.Request) string {
		return func(n int, _ *http.Request) string {
			if n%3 == 0 {
				return bad
			}
			return okResponse
		}
	}
	for _, bad := range []string{"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong"} {
		ch := startChain(t, startScriptedTarget(t, responses(bad)), startScriptedTarget(t, responses(bad)))
		for range 40 {
			_, _, _, err := ch.call(t.Context(), "POST", "/once/x")
			is.NoErr(err)
		}
		is.True(!strings.Contains(ch.scrape(t), "sniperail_ejections_total{"))
	}
}

// Guards against a target that still gets all its calls although all of them fail.
func TestFailingTargetIsEjected(t *testing.T) {
	is := is.New(t)
	ch := startChain(t, startScriptedTarget(t, func(int, *http.Request) string { return "" }))
	for range 10 {
		_, _, _, err := ch.call(t.Context(), "POST", "/once/x")
		is.NoErr(err)
	}
	is.True(strings.Contains(ch.scrape(t), fmt.Sprintf("sniperail_ejections_total{reason=%q}", "connection-lost")))
}
