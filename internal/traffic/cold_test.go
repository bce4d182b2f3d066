package traffic_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/traffic"
)

// tolerated is the number of calls per second that a cold target of these tests tolerates.
const tolerated = 4.0

// arrivals records when requests arrive at a target.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) record() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// most returns the largest number of arrivals within any second.
func (a *arrivals) most() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for last := range a.at {
		for a.at[last].Sub(a.at[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// countOK sends calls, all at once, and counts those that were served. The others may be refused, or have waited for
// too long.
func countOK(t *testing.T, c *chain, calls int) int {
	t.Helper()
	var ok atomic.Int64
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			if status, _, _, err := c.call(t.Context(), "POST", "/once/x"); err == nil && status == http.StatusOK {
				ok.Add(1)
			}
		})
	}
	group.Wait()
	return int(ok.Load())
}

// makeCold makes the first target cold for the given time, or warm, on its daemon and for the callers.
func (c *chain) makeCold(left time.Duration) {
	view := *c.table.View
	configuration := *view.Configuration
	configuration.Services = append([]model.Service(nil), configuration.Services...)
	configuration.Services[0].WarmupPerSecond = tolerated
	view.Configuration = &configuration
	view.Targets = append([]model.Target(nil), view.Targets...)
	view.Targets[0].WarmAt = time.Now().Add(left)
	c.table = routing.NewTable(&view)
	c.inbounds[0].Update(view.Targets[0], traffic.TargetConditions{WarmupPerSecond: tolerated})
}

// Guards against a cold target that gets more requests in a second than it tolerates, whether its calls have anywhere else to go or
// not, and against calls that are refused although another target could serve them.
func TestColdTargetGetsNoMoreRequestsThanItTolerates(t *testing.T) {
	for name, others := range map[string]int{"alone": 0, "with another": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var seen arrivals
			targets := []*scriptedTarget{startScriptedTarget(t, func(int, *http.Request) string { seen.record(); return okResponse })}
			for range others {
				targets = append(targets, startScriptedTarget(t, func(int, *http.Request) string { return okResponse }))
			}
			c := startChain(t, targets...)
			if others == 0 {
				c.deadline = time.Second
			}
			c.makeCold(time.Minute)
			served := 0
			for range 2 {
				served += countOK(t, c, 40)
			}
			if others > 0 {
				is.Equal(served, 80)
			}
			is.True(float64(seen.most()) <= tolerated+2) // the bucket holds one call, and a second begins and ends within a call
			is.True(c.inbounds[0].ColdRateLimit() == tolerated)
			c.makeCold(0)
			is.True(c.inbounds[0].ColdRateLimit() == 0)
		})
	}
}

// Guards against a target that says in a response that it is cold and is called as before until its next report.
func TestResponseThatNamesAWarmupLimitsTheTarget(t *testing.T) {
	is := is.New(t)
	var seen arrivals
	target := startScriptedTarget(t, func(int, *http.Request) string {
		seen.record()
		return "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Warmup: 60000\r\nContent-Length: 5\r\n\r\nwhole"
	})
	c := startChain(t, target)
	c.makeCold(0)
	is.Equal(countServed(t, c, 1), 1)
	c.deadline = time.Second
	time.Sleep(time.Second) // the first call was sent to a target that counted as warm
	countOK(t, c, 40)
	is.True(float64(seen.most()) <= tolerated+2)
	c.inbounds[0].Update(c.table.View.Targets[0], traffic.TargetConditions{WarmupPerSecond: tolerated})
	is.True(c.inbounds[0].ColdRateLimit() == tolerated) // the view is older than the response
}

// Guards against requests to the targets of an evacuated data centre, also by callers' daemons that don't know of it yet, against
// calls that are lost there although others could serve them, and against an evacuation that does not end.
func TestEvacuatedTargetGetsNoRequests(t *testing.T) {
	is := is.New(t)
	evacuated := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	other := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	c := startChain(t, evacuated, other)
	local := c.table.View.Targets[0]
	c.inbounds[0].Update(local, traffic.TargetConditions{Evacuated: true})
	is.Equal(countServed(t, c, 20), 20)
	is.Equal(evacuated.received.Load(), int64(0))

	c.evacuate("d")
	is.Equal(countServed(t, c, 5), 0) // refused as not executed, with Retry-After
	is.Equal(evacuated.received.Load(), int64(0))
	is.Equal(other.received.Load(), int64(20))
	c.evacuate()
	c.inbounds[0].Update(local, traffic.TargetConditions{})
	is.Equal(countServed(t, c, 20), 20)
}

// evacuate replaces the routing table by one with the given evacuated data centres.
func (c *chain) evacuate(dcs ...model.DataCentre) {
	view := *c.table.View
	view.Evacuated = dcs
	c.table = routing.NewTable(&view)
}

// Guards against a daemon that has read an old announcement, takes a target for cold that has long been warm, and leaves it idle while
// the others are busy.
func TestReportWithoutLimitShowsThatTheTargetIsWarm(t *testing.T) {
	is := is.New(t)
	answer := func(int, *http.Request) string {
		time.Sleep(20 * time.Millisecond)
		return okResponse
	}
	warm, other := startScriptedTarget(t, answer), startScriptedTarget(t, answer)
	c := startChain(t, warm, other)
	c.makeCold(time.Minute)
	local := c.table.View.Targets[0]
	local.WarmAt = time.Time{}
	c.inbounds[0].Update(local, traffic.TargetConditions{WarmupPerSecond: tolerated})
	served := 0
	for range 10 {
		served += countOK(t, c, 40)
	}
	is.Equal(served, 400)
	is.True(warm.received.Load() > 100)
}
