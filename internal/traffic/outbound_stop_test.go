package traffic_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that arrives while the daemon stops and is cut off without an answer at the end of the grace period,
// among them one that may not be repeated.
func TestRequestsDuringAStopAreAnsweredBeforeItsEnd(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	target := startScriptedTarget(t, func(int, *http.Request) string {
		<-release
		return okResponse
	})
	c := startChain(t, target)
	t.Cleanup(func() { close(release) })
	c.deadline = time.Hour
	c.outbound.StopAt(time.Now().Add(500 * time.Millisecond))
	status, header, _, err := c.call(t.Context(), "POST", "/once/x")
	is.NoErr(err)
	is.Equal(status, http.StatusGatewayTimeout) // the target may have executed it
	is.Equal(header.Get("Retry-After"), "")
	is.Equal(target.received.Load(), int64(1))
}

// Guards against a request that arrived before the daemon began to stop and is cut off without an answer at the end of the grace
// period, because its deadline is later.
func TestEarlierRequestsAreAnsweredBeforeAStopEnds(t *testing.T) {
	is := is.New(t)
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	target := startScriptedTarget(t, func(int, *http.Request) string {
		arrived <- struct{}{}
		<-release
		return okResponse
	})
	c := startChain(t, target)
	t.Cleanup(func() { close(release) })
	c.deadline = time.Hour
	go func() {
		<-arrived
		c.outbound.StopAt(time.Now())
		c.outbound.CancelCalls()
	}()
	status, header, _, err := c.call(t.Context(), "POST", "/once/x")
	is.NoErr(err)
	is.Equal(status, http.StatusGatewayTimeout) // the target may have executed it
	is.Equal(header.Get("Retry-After"), "")
	is.Equal(target.received.Load(), int64(1))
}

// Guards against a request that is passed on although it cannot finish before the daemon has stopped.
func TestRequestsThatCannotFinishBeforeAStopAreRefused(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	c := startChain(t, target)
	c.outbound.StopAt(time.Now())
	for _, path := range []string{"/once/x", "/safe/x"} {
		status, _, _, err := c.call(t.Context(), "POST", path)
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
	}
	is.Equal(target.received.Load(), int64(0))
}

// Guards against a call of the local target, at which a request waits, that is refused in a stop although it ends before it, and
// against a request that is taken then and may not end before it.
func TestOnlyRequestsThatEndBeforeAStopAreTakenAtItsEnd(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	c := startChain(t, target)
	c.outbound.StopAt(time.Now().Add(2 * time.Second))
	c.outbound.RefuseLong()
	for deadline, want := range map[time.Duration]int{time.Second: http.StatusOK, time.Hour: http.StatusServiceUnavailable} {
		c.deadline = deadline
		status, _, _, err := c.call(t.Context(), "POST", "/once/x")
		is.NoErr(err)
		is.Equal(status, want)
	}
	is.Equal(target.received.Load(), int64(1))
}
