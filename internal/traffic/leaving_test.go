package traffic_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/traffic"
)

const (
	leavingResponse = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Leaving: 1\r\nContent-Length: 5\r\n\r\nwhole"
	leavingRefusal  = "HTTP/1.1 503 No\r\nX-Id: ID\r\nX-Not-Executed: 1\r\nX-Leaving: 1\r\nContent-Length: 2\r\n\r\nno"
)

// Guards against a target that gets requests after it has said in a response that it is leaving, whatever the response.
func TestTargetThatSaysItIsLeavingGetsNoMoreRequests(t *testing.T) {
	for name, response := range map[string]string{"an answer": leavingResponse, "a refusal": leavingRefusal} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := startScriptedTarget(t, func(int, *http.Request) string { return response })
			c := startChain(t, target)
			_, _, _, err := c.call(t.Context(), "POST", "/once/x")
			is.NoErr(err)
			for range 10 {
				status, _, _, err := c.call(t.Context(), "GET", "/safe/x")
				is.NoErr(err)
				is.Equal(status, http.StatusServiceUnavailable)
			}
			// The control loop still believes the reports of the target.
			c.inbounds[0].SetTarget(c.table.View.Targets[0], false)
			_, _, _, err = c.call(t.Context(), "GET", "/safe/x")
			is.NoErr(err)
			is.Equal(target.received.Load(), int64(1))
		})
	}
}

// Guards against requests to a target that is leaving from a daemon that has passed that on, after a restart of the target's
// daemon, which does not know it any more.
func TestDaemonRemembersThatATargetIsLeaving(t *testing.T) {
	is := is.New(t)
	daemon := startScriptedTarget(t, func(int, *http.Request) string {
		return "HTTP/1.1 200 OK\r\n" + traffic.HeaderCall + ": SEND\r\nX-Id: ID\r\nX-Leaving: 1\r\nContent-Length: 5\r\n\r\nwhole"
	})
	c := startChainWithDaemons(t, []*scriptedTarget{daemon}, nil)
	status, _, _, err := c.call(t.Context(), "GET", "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	c.changeTarget(func(target *model.Target) { target.Incarnation++ })
	status, _, _, err = c.call(t.Context(), "GET", "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(daemon.received.Load(), int64(1))
}

// Guards against a target that returns under its name and gets no requests, and against an answer of its earlier run that
// arrives late and takes the new run out of service.
func TestReturnedTargetGetsRequests(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	target := startScriptedTarget(t, func(_ int, r *http.Request) string {
		if r.Method == http.MethodPost {
			arrived <- struct{}{}
			<-release
			return leavingResponse
		}
		return okResponse
	})
	c := startChain(t, target)
	done := make(chan error, 1)
	go func() {
		_, _, _, err := c.call(t.Context(), "POST", "/once/x")
		done <- err
	}()
	<-arrived
	c.changeTarget(func(target *model.Target) { target.Born++ })
	c.inbounds[0].SetTarget(c.table.View.Targets[0], false)
	close(release)
	is.NoErr(<-done)
	status, _, _, err := c.call(t.Context(), "GET", "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// changeTarget replaces the routing table by one with the first target changed.
func (c *chain) changeTarget(change func(*model.Target)) {
	view := *c.table.View
	view.Targets = append([]model.Target(nil), view.Targets...)
	change(&view.Targets[0])
	c.table = routing.NewTable(&view)
}
