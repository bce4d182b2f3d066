package catalog

import (
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

const (
	// driverTTL is the lifetime of a driver's lease. A bad version must be withdrawn five seconds after it showed, also
	// when its driver was just lost.
	driverTTL = 2 * time.Second
	// campaignStep is the time between the campaigns of daemons with neighbouring names, and campaignSpread the longest
	// delay. The first one that wins is heard by the others before their turn.
	campaignStep   = 150 * time.Millisecond
	campaignSpread = 1200 * time.Millisecond
	// driverSilence is how long no driver has been heard before others campaign. Its lease ends soon after.
	driverSilence = 1200 * time.Millisecond
	// campaignRetry is the wait after a failed campaign, and campaignRetryMax the longest one after several: a driver must
	// be found within about a second of the platform's return.
	campaignRetry    = 500 * time.Millisecond
	campaignRetryMax = time.Second
	// driveEvery is how often the targets are asked for outcomes and the move is decided.
	driveEvery = 300 * time.Millisecond
)

// driving is this daemon's part in the move of the service beside it.
type driving struct {
	// wanted says that the service has a move that is not done or withdrawn.
	wanted bool
	// active says that this daemon drives. Without the lease it only judges and withholds, as while the platform is away.
	active bool
	// heardAt is when a driver that holds the lease was last heard, and judgeHeardAt one that does not hold it.
	heardAt      time.Time
	judgeHeardAt time.Time
	campaignAt   time.Time
	// failures counts campaigns in a row that the platform did not answer.
	failures int
	// lease and revision are those of the driver's key while this daemon holds it, and held says until when at least.
	lease    store.LeaseID
	revision int64
	held     time.Time
	renewAt  time.Time
	roundAt  time.Time
	calling  bool

	driver  *rollout.Driver
	move    model.PlanID
	reports map[model.DaemonID]*report
	hold    string
}

// report is what the daemon beside a target said last.
type report struct {
	rollout.Observation
	incarnation model.Incarnation
	sums        map[model.OutcomeKey]model.OutcomeSum
}

func (d *driving) due() time.Time {
	if !d.wanted {
		return time.Time{}
	}
	var next time.Time
	if d.active {
		next = d.roundAt
	}
	switch {
	case d.calling:
	case d.lease == 0:
		next = earliest(next, d.campaignAt)
	default:
		next = earliest(next, d.renewAt)
	}
	return next
}

// driverHeard notes that another daemon drives the service beside this one.
func (c *Core) driverHeard(now time.Time, q *message.EvidenceQuery) {
	d := &c.driving
	switch {
	case q.Service != c.cfg.Target.Service:
	case !q.Held:
		d.judgeHeardAt = now
	default:
		d.heardAt = now
		// Whoever holds the lease decides, so that nobody else needs to judge.
		d.active = d.active && d.lease != 0
	}
}

// driveMoves takes part in the move of the own service. A daemon beside one of the service's targets drives, the one that
// holds the lease on the driver's key.
func (c *Core) driveMoves(now time.Time) {
	d := &c.driving
	service := c.cfg.Target.Service
	wanted := !c.own.stopping && c.wantsDriver(service)
	if wanted != d.wanted {
		d.wanted = wanted
		d.campaignAt = now.Add(c.campaignDelay())
	}
	if !wanted {
		c.resign(d)
		return
	}
	if d.lease != 0 && !now.Before(d.held) {
		c.log("driver-lost", "service", string(service), "reason", "the lease was not renewed in time")
		d.lease, d.campaignAt = 0, now
	}
	if d.active && !now.Before(d.roundAt) {
		c.round(now, service, d)
	}
	switch {
	case d.calling:
	case d.lease == 0:
		c.campaign(now, service, d)
	case !now.Before(d.renewAt):
		c.renewDriver(d)
	}
}

// wantsDriver reports whether the operator's intent for a service is not yet done or withdrawn.
func (c *Core) wantsDriver(service model.ServiceName) bool {
	in := c.intents[service]
	if in == nil || !c.ready || !c.own.listable() {
		return false
	}
	m := c.moves[service]
	return m == nil || !c.current(m) || m.Phase.Active()
}

// resign gives up the lease, so that another daemon can drive at once.
func (c *Core) resign(d *driving) {
	if d.lease != 0 && !d.calling {
		c.call(store.Call{Kind: store.KindRevoke, Priority: store.PriorityLease, Reason: "drive", Lease: d.lease},
			func(time.Time, store.Result) {
				// A lease that could not be given up ends by itself.
			})
		d.lease = 0
	}
	d.active, d.driver, d.move, d.reports = false, nil, "", nil
}

// campaignDelay orders the daemons beside the service's targets by their names, so that mostly one of them campaigns.
func (c *Core) campaignDelay() time.Duration {
	rank := 0
	for daemon, m := range c.roster {
		if m.target.Service == c.cfg.Target.Service && daemon < c.cfg.Target.Daemon {
			rank++
		}
	}
	return min(time.Duration(rank)*campaignStep, campaignSpread) + c.jitter(campaignStep)
}

// campaign takes the driver's key if no driver is heard.
func (c *Core) campaign(now time.Time, service model.ServiceName, d *driving) {
	if silent := d.heardAt.Add(driverSilence); now.Before(silent) {
		d.campaignAt = silent.Add(c.campaignDelay())
		return
	}
	if now.Before(d.campaignAt) {
		return
	}
	d.campaignAt = now.Add(c.jitter(campaignRetry))
	d.calling = true
	started := now
	ttl := max(driverTTL, c.cfg.MinLease)
	c.call(store.Call{Kind: store.KindGrant, Priority: store.PriorityLease, Reason: "drive", TTL: ttl},
		func(now time.Time, r store.Result) {
			if r.Outcome != store.Applied {
				d.calling = false
				c.campaignFailed(now, service, d, r)
				return
			}
			c.takeDriver(service, d, r.Lease, started.Add(r.TTL))
		})
}

func (c *Core) takeDriver(service model.ServiceName, d *driving, lease store.LeaseID, held time.Time) {
	key := store.PrefixDrivers + string(service)
	c.call(store.Call{Kind: store.KindTxn, Priority: store.PriorityLease, Reason: "drive", Txn: store.Txn{
		Compares: []store.Compare{{Key: key}},
		Puts:     []store.Put{{Key: key, Value: []byte(c.cfg.Target.Daemon), Lease: lease}},
	}}, func(now time.Time, r store.Result) {
		d.calling = false
		switch r.Outcome {
		case store.Applied:
			d.lease, d.revision, d.held, d.failures = lease, r.Revision, held, 0
			d.renewAt = now.Add(driverTTL / renewals)
			d.activate(now)
			c.log("driver", "service", string(service), "revision", strconv.FormatInt(r.Revision, 10))
		case store.Conflict:
			d.active, d.failures = false, 0
		default:
			c.campaignFailed(now, service, d, r)
		}
	})
}

// campaignFailed waits longer with each campaign that the platform does not answer. Meanwhile nobody may hold the lease, as
// when the driver was lost with the platform away, so this daemon judges and withholds without it unless another one does.
func (c *Core) campaignFailed(now time.Time, service model.ServiceName, d *driving, r store.Result) {
	c.log("campaign-failed", "service", string(service), "outcome", string(r.Outcome), "detail", r.Detail)
	d.campaignAt = now.Add(c.jitter(min(campaignRetry<<min(d.failures, 2), campaignRetryMax)))
	d.failures++
	if !d.active && now.Sub(d.judgeHeardAt) >= driverSilence {
		d.activate(now)
		c.log("judge", "service", string(service))
	}
}

// activate begins to judge the move; the lease decides whether this daemon also writes.
func (d *driving) activate(now time.Time) {
	if !d.active {
		d.active, d.roundAt, d.reports = true, now, map[model.DaemonID]*report{}
	}
}

func (c *Core) renewDriver(d *driving) {
	d.calling = true
	c.call(store.Call{Kind: store.KindKeepAlive, Priority: store.PriorityLease, Reason: "drive", Lease: d.lease},
		func(now time.Time, r store.Result) {
			d.calling = false
			d.renewAt = now.Add(driverTTL / renewals)
			switch r.Outcome {
			case store.Applied:
				// The lease runs from the arrival of the call, which was before the answer.
				d.held = now.Add(driverTTL - driverTTL/renewals)
			case store.NotFound:
				c.log("driver-lost", "service", string(c.cfg.Target.Service), "reason", "the lease has ended")
				d.lease, d.campaignAt = 0, now
			default:
				c.log("driver-unrenewed", "service", string(c.cfg.Target.Service), "outcome", string(r.Outcome),
					"held_ms", milliseconds(d.held.Sub(now)))
			}
		})
}

// round decides on the move with the reports so far, and asks the targets for the next ones.
func (c *Core) round(now time.Time, service model.ServiceName, d *driving) {
	d.roundAt = now.Add(driveEvery)
	m := c.moves[service]
	switch {
	case m == nil || !c.current(m):
		if d.lease != 0 && !d.calling {
			c.createMove(service, d)
		}
	default:
		if d.driver == nil || d.move != m.ID {
			d.driver, d.move, d.reports = rollout.NewDriver(), m.ID, map[model.DaemonID]*report{}
		}
		observations := d.observations()
		d.driver.Observe(now, c.compose(c.targets()), &m.Move, observations)
		decision := d.driver.Decide(now, &m.Move, observations)
		if mark := c.markOn(m.Version(), m.ID); mark != nil && m.Phase == model.PhaseRunning {
			// Nothing calls a version that is withheld, so there is no evidence against it any more; but its targets forget the
			// mark when their daemons are restarted.
			decision = rollout.Withdraw(now, &m.Move, mark.Reason)
		}
		c.decided(service, d, m, decision)
	}
	c.askTargets(now, service, d)
}

// observations returns the latest reports; each sum is returned once.
func (d *driving) observations() []rollout.Observation {
	all := make([]rollout.Observation, 0, len(d.reports))
	for _, r := range d.reports {
		all = append(all, r.Observation)
		r.Sums = nil
	}
	return all
}

func (c *Core) decided(service model.ServiceName, d *driving, m *record, decision rollout.Decision) {
	if decision.Next == nil {
		if decision.Hold != d.hold {
			d.hold = decision.Hold
			c.log("move-held", "service", string(service), "move", string(m.ID), "reason", decision.Hold)
		}
		return
	}
	if decision.Next.Phase == model.PhaseWithdrawing && m.Phase != model.PhaseWithdrawing && c.markOn(decision.Next.Version(), decision.Next.ID) == nil {
		// The targets refuse the version at once, whether or not the platform answers.
		c.withholdAtTargets(decision.Next)
	}
	if d.lease != 0 && !d.calling {
		c.writeMove(service, d, decision.Next, m.revision)
	}
}

// withholdAtTargets withholds a version here and on the daemons beside the service's targets.
func (c *Core) withholdAtTargets(m *model.Move) {
	mark := model.Mark{VersionRef: m.Version(), Move: m.ID, Reason: m.Reason, By: c.cfg.Target.Daemon, At: m.Since}
	c.withhold([]model.Mark{mark})
	for _, member := range c.roster {
		if member.target.Service == m.Service {
			c.send(member.target.PeerAddress, &message.Withhold{Marks: []model.Mark{mark}}, func(time.Time, message.Reply) {
				// The record of the move reaches a daemon that did not answer.
			})
		}
	}
}

// createMove records the operator's intent as a confirmed move, with the time that is left for it.
func (c *Core) createMove(service model.ServiceName, d *driving) {
	in := c.intents[service]
	m := &model.Move{
		ID: moveID(in), Service: service, From: oldVersion(c.targets(), service, in.To), To: in.To, Deadline: in.By,
		Phase: model.PhaseRunning, Step: -1, ConfirmedBy: "operator",
	}
	var revision int64
	if known := c.moves[service]; known != nil {
		revision = known.revision
	}
	c.writeMove(service, d, m, revision)
}

// writeMove writes the record of a move and the report on it. The comparisons void the write of a driver that was paused
// or replaced.
func (c *Core) writeMove(service model.ServiceName, d *driving, m *model.Move, revision int64) {
	value, err := c.cfg.Records.EncodeMove(m)
	if err == nil {
		var status []byte
		if status, err = c.cfg.Operator.EncodeReport(m); err == nil {
			c.commitMove(service, d, m, value, status, revision)
			return
		}
	}
	c.log("move-failed", "service", string(service), "step", "encode", "detail", err.Error())
}

func (c *Core) commitMove(service model.ServiceName, d *driving, m *model.Move, value, status []byte, revision int64) {
	key := store.PrefixMoves + string(service)
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: key, ModRevision: revision}, {Key: store.PrefixDrivers + string(service), ModRevision: d.revision},
		},
		Puts: []store.Put{{Key: key, Value: value}},
	}
	if known := c.moves[service]; known == nil || known.ID != m.ID || reported(known.Phase) != reported(m.Phase) {
		txn.Puts = append(txn.Puts, store.Put{Key: c.cfg.Operator.KeyReport(service), Value: status})
	}
	d.calling = true
	c.call(store.Call{Kind: store.KindTxn, Priority: store.PriorityWithdraw, Reason: "drive", Txn: txn},
		func(now time.Time, r store.Result) {
			d.calling = false
			switch r.Outcome {
			case store.Applied:
				c.merge(now, &c.mesh, store.Entry{Key: key, Value: value, ModRevision: r.Revision}, true)
			case store.Conflict:
				c.log("move-conflict", "service", string(service), "move", string(m.ID))
				d.lease, d.active, d.campaignAt = 0, false, now.Add(campaignRetry)
				for _, e := range r.Entries {
					c.merge(now, &c.mesh, e, true)
				}
			default:
				c.log("move-failed", "service", string(service), "outcome", string(r.Outcome), "detail", r.Detail)
			}
		})
}

// reported is the phase as reports show it.
func reported(p model.Phase) model.Phase {
	if p == model.PhaseDone || p == model.PhaseWithdrawn {
		return p
	}
	return model.PhaseRunning
}

// askTargets asks the daemons beside the service's targets for outcomes.
func (c *Core) askTargets(now time.Time, service model.ServiceName, d *driving) {
	for daemon, m := range c.roster {
		if m.target.Service != service {
			continue
		}
		c.send(m.target.PeerAddress, &message.EvidenceQuery{Service: service, Held: d.lease != 0}, func(now time.Time, r message.Reply) {
			if reply, ok := r.(*message.EvidenceReply); ok && reply.Target.Daemon == daemon && d.reports != nil {
				d.take(now, reply)
			}
		})
	}
	if c.own.listable() {
		d.take(now, c.evidence.reply(now, c.own.target))
	}
}
