package traffic

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// maxBusyRefusals is the number of refusals for load after which a call waits at a target without a limit other than its
// deadline.
const maxBusyRefusals = 2

// maxColdWait is the longest wait at a cold target if there is another target. The wait there follows from the limit and not from
// the work ahead, and a call that has waited for long has no time left for the other target.
const maxColdWait = 100 * time.Millisecond

// outboundRequest is one request of a caller, with all its attempts.
type outboundRequest struct {
	outbound *Outbound
	table    *routing.Table
	request  *http.Request
	route    *routing.Route
	// tenant is that of the caller's API key; nil if the request has none.
	tenant *model.Tenant
	// token is the request's part of the tenant's quota. All attempts share it.
	token quotaToken
	// tenantBytes is what the request is charged to its tenant.
	tenantBytes int64
	service     *routing.Service
	rotation    uint64
	body        *requestBody
	started     time.Time
	// objective is the time of the latency objective, counted from the caller's first attempt; a later response loses value.
	objective time.Time
	deadline  time.Time
	id        string

	version *routing.Version
	tried   []model.DaemonID
	// sends counts the sends to a target's daemon, attempts those that may have reached a target, busyRefusals the
	// refusals for load.
	sends, attempts, busyRefusals int
	// refusedAbroad is set once a target of another data centre has refused the request for its load.
	refusedAbroad bool
	// maybeExecuted is set once the target of an attempt may have executed the request.
	maybeExecuted bool
	// lastResponse is the latest attempt that ended with a response of a target, kept while another attempt is made.
	lastResponse *attempt
}

// attempt is one send and its result: a response of the target, or a refusal.
type attempt struct {
	target  *model.Target
	peer    *peer
	choice  routing.Choice
	started time.Time
	took    time.Duration
	// exchange is set for a response that is forwarded while it is received; otherwise body is the complete body.
	exchange *exchange
	response *http.Response
	body     []byte
	refused  *refusal
}

// run makes attempts until a target answers or no other attempt is allowed.
func (r *outboundRequest) run(w http.ResponseWriter) {
	budget := r.outbound.budgets.get(r.service.Name, newZero)
	budget.recordCall()
	defer func() {
		r.outbound.options.Metrics.requests.record(context.WithoutCancel(r.request.Context()), r.route.Name, time.Since(r.started))
	}()
	for {
		choice, refused := r.selectTarget()
		if refused != nil {
			r.writeRefusalOrLastResponse(w, refused)
			return
		}
		a := r.send(choice)
		if r.request.Context().Err() != nil {
			r.outbound.options.Log.CallerGone(r, a)
			// The caller has disconnected; abort without a response.
			panic(http.ErrAbortHandler)
		}
		reason, again := r.decideRetry(budget, a)
		r.outbound.options.Log.Attempt(r, a, reason)
		if again {
			r.outbound.options.Metrics.retries.Add(r.request.Context(), reason, 1)
			continue
		}
		if reason != "" {
			r.outbound.options.Metrics.retriesRefused.Add(r.request.Context(), reason, 1)
		}
		if a.refused == nil {
			r.writeResponse(w, a)
			return
		}
		r.writeRefusalOrLastResponse(w, a.refused)
		return
	}
}

// selectTarget selects a target, and on the first send the version.
func (r *outboundRequest) selectTarget() (routing.Choice, *refusal) {
	// A newer table may have other targets, but the request stays with the route and version that were selected.
	if r.version == nil {
		version, reason := r.service.SelectVersion(r.rotation)
		if reason != routing.Found {
			return routing.Choice{}, notExecuted(http.StatusServiceUnavailable, string(reason),
				"no version of the service has a ready target").
				withRetryAfter(shortRetryAfter)
		}
		r.version = version
	}
	now := time.Now()
	choice, ok := r.pickTarget(now)
	if !ok {
		if other := r.service.Fallback(r.version); other != nil {
			r.version = other
			choice, ok = r.pickTarget(now)
		}
	}
	if !ok {
		return choice, notExecuted(http.StatusServiceUnavailable, string(routing.NoTarget), "no other target of the version is ready").
			withRetryAfter(shortRetryAfter)
	}
	if choice.WaitsBeyond(r.deadline.Sub(now), admission.IsBrief) {
		return choice, notExecuted(http.StatusServiceUnavailable, string(admission.Deadline),
			"the call cannot finish before its deadline").
			withRetryAfter(choice.Wait)
	}
	return choice, nil
}

// pickTarget selects a target of the version that has not been tried.
func (r *outboundRequest) pickTarget(now time.Time) (routing.Choice, bool) {
	// Retries keep the table that the request began with, but an evacuation holds at once.
	evacuated := r.outbound.options.Tables.Table().View.Evacuated
	loads := &peerLoads{r.outbound.peers, &r.outbound.leaving, evacuated, r.route.Name, now}
	return r.version.SelectByExpectedLoss(loads, random{}, routing.Selection{
		Tried: r.tried, Remaining: r.objective.Sub(now), OwnDataCentre: r.refusedAbroad,
	})
}

// send sends the request to the daemon of the selected target.
func (r *outboundRequest) send(choice routing.Choice) *attempt {
	target := choice.Target
	a := &attempt{target: target, choice: choice, started: time.Now(), peer: r.outbound.peers.get(target)}
	r.sends++
	a.peer.inFlight.Add(1)
	defer a.peer.inFlight.Add(-1)
	e, err := r.outbound.pool.do(r.request.Context(), a.peer.calls, target.Address, r.deadline, r.outgoing(choice))
	a.took = time.Since(a.started)
	if err != nil {
		a.refused = r.failureRefusal(a, err, e.maybeSent)
		return a
	}
	a.response = e.response
	if e.response.Header.Get(HeaderCall) != sendID(r.id, r.sends) {
		e.finish(false)
		a.refused = inDoubt(http.StatusBadGateway, reasonResponseMismatch, "the response belongs to another request")
		return a
	}
	if saysLeaving(r.outbound.options.Headers, e.response.Header) {
		// The target's daemon stops its calls too, but it may restart and not know it any more.
		r.outbound.leaving.add(runOf(target))
	}
	if load, ok := parseLoad(e.response.Header.Get(HeaderLoad)); ok {
		a.peer.recordLoad(time.Now(), r.route.Name, load, parseRate(e.response.Header.Get(HeaderRate)))
	}
	if refused := parseRefusal(e.response); refused != nil {
		// The body is small; reading it to its end allows the connection to be reused.
		_, complete, err := readResponseBody(r.request.Method, e.response, maxBufferedBody)
		e.finish(complete && err == nil)
		a.refused = refused
		return a
	}
	if mustStream(r.request.Method, e.response) {
		a.exchange = e
		a.peer.resetFailures()
		return a
	}
	a.body, _, err = readResponseBody(r.request.Method, e.response, maxBufferedBody)
	e.finish(err == nil)
	a.took = time.Since(a.started)
	if err != nil {
		a.refused = r.failureRefusal(a, e.failureCause(err), true)
		return a
	}
	a.peer.resetFailures()
	return a
}

func (r *outboundRequest) outgoing(choice routing.Choice) *outgoingRequest {
	d := dispatchHeader{
		call: sendID(r.id, r.sends), service: r.version.Service, version: r.version.Version, instance: choice.Target.Instance,
		route: r.route.Name, caller: r.outbound.options.Service, priority: r.priority(),
		objective: time.Until(r.objective),
	}
	switch {
	case choice.ColdLimited && choice.WaitLimit > 0:
		d.maxWait = min(choice.WaitLimit, maxColdWait)
	case r.busyRefusals < maxBusyRefusals && choice.WaitLimit > 0:
		d.maxWait = choice.WaitLimit
	}
	names := r.outbound.options.Headers
	headers := []string{
		HeaderDispatch, d.String(),
		names.Deadline, strconv.FormatInt(max(time.Until(r.deadline).Milliseconds(), 1), 10),
	}
	if r.tenant != nil {
		headers = append(headers, HeaderTenant, tenantHeader{r.tenant.Name, r.tenant.Weight()}.String())
	}
	if r.body.length < 0 || r.body.length > minAnnouncedBody {
		headers = append(headers, headerExpect, expectContinue)
	}
	return &outgoingRequest{request: r.request, body: r.body, headers: headers}
}

// priority is that of the tenant, or of the route if the tenant has none.
func (r *outboundRequest) priority() int {
	if r.tenant != nil && r.tenant.Priority != nil {
		return *r.tenant.Priority
	}
	return r.route.Priority
}

func (r *outboundRequest) maxAttempts() int {
	if r.route.MaxAttempts > 0 {
		return r.route.MaxAttempts
	}
	return retry.MaxAttempts
}

// decideRetry records the result of an attempt and decides whether the request is sent again. The reason is empty for a
// successful attempt.
func (r *outboundRequest) decideRetry(b *sharedBudget, a *attempt) (reason string, ok bool) {
	if a.refused == nil && !r.isTargetFailure(a) {
		return "", false
	}
	reached := a.refused == nil || a.refused.executed != retry.ExecutedNo || a.refused.reason == reasonTargetShed
	if reached {
		r.attempts++
	}
	if a.refused != nil && a.refused.executed != retry.ExecutedNo {
		r.maybeExecuted = true
	}
	r.recordRefusal(a)
	if a.refused == nil {
		r.lastResponse = a
	}
	if r.outbound.stop.hasEnded() {
		return reasonDraining, false
	}
	if a.refused != nil && !reached {
		return r.decideRetryUnsent(a)
	}
	return r.decideRetryReached(b, a)
}

// decideRetryUnsent decides after a send that did not reach a target. Another send costs neither attempts nor budget.
func (r *outboundRequest) decideRetryUnsent(a *attempt) (string, bool) {
	switch {
	case a.refused.status != http.StatusServiceUnavailable && a.refused.status != http.StatusBadGateway:
		return "refused", false
	case !r.body.replayable():
		return string(retry.BodyConsumed), false
	case a.refused.reason == string(admission.Busy) && a.choice.ColdLimited && r.sends < maxSends:
		// Another target is preferred, whatever the load: this one crashes under more calls.
		r.tried = append(r.tried, a.target.Daemon)
		return "busy", true
	case a.refused.reason == string(admission.Busy):
		// The target is not excluded: the refusal carried its load, with which the next selection weighs it.
		r.busyRefusals++
		r.refusedAbroad = r.refusedAbroad || a.target.DataCentre != r.table.View.DataCentre
		return "busy", r.busyRefusals <= maxBusyRefusals
	case a.refused.reason == string(admission.Deadline), a.response == nil && a.refused.reason == reasonCallersOverLimit:
		return a.refused.reason, false
	case r.sends >= maxSends:
		return string(retry.AttemptsSpent), false
	}
	r.tried = append(r.tried, a.target.Daemon)
	return string(retry.NotExecuted), true
}

// maxSends bounds the sends of one request to daemons, including those that were refused before execution.
const maxSends = 8

// decideRetryReached decides after an attempt that may have reached the target.
func (r *outboundRequest) decideRetryReached(b *sharedBudget, a *attempt) (string, bool) {
	notExecuted := a.refused != nil && a.refused.executed == retry.ExecutedNo
	r.tried = append(r.tried, a.target.Daemon)
	switch {
	case !notExecuted && !r.route.Idempotent:
		return string(retry.MayHaveExecuted), false
	case !r.body.replayable():
		return string(retry.BodyConsumed), false
	case r.attempts >= r.maxAttempts():
		return string(retry.AttemptsSpent), false
	case time.Until(r.deadline) <= a.choice.ExecutionTime/2:
		return string(retry.NoTime), false
	case !r.hasUntriedTarget():
		return "no-other-target", false
	case !b.takeRetry(r.outbound.options.Budget, r.table, !notExecuted):
		return string(retry.NoBudget), false
	}
	if notExecuted {
		return string(retry.NotExecuted), true
	}
	return string(retry.Idempotent), true
}

// hasUntriedTarget reports whether a target is left that has not been tried, or a version to fall back to.
func (r *outboundRequest) hasUntriedTarget() bool {
	if _, ok := r.pickTarget(time.Now()); ok {
		return true
	}
	return r.service.Fallback(r.version) != nil
}

// isTargetFailure reports whether a response has a server error and has not been forwarded yet, so that another target may
// be tried.
func (r *outboundRequest) isTargetFailure(a *attempt) bool {
	return a.response.StatusCode >= http.StatusInternalServerError && a.exchange == nil
}

// recordRefusal updates the state of the target after a refusal by its daemon or a failed exchange.
func (r *outboundRequest) recordRefusal(a *attempt) {
	if a.refused == nil {
		return
	}
	now := time.Now()
	eject := false
	switch a.refused.reason {
	case reasonDraining, reasonNotReady, reasonWrongTarget, reasonWithheld, reasonEvacuated:
		a.peer.markLeaving(now)
	case reasonTargetUnreachable, reasonTargetLost:
		eject = true
	case reasonConnectionLost, reasonResponseMismatch, reasonResponseEncoded:
		// A broken connection to the daemon is conclusive: the daemon is gone. An invalid response of the target says
		// little about the next one, and the daemon reports the fraction of failed calls.
		eject = a.peer.recordFailure(a.response == nil)
	case reasonResponseInvalid:
		// Daemons of the release before forward the head of a target that has no valid status.
		eject = a.peer.recordFailure(false)
	}
	if eject {
		a.peer.eject(now)
		r.outbound.options.Metrics.ejections.Add(context.Background(), a.refused.reason, 1)
	}
}

// writeResponse forwards a target's response to the caller.
func (r *outboundRequest) writeResponse(w http.ResponseWriter, a *attempt) {
	copyHeader(w.Header(), a.response.Header, internalResponseHeaders)
	r.outbound.options.Log.Answered(r, a)
	if a.exchange == nil {
		setLength(w.Header(), r.request.Method, a.body)
		w.WriteHeader(a.response.StatusCode)
		_, _ = w.Write(a.body) // fails only if the caller has disconnected
		return
	}
	w.WriteHeader(a.response.StatusCode)
	// Not flushed: as long as no part of the response was sent, a failure can take its place.
	failure := stream(w, a.response.Body, false, r.deadline)
	a.exchange.finish(failure == 0)
	if failure == 0 {
		return
	}
	if r.request.Context().Err() != nil || !withdraw(w) {
		panic(http.ErrAbortHandler)
	}
	r.refuse(w, r.incompleteResponseRefusal(a))
}
