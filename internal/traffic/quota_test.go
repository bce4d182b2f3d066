package traffic_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/traffic"
)

// scriptedOwner grants a number of tokens, and none after them.
type scriptedOwner struct {
	mu     sync.Mutex
	tokens int
	asked  int
	silent bool
}

func (o *scriptedOwner) ask(_ context.Context, q message.QuotaRequest) (*message.QuotaReply, int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	if o.silent {
		return nil, 1, true
	}
	reply := &message.QuotaReply{Code: message.Accepted, Granted: min(q.Waiting, o.tokens)}
	if o.tokens -= reply.Granted; reply.Granted < q.Waiting {
		reply.RetryAfter, reply.Hold = 700*time.Millisecond, 250*time.Millisecond
	}
	return reply, 1, true
}

// startLimitedChain starts a chain whose tenant "a" has a quota, of which an owner grants some tokens.
func startLimitedChain(t *testing.T, tokens int, targets ...*scriptedTarget) (*chain, *scriptedOwner) {
	t.Helper()
	owner, started := &scriptedOwner{tokens: tokens}, time.Now()
	c := startChainWithOptions(t, func(o *traffic.OutboundOptions) {
		o.Quota = traffic.QuotaOptions{
			Ask: owner.ask, Settings: quota.Settings{Window: time.Hour, Tolerance: 0.1, Slack: 20},
			Uptime: func() time.Duration { return time.Hour + time.Since(started)/1000 }, // slow, so that nothing expires
		}
	}, nil, targets)
	c.setTenants()
	return c, owner
}

// callAs sends a request with an API key and returns the status and the header.
func (c *chain) callAs(t *testing.T, key, path string) (int, http.Header) {
	t.Helper()
	return c.callWithDeadline(t, key, path, "10000")
}

func (c *chain) callWithDeadline(t *testing.T, key, path, deadline string) (int, http.Header) {
	t.Helper()
	r, _ := http.NewRequestWithContext(t.Context(), "GET", c.url+path, nil)
	r.Header.Set("X-Id", "req-1")
	r.Header.Set("X-Deadline", deadline)
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

// Guards against requests beyond the quota that are executed, against other callers that pay for them, and against a denial that
// asks the owner again for every request.
func TestRequestsBeyondTheQuotaAreRefused(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	c, owner := startLimitedChain(t, 2, target)
	for range 2 {
		status, _ := c.callAs(t, "key-a", "/safe/x")
		is.Equal(status, http.StatusOK)
	}
	for range 5 {
		status, header := c.callAs(t, "key-a", "/safe/x")
		is.Equal(status, http.StatusTooManyRequests)
		is.Equal(header.Get(traffic.HeaderRefusal), "quota-exceeded")
		is.Equal(header.Get(traffic.HeaderExecuted), "no")
		is.True(header.Get("Retry-After") != "")
	}
	is.Equal(owner.asked, 3)
	for _, key := range []string{"key-b", ""} {
		status, _ := c.callAs(t, key, "/named/x")
		is.Equal(status, http.StatusOK)
	}
	is.Equal(int(target.received.Load()), 4)
}

// Guards against a retry that costs a token.
func TestRetryCostsNoToken(t *testing.T) {
	is := is.New(t)
	failOnce := func(n int, _ *http.Request) string {
		if n == 1 {
			return "" // the connection breaks
		}
		return okResponse
	}
	first := startScriptedTarget(t, failOnce)
	second := startScriptedTarget(t, failOnce)
	c, owner := startLimitedChain(t, 2, first, second)
	for range 2 {
		status, _ := c.callAs(t, "key-a", "/safe/x")
		is.True(status != http.StatusTooManyRequests)
	}
	is.True(first.received.Load()+second.received.Load() > 2) // there was a retry
	is.Equal(owner.tokens, 0)
	is.Equal(owner.asked, 2)
}

// Guards against a token that is lost with a request that was not executed.
func TestRefusedRequestReturnsItsToken(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	c, owner := startLimitedChain(t, 1, target)
	for range 3 { // refused before the body is read
		status, header := c.callWithDeadline(t, "key-a", "/safe/x", "soon")
		is.Equal(status, http.StatusBadRequest)
		is.Equal(header.Get(traffic.HeaderExecuted), "no")
	}
	status, _ := c.callAs(t, "key-a", "/safe/x")
	is.Equal(status, http.StatusOK)
	owner.tokens = 1
	c.inbounds[0].SetTarget(c.table.View.Targets[0], true) // withheld: every call is refused
	for range 3 {
		status, header := c.callAs(t, "key-a", "/safe/x")
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(header.Get(traffic.HeaderExecuted), "no")
	}
	is.Equal(owner.asked, 2)
}

// Guards against a daemon that refuses everything, or nothing, while the owner does not answer.
func TestShareWithoutTheOwner(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	c, owner := startLimitedChain(t, 5, target)
	owner.silent = true
	status, _ := c.callAs(t, "key-a", "/safe/x")
	is.Equal(status, http.StatusOK) // the scripted share is one request
	status, _ = c.callAs(t, "key-a", "/safe/x")
	is.Equal(status, http.StatusTooManyRequests)
}

// Guards against requests that take their tokens with their heads, wait for the ends of their bodies and are then executed all at once,
// with the tokens of many windows.
func TestTokenIsTakenOnceTheBodyIsComplete(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	c, _ := startLimitedChain(t, 1, target)
	conn, err := net.Dial("tcp", c.address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: req-1\r\nX-Deadline: 10000\r\nAuthorization: Token key-a\r\n"+
		"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n') // the head has been handled
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	status, _ := c.callAs(t, "key-a", "/safe/x")
	is.Equal(status, http.StatusOK)
	_, err = io.WriteString(conn, "{}")
	is.NoErr(err)
	_, err = reader.ReadString('\n') // the empty line
	is.NoErr(err)
	line, err = reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 429 Too Many Requests\r\n")
}
