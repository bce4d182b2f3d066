package catalog

import (
	"slices"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// moveRecord is the latest known state of a move.
type moveRecord struct {
	model.Rollout
	// revision is that of the move's key in the present era of the store, whatever the store holds there; 0 if nothing.
	revision int64
	// stored says that the store holds this state. It is false if a restored store holds an earlier one, or none.
	stored bool
}

// isInForce reports whether a move follows the operator's latest intent for its service.
func (c *Core) isInForce(m *moveRecord) bool {
	in := c.intents[m.Service]
	return in != nil && m.ID == in.move
}

// follows reports whether a record of the present era was written for an intent.
func follows(m *model.Rollout, in *intent) bool {
	switch m.IntentRevision {
	case 0: // an earlier release wrote it
		return m.ID == model.PlanID(string(in.Service)+"@"+strconv.FormatInt(in.revision, 10))
	case model.LostIntent:
		return m.To == in.To
	}
	return m.IntentRevision == in.revision
}

// applyMoveEntry applies the record of a move; e is nil if it was removed. A later state of the move than the record has stays in force
// if the store lost it in a restore.
func (c *Core) applyMoveEntry(now time.Time, service model.ServiceName, e *store.Entry) {
	c.dirty = true
	known := c.moves[service]
	if e == nil {
		if known != nil && c.meshKeys.renewing && c.isInForce(known) {
			c.keepMove(known, 0)
		} else {
			delete(c.moves, service)
		}
		return
	}
	m, err := c.cfg.Records.DecodeMove(e.Value)
	if err != nil || m.Service != service {
		c.log("entry-refused", c.countRefusedEntry(e, "move", err)...)
		return
	}
	if known != nil && known.stored && known.revision == e.ModRevision && known.ID == m.ID && known.Step == m.Step && known.Phase == m.Phase {
		m.Deadline, m.Since, m.Steps = known.Deadline, known.Since, known.Steps // the same record again
	}
	c.keepTimes(now, m)
	if known != nil && c.isLostState(known, m) {
		c.keepMove(known, e.ModRevision)
		return
	}
	if known == nil || known.ID != m.ID || known.Step != m.Step || known.Phase != m.Phase || !slices.Equal(known.Canaries, m.Canaries) {
		c.log("move", "service", string(service), "move", string(m.ID), "version", string(m.To), "phase", string(m.Phase),
			"step", strconv.Itoa(m.Step), "canaries", strconv.Itoa(len(m.Canaries)), "reason", m.Reason, "revision", strconv.FormatInt(e.ModRevision, 10))
	}
	c.moves[service] = &moveRecord{*m, e.ModRevision, true}
	if in := c.intents[service]; in != nil && in.revision != 0 {
		c.bindMove(in, c.moves[service])
	}
}

// bindMove relates a stored move and an intent of the present era.
func (c *Core) bindMove(in *intent, m *moveRecord) {
	if follows(&m.Rollout, in) {
		// A daemon that has started after a restore computes another ID.
		in.move = m.ID
	}
	if m.ID == in.move && m.IntentRevision != 0 && m.IntentRevision != in.revision {
		// The record was written before the intent was written again, or by a call that crossed the restore.
		m.IntentRevision, m.stored = in.revision, false
	}
}

// isLostState reports whether the known state of a move is later than that of a record, which the store holds after a restore, or that a
// driver wrote which knew less.
func (c *Core) isLostState(known *moveRecord, m *model.Rollout) bool {
	switch in := c.intents[m.Service]; {
	case !c.isInForce(known):
		return false
	case known.ID == m.ID || in.revision != 0 && follows(m, in):
		return known.IsAheadOf(m)
	default:
		return !known.stored
	}
}

// keepMove keeps a state of a move that the store does not hold. The driver writes it again, over the given revision.
func (c *Core) keepMove(m *moveRecord, revision int64) {
	if m.stored {
		c.log("move-kept", "service", string(m.Service), "move", string(m.ID), "phase", string(m.Phase), "step", strconv.Itoa(m.Step),
			"revision", strconv.FormatInt(revision, 10))
	}
	m.revision, m.stored = revision, false
}

// lostMoves returns the moves in force whose state the store does not hold.
func (c *Core) lostMoves() []model.Rollout {
	var lost []model.Rollout
	for _, m := range c.moves {
		if !m.stored && c.isInForce(m) {
			lost = append(lost, m.Rollout)
		}
	}
	return lost
}

// mergeLostMoves merges the moves that a peer keeps because the store lost them. A daemon that has started since knows their intents
// only by their revisions in the present era, or not yet.
func (c *Core) mergeLostMoves(now time.Time, lost []model.Rollout) {
	for i := range lost {
		m := &lost[i]
		in, known := c.intents[m.Service], c.moves[m.Service]
		if in != nil && (in.isLost() || !follows(m, in)) || known != nil && c.isInForce(known) && !m.IsAheadOf(&known.Rollout) {
			continue
		}
		revision := c.meshKeys.entries[store.PrefixMoves+string(m.Service)].ModRevision
		if in != nil {
			in.move = m.ID
		}
		c.keepTimes(now, m)
		c.moves[m.Service] = &moveRecord{*m, revision, false}
		c.dirty = true
		c.log("move-learned", "service", string(m.Service), "move", string(m.ID), "phase", string(m.Phase), "step", strconv.Itoa(m.Step))
	}
}

// createMove writes the operator's intent as a confirmed move that has not begun. Its deadline is that of the intent.
func (c *Core) createMove(service model.ServiceName, d *moveDriver) {
	in := c.intents[service]
	if in.isLost() {
		return // until the operator has written it again
	}
	m := &model.Rollout{IntentRevision: in.revision, Move: model.Move{
		ID: in.move, Service: service, From: c.oldVersion(c.targets(), service, in.To), To: in.To, Deadline: in.By,
		Phase: model.PhaseRunning, Step: -1, ConfirmedBy: "operator",
	}}
	var revision int64
	if previous := c.moves[service]; previous != nil {
		revision = previous.revision
	}
	c.writeMove(service, d, m, revision)
}

// writeMove writes the record of a move, and its report if the reported phase changes or the store has lost it. The compares on the keys
// of the move and the driver reject the write of a driver that was paused or replaced.
func (c *Core) writeMove(service model.ServiceName, d *moveDriver, m *model.Rollout, revision int64) {
	moveValue, err := c.cfg.Records.EncodeMove(m)
	if err == nil {
		var report []byte
		if report, err = c.cfg.Operator.EncodeReport(&m.Move); err == nil {
			c.commitMove(service, d, m, moveValue, report, revision)
			return
		}
	}
	c.log("move-failed", "service", string(service), "step", "encode", "detail", err.Error())
}

func (c *Core) commitMove(service model.ServiceName, d *moveDriver, m *model.Rollout, moveValue, report []byte, revision int64) {
	key := store.PrefixMoves + string(service)
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: key, ModRevision: revision}, {Key: c.driverKey(service), ModRevision: d.revision},
		},
		Puts: []store.Put{{Key: key, Value: moveValue}},
	}
	if previous := c.moves[service]; previous == nil || previous.ID != m.ID || !previous.stored ||
		reportedPhase(previous.Phase) != reportedPhase(m.Phase) {
		txn.Puts = append(txn.Puts, store.Put{Key: c.cfg.Operator.KeyReport(service), Value: report})
	}
	d.callPending, d.written = true, m
	c.callStore(store.Call{Kind: store.KindTxn, Priority: store.PriorityWithdraw, Reason: "drive", Txn: txn},
		func(now time.Time, r store.Result) {
			d.callPending = false
			switch r.Outcome {
			case store.Applied:
				c.mergeEntry(now, &c.meshKeys, store.Entry{Key: key, Value: moveValue, ModRevision: r.Revision}, true)
			case store.Conflict:
				c.log("move-conflict", "service", string(service), "move", string(m.ID))
				d.lease, d.judging, d.campaignAt = 0, false, now.Add(campaignBackoffBase)
				for _, e := range r.Entries {
					c.mergeEntry(now, &c.meshKeys, e, true)
				}
			default:
				c.log("move-failed", "service", string(service), "outcome", string(r.Outcome), "detail", r.Detail)
			}
		})
}

// reportedPhase returns the phase that reports to the operator show: done, withdrawn, or running for all others.
func reportedPhase(p model.Phase) model.Phase {
	if p == model.PhaseDone || p == model.PhaseWithdrawn {
		return p
	}
	return model.PhaseRunning
}
