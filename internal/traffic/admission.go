package traffic

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
)

// AdmissionOptions configures an Admission.
type AdmissionOptions struct {
	// Address is the target's host:port.
	Address string
	// Service and Version are what the target runs; calls for another service or version are refused.
	Service  model.ServiceName
	Version  model.VersionName
	Settings admission.Settings
	Tables   Tables
	// Once records claims. Without it, at-most-once routes are refused as not executed.
	Once    Once
	Metrics *Metrics
	Limits  Limits
}

// Admission is the target's side of the call path: it admits calls to the target within the target's slots and connections.
type Admission struct {
	options  AdmissionOptions
	pool     *pool
	queue    *admissionQueue
	inFlight inFlightCalls
	// service and version are the escaped names, as in HeaderCall.
	service, version string
}

// NewAdmission returns an admission handler. It refuses calls until SetTarget reports that the target is ready.
func NewAdmission(options AdmissionOptions) *Admission {
	q := &admissionQueue{controller: admission.New(options.Settings), waitList: newWaitList()}
	a := &Admission{
		options: options, queue: q,
		pool: newPool(transportOptions{
			idlePerPeer: options.Settings.Slots, idleTotal: options.Settings.Slots, headerBytes: options.Limits.HeaderBytes,
			limit: q, lingers: true,
		}),
		service: url.QueryEscape(string(options.Service)), version: url.QueryEscape(string(options.Version)),
	}
	return a
}

// SetTarget records the state of the target. Calls are admitted only while it is ready.
func (a *Admission) SetTarget(state model.TargetState) {
	a.queue.mu.Lock()
	defer a.queue.mu.Unlock()
	a.queue.controller.SetTarget(state)
}

// Drain makes the handler refuse all new calls as not executed. Calls that wait for a slot are still executed.
func (a *Admission) Drain() {
	a.inFlight.drain()
	a.queue.mu.Lock()
	defer a.queue.mu.Unlock()
	a.queue.controller.Drain()
}

// Wait blocks until no call is in flight, or returns the error of ctx.
func (a *Admission) Wait(ctx context.Context) error { return a.inFlight.wait(ctx) }

// InFlight returns the number of calls in flight, including those that wait for a slot.
func (a *Admission) InFlight() int { return a.inFlight.count() }

// Occupancy returns the occupied slots, the current limit of slots and the queued calls.
func (a *Admission) Occupancy() (running, limit, queued int) {
	a.queue.mu.Lock()
	defer a.queue.mu.Unlock()
	return a.queue.controller.Running(), a.queue.controller.Limit(), a.queue.controller.Queued()
}

// Close closes idle connections to the target.
func (a *Admission) Close() { a.pool.closeIdle() }

// ServeHTTP handles one call from another daemon.
func (a *Admission) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	selected, ok := parseCallHeader(r.Header)
	if ok {
		w.Header()[HeaderCall] = []string{selected.id}
	}
	if !a.inFlight.begin() {
		notExecuted(http.StatusServiceUnavailable, reasonDraining, "the target is leaving").
			withRetryAfter(time.Second).write(w, r, a.options.Metrics)
		return
	}
	defer a.inFlight.end()
	call, refused := a.accept(w, r, selected, time.Now())
	if refused != nil {
		refused.write(w, r, a.options.Metrics)
		return
	}
	call.run(w)
}

// accept validates the request and reads its body, before the call takes a slot.
func (a *Admission) accept(
	w http.ResponseWriter, r *http.Request, selected callHeader, now time.Time,
) (*admissionCall, *refusal) {
	if selected.service != a.service || selected.version != a.version {
		return nil, notExecuted(http.StatusServiceUnavailable, reasonWrongTarget, "the target runs another service or version")
	}
	table := a.options.Tables.Table()
	if table != nil && table.IsWithheld(model.VersionRef{Service: a.options.Service, Version: a.options.Version}) {
		return nil, notExecuted(http.StatusServiceUnavailable, reasonWithheld, "the version is withheld")
	}
	if isUpgrade(r) {
		return nil, notExecuted(http.StatusNotImplemented, reasonUpgrade, "other protocols than HTTP/1.1 are not supported")
	}
	left, ok := remainingTime(r.Header, maxDeadline)
	if !ok {
		return nil, notExecuted(http.StatusBadRequest, reasonBadDeadline, HeaderDeadline+" must be one whole number of milliseconds")
	}
	deadline := now.Add(left)
	body, refused := readRequestBody(w, r, a.options.Limits, a.options.Limits.BodyBytes, deadline)
	if refused != nil {
		return nil, refused
	}
	call := &admissionCall{admission: a, request: r, ctx: r.Context(), body: body, deadline: deadline}
	return call, call.setIdentity(table, selected.once == "once")
}

// maxDeadline bounds the deadline of any call.
const maxDeadline = 10 * time.Minute

// admissionQueue is the admission state with its lock and the waiting calls.
type admissionQueue struct {
	waitList
	controller *admission.Controller
}

// acquire takes a slot, waiting for one if needed. The call has a slot if the result is nil.
func (q *admissionQueue) acquire(ctx context.Context, deadline time.Time) *refusal {
	q.mu.Lock()
	decision := q.controller.Acquire(time.Now(), deadline)
	if decision.Verdict != admission.Wait {
		q.mu.Unlock()
		return admissionRefusal(decision.Reason, decision.RetryAfter)
	}
	result := q.add(decision.Ticket)
	q.mu.Unlock()
	reason := q.wait(ctx, deadline, q.controller, decision.Ticket, result)
	if reason == admission.Abandoned {
		// The caller has disconnected and reads no response; the refusal is counted like a passed deadline.
		reason = admission.Deadline
	}
	return admissionRefusal(reason, 0)
}

// release frees the slot of a call that reached the target.
func (q *admissionQueue) release(took time.Duration, overloaded bool) {
	q.updateAndNotify(func(now time.Time) []admission.Dequeued { return q.controller.Release(now, took, overloaded) })
}

// releaseUnsent frees the slot of a call that did not reach the target.
func (q *admissionQueue) releaseUnsent() {
	q.updateAndNotify(q.controller.ReleaseUnmeasured)
}

func (q *admissionQueue) openConnection() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.OpenConnection()
}

func (q *admissionQueue) closeConnection() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.controller.CloseConnection()
}

func admissionRefusal(reason admission.Reason, after time.Duration) *refusal {
	switch reason {
	case admission.Admitted:
		return nil
	case admission.Deadline:
		return notExecuted(http.StatusServiceUnavailable, string(reason), "the call cannot finish before its deadline").
			withRetryAfter(after)
	case admission.QueueFull:
		// There is no estimate of the wait before the first response.
		after = max(after, time.Millisecond)
		r := notExecuted(http.StatusServiceUnavailable, string(reason), "all slots and queue places are taken").withRetryAfter(after)
		r.wait = after
		return r
	}
	return notExecuted(http.StatusServiceUnavailable, string(reason), "the target takes no calls").withRetryAfter(after)
}
