package traffic

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
)

// AdmissionOptions configure an Admission.
type AdmissionOptions struct {
	// Address is the target's host:port.
	Address string
	// Service and Version are what the target runs; a call for anything else is refused.
	Service  model.ServiceName
	Version  model.VersionName
	Settings admission.Settings
	Tables   Tables
	// Once records claims. Without it, at-most-once routes are refused as not executed.
	Once    Once
	Metrics *Metrics
	Limits  Limits
}

// Admission is the target's side of the call path: it admits calls to the target within its slots and connections.
type Admission struct {
	options AdmissionOptions
	pool    *pool
	slots   *slots
	gate    gate
	// service and version are escaped as in HeaderCall.
	service, version string
}

// NewAdmission returns an admission handler whose target is starting; see SetTarget.
func NewAdmission(options AdmissionOptions) *Admission {
	s := &slots{state: admission.New(options.Settings), waits: newWaits()}
	a := &Admission{
		options: options, slots: s,
		pool: newPool(transportOptions{
			idlePerPeer: options.Settings.Slots, idleTotal: options.Settings.Slots, headerBytes: options.Limits.HeaderBytes,
			limit: s, lingers: true,
		}),
		service: url.QueryEscape(string(options.Service)), version: url.QueryEscape(string(options.Version)),
	}
	return a
}

// SetTarget records the state of the target. Calls are admitted only while it is ready.
func (a *Admission) SetTarget(state model.TargetState) {
	a.slots.mu.Lock()
	defer a.slots.mu.Unlock()
	a.slots.state.SetTarget(state)
}

// Drain refuses all later calls as not executed. Calls that wait for a slot finish.
func (a *Admission) Drain() {
	a.gate.drain()
	a.slots.mu.Lock()
	defer a.slots.mu.Unlock()
	a.slots.state.Drain()
}

// Wait returns when no call is in flight, or with the error of ctx.
func (a *Admission) Wait(ctx context.Context) error { return a.gate.wait(ctx) }

// InFlight returns the number of calls in flight, waiting ones included.
func (a *Admission) InFlight() int { return a.gate.count() }

// Occupancy returns the occupied slots, the slots in use and the calls that wait.
func (a *Admission) Occupancy() (running, limit, queued int) {
	a.slots.mu.Lock()
	defer a.slots.mu.Unlock()
	return a.slots.state.Running(), a.slots.state.Limit(), a.slots.state.Queued()
}

// Close closes idle connections to the target.
func (a *Admission) Close() { a.pool.closeIdle() }

// ServeHTTP admits one call.
func (a *Admission) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	selected, ok := parseTicket(r.Header)
	if ok {
		w.Header()[HeaderCall] = []string{selected.id}
	}
	if !a.gate.enter() {
		notExecuted(http.StatusServiceUnavailable, reasonDraining, "the target is leaving").
			after(time.Second).write(w, r, a.options.Metrics)
		return
	}
	defer a.gate.leave()
	v, refused := a.accept(w, r, selected, time.Now())
	if refused != nil {
		refused.write(w, r, a.options.Metrics)
		return
	}
	v.run(w)
}

// accept checks the request and reads its body, before it takes a slot.
func (a *Admission) accept(w http.ResponseWriter, r *http.Request, selected ticket, now time.Time) (*visit, *refusal) {
	if selected.service != a.service || selected.version != a.version {
		return nil, notExecuted(http.StatusServiceUnavailable, reasonWrongTarget, "the target runs another service or version")
	}
	table := a.options.Tables.Table()
	if table != nil && table.IsWithheld(model.VersionRef{Service: a.options.Service, Version: a.options.Version}) {
		return nil, notExecuted(http.StatusServiceUnavailable, reasonWithheld, "the version is withheld")
	}
	if upgrades(r) {
		return nil, notExecuted(http.StatusNotImplemented, reasonUpgrade, "other protocols than HTTP/1.1 are not supported")
	}
	left, ok := remaining(r.Header, maxDeadline)
	if !ok {
		return nil, notExecuted(http.StatusBadRequest, reasonBadDeadline, HeaderDeadline+" must be one whole number of milliseconds")
	}
	deadline := now.Add(left)
	body, refused := readRequestBody(w, r, a.options.Limits.BodyBytes, deadline)
	if refused != nil {
		return nil, refused
	}
	v := &visit{admission: a, request: r, ctx: r.Context(), body: body, deadline: deadline}
	return v, v.identify(table, selected.once == "once")
}

// maxDeadline bounds the deadline of any call.
const maxDeadline = 10 * time.Minute

// slots is the admission state with its lock and the calls that wait.
type slots struct {
	waits
	state *admission.Controller
}

// acquire takes a slot, waiting for one if needed. A nil refusal means that the call holds a slot.
func (s *slots) acquire(ctx context.Context, deadline time.Time) *refusal {
	s.mu.Lock()
	decision := s.state.Acquire(time.Now(), deadline)
	if decision.Verdict != admission.Wait {
		s.mu.Unlock()
		return refusalOf(decision.Reason, decision.RetryAfter)
	}
	settled := s.enter(decision.Ticket)
	s.mu.Unlock()
	reason := s.wait(ctx, deadline, s.state, decision.Ticket, settled)
	if reason == admission.Abandoned {
		// Whoever left reads no answer; the refusal counts as one at the deadline.
		reason = admission.Deadline
	}
	return refusalOf(reason, 0)
}

// release frees the slot of a call that reached the target.
func (s *slots) release(took time.Duration, overloaded bool) {
	s.settle(func(now time.Time) []admission.Dequeued { return s.state.Release(now, took, overloaded) })
}

// giveBack frees the slot of a call that did not reach the target.
func (s *slots) giveBack() {
	s.settle(s.state.ReleaseUnmeasured)
}

func (s *slots) openConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.OpenConnection()
}

func (s *slots) closeConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.CloseConnection()
}

func refusalOf(reason admission.Reason, after time.Duration) *refusal {
	switch reason {
	case admission.Admitted:
		return nil
	case admission.Deadline:
		return notExecuted(http.StatusServiceUnavailable, string(reason), "the call cannot finish before its deadline").after(after)
	case admission.QueueFull:
		// Before the first response there is no estimate.
		after = max(after, time.Millisecond)
		r := notExecuted(http.StatusServiceUnavailable, string(reason), "all slots and queue places are taken").after(after)
		r.wait = after
		return r
	}
	return notExecuted(http.StatusServiceUnavailable, string(reason), "the target takes no calls").after(after)
}
