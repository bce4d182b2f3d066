package traffic

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// flushInterval is how often outcomes are reported to the control loop: a quarter of the heartbeat interval, so that a
// faulty version is detected soon.
const flushInterval = 250 * time.Millisecond

// IngressOptions configures an Ingress.
type IngressOptions struct {
	Tables   Tables
	Observer Observer
	Metrics  *Metrics
	Limits   Limits
}

// Ingress is the caller's side of the call path: it selects a target, forwards the call and retries it.
type Ingress struct {
	options   IngressOptions
	pool      *pool
	peers     *peers
	recorder  *recorder
	inFlight  inFlightCalls
	stop      stopLimit
	calls     atomic.Uint64
	rotations rotationCounters
	budgets   lazyMap[model.ServiceName, lockedBudget]
}

// lockedBudget is a retry budget with its lock.
type lockedBudget struct {
	mu     sync.Mutex
	budget retry.Budget
}

// NewIngress returns an ingress. It reports outcomes only while Run is running.
func NewIngress(options IngressOptions) *Ingress {
	i := &Ingress{
		options: options, peers: newPeers(options.Tables), recorder: newRecorder(options.Metrics, options.Observer),
		pool: newPool(transportOptions{
			idlePerPeer: options.Limits.IdlePerPeer, idleTotal: options.Limits.IdleTotal, headerBytes: options.Limits.HeaderBytes,
			limit: newConnectionCount(options.Limits.OutgoingConnections), yieldsIdle: true,
		}),
	}
	i.calls.Store(random{}.Uint64())
	return i
}

// Run reports outcomes and cancels calls to lost or stalled targets until ctx ends; it then reports outcomes once more.
func (i *Ingress) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := time.Now()
			i.peers.update(i.options.Tables.Table(), now)
			i.peers.cancelStalled(now)
			i.recorder.flush(ctx)
		case <-ctx.Done():
			i.recorder.flush(context.WithoutCancel(ctx))
			return
		}
	}
}

// Drain makes the ingress refuse all new calls as not executed.
func (i *Ingress) Drain() { i.inFlight.drain() }

// RefuseLong makes calls that arrive from now on be refused as not executed if they may last longer than until t.
func (i *Ingress) RefuseLong(t time.Time) {
	i.stop.refusesLong.Store(true)
	i.stop.set(t)
}

// Wait blocks until no call is in flight, or returns the error of ctx.
func (i *Ingress) Wait(ctx context.Context) error { return i.inFlight.wait(ctx) }

// InFlight returns the number of calls in flight.
func (i *Ingress) InFlight() int { return i.inFlight.count() }

// Close closes idle connections to other daemons.
func (i *Ingress) Close() { i.pool.closeIdle() }

// ServeHTTP forwards one call.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !i.inFlight.begin() {
		notExecuted(http.StatusServiceUnavailable, reasonDraining, "this daemon is shutting down").
			withRetryAfter(time.Second).write(w, r, i.options.Metrics)
		return
	}
	defer i.inFlight.end()
	start := time.Now()
	call, refused := i.accept(w, r, start)
	if refused != nil {
		refused.write(w, r, i.options.Metrics)
		return
	}
	call.run(w)
}

// accept validates the request, matches its route and reads its body.
func (i *Ingress) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*ingressCall, *refusal) {
	table := i.options.Tables.Table()
	switch {
	case table == nil || table.View == nil || !table.View.Ready:
		return nil, notExecuted(http.StatusServiceUnavailable, reasonNotReady, "this daemon has no configuration yet").
			withRetryAfter(time.Second)
	case isUpgrade(r):
		return nil, notExecuted(http.StatusNotImplemented, reasonUpgrade, "other protocols than HTTP/1.1 are not supported")
	case isAmbiguousPath(r.URL.Path):
		return nil, notExecuted(http.StatusBadRequest, reasonAmbiguousPath, "the path has empty or dot segments or a backslash")
	}
	route, reason := table.Match(hostName(r.Host), r.Method, r.URL.Path)
	if reason == routing.MethodNotAllowed {
		return nil, notExecuted(http.StatusMethodNotAllowed, string(reason), "the route does not allow the method")
	}
	if reason != routing.Found {
		return nil, notExecuted(http.StatusNotFound, string(reason), "no route matches the path")
	}
	left, ok := remainingTime(r.Header, min(route.Timeout, maxDeadline))
	if !ok {
		return nil, notExecuted(http.StatusBadRequest, reasonBadDeadline, HeaderDeadline+" must be one whole number of milliseconds")
	}
	deadline, refused := i.stop.apply(now.Add(left))
	if refused != nil {
		return nil, refused
	}
	body, refused := readRequestBody(w, r, i.options.Limits, i.options.Limits.BodyBytes, deadline)
	if refused != nil {
		return nil, refused
	}
	i.peers.update(table, now)
	service, rotation := table.SelectService(route, i.rotations.get(route.Name).Add(1))
	return &ingressCall{
		service: service, rotation: rotation,
		ingress: i, request: r, ctx: r.Context(), route: route, body: body, deadline: deadline,
		id: strconv.FormatUint(i.calls.Add(1), 36), nested: len(r.Header[HeaderAttempt]) > 0,
	}, nil
}
