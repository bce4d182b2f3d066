package catalog

import (
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

const (
	// leaseTTL is the lifetime of the announcement of a target. Peers find a dead daemon by their own calls, so the lease
	// only removes what nobody calls.
	leaseTTL = 15 * time.Second
	// renewals is how often a lease is renewed within its lifetime.
	renewals = 3
	// announceRetry is the wait after a failed call, and announceRetryMax the longest one after several. An announcement
	// must be back two seconds after the platform is.
	announceRetry    = 400 * time.Millisecond
	announceRetryMax = 1500 * time.Millisecond
	// ackPatience is how long the answer to a target that leaves waits until the platform holds it. The target takes an
	// answer within a second.
	ackPatience = 600 * time.Millisecond
	// warmTolerance is how much the expected end of a warm-up may move before it is announced again.
	warmTolerance = time.Second
)

// own is the target beside this daemon and its announcement.
type own struct {
	target model.Target
	// report is the latest report that was accepted; nil before the first.
	report   *model.TargetReport
	stopping bool
	// earlier is what a process of this daemon before this one announced; nil if it is not known or was used.
	earlier *model.Target
	// asked says that its target was asked for its health; it is asked once in the life of a process.
	asked bool

	lease   store.LeaseID
	renewAt time.Time
	// announced is the sequence that the platform holds.
	announced uint64
	// calling says that a call on the lease or the announcement is on its way.
	calling bool
	retryAt time.Time
	// failures counts failed calls in a row.
	failures int
	// waiting are the reports to answer once the platform holds sequence, or at the deadline.
	waiting []waitingReport
}

type waitingReport struct {
	token    effect.Token
	sequence uint64
	deadline time.Time
}

func (o *own) due() time.Time {
	var next time.Time
	for _, w := range o.waiting {
		next = earliest(next, w.deadline)
	}
	if o.calling {
		return next
	}
	if o.announced != o.target.Sequence || o.listable() && o.lease == 0 {
		if o.retryAt.IsZero() {
			return time.Unix(0, 1)
		}
		return earliest(next, o.retryAt)
	}
	if !o.listable() {
		return next
	}
	return earliest(next, o.renewAt)
}

// listable reports whether there is a target to announce.
func (o *own) listable() bool { return o.report != nil && o.target.State != model.TargetGone }

// targetReported takes what the target says of itself. The answer to one that leaves waits until the platform holds it, so
// that a daemon that starts again does not take the target for ready.
func (c *Core) targetReported(now time.Time, ev effect.TargetReported) {
	r := ev.Report
	if problem := c.reportProblem(&r); problem != "" {
		c.log("report-refused", "instance", string(r.Instance), "reason", problem)
		c.emit(effect.Answer{Token: ev.Token, Outcome: model.Refused(model.OutcomeInvalid, "", problem)})
		return
	}
	changed := c.takeReport(now, &r)
	leaving := r.State != model.TargetReady && c.own.announced != c.own.target.Sequence
	if changed && leaving {
		c.own.waiting = append(c.own.waiting, waitingReport{ev.Token, c.own.target.Sequence, now.Add(ackPatience)})
		return
	}
	c.emit(effect.Answer{Token: ev.Token, Outcome: model.Outcome{Code: model.OutcomeApplied}})
}

// reportProblem returns why a report names no target of this daemon, or "".
func (c *Core) reportProblem(r *model.TargetReport) string {
	if r.State != model.TargetGone && r.Service != c.cfg.Target.Service {
		return "service " + string(r.Service) + " does not run here"
	}
	return ""
}

// takeReport updates the target and reports whether it changed.
func (c *Core) takeReport(now time.Time, r *model.TargetReport) bool {
	o := &c.own
	last := o.report
	switch {
	case r.State == model.TargetGone:
		return c.takeLeaving(now, r)
	case last != nil && last.State == model.TargetGone && last.Instance == r.Instance && r.Born <= last.Born:
		// A late report of a run that has ended.
		return false
	case last != nil && !r.Newer(last):
		return false
	}
	o.report = r
	next := o.target
	next.Instance, next.Born, next.Version = o.report.Instance, o.report.Born, o.report.Version
	next.Slots, next.State = o.report.Slots, o.report.State
	next.DaemonEnds = o.stopping && next.State == model.TargetReady
	if next.DaemonEnds {
		next.State = model.TargetDraining
	}
	warm := now.Add(r.WarmupLeft)
	if moved := warm.Sub(next.WarmAt).Abs() > warmTolerance; moved && (r.WarmupLeft > 0 || next.WarmAt.After(now)) {
		next.WarmAt = warm
	}
	return c.setTarget(now, next)
}

// takeLeaving ends a run of the target, also one that this daemon does not know, because it has just started. A run that
// does not tell its start began before now.
func (c *Core) takeLeaving(now time.Time, r *model.TargetReport) bool {
	o := &c.own
	last := o.report
	if last != nil && (last.Instance != r.Instance || r.Born != 0 && r.Born != last.Born || last.State == model.TargetGone) {
		return false
	}
	gone := *r
	if last != nil {
		gone = *last
		gone.State = model.TargetGone
	} else if gone.Born == 0 {
		gone.Born = now.UnixMilli()
	}
	o.report = &gone
	next := o.target
	next.Instance, next.Born, next.State, next.DaemonEnds = gone.Instance, gone.Born, model.TargetGone, false
	return c.setTarget(now, next)
}

// setTarget replaces the own target and reports whether it differs.
func (c *Core) setTarget(now time.Time, next model.Target) bool {
	o := &c.own
	if next == o.target {
		return false
	}
	if next.State != o.target.State || next.Instance != o.target.Instance || next.Born != o.target.Born {
		next.Since = now
		c.log("target-changed", "instance", string(next.Instance), "version", string(next.Version),
			"state", string(next.State), "slots", strconv.Itoa(next.Slots), "sequence", strconv.FormatUint(next.Sequence+1, 10))
	}
	next.Sequence++
	o.target = next
	c.dirty = true
	return true
}

// stopping announces that the target takes no new calls because its daemon ends.
func (c *Core) stopping(now time.Time) {
	c.own.stopping = true
	if c.own.target.State == model.TargetReady {
		next := c.own.target
		next.State, next.DaemonEnds = model.TargetDraining, true
		c.setTarget(now, next)
	}
}

// announce keeps the lease and the announcement of the target in the platform.
func (c *Core) announce(now time.Time) {
	o := &c.own
	c.answerWaiting(now)
	if o.calling || now.Before(o.retryAt) {
		return
	}
	switch {
	case o.listable() && o.lease == 0:
		c.grantLease()
	case o.announced != o.target.Sequence && o.report != nil:
		c.writeTarget(now)
	case o.listable() && !now.Before(o.renewAt):
		c.renewLease()
	}
}

// answerWaiting answers the reports whose consequence the platform holds, or whose time is over.
func (c *Core) answerWaiting(now time.Time) {
	o := &c.own
	kept := o.waiting[:0]
	for _, w := range o.waiting {
		if o.announced >= w.sequence || !now.Before(w.deadline) {
			c.emit(effect.Answer{Token: w.token, Outcome: model.Outcome{Code: model.OutcomeApplied}})
			continue
		}
		kept = append(kept, w)
	}
	o.waiting = kept
}

// ownEntrySeen notes what the platform holds for the own target. Another content comes from an earlier process of this
// daemon, from a write that was performed late, or from a lease that ended; the announcement is then written again.
func (c *Core) ownEntrySeen(stored *model.Target) {
	o := &c.own
	if stored != nil && stored.Incarnation == o.target.Incarnation && stored.Sequence == o.announced {
		return
	}
	if stored != nil && stored.Incarnation != o.target.Incarnation && o.report == nil && !o.asked {
		o.earlier = stored
	}
	if o.report != nil && (stored != nil || o.listable()) {
		o.announced = 0
	}
}

// askEarlier asks the target that an earlier process of this daemon announced whether it is still there. The target reports by
// itself only after a second or two, in which its slots would be idle.
func (c *Core) askEarlier() {
	o := &c.own
	if o.earlier == nil || c.configuration == nil || o.asked {
		return
	}
	earlier := o.earlier
	service := c.configuration.Service(c.cfg.Target.Service)
	served := earlier.State == model.TargetReady || earlier.DaemonEnds
	if o.report != nil || o.stopping || !served || service == nil || service.HealthPath == "" {
		o.earlier = nil
		return
	}
	o.asked = true
	c.emit(effect.CheckHealth{Path: service.HealthPath})
}

// targetAnswered takes the target of the earlier process if the same run says that it is well; one that leaves does not. What
// the target reports by itself goes before.
func (c *Core) targetAnswered(now time.Time, ev effect.HealthChecked) {
	o := &c.own
	earlier := o.earlier
	o.earlier = nil
	if earlier == nil || o.report != nil || o.stopping {
		return
	}
	same := ev.Instance != "" && ev.Instance == earlier.Instance
	c.log("target-asked", "instance", string(earlier.Instance), "answered", string(ev.Instance), "taken", strconv.FormatBool(same))
	if same {
		c.takeReport(now, &model.TargetReport{
			Instance: earlier.Instance, Born: earlier.Born, Service: earlier.Service, Version: earlier.Version,
			Slots: earlier.Slots, State: model.TargetReady, WarmupLeft: max(earlier.WarmAt.Sub(now), 0),
		})
	}
}

func (c *Core) grantLease() {
	o := &c.own
	o.calling = true
	ttl := max(leaseTTL, c.cfg.MinLease)
	c.call(store.Call{Kind: store.KindGrant, Priority: store.PriorityLease, Reason: "announce", TTL: ttl},
		func(now time.Time, r store.Result) {
			o.calling = false
			if r.Outcome != store.Applied {
				c.announceFailed(now, "lease", r)
				return
			}
			o.lease, o.announced = r.Lease, 0
			o.renewAt = now.Add(r.TTL / renewals)
			o.retryAt = time.Time{}
		})
}

func (c *Core) renewLease() {
	o := &c.own
	o.calling = true
	c.call(store.Call{Kind: store.KindKeepAlive, Priority: store.PriorityLease, Reason: "announce", Lease: o.lease},
		func(now time.Time, r store.Result) {
			o.calling = false
			switch r.Outcome {
			case store.Applied:
				o.failures = 0
				o.renewAt = now.Add(max(r.TTL, c.cfg.MinLease) / renewals)
			case store.NotFound:
				c.log("lease-ended", "lease", strconv.FormatInt(int64(o.lease), 10))
				o.lease, o.announced = 0, 0
			default:
				c.announceFailed(now, "renewal", r)
			}
		})
}

// writeTarget writes or removes the announcement. The comparison voids a write that the platform performs late.
func (c *Core) writeTarget(now time.Time) {
	o := &c.own
	key := store.PrefixTargets + string(o.target.Daemon)
	sequence := o.target.Sequence
	txn := store.Txn{Compares: []store.Compare{{Key: key, ModRevision: c.mesh.entries[key].ModRevision}}}
	if o.target.State == model.TargetGone {
		if c.mesh.entries[key].ModRevision == 0 {
			o.announced = sequence
			return
		}
		txn.Deletes = []string{key}
	} else {
		value, err := c.cfg.Records.EncodeTarget(&o.target)
		if err != nil {
			c.log("announce-failed", "step", "encode", "detail", err.Error())
			o.retryAt = now.Add(announceRetry)
			return
		}
		txn.Puts = []store.Put{{Key: key, Value: value, Lease: o.lease}}
	}
	o.calling = true
	c.call(store.Call{Kind: store.KindTxn, Priority: store.PriorityLease, Reason: "announce", Txn: txn},
		func(now time.Time, r store.Result) { c.targetWritten(now, key, sequence, txn, r) })
}

func (c *Core) targetWritten(now time.Time, key string, sequence uint64, txn store.Txn, r store.Result) {
	o := &c.own
	o.calling = false
	switch r.Outcome {
	case store.Applied:
		o.announced, o.failures = sequence, 0
		if len(txn.Puts) > 0 {
			c.merge(now, &c.mesh, store.Entry{Key: key, Value: txn.Puts[0].Value, ModRevision: r.Revision, Lease: o.lease}, true)
		} else {
			c.remove(now, &c.mesh, key, r.Revision, true)
		}
		o.retryAt = time.Time{}
	case store.Conflict:
		// An earlier process of this daemon, or a write whose answer was lost, changed the key.
		c.mesh.forget(key)
		for _, e := range r.Entries {
			c.merge(now, &c.mesh, e, true)
		}
		o.retryAt = time.Time{}
	case store.NotFound:
		o.lease, o.announced = 0, 0
	default:
		c.announceFailed(now, "write", r)
	}
}

func (c *Core) announceFailed(now time.Time, step string, r store.Result) {
	c.log("announce-failed", "step", step, "outcome", string(r.Outcome), "detail", r.Detail)
	c.own.retryAt = now.Add(c.jitter(min(announceRetry<<min(c.own.failures, 4), announceRetryMax)))
	c.own.renewAt = c.own.retryAt
	c.own.failures++
}
