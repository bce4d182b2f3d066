package traffic_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// limitedResponse is a response with the given values of the header for the rate limit.
func limitedResponse(values ...string) string {
	header := ""
	for _, value := range values {
		header += "X-Rate-Limit: " + value + "\r\n"
	}
	return "HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + header + "Content-Length: 5\r\n\r\nwhole"
}

// countServed sends calls, all at once, and counts those that were served. The others must be refused as not executed.
func countServed(t *testing.T, c *chain, calls int) int {
	t.Helper()
	served := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			status, header, _, err := c.call(t.Context(), "POST", "/once/x")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Error(err)
			case status == http.StatusOK:
				served++
			case status != http.StatusServiceUnavailable || header.Get("Retry-After") == "":
				t.Errorf("status %d, Retry-After %q", status, header.Get("Retry-After"))
			}
		})
	}
	group.Wait()
	return served
}

// Guards against a target that gets more requests than the rate limit that it has named, whatever form the limit has.
func TestTargetThatNamesARateLimitGetsNoMore(t *testing.T) {
	tests := map[string]struct {
		values  []string
		limited bool
	}{
		"a decimal number": {[]string{"0.5"}, true}, "zero": {[]string{"0"}, true}, "the lowest of two": {[]string{"900", "0.5"}, true},
		"one of two invalid": {[]string{"soon", "0.5"}, true}, "a list": {[]string{"0.5, 900"}, true},
		"a huge number": {[]string{"1e300"}, false}, "negative": {[]string{"-3"}, false}, "no number": {[]string{"soon"}, false},
		"out of range": {[]string{"1e400"}, false}, "not a number": {[]string{"NaN"}, false}, "none": {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := startScriptedTarget(t, func(int, *http.Request) string { return limitedResponse(test.values...) })
			c := startChain(t, target)
			c.deadline = time.Second
			is.Equal(countServed(t, c, 1), 1)
			start := time.Now()
			served := countServed(t, c, 20)
			is.Equal(int(target.received.Load()), served+1) // a refused call has not been executed
			if test.limited {
				is.True(served <= callsWithin(0.5, time.Since(start)))
			} else {
				is.Equal(served, 20)
			}
		})
	}
}

// callsWithin returns the calls that a target with a rate limit may get within a time: what the limit allows, and the one call that
// its bucket holds.
func callsWithin(perSecond float64, d time.Duration) int { return 1 + int(perSecond*d.Seconds()) }

// Guards against calls that are refused at a target with a rate limit, although another target could serve them.
func TestCallsBeyondARateLimitAreServedElsewhere(t *testing.T) {
	is := is.New(t)
	limited := startScriptedTarget(t, func(int, *http.Request) string { return limitedResponse("0.5") })
	other := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	c := startChain(t, limited, other)
	is.Equal(countServed(t, c, 20), 20)
	before, start := limited.received.Load(), time.Now()
	for range 10 {
		is.Equal(countServed(t, c, 2), 2)
	}
	is.True(int(limited.received.Load()-before) <= callsWithin(0.5, time.Since(start)))
}

// Guards against a rate limit that stays in force although the target no longer names it.
func TestRateLimitEndsWithTheFirstAnswerWithoutIt(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(n int, _ *http.Request) string {
		if n == 1 {
			return limitedResponse("2")
		}
		return okResponse
	})
	c := startChain(t, target)
	is.Equal(countServed(t, c, 1), 1)
	is.Equal(countServed(t, c, 1), 1) // waits for room in the limit
	is.Equal(countServed(t, c, 20), 20)
}
