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

// visit is one call at the admission side.
type visit struct {
	admission *Admission
	request   *http.Request
	ctx       context.Context
	body      *requestBody
	deadline  time.Time
	// once is set if the request has an identity on an at-most-once route.
	once *OnceRequest
}

// identify finds the identity of a request on an at-most-once route.
func (v *visit) identify(table *routing.Table, announced bool) *refusal {
	var route *routing.Route
	if table != nil {
		route, _ = table.Match(hostName(v.request.Host), v.request.Method, v.request.URL.Path)
	}
	if route == nil || route.Once == nil {
		if announced {
			return notExecuted(http.StatusServiceUnavailable, reasonOnceNoRoute,
				"this daemon does not know the at-most-once route yet").after(time.Second)
		}
		return nil
	}
	identity, window := requestIdentity(route.Once, v.request, v.body)
	if v.admission.options.Once == nil {
		return notExecuted(http.StatusServiceUnavailable, reasonOnceMissing, "at-most-once claims are not available")
	}
	if identity != "" {
		v.once = &OnceRequest{Service: v.admission.options.Service, Route: route.Name, Identity: identity, Window: window}
	}
	return nil
}

// run takes a slot and executes the call.
func (v *visit) run(w http.ResponseWriter) {
	a := v.admission
	if refused := a.slots.acquire(v.ctx, v.deadline); refused != nil {
		refused.write(w, v.request, a.options.Metrics)
		return
	}
	held := &hold{slots: a.slots, start: time.Now()}
	// A panic between here and the explicit release must not lose the slot.
	defer held.release(false)
	if v.once == nil {
		v.execute(w, held)
		return
	}
	ctx, cancel := context.WithDeadline(v.ctx, v.deadline)
	defer cancel()
	decision := a.options.Once.Begin(ctx, *v.once)
	if decision.Kind != OnceRun {
		held.giveBack()
		v.replay(w, decision)
		return
	}
	result := OnceResult{Outcome: OnceInDoubt}
	// Finish also follows a panic, and is not bound to the caller's connection.
	defer func() { a.options.Once.Finish(context.WithoutCancel(v.ctx), *v.once, decision, result) }()
	result = v.executeOnce(w, held)
}

// replay answers a request that this call must not execute.
func (v *visit) replay(w http.ResponseWriter, decision OnceDecision) {
	m := v.admission.options.Metrics
	switch decision.Kind {
	case OnceReplay:
		if decision.Answer != nil {
			writeAnswer(w, decision.Answer)
			return
		}
		inDoubt(http.StatusConflict, reasonOnceUnknown, "the request ran before and its answer was not kept").write(w, v.request, m)
	case OnceRunning:
		inDoubt(http.StatusConflict, reasonOnceRunning, "the request with this identity is running").
			after(max(decision.RetryAfter, time.Second)).write(w, v.request, m)
	case OnceUnknown:
		inDoubt(http.StatusConflict, reasonOnceUnknown,
			"the request with this identity may have been executed; reconcile with the service before sending a new one").write(w, v.request, m)
	default:
		reason := decision.Reason
		if reason == "" {
			reason = reasonOnceMissing
		}
		notExecuted(http.StatusServiceUnavailable, reason, "no claim could be recorded").after(decision.RetryAfter).write(w, v.request, m)
	}
}

func writeAnswer(w http.ResponseWriter, answer *Answer) {
	copyHeader(w.Header(), answer.Header, internalResponse)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // a caller that is gone can ask again
}

// execute forwards the call and passes the response on.
func (v *visit) execute(w http.ResponseWriter, held *hold) {
	e, refused := v.dispatch(held)
	if refused != nil {
		refused.write(w, v.request, v.admission.options.Metrics)
		return
	}
	response := e.response
	overloaded := response.StatusCode == http.StatusServiceUnavailable
	if streams(v.request.Method, response) {
		copyHeader(w.Header(), response.Header, internalResponse)
		w.WriteHeader(response.StatusCode)
		broken := stream(w, response.Body, response.ContentLength < 0, v.deadline)
		e.finish(broken == 0)
		held.release(overloaded)
		if broken != 0 {
			panic(http.ErrAbortHandler)
		}
		return
	}
	body, _, err := readAnswer(v.request.Method, response, bufferedBytes)
	e.finish(err == nil)
	held.release(overloaded)
	if err != nil {
		v.broken(err, true).write(w, v.request, v.admission.options.Metrics)
		return
	}
	copyHeader(w.Header(), response.Header, internalResponse)
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body) // a caller that is gone needs no response
}

// executeOnce forwards a claimed call. It keeps the whole response, because a repeated request gets the same.
func (v *visit) executeOnce(w http.ResponseWriter, held *hold) OnceResult {
	m := v.admission.options.Metrics
	e, refused := v.dispatch(held)
	if refused != nil {
		refused.write(w, v.request, m)
		if refused.executed == retry.ExecutedNo {
			return OnceResult{Outcome: OnceNotExecuted}
		}
		return OnceResult{Outcome: OnceInDoubt}
	}
	response := e.response
	body, whole, err := readAnswer(v.request.Method, response, v.admission.options.Limits.AnswerBytes)
	e.finish(whole && err == nil)
	held.release(response.StatusCode == http.StatusServiceUnavailable)
	if err != nil {
		v.broken(err, true).write(w, v.request, m)
		return OnceResult{Outcome: OnceInDoubt}
	}
	if !whole {
		inDoubt(http.StatusBadGateway, reasonAnswerTooLong, "the request was executed, but its response is too large to keep").write(w, v.request, m)
		return OnceResult{Outcome: OnceInDoubt}
	}
	answer := &Answer{Status: response.StatusCode, Header: http.Header{}, Body: body}
	copyHeader(answer.Header, response.Header, internalResponse)
	writeAnswer(w, answer)
	// Finish follows and may wait for the platform; the caller need not.
	_ = http.NewResponseController(w).Flush()
	return OnceResult{Outcome: OnceAnswered, Answer: answer}
}

// dispatch sends the call to the target. Finish must follow on the exchange if there is no refusal.
func (v *visit) dispatch(held *hold) (*exchange, *refusal) {
	if v.ctx.Err() != nil || !time.Now().Before(v.deadline) {
		held.giveBack()
		return nil, notExecuted(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before the call was sent")
	}
	e, err := v.admission.pool.do(v.ctx, nil, v.admission.options.Address, v.deadline, v.outgoing())
	held.exchange = e
	if err != nil {
		if !e.sent {
			held.giveBack()
		}
		return nil, v.broken(err, e.sent)
	}
	held.answered()
	if !framed(v.request.Method, e.response) {
		e.finish(false)
		return nil, inDoubt(http.StatusBadGateway, reasonUnframed, "the response of the target has neither a length nor chunks")
	}
	return e, nil
}

// broken turns a failed exchange with the target into a refusal.
func (v *visit) broken(err error, arrived bool) *refusal {
	if v.body.broken.Load() {
		return inDoubt(http.StatusBadRequest, reasonBody, "the request body broke off or is over the limit")
	}
	late := timedOut(err) && !time.Now().Before(v.deadline)
	switch {
	case arrived && late:
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the target did not answer before the deadline")
	case arrived:
		return inDoubt(http.StatusBadGateway, reasonLost, "the connection to the target broke")
	case late:
		return notExecuted(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before the call was sent")
	case errors.Is(err, errConnections):
		return notExecuted(http.StatusServiceUnavailable, string(admission.Connections), err.Error())
	}
	return notExecuted(http.StatusBadGateway, reasonUnreachable, "the target does not accept connections")
}

// outgoing builds the request to the target.
func (v *visit) outgoing() *outgoing {
	headers := []string{HeaderDeadline, strconv.FormatInt(max(time.Until(v.deadline).Milliseconds(), 1), 10)}
	if attempt := v.request.Header[HeaderAttempt]; len(attempt) > 0 {
		headers = append(headers, HeaderAttempt, attempt[0])
	}
	return &outgoing{request: v.request, body: v.body, headers: headers}
}

// hold is an occupied slot. It is freed once.
type hold struct {
	slots *slots
	start time.Time
	// took is the time to the response's headers. The rest depends on the caller's speed too.
	took  time.Duration
	freed bool
	// exchange is the exchange with the target, if it took place.
	exchange *exchange
}

func (h *hold) answered() { h.took = time.Since(h.start) }

func (h *hold) release(overloaded bool) {
	if h.freed {
		return
	}
	h.freed = true
	if h.took == 0 {
		h.answered()
	}
	if h.exchange == nil || !h.exchange.abandoned {
		h.slots.release(h.took, overloaded)
		return
	}
	// The target executes an abandoned call until it notices; its slot is taken until then.
	go func() {
		h.exchange.wait()
		h.slots.release(h.took, overloaded)
	}()
}

func (h *hold) giveBack() {
	if !h.freed {
		h.freed = true
		h.slots.giveBack()
	}
}
