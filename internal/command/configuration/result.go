package configuration

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// HandleResult processes the result of the call that NextCall returned. It returns a response if the command has ended.
func (w *Writer) HandleResult(now time.Time, r store.Result) []Response {
	if w.job == nil || !w.callOutstanding {
		panic(errors.New("result without an outstanding call"))
	}
	w.callOutstanding = false
	outcome := w.dispatchResult(now, r)
	if outcome == nil {
		return nil
	}
	return []Response{w.finishJob(*outcome)}
}

func (w *Writer) dispatchResult(now time.Time, r store.Result) *model.Outcome {
	switch w.job.stage {
	case stageReadConfiguration:
		return w.handleConfigurationRead(now, r)
	case stageReadPlan:
		return w.handlePlanRead(now, r)
	case stageGrantLease:
		return w.handleLeaseGranted(r)
	default:
		return w.handleWriteResult(now, r)
	}
}

// handleReadFailed handles a failed read. Before the first write the command has had no effect and is refused. After a write
// without a response the read is repeated until reconcileLimit has passed.
func (w *Writer) handleReadFailed(now time.Time, r store.Result) *model.Outcome {
	j := w.job
	if !j.maybeWritten {
		o := model.Refused(model.OutcomeUnavailable, "", "the platform's service did not answer: "+r.Detail)
		return &o
	}
	if now.After(j.reconcileDeadline) {
		o := model.Refused(model.OutcomeUnknown, "", fmt.Sprintf(
			"the write %s got no answer and the platform's service cannot be read; look for it with 'sniperail get status'", j.writeID))
		return &o
	}
	j.notBefore = now.Add(time.Duration(w.random.Int64N(int64(2 * reconcileDelay))))
	return nil
}

func (w *Writer) handleConfigurationRead(now time.Time, r store.Result) *model.Outcome {
	if r.Outcome != store.Applied {
		return w.handleReadFailed(now, r)
	}
	j := w.job
	j.configuration, j.revision = &model.Configuration{}, 0
	if len(r.Entries) > 0 {
		c, err := w.codec.DecodeConfiguration(r.Entries[0].Value)
		if err != nil {
			o := model.Refused(model.OutcomeInvalid, store.KeyConfiguration, "the stored configuration cannot be read: "+err.Error())
			return &o
		}
		j.configuration, j.revision = c, r.Entries[0].ModRevision
	}
	if o := j.findOwnWrite(); o != nil {
		return o
	}
	switch j.Command.(type) {
	case Declare:
		return w.createPlans(now)
	case Confirm:
		j.stage = stageReadPlan
	default:
		j.stage = stageWrite
	}
	return nil
}

// findOwnWrite searches the configuration for the write ID of a write whose response was lost.
func (j *job) findOwnWrite() *model.Outcome {
	if !j.maybeWritten {
		return nil
	}
	for _, stamp := range j.configuration.Recent {
		if stamp.ID == j.writeID {
			o := j.appliedOutcome
			o.Number = stamp.Number
			return &o
		}
	}
	return nil
}

// createPlans creates one plan for the change of a declaration and one for each intent.
func (w *Writer) createPlans(now time.Time) *model.Outcome {
	j := w.job
	declare := j.Command.(Declare)
	if o := declare.validate(); o != nil {
		return o
	}
	var problems []model.Problem
	if declare.Change != nil {
		p := model.Plan{
			ID: model.PlanID("change-" + w.newID()), Base: j.configuration.Number, Change: declare.Change, By: j.By, At: now,
			Feasible: true, Note: "takes effect at once when confirmed",
		}
		next, outcome := Preview(j.configuration, &p, Stamp{ID: j.writeID, By: j.By, Now: now})
		if next == nil {
			problems = append(problems, outcome.Problems...)
		}
		j.plans = append(j.plans, p)
	}
	for i, intent := range declare.Intents {
		id := model.PlanID(string(intent.Service) + "-" + w.newID())
		p, refusals := w.planner(j.configuration, intent, now, id, j.By)
		for _, refusal := range refusals {
			refusal.Field = fmt.Sprintf("moves[%d].%s", i, refusal.Field)
			problems = append(problems, refusal)
		}
		j.plans = append(j.plans, p)
	}
	if len(problems) > 0 {
		return &model.Outcome{Code: model.OutcomeInvalid, Number: j.configuration.Number, Problems: problems}
	}
	j.stage = stageGrantLease
	return nil
}

// validate refuses a declaration that is invalid for every configuration.
func (d Declare) validate() *model.Outcome {
	if d.Change == nil && len(d.Intents) == 0 {
		o := model.Refused(model.OutcomeInvalid, "", "the declaration is empty")
		return &o
	}
	seen := map[model.ServiceName]bool{}
	for i, intent := range d.Intents {
		if seen[intent.Service] {
			o := model.Refused(model.OutcomeInvalid, fmt.Sprintf("moves[%d].service", i),
				fmt.Sprintf("service %q is moved twice", intent.Service))
			return &o
		}
		seen[intent.Service] = true
	}
	return nil
}

func (w *Writer) handlePlanRead(now time.Time, r store.Result) *model.Outcome {
	if r.Outcome != store.Applied {
		return w.handleReadFailed(now, r)
	}
	if _, ok := w.job.Command.(Declare); ok {
		return w.handleDeclaredPlanRead(r)
	}
	cmd := w.job.Command.(Confirm)
	if len(r.Entries) == 0 {
		o := model.Refused(model.OutcomeNotFound, "plan", fmt.Sprintf("plan %q does not exist or has expired", cmd.Plan))
		return &o
	}
	p, err := w.codec.DecodePlan(r.Entries[0].Value)
	if err != nil {
		o := model.Refused(model.OutcomeInvalid, "plan", "the stored plan cannot be read: "+err.Error())
		return &o
	}
	if p.Confirmed != nil {
		return &model.Outcome{
			Code: model.OutcomeUnchanged, Number: p.Confirmed.Number, Move: w.job.configuration.Move(p.ID),
		}
	}
	w.job.plan, w.job.planEntry = p, r.Entries[0]
	w.job.stage = stageWrite
	return nil
}

// handleDeclaredPlanRead reconciles a declaration whose write got no response. All its plans are written in one transaction,
// so reading one of them shows whether the write took effect.
func (w *Writer) handleDeclaredPlanRead(r store.Result) *model.Outcome {
	if len(r.Entries) > 0 {
		return w.job.declareOutcome()
	}
	w.job.stage = stageWrite
	return nil
}

func (j *job) declareOutcome() *model.Outcome {
	return &model.Outcome{Code: model.OutcomeApplied, Number: j.configuration.Number, Plans: j.plans}
}

func (w *Writer) handleLeaseGranted(r store.Result) *model.Outcome {
	if r.Outcome != store.Applied {
		// A lease that was granted without a response has no keys and expires by itself.
		o := model.Refused(model.OutcomeUnavailable, "", "the platform's service did not answer: "+r.Detail)
		return &o
	}
	w.job.lease = r.Lease
	w.job.stage = stageWrite
	return nil
}

func (w *Writer) handleWriteResult(now time.Time, r store.Result) *model.Outcome {
	j := w.job
	switch r.Outcome {
	case store.Applied:
		if _, ok := j.Command.(Declare); ok {
			return j.declareOutcome()
		}
		return &j.appliedOutcome
	case store.Conflict:
		return w.handleCompareFailed(r)
	case store.Unknown:
		j.maybeWritten = true
		if j.reconcileDeadline.IsZero() {
			j.reconcileDeadline = now.Add(reconcileLimit)
		}
		j.startReconciliation()
		return nil
	default:
		if j.maybeWritten {
			// An earlier write of this command may still have taken effect.
			j.startReconciliation()
			return w.handleReadFailed(now, r)
		}
		o := model.Refused(model.OutcomeUnavailable, "", "the platform's service did not answer: "+r.Detail)
		return &o
	}
}

// startReconciliation returns to the stage whose read shows whether a write without a response took effect.
func (j *job) startReconciliation() {
	j.stage = stageReadConfiguration
	if _, ok := j.Command.(Declare); ok {
		j.stage = stageReadPlan
	}
}

// handleCompareFailed handles a failed compare. If the fence no longer holds, the command ends; if the document changed, it is
// read again.
func (w *Writer) handleCompareFailed(r store.Result) *model.Outcome {
	j := w.job
	if _, ok := j.Command.(Declare); ok {
		// Plan IDs are unique, so an existing plan is the one that an earlier write of this command created.
		return j.declareOutcome()
	}
	if j.Fence != nil && !isFenceHeld(*j.Fence, r.Entries) {
		o := model.Refused(model.OutcomeConflict, "", "the lease on "+j.Fence.Key+" belongs to another holder")
		return &o
	}
	j.attempts++
	if j.attempts >= maxAttempts {
		o := model.Refused(model.OutcomeConflict, "", fmt.Sprintf("%d writes in a row lost against other writers", j.attempts))
		return &o
	}
	j.stage = stageReadConfiguration
	return nil
}

func isFenceHeld(fence store.Compare, entries []store.Entry) bool {
	for _, e := range entries {
		if e.Key == fence.Key {
			return e.CreateRevision == fence.CreateRevision
		}
	}
	return false
}

// mustEncode returns the encoding of a model value, which cannot fail.
func mustEncode(data []byte, err error) []byte {
	if err != nil {
		panic(errors.Wrap(err, "encode"))
	}
	return data
}
