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

// flushEvery is how often outcomes are reported. It is a quarter of a heartbeat, so that a fault is visible soon.
const flushEvery = 250 * time.Millisecond

// IngressOptions configure an Ingress.
type IngressOptions struct {
	Tables   Tables
	Observer Observer
	Metrics  *Metrics
	Limits   Limits
}

// Ingress is the caller's side of the call path: it selects a target, forwards the call and retries it.
type Ingress struct {
	options  IngressOptions
	pool     *pool
	peers    *peers
	recorder *recorder
	gate     gate
	calls    atomic.Uint64
	counters counters
	budgets  keyed[model.ServiceName, budget]
}

// budget is a retry budget with its lock.
type budget struct {
	mu     sync.Mutex
	budget retry.Budget
}

// NewIngress returns an ingress. Run must run for its outcomes to be reported.
func NewIngress(options IngressOptions) *Ingress {
	i := &Ingress{
		options: options, peers: newPeers(options.Tables), recorder: newRecorder(options.Metrics, options.Observer),
		pool: newPool(transportOptions{
			idlePerPeer: options.Limits.IdlePerPeer, idleTotal: options.Limits.IdleTotal, headerBytes: options.Limits.HeaderBytes,
		}),
	}
	i.calls.Store(random{}.Uint64())
	return i
}

// Run reports outcomes and cancels calls to lost or stalled targets until ctx ends. Outcomes are reported once more then.
func (i *Ingress) Run(ctx context.Context) {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := time.Now()
			i.peers.follow(i.options.Tables.Table(), now)
			i.peers.cancelStalled(now)
			i.recorder.flush(ctx)
		case <-ctx.Done():
			i.recorder.flush(context.WithoutCancel(ctx))
			return
		}
	}
}

// Drain refuses all later calls as not executed.
func (i *Ingress) Drain() { i.gate.drain() }

// Wait returns when no call is in flight, or with the error of ctx.
func (i *Ingress) Wait(ctx context.Context) error { return i.gate.wait(ctx) }

// InFlight returns the number of calls in flight.
func (i *Ingress) InFlight() int { return i.gate.count() }

// Close closes idle connections to other daemons.
func (i *Ingress) Close() { i.pool.closeIdle() }

// ServeHTTP forwards one call.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !i.gate.enter() {
		notExecuted(http.StatusServiceUnavailable, reasonDraining, "this daemon is shutting down").
			after(time.Second).write(w, r, i.options.Metrics)
		return
	}
	defer i.gate.leave()
	start := time.Now()
	call, refused := i.accept(w, r, start)
	if refused != nil {
		refused.write(w, r, i.options.Metrics)
		return
	}
	call.run(w)
}

// accept checks the request and matches its route.
func (i *Ingress) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*call, *refusal) {
	table := i.options.Tables.Table()
	switch {
	case table == nil || table.View == nil || !table.View.Ready:
		return nil, notExecuted(http.StatusServiceUnavailable, reasonNotReady, "this daemon has no configuration yet").after(time.Second)
	case upgrades(r):
		return nil, notExecuted(http.StatusNotImplemented, reasonUpgrade, "other protocols than HTTP/1.1 are not supported")
	case ambiguousPath(r.URL.Path):
		return nil, notExecuted(http.StatusBadRequest, reasonPath, "the path has empty or dot segments or a backslash")
	}
	route, reason := table.Match(hostName(r.Host), r.Method, r.URL.Path)
	if reason == routing.MethodNotAllowed {
		return nil, notExecuted(http.StatusMethodNotAllowed, string(reason), "the route does not allow the method")
	}
	if reason != routing.Found {
		return nil, notExecuted(http.StatusNotFound, string(reason), "no route matches the path")
	}
	left, ok := remaining(r.Header, min(route.Timeout, maxDeadline))
	if !ok {
		return nil, notExecuted(http.StatusBadRequest, reasonBadDeadline, HeaderDeadline+" must be one whole number of milliseconds")
	}
	deadline := now.Add(left)
	body, refused := readRequestBody(w, r, i.options.Limits.BodyBytes, deadline)
	if refused != nil {
		return nil, refused
	}
	i.peers.follow(table, now)
	service, rotation := table.SelectService(route, i.counters.get(route.Name).Add(1))
	return &call{
		service: service, rotation: rotation,
		ingress: i, request: r, ctx: r.Context(), route: route, body: body, deadline: deadline,
		id: strconv.FormatUint(i.calls.Add(1), 36), nested: len(r.Header[HeaderAttempt]) > 0,
	}, nil
}
