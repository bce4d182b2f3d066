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

// Guards against a long call that is given up because the target's few other calls were short: its response is lost, and if
// the repeat fails, the caller gets a refusal. Seen on quiet-1 of glbs-ticketrail-grown, once in a score.
func TestLongCallIsAwaited(t *testing.T) {
	is := is.New(t)
	var long atomic.Bool
	release, arrived := make(chan struct{}), make(chan struct{})
	target := startScripted(t, func(int, *http.Request) string {
		if long.CompareAndSwap(true, false) {
			close(arrived)
			<-release
		}
		return okAnswer
	})
	ch := startChain(t, target, startScripted(t, func(int, *http.Request) string { return "" }))
	ch.deadline = 3 * time.Second
	for range 30 {
		_, _, _, err := ch.call(t.Context(), "GET", "/safe/x")
		is.NoErr(err)
	}
	long.Store(true)
	var called sync.WaitGroup
	called.Go(func() {
		for long.Load() {
			status, _, body, err := ch.call(t.Context(), "GET", "/safe/x")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "whole")
		}
	})
	<-arrived
	// Longer than a third of the deadline, after which a call was given up.
	timer := time.NewTimer(ch.deadline/3 + 300*time.Millisecond)
	<-timer.C
	close(release)
	called.Wait()
	is.True(!strings.Contains(ch.scrape(t), `reason="target-stalled"`))
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
