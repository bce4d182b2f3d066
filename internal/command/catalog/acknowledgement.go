package catalog

import (
	"slices"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// ackTimeout is the longest time for which the answer to a target that leaves service is delayed until the platform has stored
// that. The target waits one second for an answer.
const ackTimeout = 600 * time.Millisecond

// pendingAck is a report of a run that leaves service and waits for its answer.
type pendingAck struct {
	token  effect.Token
	report model.TargetReport
	// sequence is that of the first announcement which holds what the report says.
	sequence uint64
	deadline time.Time
}

// handleTargetReport processes a status report of the local target. A run that leaves service gets no calls from now on. Its report is
// acknowledged once the platform has stored that: the memory of the daemons may be lost with all of them, and a delayed report of the
// run would then put it into service again.
func (c *Core) handleTargetReport(now time.Time, ev effect.TargetReported) {
	r := ev.Report
	if problem := c.checkReport(&r); problem != "" {
		c.log("report-refused", "instance", string(r.Instance), "reason", problem)
		c.emit(effect.Answer{Token: ev.Token, Outcome: model.Refused(model.OutcomeInvalid, "", problem)})
		return
	}
	c.applyReport(now, &r)
	if r.State == model.TargetReady {
		c.emit(effect.Answer{Token: ev.Token, Outcome: model.Outcome{Code: model.OutcomeApplied}})
		return
	}
	local := &c.local
	local.pendingAcks = append(local.pendingAcks, pendingAck{ev.Token, r, local.target.Sequence, now.Add(ackTimeout)})
}

// checkReport returns why a report cannot come from the target of this daemon, or "".
func (c *Core) checkReport(r *model.TargetReport) string {
	if r.State != model.TargetGone && r.Service != c.cfg.Target.Service {
		return "service " + string(r.Service) + " does not run here"
	}
	return ""
}

// answerPendingAcks acknowledges the reports that the platform has stored, and refuses those whose deadline has passed. The target
// repeats a report that was refused, or exits.
func (c *Core) answerPendingAcks(now time.Time) {
	local := &c.local
	remaining := local.pendingAcks[:0]
	for i := range local.pendingAcks {
		ack := local.pendingAcks[i]
		switch {
		case c.hasStored(&ack):
			c.emit(effect.Answer{Token: ack.token, Outcome: model.Outcome{Code: model.OutcomeApplied}})
		case !now.Before(ack.deadline):
			c.refuseUnstored(&ack)
		default:
			remaining = append(remaining, ack)
		}
	}
	local.pendingAcks = remaining
}

// refuseUnstored answers a report that the platform has not stored in time.
func (c *Core) refuseUnstored(ack *pendingAck) {
	c.log("leaving-unstored", "instance", string(ack.report.Instance), "state", string(ack.report.State),
		"seq", strconv.FormatUint(ack.report.Seq, 10), "sequence", strconv.FormatUint(ack.sequence, 10))
	c.count("sniperail_target_reports_refused", "unstored")
	c.emit(effect.Answer{
		Token: ack.token, Outcome: model.Refused(model.OutcomeUnavailable, "", "the platform has not stored that the target is leaving"),
	})
}

// hasStored reports whether the platform holds a record by which the next process of this daemon knows that the run of a report has
// left. Until this process has a target to announce, that is the record of an earlier one.
func (c *Core) hasStored(ack *pendingAck) bool {
	local := &c.local
	if local.report != nil {
		return local.storedSequence > 0 && local.storedSequence >= ack.sequence
	}
	stored := c.storedRecord()
	return stored != nil && (contradicts(&ack.report, stored) || isDeparted(&ack.report, stored))
}

// storedRecord returns the announcement that the platform holds for the local target; nil if there is none or it is not known.
func (c *Core) storedRecord() *model.TargetRecord {
	if !c.isCurrent(&c.meshKeys) {
		return nil
	}
	entry, ok := c.meshKeys.entries[store.PrefixTargets+string(c.cfg.Target.Daemon)]
	if !ok {
		return nil
	}
	record, err := c.cfg.Records.DecodeTarget(entry.Value)
	if err != nil {
		return nil
	}
	return record
}

// isDeparted reports whether the run of a report has departed by a record.
func isDeparted(r *model.TargetReport, record *model.TargetRecord) bool {
	return slices.ContainsFunc(record.Departures, func(d model.Departure) bool { return d.Covers(r) })
}
