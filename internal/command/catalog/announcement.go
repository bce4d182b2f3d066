package catalog

import (
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

const (
	// leaseTTL is the lifetime of a target's announcement without renewal. Peers detect a dead daemon by failing calls, so
	// the lease only has to remove targets that receive no calls.
	leaseTTL = 30 * time.Second
	// renewalsPerTTL is the number of renewals of a lease within its lifetime.
	renewalsPerTTL = 3
	// announceBackoffBase and announceBackoffMax bound the backoff after a failed call. An announcement must be restored two
	// seconds after an outage of the platform.
	announceBackoffBase = 400 * time.Millisecond
	announceBackoffMax  = 1500 * time.Millisecond
	// warmTolerance is how far the expected end of a warm-up may shift before it is announced again.
	warmTolerance = time.Second
)

// localTarget is the target beside this daemon and the state of its announcement on the platform.
type localTarget struct {
	target model.Target
	// report is the latest accepted report of the target; nil before the first.
	report *model.TargetReport
	// leaving is the run that has said in a response that it is leaving, and leavingBorn its start time.
	leaving     model.InstanceID
	leavingBorn int64
	stopping    bool
	// warmAt is when the target is warm by its latest report; zero if it is.
	warmAt time.Time
	// earlier is the record that an earlier process of this daemon has written; nil if there is none or it is not known.
	earlier *model.TargetRecord
	// departures are the deregistrations without a start time, oldest first. departureSequence is the sequence of the first record that
	// holds the latest of them.
	departures        []departure
	departureSequence uint64
	// held is the newest report of a ready target that arrived before earlier was known, nil if there is none.
	held *model.TargetReport
	// askedPeers says that the neighbours were asked for the record, and peersPending how many of them have not answered. They are asked
	// again from askPeersAt on if they could not tell.
	askedPeers   bool
	peersPending int
	askPeersAt   time.Time
	// previous is the target that an earlier process of this daemon announced; nil if there is none or it has been checked.
	previous *model.TargetRecord
	// restarted says that an earlier process of this daemon has announced a target.
	restarted bool
	// healthChecked says that the previous target was asked for its health, which happens at most once per process.
	healthChecked bool

	lease   store.LeaseID
	renewAt time.Time
	// storedSequence is the sequence of the announcement that the platform holds.
	storedSequence uint64
	// callPending says that a call for the lease or the announcement has not been answered yet.
	callPending bool
	retryAt     time.Time
	// failures is the number of consecutive failed calls.
	failures int
	// pendingAcks are the reports of leaving runs that have not been answered.
	pendingAcks []pendingAck
	// shareAt is when the record of a target that is leaving is shared with peers if the platform has not stored it; zero if it is
	// not.
	shareAt time.Time
}

func (l *localTarget) nextWake() time.Time {
	next := l.shareAt
	for _, ack := range l.pendingAcks {
		next = earliest(next, ack.deadline)
	}
	if l.held != nil && !l.askedPeers {
		next = earliest(next, l.askPeersAt)
	}
	if l.callPending {
		return next
	}
	if l.storedSequence != l.target.Sequence || l.isAnnounceable() && l.lease == 0 {
		if l.retryAt.IsZero() {
			return time.Unix(0, 1)
		}
		return earliest(next, l.retryAt)
	}
	if !l.isAnnounceable() {
		return next
	}
	return earliest(next, l.renewAt)
}

// isAnnounceable reports whether there is a target to announce: it has reported, and has not shut down.
func (l *localTarget) isAnnounceable() bool {
	return l.report != nil && l.target.State != model.TargetGone
}

// hasUnstoredReport reports whether the platform does not hold what the latest report says.
func (l *localTarget) hasUnstoredReport() bool {
	return l.report != nil && l.storedSequence != l.target.Sequence
}

// handleTargetLeaving announces that the local target is leaving, if the run that said so is the present one. Its later reports
// do not undo it.
func (c *Core) handleTargetLeaving(now time.Time, ev effect.TargetLeaving) {
	local := &c.local
	if ev.Born < local.leavingBorn {
		// A late answer of an earlier run.
		return
	}
	local.leaving, local.leavingBorn = ev.Instance, ev.Born
	if local.report == nil || !local.isLeaving(local.report) || local.target.State != model.TargetReady && !local.target.DaemonEnds {
		return
	}
	next := local.target
	next.State, next.DaemonEnds = model.TargetDraining, false
	c.setLocalTarget(now, next)
}

// isLeaving reports whether a report comes from the run that is leaving.
func (l *localTarget) isLeaving(r *model.TargetReport) bool {
	return r.Instance == l.leaving && r.Born == l.leavingBorn
}

// applyReport updates the local target from a report.
func (c *Core) applyReport(now time.Time, r *model.TargetReport) {
	switch {
	case r.State == model.TargetGone:
		c.applyShutdownReport(now, r)
		return
	case r.State == model.TargetReady && !c.knowsEarlierRecord():
		c.holdReport(r)
		return
	}
	if d := c.local.departureOf(now, r); d != nil {
		c.applyDepartedReport(now, d, r)
		return
	}
	if c.local.isLate(r) {
		c.logLateReport(r)
		return
	}
	c.acceptReport(now, r)
}

// acceptReport updates the local target from a report that is not late.
func (c *Core) acceptReport(now time.Time, r *model.TargetReport) {
	local := &c.local
	local.report = r
	next := local.target
	next.Instance, next.Born, next.Version = local.report.Instance, local.report.Born, local.report.Version
	next.Slots, next.State = local.report.Slots, local.report.State
	if next.State == model.TargetReady && local.isLeaving(r) {
		next.State = model.TargetDraining
	}
	next.DaemonEnds = local.stopping && next.State == model.TargetReady
	if next.DaemonEnds {
		next.State = model.TargetDraining
	}
	c.setWarmth(now, r.WarmupLeft)
	warm := now.Add(r.WarmupLeft)
	if shifted := warm.Sub(next.WarmAt).Abs() > warmTolerance; shifted && (r.WarmupLeft > 0 || next.WarmAt.After(now)) {
		next.WarmAt = warm
	}
	c.setLocalTarget(now, next)
}

// setLocalTarget replaces the local target under the next sequence number if it has changed.
func (c *Core) setLocalTarget(now time.Time, next model.Target) {
	local := &c.local
	if next == local.target {
		return
	}
	if next.State != local.target.State || next.Instance != local.target.Instance || next.Born != local.target.Born {
		next.Since = now
		c.log("target-changed", "instance", string(next.Instance), "version", string(next.Version),
			"state", string(next.State), "slots", strconv.Itoa(next.Slots), "sequence", strconv.FormatUint(next.Sequence+1, 10))
	}
	next.Sequence++
	before := local.target.State
	local.target = next
	c.recordOwnState(now, before, next.State)
	local.scheduleRecordShare(now)
	c.dirty = true
}

// handleStopping announces that the target takes no new calls because its daemon shuts down.
func (c *Core) handleStopping(now time.Time) {
	c.local.stopping = true
	if c.local.target.State == model.TargetReady {
		next := c.local.target
		next.State, next.DaemonEnds = model.TargetDraining, true
		c.setLocalTarget(now, next)
	}
}

// maintainAnnouncement keeps the lease and the announcement of the target on the platform up to date.
func (c *Core) maintainAnnouncement(now time.Time) {
	local := &c.local
	c.answerPendingAcks(now)
	if local.callPending || now.Before(local.retryAt) {
		return
	}
	if !c.isCurrent(&c.meshKeys) {
		// The revision of the announcement in the present era is not known yet.
		local.retryAt = now.Add(c.jitter(announceBackoffBase))
		return
	}
	switch {
	case local.lease == 0 && (local.isAnnounceable() || local.hasUnstoredReport()), c.needsLongerLease():
		c.grantLease()
	case local.hasUnstoredReport():
		c.writeTarget(now)
	case local.isAnnounceable() && !now.Before(local.renewAt):
		c.renewLease()
	}
}

// goneRecordTTL is the least time for which the platform holds the record of a target that is gone. Its lease is not renewed, and delayed
// reports of the run arrive within seconds.
const goneRecordTTL = leaseTTL / 2

// needsLongerLease reports whether the lease may end too soon for the record of a target that is gone, as after failed renewals.
func (c *Core) needsLongerLease() bool {
	local := &c.local
	least := min(goneRecordTTL, c.quotas.leaseTTL/2)
	left := c.quotas.leaseUntil - c.uptime()
	return local.hasUnstoredReport() && local.target.State == model.TargetGone && least > 0 && left < least
}

func (c *Core) grantLease() {
	local := &c.local
	local.callPending = true
	ttl, sent := max(leaseTTL, c.cfg.MinLease), c.uptime()
	c.callStore(store.Call{Kind: store.KindGrant, Priority: store.PriorityLease, Reason: "announce", TTL: ttl},
		func(now time.Time, r store.Result) {
			local.callPending = false
			if r.Outcome != store.Applied {
				c.handleAnnounceFailure(now, "lease", r)
				return
			}
			local.lease, local.storedSequence = r.Lease, 0
			c.extendLease(sent, r.TTL)
			local.renewAt = now.Add(r.TTL / renewalsPerTTL)
			local.retryAt = time.Time{}
		})
}

func (c *Core) renewLease() {
	local := &c.local
	local.callPending = true
	sent := c.uptime()
	c.callStore(store.Call{Kind: store.KindKeepAlive, Priority: store.PriorityLease, Reason: "announce", Lease: local.lease},
		func(now time.Time, r store.Result) {
			local.callPending = false
			switch r.Outcome {
			case store.Applied:
				local.failures = 0
				c.extendLease(sent, r.TTL)
				local.renewAt = now.Add(max(r.TTL, c.cfg.MinLease) / renewalsPerTTL)
			case store.NotFound:
				c.log("lease-ended", "lease", strconv.FormatInt(int64(local.lease), 10))
				local.lease, local.storedSequence = 0, 0
				c.recordLeaseEnd(now)
			default:
				c.handleAnnounceFailure(now, "renewal", r)
			}
		})
}

// record returns the announcement of the target, which has reported.
func (l *localTarget) record(now time.Time) model.TargetRecord {
	record := model.TargetRecord{
		Target: l.target.ForPeers(now), ReportSeq: l.report.Seq, Leaving: l.isLeaving(l.report),
		Departures: l.recordedDepartures(now),
	}
	record.Slots = max(record.Slots, 1) // unknown if only the shutdown was reported; a record without slots is refused
	return record
}

// writeTarget writes the announcement. That of a target that is gone stays on the platform until its lease ends, so that a daemon
// that restarts recognises late reports of the run. The compare on the key's revision rejects a delayed write.
func (c *Core) writeTarget(now time.Time) {
	local := &c.local
	key := store.PrefixTargets + string(local.target.Daemon)
	sequence := local.target.Sequence
	record := local.record(now)
	value, err := c.cfg.Records.EncodeTarget(&record)
	if err != nil {
		c.log("announce-failed", "step", "encode", "detail", err.Error())
		local.retryAt = now.Add(announceBackoffBase)
		return
	}
	txn := store.Txn{
		Compares: []store.Compare{{Key: key, ModRevision: c.meshKeys.entries[key].ModRevision}},
		Puts:     []store.Put{{Key: key, Value: value, Lease: local.lease}},
	}
	local.callPending = true
	c.callStore(store.Call{Kind: store.KindTxn, Priority: store.PriorityLease, Reason: "announce", Txn: txn},
		func(now time.Time, r store.Result) {
			c.handleTargetWrite(now, key, sequence, txn, r)
			if r.Outcome == store.Applied {
				c.setAnnounced(now, record.State == model.TargetReady && local.target.State == model.TargetReady)
			}
		})
}

func (c *Core) handleTargetWrite(now time.Time, key string, sequence uint64, txn store.Txn, r store.Result) {
	local := &c.local
	local.callPending = false
	switch r.Outcome {
	case store.Applied:
		local.storedSequence, local.failures = sequence, 0
		c.mergeEntry(now, &c.meshKeys,
			store.Entry{Key: key, Value: txn.Puts[0].Value, ModRevision: r.Revision, Lease: local.lease}, true)
		local.retryAt = time.Time{}
	case store.Conflict:
		// The key was changed by an earlier process of this daemon, or by a write whose response was lost.
		c.meshKeys.forget(key)
		for _, e := range r.Entries {
			c.mergeEntry(now, &c.meshKeys, e, true)
		}
		local.retryAt = time.Time{}
	case store.NotFound:
		local.lease, local.storedSequence = 0, 0
		c.recordLeaseEnd(now)
	default:
		c.handleAnnounceFailure(now, "write", r)
	}
}

func (c *Core) handleAnnounceFailure(now time.Time, step string, r store.Result) {
	c.log("announce-failed", "step", step, "outcome", string(r.Outcome), "detail", r.Detail)
	c.local.retryAt = now.Add(c.jitter(min(announceBackoffBase<<min(c.local.failures, 4), announceBackoffMax)))
	c.local.renewAt = c.local.retryAt
	c.local.failures++
}
