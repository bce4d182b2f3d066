package traffic_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/traffic"
)

// Guards against more calls at the target than it has slots while callers connect, disconnect and time out concurrently,
// against slots that are never freed, and against a refusal that states "not executed" for an executed call.
func TestSlotLimitHoldsUnderConcurrency(t *testing.T) {
	is := is.New(t)
	var running, peak, executed atomic.Int64
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for old := peak.Load(); now > old; old = peak.Load() {
			peak.CompareAndSwap(old, now)
		}
		executed.Add(1)
		okHandler(w, r)
	})
	var succeeded, maybeExecuted atomic.Int64
	var wg sync.WaitGroup
	for worker := range 16 {
		wg.Go(func() {
			for i := range 40 {
				ctx, cancel := context.WithCancel(context.Background())
				if (worker+i)%5 == 0 {
					go cancel()
				}
				a := m.callContext(ctx, "POST", "/a", strings.NewReader("x"))
				cancel()
				switch {
				case a.err != nil || a.executed == "unknown":
					maybeExecuted.Add(1)
				case a.status == 200:
					succeeded.Add(1)
				case a.executed != "no":
					t.Errorf("neither a success nor a refusal before execution: %+v", a)
				}
			}
		})
	}
	wg.Wait()
	is.NoErr(m.ingress.Wait(context.Background()))
	is.NoErr(m.admissions[0].Wait(context.Background()))
	is.True(peak.Load() <= 2)
	is.True(executed.Load() >= succeeded.Load())
	is.True(executed.Load() <= succeeded.Load()+maybeExecuted.Load()) // no call refused as "not executed" ran
	for busy := 1; busy > 0; {                                        // abandoned calls free their slots soon after
		busy, _, _ = m.admissions[0].Occupancy()
	}
	is.True(succeeded.Load() > 0)
}

// Guards against two calls in one slot: while the target executes as many calls as it has slots, others wait or are refused.
func TestFullTargetRefusesAsNotExecuted(t *testing.T) {
	is := is.New(t)
	var executed atomic.Int64
	arrived, release := make(chan struct{}, 10), make(chan struct{})
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		executed.Add(1)
		arrived <- struct{}{}
		<-release
		okHandler(w, r)
	})
	var wg sync.WaitGroup
	for range 4 { // two slots and two queue places
		wg.Go(func() { is.Equal(m.call("POST", "/a", "").status, 200) })
	}
	<-arrived
	<-arrived
	waitUntil(func() bool {
		_, _, queued := m.admissions[0].Occupancy()
		return queued == 2
	})
	a := m.call("POST", "/a", "")
	is.Equal(a.refusal, "queue-full")
	is.Equal(a.executed, "no")
	is.Equal(a.status, 503)
	is.Equal(a.header.Get("Retry-After"), "1")
	is.Equal(executed.Load(), int64(2))
	close(release)
	wg.Wait()
	is.Equal(executed.Load(), int64(4))
}

// Guards against a slot that is freed when its caller disconnects although the target still executes the call: a target with
// two slots would get a third call.
func TestAbandonedCallKeepsItsSlot(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release // ignores that the caller has disconnected
		okHandler(w, r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { is.True(m.callContext(ctx, "POST", "/a", nil).err != nil) })
	}
	<-arrived
	<-arrived
	cancel()
	wg.Wait()
	is.NoErr(m.ingress.Wait(context.Background()))
	is.NoErr(m.admissions[0].Wait(context.Background()))
	busy, _, _ := m.admissions[0].Occupancy()
	is.Equal(busy, 2)
	close(release)
	waitUntil(func() bool {
		busy, _, _ := m.admissions[0].Occupancy()
		return busy == 0
	})
}

// Guards against a shutdown that interrupts a call in flight or accepts a new one.
func TestDrainFinishesCallsInFlight(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		okHandler(w, r)
	})
	var wg sync.WaitGroup
	wg.Go(func() { is.Equal(m.call("POST", "/slow", "x").body, "ok /slow x") })
	<-arrived
	m.admissions[0].Drain()
	a := m.call("POST", "/a", "")
	is.Equal(a.refusal, "draining")
	is.Equal(a.executed, "no")
	m.ingress.Drain()
	is.Equal(m.call("POST", "/a", "").refusal, "draining")
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(m.ingress.Wait(expired) != nil) // the call is still in flight
	close(release)
	is.NoErr(m.ingress.Wait(context.Background()))
	is.NoErr(m.admissions[0].Wait(context.Background()))
	wg.Wait()
}

// Guards against a target that executes calls for a version that it does not run, because the view of the ingress shows a
// wrong version for it, and against calls to a withheld version.
func TestWrongAndWithheldVersionsGetNoCalls(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, okHandler)
	m.updateView(func(v *model.View) {
		v.Configuration.Services = []model.Service{
			{Name: "s", Versions: []model.VersionShare{{Version: "v 2", Share: model.FullShare}}},
		}
		v.Targets[0].Version = "v 2"
	})
	a := m.call("POST", "/a", "")
	is.Equal(a.refusal, "wrong-target")
	is.Equal(a.executed, "no")
	m.updateView(func(v *model.View) {
		v.Marks = []model.Mark{{VersionRef: model.VersionRef{Service: "s", Version: "v 2"}}}
	})
	is.Equal(m.call("POST", "/a", "").refusal, "no-version")
}

// Guards against a caller that occupies a slot while it sends its body slowly, and against one that never ends its body.
func TestSlowCallerHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, okHandler)
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /short HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab")
	is.NoErr(err)
	waitUntil(func() bool { return m.ingress.InFlight() > 0 })
	busy, _, _ := m.admissions[0].Occupancy()
	is.Equal(busy, 0)
	is.Equal(m.call("POST", "/a", "x").status, 200)
	var responses bytes.Buffer
	_, _ = io.Copy(&responses, conn) // ends after the deadline of the route
	is.True(strings.HasPrefix(responses.String(), "HTTP/1.1 400"))
	is.True(strings.Contains(responses.String(), `"executed":"no"`))
}

// Guards against outcomes that are lost, counted twice or recorded for refusals, and against missing call metrics.
func TestOutcomesAreReportedOnce(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			w.WriteHeader(500)
		}
		okHandler(w, r)
	})
	for range 3 {
		m.call("GET", "/a", "")
	}
	m.call("GET", "/bad", "")
	m.admissions[0].Drain()
	m.call("GET", "/a", "") // refused
	is.NoErr(m.ingress.Wait(context.Background()))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.ingress.Run(ctx) // reports once and returns
	sum := m.sums[model.OutcomeKey{Service: "s", Route: "all", Version: "v1"}]
	is.Equal(sum.Calls, uint32(4))
	is.Equal(sum.Failures, uint32(1))
	is.True(strings.Contains(m.scrape(), `sniperail_calls_total{outcome="ok",route="all",service="s",version="v1"} 3`))
}

// onceStub records claims in memory.
type onceStub struct {
	mu        sync.Mutex
	refuse    bool
	responses map[string]*traffic.Response
	begun     map[string]bool
	results   []traffic.OnceOutcome
}

func (o *onceStub) Begin(_ context.Context, r traffic.OnceRequest) traffic.OnceDecision {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.refuse:
		return traffic.OnceDecision{Kind: traffic.OnceRefused, Reason: "platform-unavailable"}
	case o.responses[r.Identity] != nil:
		return traffic.OnceDecision{Kind: traffic.OnceReplay, Response: o.responses[r.Identity]}
	case o.begun[r.Identity]:
		return traffic.OnceDecision{Kind: traffic.OnceUnknown}
	}
	o.begun[r.Identity] = true
	return traffic.OnceDecision{Kind: traffic.OnceRun}
}

func (o *onceStub) Finish(_ context.Context, r traffic.OnceRequest, _ traffic.OnceDecision, result traffic.OnceResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results = append(o.results, result.Outcome)
	if result.Outcome == traffic.OnceAnswered {
		o.responses[r.Identity] = result.Response
	}
}

// Guards against a second execution of a request with an identity, a lost response, an execution without a claim, and an
// unknown outcome that is reported as a refusal before execution.
func TestRequestWithIdentityRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	var executed atomic.Int64
	once := &onceStub{responses: map[string]*traffic.Response{}, begun: map[string]bool{}}
	m := newMesh(t, once, func(w http.ResponseWriter, r *http.Request) {
		executed.Add(1)
		if r.Header.Get(traffic.HeaderIdempotencyKey) == "dies" {
			respondRawAndClose("")(w, r)
			return
		}
		okHandler(w, r)
	})
	for range 2 {
		a := m.call("POST", "/once", "x", traffic.HeaderIdempotencyKey, "k")
		is.Equal(a.status, 200)
		is.Equal(a.body, "ok /once x") // the second is the stored response
	}
	is.Equal(executed.Load(), int64(1))
	is.Equal(m.call("POST", "/once", `{"n": 1, "m": 1}`).status, 200)
	is.Equal(m.call("POST", "/once", `{"m": 2, "n":1}`).body, `ok /once {"n": 1, "m": 1}`) // the same digest
	is.Equal(executed.Load(), int64(2))
	a := m.call("POST", "/once", "", traffic.HeaderIdempotencyKey, "dies")
	is.Equal(a.executed, "unknown")
	a = m.call("POST", "/once", "", traffic.HeaderIdempotencyKey, "dies")
	is.Equal(a.status, 409)
	is.Equal(a.refusal, "outcome-unknown")
	is.Equal(executed.Load(), int64(3))
	once.refuse = true
	a = m.call("POST", "/once", "", traffic.HeaderIdempotencyKey, "new")
	is.Equal(a.refusal, "platform-unavailable")
	is.Equal(a.executed, "no")
	is.Equal(executed.Load(), int64(3))
	is.Equal(once.results, []traffic.OnceOutcome{traffic.OnceAnswered, traffic.OnceAnswered, traffic.OnceInDoubt})

	withoutClaims := newMesh(t, nil, okHandler)
	a = withoutClaims.call("POST", "/once", "", traffic.HeaderIdempotencyKey, "k")
	is.Equal(a.refusal, "at-most-once-unavailable")
	is.Equal(a.executed, "no")
}

// Guards against a probe that does not detect that a target has started or died.
func TestProbeReportsStartAndDeathOfTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var dials atomic.Int64
		states := make(chan model.TargetState, 10)
		probe := traffic.NewProbe(traffic.ProbeOptions{
			Address: "target", Interval: time.Second, Warmup: 2 * time.Second, OnChange: func(s model.TargetState) { states <- s },
			Dial: func(context.Context, string, string) (net.Conn, error) {
				if n := dials.Add(1); n < 3 || n > 10 {
					return nil, io.ErrUnexpectedEOF
				}
				client, server := net.Pipe()
				_ = server.Close()
				return client, nil
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		start := time.Now()
		go func() {
			probe.Run(ctx)
			close(done)
		}()
		is.Equal(<-states, model.TargetReady)
		is.Equal(time.Since(start), 4*time.Second) // two failed dials, then the warm-up
		is.Equal(<-states, model.TargetDown)
		is.Equal(dials.Load(), int64(13))
		cancel()
		<-done
	})
}
