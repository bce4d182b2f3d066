package traffic

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// ingressCall is one call at the ingress, with all its attempts.
type ingressCall struct {
	ingress  *Ingress
	request  *http.Request
	ctx      context.Context
	route    *routing.Route
	body     *requestBody
	deadline time.Time
	id       string
	nested   bool
	// rotation is the position of this call in the rotation over the versions of the service.
	rotation uint64

	service *routing.Service
	version *routing.Version
	tried   []model.DaemonID
	attempt int
	// maybeExecuted is set once the target of an attempt may have executed the call.
	maybeExecuted bool
}

// attemptResult is the result of one attempt: a response of the target, or a refusal.
type attemptResult struct {
	exchange *exchange
	// body is the complete response body if buffered is true.
	body     []byte
	buffered bool
	refused  *refusal
	// avoidVersion means that the next attempt must go to another version.
	avoidVersion bool
	started      time.Time
	peer         *peer
}

// run makes attempts until a target answers or no retry is allowed.
func (c *ingressCall) run(w http.ResponseWriter) {
	budget := c.ingress.budgets.get(c.service.Name, newZero)
	budget.mu.Lock()
	budget.budget.RecordCall()
	budget.mu.Unlock()
	for {
		c.attempt++
		target, refused := c.selectTarget()
		if refused != nil {
			c.writeRefusal(w, refused)
			return
		}
		result := c.send(target)
		if result.refused == nil {
			c.writeResponse(w, result)
			return
		}
		if c.request.Context().Err() != nil {
			// The caller has disconnected; abort without a response.
			panic(http.ErrAbortHandler)
		}
		c.maybeExecuted = c.maybeExecuted || result.refused.executed != retry.ExecutedNo
		if !c.awaitRetry(budget, target, result) {
			c.writeRefusal(w, result.refused)
			return
		}
	}
}

// writeRefusal responds with a refusal. It states "not executed" only if that is true of every attempt.
func (c *ingressCall) writeRefusal(w http.ResponseWriter, refused *refusal) {
	if c.maybeExecuted {
		refused.executed = retry.ExecutedUnknown
	}
	refused.write(w, c.request, c.ingress.options.Metrics)
}

// awaitRetry decides whether to make another attempt and, if so, waits for the backoff. It returns false for no retry.
func (c *ingressCall) awaitRetry(b *lockedBudget, target *model.Target, result attemptResult) bool {
	c.tried = append(c.tried, target.Daemon)
	if !c.ensureUntriedTarget(result.avoidVersion) {
		c.ingress.options.Metrics.retriesRefused.Add(c.ctx, "no-other-target", 1)
		return false
	}
	b.mu.Lock()
	decision := retry.Decide(&b.budget, retry.Attempt{
		Number: c.attempt, Executed: result.refused.executed, Idempotent: c.isIdempotent(), Nested: c.nested,
		Replayable: c.body.replayable(), Remaining: time.Until(c.deadline), Max: c.route.MaxAttempts,
	}, random{})
	b.mu.Unlock()
	if !decision.Retry {
		c.ingress.options.Metrics.retriesRefused.Add(c.ctx, string(decision.Reason), 1)
		return false
	}
	reason := string(decision.Reason)
	if result.refused.reason == reasonTargetLost || result.refused.reason == reasonTargetStalled {
		reason = result.refused.reason
	}
	c.ingress.options.Metrics.retries.Add(c.ctx, reason, 1)
	timer := time.NewTimer(decision.Wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		// The caller has disconnected; abort without a response.
		panic(http.ErrAbortHandler)
	}
}

// ensureUntriedTarget checks that the version has a target that has not been tried; otherwise, or if avoidVersion is set,
// it switches to the fallback version. It reports whether another attempt is possible.
func (c *ingressCall) ensureUntriedTarget(avoidVersion bool) bool {
	if _, reason := c.pickTarget(c.version); reason == routing.Found && !avoidVersion {
		return true
	}
	other := c.service.Fallback(c.version)
	if other == nil {
		return false
	}
	_, reason := c.pickTarget(other)
	if reason == routing.Found {
		c.version = other
	}
	return reason == routing.Found
}

func (c *ingressCall) pickTarget(version *routing.Version) (*model.Target, routing.Reason) {
	return version.SelectByTwoChoices(&peerStats{c.ingress.peers, time.Now()}, random{}, c.tried)
}

// isIdempotent reports whether the request may be executed twice. An at-most-once route is never idempotent, whatever the
// method.
func (c *ingressCall) isIdempotent() bool {
	if c.route.Once != nil {
		return false
	}
	switch c.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return c.route.Idempotent
}

// selectTarget selects a target, and on the first attempt the version.
func (c *ingressCall) selectTarget() (*model.Target, *refusal) {
	if c.version == nil {
		version, reason := c.service.SelectVersion(c.rotation)
		if reason != routing.Found {
			return nil, notExecuted(http.StatusServiceUnavailable, string(reason), "no version of the service receives calls").
				withRetryAfter(time.Second)
		}
		c.version = version
	}
	target, reason := c.pickTarget(c.version)
	if reason != routing.Found && c.ensureUntriedTarget(false) {
		target, reason = c.pickTarget(c.version)
	}
	if reason == routing.Overloaded {
		return nil, notExecuted(http.StatusServiceUnavailable, string(reason), "all targets of the version are at their limit").
			withRetryAfter(time.Second)
	}
	if reason != routing.Found {
		return nil, notExecuted(http.StatusServiceUnavailable, string(reason), "no target of the version is ready").
			withRetryAfter(time.Second)
	}
	return target, nil
}

// send makes one attempt.
func (c *ingressCall) send(target *model.Target) attemptResult {
	result := attemptResult{started: time.Now(), peer: c.ingress.peers.get(target)}
	result.peer.inFlight.Add(1)
	defer result.peer.inFlight.Add(-1)
	e, err := c.ingress.pool.do(c.ctx, result.peer.calls, target.Address, c.deadline, c.outgoing())
	if err != nil {
		result.refused = c.handleFailure(result, target, err, e.maybeSent)
		return result
	}
	response := e.response
	result.peer.lastResponse.Store(monotonic(time.Now()))
	if response.Header.Get(HeaderCall) != sendID(c.id, c.attempt) {
		e.finish(false)
		result.refused = inDoubt(http.StatusBadGateway, reasonResponseMismatch, "the response belongs to another request")
		c.recordOutcome(result, true)
		return result
	}
	if refused := parseRefusal(response); refused != nil {
		// The body is small; reading it to its end allows the connection to be reused.
		_, complete, err := readResponseBody(c.request.Method, response, maxBufferedBody)
		e.finish(complete && err == nil)
		result.refused = refused
		result.avoidVersion = refused.reason == reasonWithheld
		c.recordRefusal(result, refused)
		return result
	}
	result.exchange = e
	if mustStream(c.request.Method, response) {
		return result
	}
	result.body, result.buffered, err = readResponseBody(c.request.Method, response, maxBufferedBody)
	e.finish(err == nil)
	if err != nil {
		result.refused = c.handleFailure(result, target, e.failureCause(err), true)
	}
	return result
}

// outgoing builds the request to the daemon of the target.
func (c *ingressCall) outgoing() *outgoingRequest {
	header := callHeader{id: sendID(c.id, c.attempt), once: "-", service: string(c.version.Service),
		version: string(c.version.Version), route: string(c.route.Name)}
	if c.route.Once != nil {
		header.once = "once"
	}
	// Only the first attempt may be cancelled as stalled. A slow target cannot be told from a stopped one, so a later
	// attempt may use all of the remaining time.
	retryable := c.attempt == 1 && c.isIdempotent() && !c.nested && c.body.rest == nil
	return &outgoingRequest{request: c.request, body: c.body, retryable: retryable, headers: []string{
		HeaderCall, header.String(),
		HeaderDeadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10),
		HeaderAttempt, strconv.Itoa(c.attempt),
	}}
}

// handleFailure returns the refusal for a failed exchange and records the failure of the target. MaybeSent means that the
// target may have received the request.
func (c *ingressCall) handleFailure(result attemptResult, target *model.Target, err error, maybeSent bool) *refusal {
	if c.request.Context().Err() != nil {
		return inDoubt(http.StatusServiceUnavailable, reasonConnectionLost, "the caller is gone")
	}
	if c.body.readFailed.Load() {
		return inDoubt(http.StatusBadRequest, reasonBodyUnreadable, "the request body broke off or is over the limit")
	}
	deadlinePassed := isTimeout(err) && !time.Now().Before(c.deadline)
	switch {
	case errors.Is(err, errNoConnectionLeft):
		return callersRefusal("all connections to other daemons are in use")
	case errors.Is(err, errTargetStalled):
		c.recordOutcome(result, true)
		c.recordTargetFailure(result, false, reasonTargetStalled)
		return inDoubt(http.StatusGatewayTimeout, reasonTargetStalled, "the daemon "+string(target.Daemon)+" stopped answering")
	case errors.Is(err, errTargetLost) && maybeSent:
		c.recordOutcome(result, true)
		return inDoubt(http.StatusBadGateway, reasonTargetLost, "the daemon "+string(target.Daemon)+" is silent, gone or replaced")
	case errors.Is(err, errTargetLost):
		return notExecuted(http.StatusBadGateway, reasonTargetLost, "the daemon "+string(target.Daemon)+" is silent, gone or replaced")
	case deadlinePassed && maybeSent:
		c.recordOutcome(result, true)
		c.recordTargetFailure(result, false, "deadline")
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the deadline of the call passed before the response")
	case deadlinePassed:
		return notExecuted(http.StatusGatewayTimeout, reasonDeadline, "the deadline of the call passed before it was sent")
	case errors.Is(err, errInvalidResponse):
		c.recordOutcome(result, true)
		c.recordTargetFailure(result, false, "failed")
		return inDoubt(http.StatusBadGateway, reasonResponseInvalid, err.Error())
	case maybeSent:
		c.recordOutcome(result, true)
		c.recordTargetFailure(result, false, "connection")
		return inDoubt(http.StatusBadGateway, reasonConnectionLost, "the connection to "+string(target.Daemon)+" broke")
	}
	c.recordTargetFailure(result, true, "unreachable")
	return notExecuted(http.StatusBadGateway, reasonTargetUnreachable, "the daemon "+string(target.Daemon)+" could not be reached")
}

// recordRefusal updates the state of the target after a refusal by its daemon.
func (c *ingressCall) recordRefusal(result attemptResult, refused *refusal) {
	now := time.Now()
	switch refused.reason {
	case string(admission.QueueFull), string(admission.Connections):
		result.peer.markBusy(now, refused.wait)
	case string(admission.Draining), string(admission.NotReady), reasonWrongTarget:
		result.peer.markLeaving(now)
	case reasonTargetUnreachable:
		c.recordTargetFailure(result, true, "target-unreachable")
	}
	if refused.executed != retry.ExecutedNo && refused.reason != reasonOnceOutcomeUnknown && refused.reason != reasonOnceRunning {
		c.recordOutcome(result, true)
		c.recordTargetFailure(result, false, "failed")
	}
}

// recordTargetFailure counts a failure of the target and ejects the target if enough have occurred in a row. A conclusive
// failure, such as a refused connection, is enough on its own.
func (c *ingressCall) recordTargetFailure(result attemptResult, conclusive bool, reason string) {
	if !result.peer.recordFailure(conclusive) {
		return
	}
	now := time.Now()
	if c.version.MayEject(&peerStats{c.ingress.peers, now}, conclusive) {
		result.peer.eject(now)
		c.ingress.options.Metrics.ejections.Add(c.ctx, reason, 1)
	}
}

func (c *ingressCall) recordOutcome(result attemptResult, failed bool) {
	key := model.OutcomeKey{Service: c.version.Service, Route: c.route.Name, Version: c.version.Version}
	c.ingress.recorder.record(c.ctx, key, failed, time.Since(result.started))
}

// writeResponse forwards the target's response to the caller.
func (c *ingressCall) writeResponse(w http.ResponseWriter, result attemptResult) {
	response := result.exchange.response
	failed := response.StatusCode >= http.StatusInternalServerError
	copyHeader(w.Header(), response.Header, internalResponseHeaders)
	if result.buffered {
		c.recordResponse(result, failed)
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(result.body) // fails only if the caller has disconnected
		return
	}
	result.peer.inFlight.Add(1)
	defer result.peer.inFlight.Add(-1)
	w.WriteHeader(response.StatusCode)
	failure := stream(w, response.Body, response.ContentLength < 0, c.deadline)
	result.exchange.finish(failure == 0)
	switch {
	case failure == 0:
		c.recordResponse(result, failed)
		return
	case failure == senderFailed && c.request.Context().Err() == nil:
		c.recordResponse(result, true)
	}
	panic(http.ErrAbortHandler)
}

// recordResponse records the outcome of an attempt that the target answered.
func (c *ingressCall) recordResponse(result attemptResult, failed bool) {
	c.recordOutcome(result, failed)
	if failed {
		c.recordTargetFailure(result, false, "failed")
		return
	}
	result.peer.recordSuccess(time.Since(result.started))
}
