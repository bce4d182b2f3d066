package configuration

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// Result takes the result of the call that Next returned and returns the answer if the command has ended.
func (w *Writer) Result(now time.Time, r store.Result) []Answer {
	if w.job == nil || !w.waiting {
		panic(errors.New("result without an outstanding call"))
	}
	w.waiting = false
	outcome := w.result(now, r)
	if outcome == nil {
		return nil
	}
	return []Answer{w.end(*outcome)}
}

func (w *Writer) result(now time.Time, r store.Result) *model.Outcome {
	switch w.job.stage {
	case stageReadConfiguration:
		return w.configurationRead(now, r)
	case stageReadPlan:
		return w.planRead(now, r)
	case stageGrant:
		return w.granted(r)
	default:
		return w.written(now, r)
	}
}

// unread handles a read without an answer. Before any write nothing has happened, so the command is refused; after a
// write without an answer the read is repeated until reconcileLimit.
func (w *Writer) unread(now time.Time, r store.Result) *model.Outcome {
	j := w.job
	if !j.sent {
		o := model.Refused(model.OutcomeUnavailable, "", "the platform's service did not answer: "+r.Detail)
		return &o
	}
	if now.After(j.giveUp) {
		o := model.Refused(model.OutcomeUnknown, "", fmt.Sprintf(
			"the write %s got no answer and the platform's service cannot be read; look for it with 'sniperail get status'", j.writeID))
		return &o
	}
	j.notBefore = now.Add(time.Duration(w.random.Int64N(int64(2 * reconcileDelay))))
	return nil
}

func (w *Writer) configurationRead(now time.Time, r store.Result) *model.Outcome {
	if r.Outcome != store.Applied {
		return w.unread(now, r)
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
	if o := j.alreadyWritten(); o != nil {
		return o
	}
	switch j.Command.(type) {
	case Declare:
		return w.planAll(now)
	case Confirm:
		j.stage = stageReadPlan
	default:
		j.stage = stageWrite
	}
	return nil
}

// alreadyWritten looks for the write ID of a write whose answer was lost.
func (j *job) alreadyWritten() *model.Outcome {
	if !j.sent {
		return nil
	}
	for _, stamp := range j.configuration.Recent {
		if stamp.ID == j.writeID {
			o := j.applied
			o.Number = stamp.Number
			return &o
		}
	}
	return nil
}

// planAll answers a declaration with one plan for the change and one for each intent.
func (w *Writer) planAll(now time.Time) *model.Outcome {
	j := w.job
	declare := j.Command.(Declare)
	if o := declare.check(); o != nil {
		return o
	}
	var problems []model.Problem
	if declare.Change != nil {
		p := model.Plan{
			ID: model.PlanID("change-" + w.id()), Base: j.configuration.Number, Change: declare.Change, By: j.By, At: now,
			Feasible: true, Note: "takes effect at once when confirmed",
		}
		next, outcome := Preview(j.configuration, &p, Stamp{ID: j.writeID, By: j.By, Now: now})
		if next == nil {
			problems = append(problems, outcome.Problems...)
		}
		j.plans = append(j.plans, p)
	}
	for i, intent := range declare.Intents {
		id := model.PlanID(string(intent.Service) + "-" + w.id())
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
	j.stage = stageGrant
	return nil
}

// check refuses a declaration that no configuration could satisfy.
func (d Declare) check() *model.Outcome {
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

func (w *Writer) planRead(now time.Time, r store.Result) *model.Outcome {
	if r.Outcome != store.Applied {
		return w.unread(now, r)
	}
	if _, ok := w.job.Command.(Declare); ok {
		return w.declaredPlanRead(r)
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

// declaredPlanRead reconciles a declaration whose write got no answer: all its plans are in one transaction, so one tells.
func (w *Writer) declaredPlanRead(r store.Result) *model.Outcome {
	if len(r.Entries) > 0 {
		return w.job.declared()
	}
	w.job.stage = stageWrite
	return nil
}

func (j *job) declared() *model.Outcome {
	return &model.Outcome{Code: model.OutcomeApplied, Number: j.configuration.Number, Plans: j.plans}
}

func (w *Writer) granted(r store.Result) *model.Outcome {
	if r.Outcome != store.Applied {
		// A lease without an answer binds nothing and expires by itself.
		o := model.Refused(model.OutcomeUnavailable, "", "the platform's service did not answer: "+r.Detail)
		return &o
	}
	w.job.lease = r.Lease
	w.job.stage = stageWrite
	return nil
}

func (w *Writer) written(now time.Time, r store.Result) *model.Outcome {
	j := w.job
	switch r.Outcome {
	case store.Applied:
		if _, ok := j.Command.(Declare); ok {
			return j.declared()
		}
		return &j.applied
	case store.Conflict:
		return w.lost(r)
	case store.Unknown:
		j.sent = true
		if j.giveUp.IsZero() {
			j.giveUp = now.Add(reconcileLimit)
		}
		j.reconcile()
		return nil
	default:
		if j.sent {
			// An earlier write of this command may still have taken effect.
			j.reconcile()
			return w.unread(now, r)
		}
		o := model.Refused(model.OutcomeUnavailable, "", "the platform's service did not answer: "+r.Detail)
		return &o
	}
}

// reconcile goes back to the read that tells whether a write without an answer took effect.
func (j *job) reconcile() {
	j.stage = stageReadConfiguration
	if _, ok := j.Command.(Declare); ok {
		j.stage = stageReadPlan
	}
}

// lost handles a failed compare: a lost fence ends the command, a changed document is read again.
func (w *Writer) lost(r store.Result) *model.Outcome {
	j := w.job
	if _, ok := j.Command.(Declare); ok {
		// Plan IDs are unique, so an existing plan is the one that an earlier write of this command created.
		return j.declared()
	}
	if j.Fence != nil && !holds(*j.Fence, r.Entries) {
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

func holds(fence store.Compare, entries []store.Entry) bool {
	for _, e := range entries {
		if e.Key == fence.Key {
			return e.CreateRevision == fence.CreateRevision
		}
	}
	return false
}

// encoded returns the encoding of a value of the model, which cannot fail.
func encoded(data []byte, err error) []byte {
	if err != nil {
		panic(errors.Wrap(err, "encode"))
	}
	return data
}
