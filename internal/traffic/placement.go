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

// maxBounces bounds the targets in a row that refuse a call for their load before it waits at one of them.
const maxBounces = 2

// placement is one request of a caller with all its attempts.
type placement struct {
	out      *Outbound
	table    *routing.Table
	request  *http.Request
	route    *routing.Route
	service  *routing.Service
	rotation uint64
	body     *requestBody
	started  time.Time
	// objective is when the response loses a part of its value, counted from the caller's first attempt.
	objective time.Time
	deadline  time.Time
	id        string

	version *routing.Version
	tried   []model.DaemonID
	// sends counts the sends to a target's daemon, attempts those that may have reached a target, bounces the refusals
	// for load.
	sends, attempts, bounces int
	// doubtful says that an earlier attempt may have been executed.
	doubtful bool
	// answered is the latest response of a target, kept while another attempt is made.
	answered *attempt
}

// attempt is how one send ended: with a response of the target or with a refusal.
type attempt struct {
	target  *model.Target
	peer    *peer
	choice  routing.Choice
	started time.Time
	took    time.Duration
	// exchange is set for a response that is passed on while it arrives; otherwise body holds all of it.
	exchange *exchange
	response *http.Response
	body     []byte
	refused  *refusal
}

// run makes attempts until one is answered or no other is allowed.
func (p *placement) run(w http.ResponseWriter) {
	budget := p.out.budgets.get(p.service.Name, zero)
	budget.call()
	defer func() {
		p.out.options.Metrics.requests.record(context.WithoutCancel(p.request.Context()), p.route.Name, time.Since(p.started))
	}()
	for {
		choice, refused := p.choose()
		if refused != nil {
			p.end(w, refused)
			return
		}
		a := p.send(choice)
		if p.request.Context().Err() != nil {
			p.out.options.Log.CallerGone(p, a)
			// The caller is gone, and nobody reads a response.
			panic(http.ErrAbortHandler)
		}
		reason, again := p.again(budget, a)
		p.out.options.Log.Attempt(p, a, reason)
		if again {
			p.out.options.Metrics.retries.Add(p.request.Context(), reason, 1)
			continue
		}
		if reason != "" {
			p.out.options.Metrics.notRetried.Add(p.request.Context(), reason, 1)
		}
		if a.refused == nil {
			p.answer(w, a)
			return
		}
		p.end(w, a.refused)
		return
	}
}

// end answers without a response of the last target. An earlier target's response is better than a refusal.
func (p *placement) end(w http.ResponseWriter, refused *refusal) {
	if p.answered != nil {
		p.answer(w, p.answered)
		return
	}
	if p.doubtful && refused.executed == retry.ExecutedNo {
		refused = inDoubt(http.StatusBadGateway, refused.reason, refused.detail)
	}
	if refused.executed == retry.ExecutedNo && refused.status == http.StatusServiceUnavailable && refused.retryAfter == 0 {
		refused.after(retrySoon)
	}
	p.out.options.Log.Refused(p, refused)
	refused.write(w, p.request, p.out.options.Metrics)
}

// choose selects a version on the first send and a target on each.
func (p *placement) choose() (routing.Choice, *refusal) {
	// A newer table may have other targets, but the request stays with the route and version that were selected.
	if p.version == nil {
		version, reason := p.service.SelectVersion(p.rotation)
		if reason != routing.Found {
			return routing.Choice{}, notExecuted(http.StatusServiceUnavailable, string(reason), "no version of the service has a ready target").after(retrySoon)
		}
		p.version = version
	}
	now := time.Now()
	choice, ok := p.place(now)
	if !ok {
		if other := p.service.Fallback(p.version); other != nil {
			p.version = other
			choice, ok = p.place(now)
		}
	}
	if !ok {
		return choice, notExecuted(http.StatusServiceUnavailable, string(routing.NoTarget), "no other target of the version is ready").after(retrySoon)
	}
	if now.Add(choice.Wait).After(p.deadline) {
		return choice, notExecuted(http.StatusServiceUnavailable, string(admission.Deadline), "the call cannot finish before its deadline").after(choice.Wait)
	}
	return choice, nil
}

// place selects a target of the version that was not tried.
func (p *placement) place(now time.Time) (routing.Choice, bool) {
	signals := &loads{p.out.peers, p.route.Name, now}
	return p.version.SelectByExpectedLoss(signals, random{}, p.tried, p.objective.Sub(now))
}

// send sends the request to the daemon beside a target.
func (p *placement) send(choice routing.Choice) *attempt {
	target := choice.Target
	a := &attempt{target: target, choice: choice, started: time.Now(), peer: p.out.peers.find(target)}
	p.sends++
	a.peer.inFlight.Add(1)
	defer a.peer.inFlight.Add(-1)
	e, err := p.out.pool.do(p.request.Context(), a.peer.calls, target.Address, p.deadline, p.outgoing(choice))
	a.took = time.Since(a.started)
	if err != nil {
		a.refused = p.failed(a, err, e.sent)
		return a
	}
	a.response = e.response
	if e.response.Header.Get(HeaderCall) != p.id {
		e.finish(false)
		a.refused = inDoubt(http.StatusBadGateway, reasonMismatch, "the response belongs to another request")
		return a
	}
	if load, ok := parseLoad(e.response.Header.Get(HeaderLoad)); ok {
		a.peer.reportLoad(time.Now(), p.route.Name, load)
	}
	if refused := refusalFrom(e.response); refused != nil {
		// The body is small; reading it keeps the connection.
		_, whole, err := readAnswer(p.request.Method, e.response, bufferedBytes)
		e.finish(whole && err == nil)
		a.refused = refused
		return a
	}
	if streams(p.request.Method, e.response) {
		a.exchange = e
		a.peer.recovered()
		return a
	}
	a.body, _, err = readAnswer(p.request.Method, e.response, bufferedBytes)
	e.finish(err == nil)
	a.took = time.Since(a.started)
	if err != nil {
		a.refused = p.failed(a, e.reason(err), true)
		return a
	}
	a.peer.recovered()
	return a
}

func (p *placement) outgoing(choice routing.Choice) *outgoing {
	d := dispatch{
		call: p.id, service: p.version.Service, version: p.version.Version, instance: choice.Target.Instance,
		route: p.route.Name, caller: p.out.options.Service, rank: p.route.Priority,
		objective: time.Until(p.objective),
	}
	if p.bounces < maxBounces && choice.WaitLimit > 0 {
		d.maxWait = choice.WaitLimit
	}
	names := p.out.options.Headers
	return &outgoing{request: p.request, body: p.body, headers: []string{
		HeaderDispatch, d.String(),
		names.Deadline, strconv.FormatInt(max(time.Until(p.deadline).Milliseconds(), 1), 10),
	}}
}

func (p *placement) maxAttempts() int {
	if p.route.MaxAttempts > 0 {
		return p.route.MaxAttempts
	}
	return retry.MaxAttempts
}

// again decides whether the request is sent once more after an attempt, and why.
func (p *placement) again(b *sharedBudget, a *attempt) (reason string, ok bool) {
	if a.refused == nil && !p.failedAtTarget(a) {
		return "", false
	}
	reached := a.refused == nil || a.refused.executed != retry.ExecutedNo || a.refused.reason == reasonTargetShed
	if reached {
		p.attempts++
	}
	if a.refused != nil && a.refused.executed != retry.ExecutedNo {
		p.doubtful = true
	}
	p.learn(a)
	if a.refused == nil {
		p.answered = a
	}
	if a.refused != nil && !reached {
		return p.againUnsent(a)
	}
	return p.againSent(b, a)
}

// againUnsent decides after a send that did not reach a target, which costs neither attempts nor budget.
func (p *placement) againUnsent(a *attempt) (string, bool) {
	switch {
	case a.refused.status != http.StatusServiceUnavailable && a.refused.status != http.StatusBadGateway:
		return "refused", false
	case !p.body.replayable():
		return string(retry.BodyConsumed), false
	case a.refused.reason == string(admission.Busy):
		// The report of its load has changed the target's cost.
		p.bounces++
		return "busy", p.bounces <= maxBounces
	case a.refused.reason == string(admission.Deadline):
		return a.refused.reason, false
	case p.sends >= maxSends:
		return string(retry.AttemptsSpent), false
	}
	p.tried = append(p.tried, a.target.Daemon)
	return string(retry.NotExecuted), true
}

// maxSends bounds the daemons that one request is sent to, refusals before execution included.
const maxSends = 8

// againSent decides after an attempt that may have reached the target.
func (p *placement) againSent(b *sharedBudget, a *attempt) (string, bool) {
	notExecuted := a.refused != nil && a.refused.executed == retry.ExecutedNo
	p.tried = append(p.tried, a.target.Daemon)
	switch {
	case !notExecuted && !p.route.Idempotent:
		return string(retry.MayHaveExecuted), false
	case !p.body.replayable():
		return string(retry.BodyConsumed), false
	case p.attempts >= p.maxAttempts():
		return string(retry.AttemptsSpent), false
	case time.Until(p.deadline) <= a.choice.ExecutionTime/2:
		return string(retry.NoTime), false
	case !p.another():
		return "no-other-target", false
	case !b.take(p.out.options.Budget, p.table, !notExecuted):
		return string(retry.NoBudget), false
	}
	if notExecuted {
		return string(retry.NotExecuted), true
	}
	return string(retry.Idempotent), true
}

// another reports whether a target is left that was not tried.
func (p *placement) another() bool {
	if _, ok := p.place(time.Now()); ok {
		return true
	}
	return p.service.Fallback(p.version) != nil
}

// failedAtTarget reports whether a response says that the target failed, so that another target may do better.
func (p *placement) failedAtTarget(a *attempt) bool {
	return a.response.StatusCode >= http.StatusInternalServerError && a.exchange == nil
}

// learn notes what an attempt shows about its target.
func (p *placement) learn(a *attempt) {
	if a.refused == nil {
		return
	}
	now := time.Now()
	eject := false
	switch a.refused.reason {
	case reasonDraining, reasonNotReady, reasonWrongTarget, reasonWithheld:
		a.peer.leaving(now)
	case reasonUnreachable, reasonTargetLost:
		eject = true
	case reasonLost, reasonMismatch, reasonEncoded:
		// A connection to the daemon that breaks shows that the daemon is gone. A response that the target spoiled says
		// little about the next one, and the daemon reports the part of calls that fail.
		eject = a.peer.failed(a.response == nil)
	}
	if eject {
		a.peer.eject(now)
		p.out.options.Metrics.ejected.Add(context.Background(), a.refused.reason, 1)
	}
}

// failed turns a broken exchange with a target's daemon into a refusal.
func (p *placement) failed(a *attempt, err error, arrived bool) *refusal {
	if p.request.Context().Err() != nil {
		return inDoubt(http.StatusBadGateway, reasonCallerGone, "the caller is gone")
	}
	if p.body.broken.Load() {
		return inDoubt(http.StatusBadRequest, reasonBody, "the request body broke off or is over the limit")
	}
	late := timedOut(err) && !time.Now().Before(p.deadline)
	daemon := string(a.target.Daemon)
	switch {
	case errors.Is(err, errLost) && arrived:
		return inDoubt(http.StatusBadGateway, reasonTargetLost, "the daemon "+daemon+" is gone or its target replaced")
	case errors.Is(err, errLost):
		return notExecuted(http.StatusServiceUnavailable, reasonTargetLost, "the daemon "+daemon+" is gone or its target replaced")
	case late && arrived:
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before the response")
	case late:
		return notExecuted(http.StatusServiceUnavailable, reasonDeadline, "the deadline passed before the request was sent")
	case arrived:
		return inDoubt(http.StatusBadGateway, reasonLost, "the connection to "+daemon+" broke")
	}
	return notExecuted(http.StatusServiceUnavailable, reasonUnreachable, "the daemon "+daemon+" could not be reached")
}

// answer passes a target's response on.
func (p *placement) answer(w http.ResponseWriter, a *attempt) {
	copyHeader(w.Header(), a.response.Header, internalResponse)
	p.out.options.Log.Answered(p, a)
	if a.exchange == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(a.response.StatusCode)
		_, _ = w.Write(a.body) // a caller that is gone needs no response
		return
	}
	w.WriteHeader(a.response.StatusCode)
	broken := stream(w, a.response.Body, a.response.ContentLength < 0, p.deadline)
	a.exchange.finish(broken == 0)
	if broken != 0 {
		panic(http.ErrAbortHandler)
	}
}
