package traffic

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// retrySoon is how soon a caller may come back after a refusal for a reason that passes quickly.
const retrySoon = 200 * time.Millisecond

// OutboundOptions configure an Outbound.
type OutboundOptions struct {
	Tables  Tables
	Headers Headers
	Metrics *Metrics
	Limits  Limits
	Log     RequestLog
	// Service is the service beside this daemon.
	Service model.ServiceName
	// Budget bounds the retries of all daemons together; each daemon takes its part.
	Budget retry.SharedLimit
}

// Outbound takes requests of the callers of its VM, among them the target there, and places them on targets.
type Outbound struct {
	options  OutboundOptions
	pool     *pool
	peers    *peers
	gate     gate
	calls    atomic.Uint64
	counters counters
	budgets  keyed[model.ServiceName, sharedBudget]
	patience patience
}

// NewOutbound returns a handler. Calls to a target are not given up while they wait, whether the target leaves the table or
// answers nothing for long: among many targets a daemon has few calls at each, so that one long call looks the same as a
// daemon that stopped, and its response would be lost.
func NewOutbound(options OutboundOptions) *Outbound {
	o := &Outbound{
		options: options, peers: newPeers(options.Tables),
		pool: newPool(transportOptions{
			idlePerPeer: options.Limits.IdlePerPeer, idleTotal: options.Limits.IdleTotal, headerBytes: options.Limits.HeaderBytes,
		}),
	}
	o.peers.keepsCalls = true
	o.calls.Store(random{}.Uint64())
	return o
}

// Wait returns when no call is in flight, or with the error of ctx.
func (o *Outbound) Wait(ctx context.Context) error { return o.gate.wait(ctx) }

// InFlight returns the number of calls in flight.
func (o *Outbound) InFlight() int { return o.gate.count() }

// Close closes idle connections to other daemons.
func (o *Outbound) Close() { o.pool.closeIdle() }

// ServeHTTP takes one request.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.gate.enter()
	defer o.gate.leave()
	p, refused := o.accept(w, r, arrivedAt(r))
	if refused != nil {
		o.options.Log.Unrouted(r, refused)
		refused.write(w, r, o.options.Metrics)
		return
	}
	p.run(w)
}

// accept checks the request, matches its route and reads its body.
func (o *Outbound) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*placement, *refusal) {
	table := o.options.Tables.Table()
	if table.View == nil || !table.View.Ready {
		return nil, notExecuted(http.StatusServiceUnavailable, reasonNotReady, "this daemon has no configuration yet").after(retrySoon)
	}
	if upgrades(r) {
		return nil, notExecuted(http.StatusNotImplemented, reasonUpgrade, "other protocols than HTTP/1.1 are not supported")
	}
	route, reason := table.Match(hostName(r.Host), r.Method, r.URL.EscapedPath())
	if reason != routing.Found {
		return nil, notExecuted(http.StatusNotFound, string(reason), "no route matches host and path")
	}
	left, ok := remainingIn(r.Header, o.options.Headers.Deadline, min(route.Timeout, maxDeadline))
	if !ok {
		return nil, notExecuted(http.StatusBadRequest, reasonBadDeadline, o.options.Headers.Deadline+" must be one whole number of milliseconds")
	}
	if l := table.View.Configuration.Limits; l != nil && l.HeaderBytes > 0 && headerBytes(r) > l.HeaderBytes {
		return nil, notExecuted(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge, "the request header is over the limit")
	}
	limit := o.options.Limits.BodyBytes
	if l := table.View.Configuration.Limits; l != nil && l.BodyBytes > 0 {
		limit = l.BodyBytes
	}
	whole, _ := remainingIn(r.Header, o.options.Headers.Deadline, maxDeadline)
	objective := now.Add(route.TargetLatency - o.patience.spent(route.Name, whole))
	deadline := now.Add(left)
	body, refused := readRequestBody(w, r, limit, deadline)
	if refused != nil {
		return nil, refused
	}
	o.peers.follow(table, now)
	service, rotation := table.SelectService(route, o.counters.get(route.Name).Add(1))
	return &placement{
		out: o, table: table, request: r, route: route, service: service, rotation: rotation, body: body,
		started: now, objective: objective, deadline: deadline, id: strconv.FormatUint(o.calls.Add(1), 36),
	}, nil
}

// headerBytes estimates the size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
