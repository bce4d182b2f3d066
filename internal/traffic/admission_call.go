package traffic

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/query/routing"
)

// admissionCall is one call at the admission side.
type admissionCall struct {
	admission *Admission
	request   *http.Request
	ctx       context.Context
	body      *requestBody
	deadline  time.Time
	// once is set if the request has an identity on an at-most-once route.
	once *OnceRequest
}

// setIdentity determines the identity of a request on an at-most-once route. MarkedOnce means that the ingress matched
// such a route.
func (c *admissionCall) setIdentity(table *routing.Table, markedOnce bool) *refusal {
	var route *routing.Route
	if table != nil {
		route, _ = table.Match(hostName(c.request.Host), c.request.Method, c.request.URL.Path)
	}
	if route == nil || route.Once == nil {
		if markedOnce {
			return notExecuted(http.StatusServiceUnavailable, reasonOnceRouteUnknown,
				"this daemon does not know the at-most-once route yet").withRetryAfter(time.Second)
		}
		return nil
	}
	identity, window := requestIdentity(route.Once, c.request, c.body)
	if c.admission.options.Once == nil {
		return notExecuted(http.StatusServiceUnavailable, reasonOnceUnavailable, "at-most-once claims are not available")
	}
	if identity != "" {
		c.once = &OnceRequest{Service: c.admission.options.Service, Route: route.Name, Identity: identity, Window: window}
	}
	return nil
}

// run takes a slot and executes the call.
func (c *admissionCall) run(w http.ResponseWriter) {
	a := c.admission
	if refused := a.queue.acquire(c.ctx, c.deadline); refused != nil {
		refused.write(w, c.request, a.options.Metrics)
		return
	}
	slot := &heldSlot{queue: a.queue, start: time.Now()}
	// A panic between here and the explicit release must not lose the slot.
	defer slot.release(false)
	if c.once == nil {
		c.execute(w, slot)
		return
	}
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	decision := a.options.Once.Begin(ctx, *c.once)
	if decision.Kind != OnceRun {
		slot.releaseUnsent()
		c.writeDecision(w, decision)
		return
	}
	result := OnceResult{Outcome: OnceInDoubt}
	// Finish is called after a panic too, and its context does not end with the caller's connection.
	defer func() { a.options.Once.Finish(context.WithoutCancel(c.ctx), *c.once, decision, result) }()
	result = c.executeOnce(w, slot)
}

// writeDecision responds to a request that must not be executed: with the stored response or a refusal.
func (c *admissionCall) writeDecision(w http.ResponseWriter, decision OnceDecision) {
	m := c.admission.options.Metrics
	switch decision.Kind {
	case OnceReplay:
		if decision.Response != nil {
			writeStoredResponse(w, decision.Response)
			return
		}
		inDoubt(http.StatusConflict, reasonOnceOutcomeUnknown, "the request ran before and its answer was not kept").
			write(w, c.request, m)
	case OnceRunning:
		inDoubt(http.StatusConflict, reasonOnceRunning, "the request with this identity is running").
			withRetryAfter(max(decision.RetryAfter, time.Second)).write(w, c.request, m)
	case OnceUnknown:
		inDoubt(http.StatusConflict, reasonOnceOutcomeUnknown,
			"the request with this identity may have been executed; reconcile with the service before sending a new one").
			write(w, c.request, m)
	default:
		reason := decision.Reason
		if reason == "" {
			reason = reasonOnceUnavailable
		}
		notExecuted(http.StatusServiceUnavailable, reason, "no claim could be recorded").
			withRetryAfter(decision.RetryAfter).write(w, c.request, m)
	}
}

func writeStoredResponse(w http.ResponseWriter, stored *Response) {
	copyHeader(w.Header(), stored.Header, internalResponseHeaders)
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body) // fails only if the caller has disconnected; it can ask again
}

// execute sends the call to the target and forwards the response.
func (c *admissionCall) execute(w http.ResponseWriter, slot *heldSlot) {
	e, refused := c.send(slot)
	if refused != nil {
		refused.write(w, c.request, c.admission.options.Metrics)
		return
	}
	response := e.response
	overloaded := response.StatusCode == http.StatusServiceUnavailable
	if mustStream(c.request.Method, response) {
		copyHeader(w.Header(), response.Header, internalResponseHeaders)
		w.WriteHeader(response.StatusCode)
		failure := stream(w, response.Body, response.ContentLength < 0, c.deadline)
		e.finish(failure == 0)
		slot.release(overloaded)
		if failure != 0 {
			panic(http.ErrAbortHandler)
		}
		return
	}
	body, _, err := readResponseBody(c.request.Method, response, maxBufferedBody)
	e.finish(err == nil)
	slot.release(overloaded)
	if err != nil {
		c.failureRefusal(err, true).write(w, c.request, c.admission.options.Metrics)
		return
	}
	copyHeader(w.Header(), response.Header, internalResponseHeaders)
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// executeOnce sends a claimed call to the target. It buffers the complete response, because a repeated request gets the
// same one.
func (c *admissionCall) executeOnce(w http.ResponseWriter, slot *heldSlot) OnceResult {
	m := c.admission.options.Metrics
	e, refused := c.send(slot)
	if refused != nil {
		refused.write(w, c.request, m)
		if refused.executed == retry.ExecutedNo {
			return OnceResult{Outcome: OnceNotExecuted}
		}
		return OnceResult{Outcome: OnceInDoubt}
	}
	response := e.response
	body, complete, err := readResponseBody(c.request.Method, response, c.admission.options.Limits.StoredResponseBytes)
	e.finish(complete && err == nil)
	slot.release(response.StatusCode == http.StatusServiceUnavailable)
	if err != nil {
		c.failureRefusal(err, true).write(w, c.request, m)
		return OnceResult{Outcome: OnceInDoubt}
	}
	if !complete {
		inDoubt(http.StatusBadGateway, reasonAnswerTooLong, "the request was executed, but its response is too large to keep").
			write(w, c.request, m)
		return OnceResult{Outcome: OnceInDoubt}
	}
	stored := &Response{Status: response.StatusCode, Header: http.Header{}, Body: body}
	copyHeader(stored.Header, response.Header, internalResponseHeaders)
	writeStoredResponse(w, stored)
	// Finish is called next and may wait for the platform; the caller gets its response before.
	_ = http.NewResponseController(w).Flush()
	return OnceResult{Outcome: OnceAnswered, Response: stored}
}

// send sends the call to the target. If it returns no refusal, finish must be called on the exchange.
func (c *admissionCall) send(slot *heldSlot) (*exchange, *refusal) {
	if c.ctx.Err() != nil || !time.Now().Before(c.deadline) {
		slot.releaseUnsent()
		return nil, notExecuted(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before the call was sent")
	}
	e, err := c.admission.pool.do(c.ctx, nil, c.admission.options.Address, c.deadline, c.outgoing())
	slot.exchange = e
	if err != nil {
		if !e.maybeSent {
			slot.releaseUnsent()
		}
		return nil, c.failureRefusal(err, e.maybeSent)
	}
	slot.stopTimer()
	if !hasFraming(c.request.Method, e.response) {
		e.finish(false)
		return nil, inDoubt(http.StatusBadGateway, reasonResponseUnframed, "the response of the target has neither a length nor chunks")
	}
	return e, nil
}

// failureRefusal returns the refusal for a failed exchange with the target. MaybeSent means that the target may have received
// the request.
func (c *admissionCall) failureRefusal(err error, maybeSent bool) *refusal {
	if c.body.readFailed.Load() {
		return inDoubt(http.StatusBadRequest, reasonBodyUnreadable, "the request body broke off or is over the limit")
	}
	deadlinePassed := isTimeout(err) && !time.Now().Before(c.deadline)
	switch {
	case maybeSent && deadlinePassed:
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the target did not answer before the deadline")
	case errors.Is(err, errInvalidResponse):
		return inDoubt(http.StatusBadGateway, reasonResponseInvalid, err.Error())
	case maybeSent:
		return inDoubt(http.StatusBadGateway, reasonConnectionLost, "the connection to the target broke")
	case deadlinePassed:
		return notExecuted(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before the call was sent")
	case errors.Is(err, errNoConnectionLeft):
		return notExecuted(http.StatusServiceUnavailable, string(admission.Connections), err.Error())
	}
	return notExecuted(http.StatusBadGateway, reasonTargetUnreachable, "the target does not accept connections")
}

// outgoing builds the request to the target.
func (c *admissionCall) outgoing() *outgoingRequest {
	headers := []string{HeaderDeadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10)}
	if attempt := c.request.Header[HeaderAttempt]; len(attempt) > 0 {
		headers = append(headers, HeaderAttempt, attempt[0])
	}
	return &outgoingRequest{request: c.request, body: c.body, headers: headers}
}

// heldSlot is an occupied slot. Only the first release has an effect.
type heldSlot struct {
	queue *admissionQueue
	start time.Time
	// took is the time until the response header. The time of the body also depends on how fast the caller reads.
	took     time.Duration
	released bool
	// exchange is the exchange with the target, or nil if there was none.
	exchange *exchange
}

func (s *heldSlot) stopTimer() { s.took = time.Since(s.start) }

func (s *heldSlot) release(overloaded bool) {
	if s.released {
		return
	}
	s.released = true
	if s.took == 0 {
		s.stopTimer()
	}
	if s.exchange == nil || !s.exchange.abandoned {
		s.queue.release(s.took, overloaded)
		return
	}
	// The target goes on with an abandoned call until it notices the closed connection; the slot stays occupied until then.
	go func() {
		s.exchange.awaitEnd()
		s.queue.release(s.took, overloaded)
	}()
}

func (s *heldSlot) releaseUnsent() {
	if !s.released {
		s.released = true
		s.queue.releaseUnsent()
	}
}
