package traffic

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sniperail.example/sniperail/internal/model"
)

const (
	// targetIdleTimeout is much shorter than the idle timeout of targets, because it is unknown whether a target executes a
	// request that is sent while the target closes the connection.
	targetIdleTimeout = 3 * time.Second
	// 1/failureWeight is the weight of one call in the smoothed fraction of failed calls.
	failureWeight = 12
)

// InboundOptions configures an Inbound.
type InboundOptions struct {
	// Address is the target's host:port.
	Address string
	Headers Headers
	Metrics *Metrics
	Limits  Limits
	Log     RequestLog
	// Observe receives, at intervals, the outcomes of the target's calls, the running calls and the time of the latest call
	// sent. It must not block and returns false if it dropped the outcomes.
	Observe func(sums []model.KeyedSum, running int, lastSent time.Time) bool
	// Leaving receives the run of the target that has said in a response that it is leaving. It must not block; it returns
	// false if it could not take the run, which is then offered again. Nil if nobody is to know.
	Leaving func(instance model.InstanceID, born int64) bool
}

// Inbound handles the calls from other daemons to the local target, which is reached in no other way. It counts the
// target's slots, orders the waiting calls, and refuses calls that were meant for another target or another run of it.
type Inbound struct {
	options  InboundOptions
	pool     *pool
	queue    *priorityQueue
	inFlight inFlightCalls
	open     openRequests
	recorder *recorder
	target   atomic.Pointer[model.Target]
	// conditions are those under which the target gets calls.
	conditions atomic.Pointer[TargetConditions]
	leaving    leavingRuns
	// unreported is a run that is leaving and that Leaving has not taken yet.
	unreported atomic.Pointer[targetRun]
	targetMu   sync.Mutex // serializes changes of the target
	// invalidLimit is the latest rate limit that could not be read, which is logged once.
	invalidLimit atomic.Pointer[string]
	lastSent     atomic.Int64 // by monotonic; 0 if none was sent
	failureRate  atomic.Int64 // smoothed fraction of failed calls in millionths
	unsized      byteBudget
	transfers    bodyTransfers
	streams      bodyStreams
}

// NewInbound returns a handler. It refuses calls until SetTarget reports that the target is ready.
func NewInbound(options InboundOptions) *Inbound {
	in := &Inbound{
		options: options, queue: newPriorityQueue(), recorder: newRecorder(options.Metrics, nil),
		transfers: newBodyTransfers(),
	}
	in.pool = newPool(transportOptions{
		idlePerPeer: options.Limits.IdlePerPeer, idleTotal: options.Limits.IdlePerPeer, headerBytes: options.Limits.HeaderBytes,
		limit: in.queue, idle: targetIdleTimeout,
	})
	in.unsized.limit.Store(maxUnsizedTotal)
	in.target.Store(&model.Target{State: model.TargetStarting})
	in.conditions.Store(&TargetConditions{})
	return in
}

// SetLearning enables or disables the learned concurrency limit of the target.
func (in *Inbound) SetLearning(enabled bool) { in.queue.setLearning(enabled) }

// Run reports outcomes, and a run of the target that is leaving, until ctx ends.
func (in *Inbound) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			in.reportLeaving()
			running, _, _ := in.queue.occupancy()
			sums := in.recorder.collect(ctx)
			if !in.options.Observe(sums, running, in.lastSentAt()) {
				in.recorder.countDropped(ctx, sums)
			}
		case <-ctx.Done():
			return
		}
	}
}

// lastSentAt returns when the latest call was sent, long ago if none was.
func (in *Inbound) lastSentAt() time.Time {
	if at := in.lastSent.Load(); at != 0 {
		return fromMonotonic(at)
	}
	return time.Unix(0, 0)
}

// WaitIdle blocks until no call is in flight, or returns the error of ctx.
func (in *Inbound) WaitIdle(ctx context.Context) error { return in.inFlight.wait(ctx) }

// Wait blocks until no call is in flight, or returns the error of ctx. Later calls are refused as not executed: the daemon ends.
func (in *Inbound) Wait(ctx context.Context) error { return in.inFlight.waitAndDrain(ctx) }

// InFlight returns the number of calls in flight, including those that wait for a slot.
func (in *Inbound) InFlight() int { return in.inFlight.count() }

// Occupancy returns the occupied slots, the slots of the target and the queued calls.
func (in *Inbound) Occupancy() (running, slots, queued int) {
	running, queued, slots = in.queue.occupancy()
	return running, slots, queued
}

// RateLimit returns the calls per second that the target takes, 0 if it has named no limit.
func (in *Inbound) RateLimit() float64 {
	named, _ := in.queue.limits()
	return named
}

// ColdRateLimit returns the calls per second that the target gets because it is cold, 0 if it is warm or has no such limit.
func (in *Inbound) ColdRateLimit() float64 {
	_, cold := in.queue.limits()
	return cold
}

// LogOpen logs the calls in flight, because the end of the process cuts them.
func (in *Inbound) LogOpen() { in.open.log(in.options.Log, "target") }

// Close closes idle connections to the target.
func (in *Inbound) Close() { in.pool.closeIdle() }

// ServeHTTP handles one call from another daemon.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer in.options.Log.recoverPanic(r)
	now := time.Now()
	d, ok := parseDispatchHeader(r.Header)
	if !ok {
		notExecuted(http.StatusBadRequest, reasonDispatchMissing, "the request does not come from a daemon").
			write(w, r, in.options.Metrics)
		return
	}
	w.Header()[HeaderCall] = []string{d.call}
	if !in.inFlight.begin() {
		notExecuted(http.StatusServiceUnavailable, reasonDraining, "this daemon is shutting down").write(w, r, in.options.Metrics)
		return
	}
	defer in.inFlight.end()
	in.open.begin(r)
	defer in.open.end(r)
	c := &inboundCall{inbound: in, request: r, dispatch: &d, started: now}
	defer in.streams.end(c)
	if refused := c.accept(w, now); refused != nil {
		c.writeRefusal(w, refused)
		return
	}
	c.run(w)
}

// inboundCall is one call from another daemon to the local target.
type inboundCall struct {
	inbound  *Inbound
	request  *http.Request
	dispatch *dispatchHeader
	body     *requestBody
	started  time.Time
	deadline time.Time
	// queueTime is the time from started, which precedes the reading of the body, until a slot was granted or refused.
	queueTime time.Duration
	// streams says that the body counts among those that are streamed from a caller.
	streams bool
}

// accept checks that the call is meant for this run of the target and reads its body.
func (c *inboundCall) accept(w http.ResponseWriter, now time.Time) *refusal {
	in, d := c.inbound, c.dispatch
	left, ok := remainingTimeFrom(c.request.Header, in.options.Headers.Deadline, maxDeadline)
	c.deadline = now.Add(left)
	if refused := c.checkTarget(); refused != nil {
		return refused
	}
	if !ok {
		return notExecuted(http.StatusBadRequest, reasonBadDeadline,
			in.options.Headers.Deadline+" must be one whole number of milliseconds")
	}
	d.maxWait = max(d.maxWait, 0)
	var refused *refusal
	if isAnnounced(c.request) {
		c.body, refused = c.receiveBody(w)
	} else {
		c.body, refused = readRequestBody(w, c.request, in.options.Limits, in.options.Limits.BodyBytes, c.deadline)
	}
	if refused == nil {
		refused = in.streams.begin(c)
	}
	return refused
}

// checkTarget returns a refusal if the call is meant for another target or another run of it, or if the target takes no
// calls.
func (c *inboundCall) checkTarget() *refusal {
	t, d := c.inbound.target.Load(), c.dispatch
	switch {
	case t.State == model.TargetStarting:
		return notExecuted(http.StatusServiceUnavailable, reasonNotReady, "the target has not reported yet")
	case t.Service != d.service || t.Version != d.version || t.Instance != d.instance:
		return notExecuted(http.StatusServiceUnavailable, reasonWrongTarget, "another target or another run of it is here")
	case t.State != model.TargetReady:
		return notExecuted(http.StatusServiceUnavailable, reasonDraining, "the target is leaving")
	case c.inbound.conditions.Load().Evacuated:
		return notExecuted(http.StatusServiceUnavailable, reasonEvacuated, "the data centre is evacuated")
	case c.inbound.conditions.Load().Withheld:
		return notExecuted(http.StatusServiceUnavailable, reasonWithheld, "the version is withheld")
	}
	return nil
}

// run takes a slot and executes the call.
func (c *inboundCall) run(w http.ResponseWriter) {
	queue := c.inbound.queue
	call := c.admissionCall()
	refused := queue.acquire(c.request.Context(), c.deadline, call)
	c.queueTime = time.Since(c.started)
	c.inbound.options.Metrics.queue.record(context.WithoutCancel(c.request.Context()), c.dispatch.route, c.queueTime)
	if refused != nil {
		c.writeRefusal(w, refused)
		return
	}
	slot := &prioritySlot{queue: queue, call: call, start: time.Now()}
	// A panic between here and the explicit release must not lose the slot.
	defer slot.releaseUnmeasured()
	c.execute(w, slot)
}

// execute sends the call to the target and forwards the response.
func (c *inboundCall) execute(w http.ResponseWriter, slot *prioritySlot) {
	e, refused := c.send(slot)
	if refused != nil {
		c.writeRefusal(w, refused)
		return
	}
	response := e.response
	if response.ContentLength > maxBufferedBody {
		c.streamResponse(w, e, slot)
		return
	}
	if response.ContentLength < 0 {
		limited := &budgetReader{ReadCloser: response.Body, budget: &c.inbound.unsized}
		defer limited.release()
		response.Body = limited
	}
	body, complete, err := readResponseBody(c.request.Method, response, maxUnsizedBody)
	e.finish(err == nil && complete)
	if err == nil && !complete {
		err = errResponseTooLong
	}
	c.finish(slot, e, err == nil)
	if err != nil {
		c.writeRefusal(w, c.failureRefusal(err, true))
		return
	}
	if refused := c.targetRefusal(response); refused != nil {
		c.writeRefusal(w, refused)
		return
	}
	c.writeHeader(w, response)
	setLength(w.Header(), c.request.Method, body)
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body) // fails only if the calling daemon has disconnected
}

// streamResponse forwards a long response while it is received.
func (c *inboundCall) streamResponse(w http.ResponseWriter, e *exchange, slot *prioritySlot) {
	c.writeHeader(w, e.response)
	w.WriteHeader(e.response.StatusCode)
	failure := stream(w, e.response.Body, false, c.deadline)
	e.finish(failure == 0)
	c.finish(slot, e, failure == 0)
	if failure != 0 {
		panic(http.ErrAbortHandler)
	}
}

func (c *inboundCall) writeHeader(w http.ResponseWriter, response *http.Response) {
	copyHeader(w.Header(), response.Header, internalResponseHeaders)
	c.inbound.writeLoad(w, string(c.dispatch.route))
}

// writeLoad adds the load and the rate limit of the target to a response.
func (in *Inbound) writeLoad(w http.ResponseWriter, route string) {
	w.Header()[HeaderLoad] = []string{in.load(route).String()}
	if rate := in.queue.rate(); rate.perSecond > 0 {
		w.Header()[HeaderRate] = []string{rate.String()}
	}
}

// send sends the call to the target and checks the header of the response.
func (c *inboundCall) send(slot *prioritySlot) (*exchange, *refusal) {
	// The target may have stopped taking calls while this one waited.
	if refused := c.checkTarget(); refused != nil {
		return nil, refused
	}
	if c.request.Context().Err() != nil {
		return nil, c.unsentCallerGoneRefusal()
	}
	run := runOf(c.inbound.target.Load())
	slot.start = time.Now()
	c.inbound.lastSent.Store(monotonic(slot.start))
	e, err := c.inbound.pool.do(c.request.Context(), nil, c.inbound.options.Address, c.deadline, c.outgoing())
	slot.maybeSent = e.maybeSent
	if err != nil {
		if e.maybeSent {
			c.recordOutcome(slot, !c.isCallerGone())
		}
		return nil, c.failureRefusal(err, e.maybeSent)
	}
	if waiting, ok := parseTargetWaiting(e.response.Header.Get(c.inbound.options.Headers.TargetLoad)); ok && waiting > 0 {
		c.inbound.queue.recordOverload(waiting)
	}
	names := c.inbound.options.Headers
	if id := c.request.Header.Get(names.RequestID); id != "" && e.response.Header.Get(names.RequestID) != id {
		e.finish(false)
		c.recordOutcome(slot, false)
		return nil, inDoubt(http.StatusBadGateway, reasonResponseMismatch, "the response of the target belongs to another request")
	}
	// A repeated response says nothing about the present, so the statement is read only from one that belongs to the request.
	c.recordStatement(run, e.response.Header, slot.start)
	if e.response.Header.Get("Content-Encoding") != "" && e.response.StatusCode/100 == 2 {
		e.finish(false)
		c.recordOutcome(slot, true)
		return nil, inDoubt(http.StatusBadGateway, reasonResponseEncoded,
			"the response of the target is encoded, which nobody asked for")
	}
	return e, nil
}

func (c *inboundCall) outgoing() *outgoingRequest {
	names := c.inbound.options.Headers
	headers := []string{
		names.Deadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10),
		names.ExpectInstance, string(c.dispatch.instance),
		names.CallerService, string(c.dispatch.caller),
	}
	if tenant, ok := parseTenantHeader(c.request.Header); ok && names.TenantID != "" {
		headers = append(headers, names.TenantID, string(tenant.name))
	}
	return &outgoingRequest{request: c.request, body: c.body, headers: headers}
}

// finish frees the slot and records the outcome of the call.
func (c *inboundCall) finish(slot *prioritySlot, e *exchange, complete bool) {
	if c.targetRefusal(e.response) != nil && complete {
		c.inbound.recordFailure(true)
		slot.releaseUnmeasured()
		return
	}
	c.recordOutcome(slot, !complete && !c.isCallerGone() || e.response.StatusCode >= http.StatusInternalServerError)
	slot.release()
}

// recordOutcome records the outcome of an executed call, unless its caller has disconnected.
func (c *inboundCall) recordOutcome(slot *prioritySlot, failed bool) {
	if c.isCallerGone() {
		return
	}
	c.inbound.recordFailure(failed)
	key := model.OutcomeKey{Service: c.dispatch.service, Route: c.dispatch.route, Version: c.dispatch.version}
	c.inbound.recorder.record(c.request.Context(), key, failed, time.Since(slot.start))
}

func (c *inboundCall) isCallerGone() bool { return c.request.Context().Err() != nil }

// load returns the load of the target, with the execution time of a call on the route.
func (in *Inbound) load(route string) loadReport {
	l := in.queue.load(route)
	l.failureRate = float64(in.failureRate.Load()) / 1e6
	return l
}
