package traffic

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
)

const (
	// targetIdle closes idle connections to a target long before the target does, because a request that crosses the
	// target's close is in doubt.
	targetIdle = 3 * time.Second
	// failureWeight is the weight of one call in the recent part of failed calls, as 1/failureWeight.
	failureWeight = 12
)

// InboundOptions configure an Inbound.
type InboundOptions struct {
	// Address is the target's host:port.
	Address string
	Headers Headers
	Metrics *Metrics
	Limits  Limits
	Log     RequestLog
	// Observe takes what the target's calls have shown, at intervals. It must not block.
	Observe func(sums []model.KeyedSum, running int, arrived time.Time) bool
}

// Inbound is the daemon beside a target: the only way to the target. It counts the target's slots, orders the calls that
// wait, and sends only what the target in front of it was meant to get.
type Inbound struct {
	options  InboundOptions
	pool     *pool
	lane     *lane
	gate     gate
	recorder *recorder
	target   atomic.Pointer[model.Target]
	withheld atomic.Bool
	arrived  atomic.Int64 // Unix nanoseconds
	failed   atomic.Int64 // recent part of failed calls in millionths
}

// NewInbound returns a handler whose target has not reported yet; see SetTarget.
func NewInbound(options InboundOptions) *Inbound {
	in := &Inbound{
		options: options, lane: newLane(), recorder: newRecorder(options.Metrics, nil),
	}
	in.pool = newPool(transportOptions{
		idlePerPeer: options.Limits.IdlePerPeer, idleTotal: options.Limits.IdlePerPeer, headerBytes: options.Limits.HeaderBytes,
		limit: in.lane, idle: targetIdle,
	})
	in.target.Store(&model.Target{State: model.TargetStarting})
	return in
}

// SetTarget takes the target as the control loop publishes it, and whether its version is withheld. Once it returns, no
// call is sent to a target that leaves or whose version is withheld.
func (in *Inbound) SetTarget(t model.Target, withheld bool) {
	in.target.Store(&t)
	in.withheld.Store(withheld)
	in.lane.setTarget(&t, withheld)
}

// Run reports outcomes until ctx ends.
func (in *Inbound) Run(ctx context.Context) {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			running, _, _ := in.lane.occupancy()
			sums := in.recorder.take(ctx)
			if !in.options.Observe(sums, running, time.Unix(0, in.arrived.Load())) {
				in.recorder.drop(ctx, sums)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Wait returns when no call is in flight, or with the error of ctx.
func (in *Inbound) Wait(ctx context.Context) error { return in.gate.wait(ctx) }

// InFlight returns the number of calls in flight, waiting ones included.
func (in *Inbound) InFlight() int { return in.gate.count() }

// Occupancy returns the occupied slots, the slots of the target and the calls that wait.
func (in *Inbound) Occupancy() (running, slots, queued int) {
	running, queued, slots = in.lane.occupancy()
	return running, slots, queued
}

// Close closes idle connections to the target.
func (in *Inbound) Close() { in.pool.closeIdle() }

// ServeHTTP takes one call from another daemon.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.gate.enter()
	defer in.gate.leave()
	now := time.Now()
	d, ok := parseDispatch(r.Header)
	if !ok {
		notExecuted(http.StatusBadRequest, reasonDispatch, "the request does not come from a daemon").write(w, r, in.options.Metrics)
		return
	}
	w.Header()[HeaderCall] = []string{d.call}
	a := &arrival{in: in, request: r, dispatch: &d, started: now}
	if refused := a.accept(w, now); refused != nil {
		a.refuse(w, refused)
		return
	}
	a.run(w)
}

// arrival is one call beside the target.
type arrival struct {
	in       *Inbound
	request  *http.Request
	dispatch *dispatch
	body     *requestBody
	started  time.Time
	deadline time.Time
	// waited is the time in the queue.
	waited time.Duration
}

// accept checks that the call is meant for the present target and reads its body.
func (a *arrival) accept(w http.ResponseWriter, now time.Time) *refusal {
	in, d := a.in, a.dispatch
	left, ok := remainingIn(a.request.Header, in.options.Headers.Deadline, maxDeadline)
	a.deadline = now.Add(left)
	if refused := a.checkTarget(); refused != nil {
		return refused
	}
	if !ok {
		return notExecuted(http.StatusBadRequest, reasonBadDeadline, in.options.Headers.Deadline+" must be one whole number of milliseconds")
	}
	body, refused := readRequestBody(w, a.request, in.options.Limits.BodyBytes, a.deadline)
	a.body = body
	if refused == nil && d.maxWait < 0 {
		d.maxWait = 0
	}
	return refused
}

// checkTarget refuses a call that is meant for another target, or for a run of the target that has ended.
func (a *arrival) checkTarget() *refusal {
	t, d := a.in.target.Load(), a.dispatch
	switch {
	case t.State == model.TargetStarting:
		return notExecuted(http.StatusServiceUnavailable, reasonNotReady, "the target has not reported yet")
	case t.Service != d.service || t.Version != d.version || t.Instance != d.instance:
		return notExecuted(http.StatusServiceUnavailable, reasonWrongTarget, "another target or another run of it is here")
	case t.State != model.TargetReady:
		return notExecuted(http.StatusServiceUnavailable, reasonDraining, "the target is leaving")
	case a.in.withheld.Load():
		return notExecuted(http.StatusServiceUnavailable, reasonWithheld, "the version is withheld")
	}
	return nil
}

// run takes a slot and executes the call.
func (a *arrival) run(w http.ResponseWriter) {
	lane := a.in.lane
	refused := lane.acquire(a.request.Context(), a.deadline, admission.Call{
		Kind: string(a.dispatch.route), Priority: a.dispatch.rank,
		Objective: a.started.Add(a.dispatch.objective), Deadline: a.deadline, MaxWait: a.dispatch.maxWait,
	})
	a.waited = time.Since(a.started)
	a.in.options.Metrics.queue.record(context.WithoutCancel(a.request.Context()), a.dispatch.route, a.waited)
	if refused != nil {
		a.refuse(w, refused)
		return
	}
	held := &laneHold{lane: lane, kind: string(a.dispatch.route), start: time.Now()}
	// A panic between here and the explicit release must not lose the slot.
	defer held.giveBack()
	a.execute(w, held)
}

// execute sends the call to the target and passes the response on.
func (a *arrival) execute(w http.ResponseWriter, held *laneHold) {
	e, refused := a.send(held)
	if refused != nil {
		a.refuse(w, refused)
		return
	}
	response := e.response
	if response.ContentLength > bufferedBytes {
		a.passOn(w, e, held)
		return
	}
	body, whole, err := readAnswer(a.request.Method, response, wholeAnswerBytes)
	e.finish(err == nil && whole)
	if err == nil && !whole {
		err = errAnswerTooLong
	}
	a.settle(held, e, err == nil)
	if err != nil {
		a.refuse(w, a.broken(err, true))
		return
	}
	if refused := a.rejected(response); refused != nil {
		a.refuse(w, refused)
		return
	}
	a.writeHeader(w, response)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body) // a daemon that is gone needs no response
}

// passOn streams a long response.
func (a *arrival) passOn(w http.ResponseWriter, e *exchange, held *laneHold) {
	a.writeHeader(w, e.response)
	w.WriteHeader(e.response.StatusCode)
	broken := stream(w, e.response.Body, false, a.deadline)
	e.finish(broken == 0)
	a.settle(held, e, broken == 0)
	if broken != 0 {
		panic(http.ErrAbortHandler)
	}
}

func (a *arrival) writeHeader(w http.ResponseWriter, response *http.Response) {
	copyHeader(w.Header(), response.Header, internalResponse)
	w.Header()[HeaderLoad] = []string{a.in.load(string(a.dispatch.route)).String()}
}

// send sends the call to the target and checks what comes back.
func (a *arrival) send(held *laneHold) (*exchange, *refusal) {
	// The target may have left while the call waited.
	if refused := a.checkTarget(); refused != nil {
		return nil, refused
	}
	if a.request.Context().Err() != nil {
		return nil, a.unsentCallerGone()
	}
	a.in.arrived.Store(time.Now().UnixNano())
	held.start = time.Now()
	e, err := a.in.pool.do(a.request.Context(), nil, a.in.options.Address, a.deadline, a.outgoing())
	held.sent = e.sent
	if err != nil {
		if e.sent {
			a.observe(held, !a.callerGone())
		}
		return nil, a.broken(err, e.sent)
	}
	if waiting, ok := targetWaiting(e.response.Header.Get(a.in.options.Headers.TargetLoad)); ok && waiting > 0 {
		a.in.lane.overloaded(waiting)
	}
	names := a.in.options.Headers
	if id := a.request.Header.Get(names.RequestID); id != "" && e.response.Header.Get(names.RequestID) != id {
		e.finish(false)
		a.observe(held, false)
		return nil, inDoubt(http.StatusBadGateway, reasonMismatch, "the response of the target belongs to another request")
	}
	if e.response.Header.Get("Content-Encoding") != "" && e.response.StatusCode/100 == 2 {
		e.finish(false)
		a.observe(held, true)
		return nil, inDoubt(http.StatusBadGateway, reasonEncoded, "the response of the target is encoded, which nobody asked for")
	}
	return e, nil
}

// rejected returns the refusal of a target that did not execute the call, or nil.
func (a *arrival) rejected(response *http.Response) *refusal {
	names := a.in.options.Headers
	if response.StatusCode == http.StatusMisdirectedRequest {
		return notExecuted(http.StatusServiceUnavailable, reasonWrongTarget, "another run of the target is here")
	}
	if names.NotExecuted == "" || response.Header.Get(names.NotExecuted) == "" {
		return nil
	}
	return notExecuted(http.StatusServiceUnavailable, reasonTargetShed, "the target did not take the call, status "+strconv.Itoa(response.StatusCode))
}

func (a *arrival) outgoing() *outgoing {
	names := a.in.options.Headers
	return &outgoing{request: a.request, body: a.body, headers: []string{
		names.Deadline, strconv.FormatInt(max(time.Until(a.deadline).Milliseconds(), 1), 10),
		names.ExpectInstance, string(a.dispatch.instance),
		names.CallerService, string(a.dispatch.caller),
	}}
}

// settle frees the slot and records how the call ended.
func (a *arrival) settle(held *laneHold, e *exchange, whole bool) {
	if a.rejected(e.response) != nil && whole {
		a.in.noteFailure(true)
		held.giveBack()
		return
	}
	a.observe(held, !whole && !a.callerGone() || e.response.StatusCode >= http.StatusInternalServerError)
	held.release()
}

// observe records an executed call, unless its caller left.
func (a *arrival) observe(held *laneHold, failed bool) {
	if a.callerGone() {
		return
	}
	a.in.noteFailure(failed)
	key := model.OutcomeKey{Service: a.dispatch.service, Route: a.dispatch.route, Version: a.dispatch.version}
	a.in.recorder.observe(a.request.Context(), key, failed, time.Since(held.start))
}

func (a *arrival) callerGone() bool { return a.request.Context().Err() != nil }

// noteFailure smooths the part of failed calls.
func (in *Inbound) noteFailure(failed bool) {
	sample := int64(0)
	if failed {
		sample = 1_000_000
	}
	old := in.failed.Load()
	// Concurrent calls may overwrite each other; one lost sample does not matter.
	in.failed.Store(old + (sample-old)/failureWeight)
}

// load returns the load of the target for a call on a route.
func (in *Inbound) load(route string) loadReport {
	l := in.lane.report(route)
	l.failed = float64(in.failed.Load()) / 1e6
	return l
}

// broken turns a failed exchange with the target into a refusal.
func (a *arrival) broken(err error, arrived bool) *refusal {
	if a.body.broken.Load() {
		return inDoubt(http.StatusBadRequest, reasonBody, "the request body broke off or is over the limit")
	}
	late := timedOut(err) && !time.Now().Before(a.deadline)
	switch {
	case arrived && a.callerGone():
		// The connection to the target was ended because of that; nothing is wrong with the target.
		return inDoubt(http.StatusBadGateway, reasonCallerGone, "the caller left while the target worked")
	case a.callerGone():
		return a.unsentCallerGone()
	case arrived && late:
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the target did not answer before the deadline")
	case arrived:
		return inDoubt(http.StatusBadGateway, reasonLost, "the connection to the target broke or its response is malformed")
	case late:
		return notExecuted(http.StatusServiceUnavailable, reasonDeadline, "the deadline passed before the call was sent")
	case errors.Is(err, errConnections):
		return notExecuted(http.StatusServiceUnavailable, string(admission.Connections), err.Error())
	}
	return notExecuted(http.StatusServiceUnavailable, reasonUnreachable, "the target does not accept connections")
}

func (a *arrival) unsentCallerGone() *refusal {
	return notExecuted(http.StatusServiceUnavailable, reasonCallerGone, "the caller left before the call was sent")
}

// refuse answers with a refusal and the load of the target.
func (a *arrival) refuse(w http.ResponseWriter, refused *refusal) {
	a.in.options.Log.Refused(a, refused)
	w.Header()[HeaderLoad] = []string{a.in.load(string(a.dispatch.route)).String()}
	refused.write(w, a.request, a.in.options.Metrics)
}
