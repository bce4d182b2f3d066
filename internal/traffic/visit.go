package traffic

import (
	"context"
	"net/http"
	"net/url"
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
func (v *visit) identify(table *routing.Table) *refusal {
	announced := len(v.request.Header[HeaderOnce]) > 0
	var route *routing.Route
	if table != nil {
		route, _ = table.Match(v.request.Method, v.request.URL.Path)
	}
	if route == nil || route.Once == nil {
		if announced {
			return notExecuted(http.StatusServiceUnavailable, reasonOnceNoRoute,
				"this daemon does not know the at-most-once route yet").after(time.Second)
		}
		return nil
	}
	identity, window := requestIdentity(route.Once, v.request.Header, v.body)
	if v.admission.options.Once == nil {
		return notExecuted(http.StatusServiceUnavailable, reasonOnceMissing, "at-most-once claims are not available")
	}
	if identity != "" {
		v.once = &OnceRequest{Service: route.Service.Name, Route: route.Name, Identity: identity, Window: window}
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
	decision := a.options.Once.Begin(v.ctx, *v.once)
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
	response, refused := v.dispatch(held)
	if refused != nil {
		refused.write(w, v.request, v.admission.options.Metrics)
		return
	}
	defer func() { _ = response.Body.Close() }()
	overloaded := response.StatusCode == http.StatusServiceUnavailable
	if streams(v.request.Method, response) {
		copyHeader(w.Header(), response.Header, internalResponse)
		w.WriteHeader(response.StatusCode)
		stream(w, response.Body, response.ContentLength < 0, v.deadline)
		held.release(overloaded)
		return
	}
	body, _, err := readAnswer(v.request.Method, response, bufferedBytes)
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
	response, refused := v.dispatch(held)
	if refused != nil {
		refused.write(w, v.request, m)
		if refused.executed == retry.ExecutedNo {
			return OnceResult{Outcome: OnceNotExecuted}
		}
		return OnceResult{Outcome: OnceInDoubt}
	}
	defer func() { _ = response.Body.Close() }()
	body, whole, err := readAnswer(v.request.Method, response, v.admission.options.Limits.AnswerBytes)
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
	return OnceResult{Outcome: OnceAnswered, Answer: answer}
}

// dispatch sends the call to the target.
func (v *visit) dispatch(held *hold) (*http.Response, *refusal) {
	if v.ctx.Err() != nil {
		held.giveBack()
		return nil, notExecuted(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before the call was sent")
	}
	var watch sending
	response, err := v.admission.transport.RoundTrip(v.outgoing(watch.context(v.ctx)))
	if err != nil {
		arrived := watch.mayHaveArrived(v.ctx.Err() != nil)
		if !arrived {
			held.giveBack()
		}
		return nil, v.broken(err, arrived)
	}
	held.answered()
	if !framed(v.request.Method, response) {
		_ = response.Body.Close()
		return nil, inDoubt(http.StatusBadGateway, reasonUnframed, "the response of the target has neither a length nor chunks")
	}
	return response, nil
}

// broken turns a failed exchange with the target into a refusal.
func (v *visit) broken(err error, arrived bool) *refusal {
	switch {
	case arrived && v.ctx.Err() != nil:
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the target did not answer before the deadline")
	case arrived:
		return inDoubt(http.StatusBadGateway, reasonLost, "the connection to the target broke")
	case errors.Is(err, errConnections):
		return notExecuted(http.StatusServiceUnavailable, string(admission.Connections), err.Error())
	}
	return notExecuted(http.StatusBadGateway, reasonUnreachable, "the target does not accept connections")
}

// outgoing builds the request to the target.
func (v *visit) outgoing(ctx context.Context) *http.Request {
	r := v.request
	h := requestHeader(r.Header, 1)
	left := max(time.Until(v.deadline).Milliseconds(), 1)
	h[HeaderDeadline] = []string{strconv.FormatInt(left, 10)}
	out := &http.Request{
		Method: r.Method, Host: r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{
			Scheme: "http", Host: v.admission.options.Address, Path: r.URL.Path, RawPath: r.URL.RawPath,
			RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		},
	}
	v.body.attach(out)
	return out.WithContext(ctx)
}

// hold is an occupied slot. It is freed once.
type hold struct {
	slots *slots
	start time.Time
	// took is the time to the response's headers. The rest depends on the caller's speed too.
	took  time.Duration
	freed bool
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
	h.slots.release(h.took, overloaded)
}

func (h *hold) giveBack() {
	if !h.freed {
		h.freed = true
		h.slots.giveBack()
	}
}
