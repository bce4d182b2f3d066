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

// shortRetryAfter is the Retry-After of a refusal whose cause is expected to pass quickly.
const shortRetryAfter = 200 * time.Millisecond

// OutboundOptions configures an Outbound.
type OutboundOptions struct {
	Tables  Tables
	Headers Headers
	Metrics *Metrics
	Limits  Limits
	Log     RequestLog
	// Service is the service of the local target.
	Service model.ServiceName
	// Confirmed reports whether the configuration is known to be recent enough for API keys; nil means that it always is. It is
	// called before Tables.
	Confirmed func() bool
	// Budget bounds the retries of all daemons together; each daemon uses its share.
	Budget retry.SharedLimit
	// Quota limits the requests of tenants over all daemons.
	Quota QuotaOptions
}

// Outbound is the caller's side of the sidecar: it takes requests from callers on its VM, including the local target, selects
// a target for each, and retries.
type Outbound struct {
	options          OutboundOptions
	pool             *pool
	peers            *peers
	inFlight         inFlightCalls
	calls            atomic.Uint64
	rotations        rotationCounters
	budgets          lazyMap[model.ServiceName, sharedBudget]
	longestDeadlines longestDeadlines
	leaving          leavingRuns
	stop             stopLimit
	open             openRequests
	quotas           *tenantQuotas
}

// NewOutbound returns a handler. A call is not cancelled because its target leaves the table or has not answered for long:
// with many targets a daemon has few calls at each, so that one long call cannot be told from a stopped daemon, and
// cancelling it would lose its response.
func NewOutbound(options OutboundOptions) *Outbound {
	o := &Outbound{
		options: options, peers: newPeers(options.Tables), quotas: newTenantQuotas(options.Quota, options.Metrics),
		pool: newPool(transportOptions{
			idlePerPeer: options.Limits.IdlePerPeer, idleTotal: options.Limits.IdleTotal, headerBytes: options.Limits.HeaderBytes,
			expectContinue: maxDeadline,
			limit:          newConnectionCount(options.Limits.OutgoingConnections), yieldsIdle: true,
		}),
	}
	o.peers.keepRemovedCalls = true
	o.calls.Store(random{}.Uint64())
	return o
}

// Wait blocks until no call is in flight, or returns the error of ctx.
func (o *Outbound) Wait(ctx context.Context) error { return o.inFlight.wait(ctx) }

// InFlight returns the number of calls in flight.
func (o *Outbound) InFlight() int { return o.inFlight.count() }

// LogOpen logs the requests in flight, because the end of the process cuts them.
func (o *Outbound) LogOpen() { o.open.log(o.options.Log, "caller") }

// Close closes idle connections to other daemons.
func (o *Outbound) Close() { o.pool.closeIdle() }

// StopAt makes requests that arrive from now on end by the given time, at which the daemon stops. One that cannot finish until
// then is refused as not executed, and one that is still running gets an answer instead of a closed connection.
func (o *Outbound) StopAt(t time.Time) { o.stop.set(t) }

// RefuseLong makes requests that arrive from now on be refused as not executed if they may last longer than until the time that was
// given to StopAt.
func (o *Outbound) RefuseLong() { o.stop.refusesLong.Store(true) }

// CancelCalls cancels the requests in flight that have no response yet, so that their callers get an answer instead of a closed
// connection. It is called at the time that was given to StopAt.
func (o *Outbound) CancelCalls() {
	for _, known := range *o.peers.known.Load() {
		known.calls.cancelStopping()
	}
}

// ServeHTTP handles one request of a caller.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.inFlight.begin()
	defer o.inFlight.end()
	o.open.begin(r)
	defer o.open.end(r)
	request, refused := o.accept(w, r, arrivalTime(r))
	if refused != nil {
		o.options.Log.Unrouted(r, refused)
		refused.write(w, r, o.options.Metrics)
		return
	}
	if refused := request.holdTenant(); refused != nil {
		request.refuse(w, refused)
		return
	}
	defer request.releaseTenant()
	request.run(w)
}

// accept validates the request, matches its route and reads its body.
func (o *Outbound) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*outboundRequest, *refusal) {
	// The control loop publishes a table before the confirmation that applies to it. Read in the other order, an older table
	// could be taken for a confirmed one.
	confirmed := o.options.Confirmed == nil || o.options.Confirmed()
	table := o.options.Tables.Table()
	if table.View == nil || !table.View.Ready {
		return nil, notExecuted(http.StatusServiceUnavailable, reasonNotReady, "this daemon has no configuration yet").
			withRetryAfter(shortRetryAfter)
	}
	if isUpgrade(r) {
		return nil, notExecuted(http.StatusNotImplemented, reasonUpgrade, "other protocols than HTTP/1.1 are not supported")
	}
	route, reason := table.Match(hostName(r.Host), r.Method, r.URL.EscapedPath())
	if reason != routing.Found {
		return nil, notExecuted(http.StatusNotFound, string(reason), "no route matches host and path")
	}
	tenant, refused := o.authenticate(r, table, route, confirmed)
	if refused != nil {
		return nil, refused
	}
	request, refused := o.acceptRouted(w, r, now, table, route)
	if refused != nil {
		refused.tenant = tenant
		return nil, refused
	}
	// The token is taken once the body is here: requests that end their bodies together must not add up the tokens of many windows.
	token, refused := o.quotas.take(r.Context(), tenant)
	if refused != nil {
		refused.tenant = tenant
		return nil, refused
	}
	request.tenant, request.token = tenant, token
	return request, nil
}

// acceptRouted checks a request whose route and tenant are known against the limits, and reads its body.
func (o *Outbound) acceptRouted(
	w http.ResponseWriter, r *http.Request, now time.Time, table *routing.Table, route *routing.Route,
) (*outboundRequest, *refusal) {
	left, ok := remainingTimeFrom(r.Header, o.options.Headers.Deadline, min(route.Timeout, maxDeadline))
	if !ok {
		return nil, notExecuted(http.StatusBadRequest, reasonBadDeadline,
			o.options.Headers.Deadline+" must be one whole number of milliseconds")
	}
	if l := table.View.Configuration.Limits; l != nil && l.HeaderBytes > 0 && headerBytes(r) > l.HeaderBytes {
		return nil, notExecuted(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge, "the request header is over the limit")
	}
	limit := o.options.Limits.BodyBytes
	if l := table.View.Configuration.Limits; l != nil && l.BodyBytes > 0 {
		limit = l.BodyBytes
	}
	callerDeadline, _ := remainingTimeFrom(r.Header, o.options.Headers.Deadline, maxDeadline)
	objective := now.Add(route.TargetLatency - o.longestDeadlines.elapsed(route.Name, callerDeadline))
	deadline, refused := o.stop.apply(now.Add(left))
	if refused != nil {
		return nil, refused
	}
	body, refused := readRequestBody(w, r, o.options.Limits, limit, deadline)
	if refused != nil {
		return nil, refused
	}
	o.peers.update(table, now)
	service, rotation := table.SelectService(route, o.rotations.get(route.Name).Add(1))
	return &outboundRequest{
		outbound: o, table: table, request: r, route: route, service: service, rotation: rotation, body: body,
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
