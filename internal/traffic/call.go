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

// call is one call at the ingress, with all its attempts.
type call struct {
	ingress  *Ingress
	request  *http.Request
	ctx      context.Context
	route    *routing.Route
	body     *requestBody
	deadline time.Time
	id       string
	nested   bool
	// rotation selects the version.
	rotation uint64

	service *routing.Service
	version *routing.Version
	tried   []model.DaemonID
	attempt int
	// doubtful says that an earlier attempt may have been executed.
	doubtful bool
}

// result is how one attempt ended: with a response of the target or with a refusal.
type result struct {
	exchange *exchange
	// body is the whole body if buffered is true.
	body     []byte
	buffered bool
	refused  *refusal
	// elsewhere says that the next attempt must leave the version.
	elsewhere bool
	started   time.Time
	peer      *peer
}

// run makes attempts until one is answered or no retry is allowed.
func (c *call) run(w http.ResponseWriter) {
	budget := c.ingress.budgets.get(c.service.Name, zero)
	budget.mu.Lock()
	budget.budget.RecordCall()
	budget.mu.Unlock()
	for {
		c.attempt++
		target, refused := c.selectTarget()
		if refused != nil {
			c.refuse(w, refused)
			return
		}
		out := c.send(target)
		if out.refused == nil {
			c.answer(w, out)
			return
		}
		if c.request.Context().Err() != nil {
			// The caller is gone, and nobody reads a refusal.
			panic(http.ErrAbortHandler)
		}
		c.doubtful = c.doubtful || out.refused.executed != retry.ExecutedNo
		if !c.retry(budget, target, out) {
			c.refuse(w, out.refused)
			return
		}
	}
}

// refuse answers with a refusal. It says "not executed" only if that holds for each attempt.
func (c *call) refuse(w http.ResponseWriter, refused *refusal) {
	if c.doubtful {
		refused.executed = retry.ExecutedUnknown
	}
	refused.write(w, c.request, c.ingress.options.Metrics)
}

// retry decides on the next attempt and waits for it.
func (c *call) retry(b *budget, target *model.Target, out result) bool {
	c.tried = append(c.tried, target.Daemon)
	if !c.redirect(out.elsewhere) {
		c.ingress.options.Metrics.notRetried.Add(c.ctx, "no-other-target", 1)
		return false
	}
	b.mu.Lock()
	decision := retry.Decide(&b.budget, retry.Attempt{
		Number: c.attempt, Executed: out.refused.executed, Idempotent: c.idempotent(), Nested: c.nested,
		Replayable: c.body.replayable(), Remaining: time.Until(c.deadline), Max: c.route.MaxAttempts,
	}, random{})
	b.mu.Unlock()
	if !decision.Retry {
		c.ingress.options.Metrics.notRetried.Add(c.ctx, string(decision.Reason), 1)
		return false
	}
	reason := string(decision.Reason)
	if out.refused.reason == reasonTargetLost || out.refused.reason == reasonStalled {
		reason = out.refused.reason
	}
	c.ingress.options.Metrics.retries.Add(c.ctx, reason, 1)
	timer := time.NewTimer(decision.Wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		// The caller is gone, and nobody reads a refusal.
		panic(http.ErrAbortHandler)
	}
}

// redirect makes sure that the version has a target that was not tried, or goes to the fallback version. It reports
// whether another attempt is possible.
func (c *call) redirect(elsewhere bool) bool {
	if _, reason := c.pick(c.version); reason == routing.Found && !elsewhere {
		return true
	}
	other := c.service.Fallback(c.version)
	if other == nil {
		return false
	}
	_, reason := c.pick(other)
	if reason == routing.Found {
		c.version = other
	}
	return reason == routing.Found
}

func (c *call) pick(version *routing.Version) (*model.Target, routing.Reason) {
	return version.SelectByTwoChoices(&signals{c.ingress.peers, time.Now()}, random{}, c.tried)
}

// idempotent reports whether a second execution does no harm. An at-most-once route is never idempotent, whatever its
// method.
func (c *call) idempotent() bool {
	if c.route.Once != nil {
		return false
	}
	switch c.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return c.route.Idempotent
}

// selectTarget selects a version on the first attempt and a target on each.
func (c *call) selectTarget() (*model.Target, *refusal) {
	if c.version == nil {
		version, reason := c.service.SelectVersion(c.rotation)
		if reason != routing.Found {
			return nil, notExecuted(http.StatusServiceUnavailable, string(reason), "no version of the service receives calls").after(time.Second)
		}
		c.version = version
	}
	target, reason := c.pick(c.version)
	if reason != routing.Found && c.redirect(false) {
		target, reason = c.pick(c.version)
	}
	if reason == routing.Overloaded {
		return nil, notExecuted(http.StatusServiceUnavailable, string(reason), "all targets of the version are at their limit").after(time.Second)
	}
	if reason != routing.Found {
		return nil, notExecuted(http.StatusServiceUnavailable, string(reason), "no target of the version is ready").after(time.Second)
	}
	return target, nil
}

// send makes one attempt.
func (c *call) send(target *model.Target) result {
	out := result{started: time.Now(), peer: c.ingress.peers.find(target)}
	out.peer.inFlight.Add(1)
	defer out.peer.inFlight.Add(-1)
	e, err := c.ingress.pool.do(c.ctx, out.peer.calls, target.Address, c.deadline, c.outgoing())
	if err != nil {
		out.refused = c.failed(out, target, err, e.sent)
		return out
	}
	response := e.response
	out.peer.answered.Store(time.Now().UnixNano())
	if response.Header.Get(HeaderCall) != c.id {
		e.finish(false)
		out.refused = inDoubt(http.StatusBadGateway, reasonMismatch, "the response belongs to another request")
		c.observe(out, true)
		return out
	}
	if refused := refusalFrom(response); refused != nil {
		// The body is small; reading it keeps the connection.
		_, whole, err := readAnswer(c.request.Method, response, bufferedBytes)
		e.finish(whole && err == nil)
		out.refused = refused
		out.elsewhere = refused.reason == reasonWithheld
		c.refusedBy(out, refused)
		return out
	}
	out.exchange = e
	if streams(c.request.Method, response) {
		return out
	}
	out.body, out.buffered, err = readAnswer(c.request.Method, response, bufferedBytes)
	e.finish(err == nil)
	if err != nil {
		out.refused = c.failed(out, target, e.reason(err), true)
	}
	return out
}

// outgoing builds the request to the daemon beside the target.
func (c *call) outgoing() *outgoing {
	t := ticket{id: c.id, once: "-", service: string(c.version.Service), version: string(c.version.Version), route: string(c.route.Name)}
	if c.route.Once != nil {
		t.once = "once"
	}
	// A later attempt has the rest of the deadline to itself, since a slow target looks like one that stopped.
	retryable := c.attempt == 1 && c.idempotent() && !c.nested && c.body.rest == nil
	return &outgoing{request: c.request, body: c.body, retryable: retryable, headers: []string{
		HeaderCall, t.String(),
		HeaderDeadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10),
		HeaderAttempt, strconv.Itoa(c.attempt),
	}}
}

// failed turns a broken attempt into a refusal and records what it shows about the target.
func (c *call) failed(out result, target *model.Target, err error, arrived bool) *refusal {
	if c.request.Context().Err() != nil {
		return inDoubt(http.StatusServiceUnavailable, reasonLost, "the caller is gone")
	}
	if c.body.broken.Load() {
		return inDoubt(http.StatusBadRequest, reasonBody, "the request body broke off or is over the limit")
	}
	late := timedOut(err) && !time.Now().Before(c.deadline)
	switch {
	case errors.Is(err, errStalled):
		c.observe(out, true)
		c.eject(out, false, reasonStalled)
		return inDoubt(http.StatusGatewayTimeout, reasonStalled, "the daemon "+string(target.Daemon)+" stopped answering")
	case errors.Is(err, errLost) && arrived:
		c.observe(out, true)
		return inDoubt(http.StatusBadGateway, reasonTargetLost, "the daemon "+string(target.Daemon)+" is silent, gone or replaced")
	case errors.Is(err, errLost):
		return notExecuted(http.StatusBadGateway, reasonTargetLost, "the daemon "+string(target.Daemon)+" is silent, gone or replaced")
	case late && arrived:
		c.observe(out, true)
		c.eject(out, false, "deadline")
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the deadline of the call passed before the response")
	case late:
		return notExecuted(http.StatusGatewayTimeout, reasonDeadline, "the deadline of the call passed before it was sent")
	case arrived:
		c.observe(out, true)
		c.eject(out, false, "connection")
		return inDoubt(http.StatusBadGateway, reasonLost, "the connection to "+string(target.Daemon)+" broke")
	}
	c.eject(out, true, "unreachable")
	return notExecuted(http.StatusBadGateway, reasonUnreachable, "the daemon "+string(target.Daemon)+" could not be reached")
}

// refusedBy records what a refusal by the admission side shows about the target.
func (c *call) refusedBy(out result, refused *refusal) {
	now := time.Now()
	switch refused.reason {
	case string(admission.QueueFull), string(admission.Connections):
		out.peer.busy(now, refused.wait)
	case string(admission.Draining), string(admission.NotReady), reasonWrongTarget:
		out.peer.leaving(now)
	case reasonUnreachable:
		c.eject(out, true, "target-unreachable")
	}
	if refused.executed != retry.ExecutedNo && refused.reason != reasonOnceUnknown && refused.reason != reasonOnceRunning {
		c.observe(out, true)
		c.eject(out, false, "failed")
	}
}

func (c *call) eject(out result, conclusive bool, reason string) {
	if !out.peer.failed(conclusive) {
		return
	}
	now := time.Now()
	if c.version.MayEject(&signals{c.ingress.peers, now}, conclusive) {
		out.peer.eject(now)
		c.ingress.options.Metrics.ejected.Add(c.ctx, reason, 1)
	}
}

func (c *call) observe(out result, failed bool) {
	key := model.OutcomeKey{Service: c.version.Service, Route: c.route.Name, Version: c.version.Version}
	c.ingress.recorder.observe(c.ctx, key, failed, time.Since(out.started))
}

// answer passes the target's response on.
func (c *call) answer(w http.ResponseWriter, out result) {
	response := out.exchange.response
	failed := response.StatusCode >= http.StatusInternalServerError
	copyHeader(w.Header(), response.Header, internalResponse)
	if out.buffered {
		c.settle(out, failed)
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(out.body) // a caller that is gone needs no response
		return
	}
	out.peer.inFlight.Add(1)
	defer out.peer.inFlight.Add(-1)
	w.WriteHeader(response.StatusCode)
	broken := stream(w, response.Body, response.ContentLength < 0, c.deadline)
	out.exchange.finish(broken == 0)
	switch {
	case broken == 0:
		c.settle(out, failed)
		return
	case broken == brokenBySender && c.request.Context().Err() == nil:
		c.settle(out, true)
	}
	panic(http.ErrAbortHandler)
}

// settle records an answered attempt.
func (c *call) settle(out result, failed bool) {
	c.observe(out, failed)
	if failed {
		c.eject(out, false, "failed")
		return
	}
	out.peer.succeeded(time.Since(out.started))
}
