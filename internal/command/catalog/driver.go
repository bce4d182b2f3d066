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
	// driverLeaseTTL is the lifetime of the driver's lease. A bad version must be withdrawn within five seconds after its
	// faults appear, even if its driver has just failed.
	driverLeaseTTL = 2 * time.Second
	// campaignStagger is the delay between the campaigns of daemons with neighbouring names, and campaignStaggerMax its upper
	// limit. The winner's queries reach the other daemons before they campaign.
	campaignStagger    = 150 * time.Millisecond
	campaignStaggerMax = 1200 * time.Millisecond
	// driverTimeout is the time without a driver's query after which others campaign. The driver's lease ends soon after
	// that.
	driverTimeout = 1200 * time.Millisecond
	// campaignBackoffBase and campaignBackoffMax bound the backoff after failed campaigns. There must be a driver again
	// within about a second of the platform's return.
	campaignBackoffBase = 500 * time.Millisecond
	campaignBackoffMax  = time.Second
	// roundInterval is the time between two rounds, in each of which the driver decides on the move and queries outcomes.
	roundInterval = 300 * time.Millisecond
	// progressInterval bounds the log lines about the progress of a move.
	progressInterval = time.Second
)

// moveDriver is this daemon's part in driving the move of its service. Of the daemons beside the service's targets, the one
// that holds the lease on the driver's key drives the move.
type moveDriver struct {
	// needed says that the operator's intent for the service is neither done nor withdrawn, and that this daemon can drive
	// its move.
	needed bool
	// judging says that this daemon runs rounds. Without the lease, as in an outage of the platform, it only judges the
	// version and withholds a bad one; with the lease it also writes the move.
	judging bool
	// driverSeenAt is the time of the last query from another daemon with the lease, and judgeSeenAt from one without it.
	driverSeenAt time.Time
	judgeSeenAt  time.Time
	campaignAt   time.Time
	// campaignFailures is the number of consecutive campaigns that the platform did not answer.
	campaignFailures int
	// lease and revision are those of the driver's key while this daemon holds it; lease is 0 otherwise. heldUntil is the
	// time until which the lease lasts at least.
	lease       store.LeaseID
	revision    int64
	heldUntil   time.Time
	renewAt     time.Time
	nextRoundAt time.Time
	callPending bool
	// written is the state of the move that this daemon has written last.
	written *model.Rollout

	// rollout decides on the move with the given ID, from the reports of the daemons beside the targets.
	rollout *rollout.Driver
	move    model.PlanID
	reports map[model.DaemonID]*evidenceReport
	// holdReason is the last logged reason for which the move was held. progressAt is when the progress was last logged.
	holdReason string
	progressAt time.Time
}

func (d *moveDriver) nextWake() time.Time {
	if !d.needed {
		return time.Time{}
	}
	var next time.Time
	if d.judging {
		next = d.nextRoundAt
	}
	switch {
	case d.callPending:
	case d.lease == 0:
		next = earliest(next, d.campaignAt)
	default:
		next = earliest(next, d.renewAt)
	}
	return next
}

// recordDriverQuery records that another daemon drives or judges the move of this service, as its query shows.
func (c *Core) recordDriverQuery(now time.Time, q *message.EvidenceQuery) {
	d := &c.driver
	switch {
	case q.Service != c.cfg.Target.Service:
	case !q.Held:
		d.judgeSeenAt = now
	default:
		d.driverSeenAt = now
		// The holder of the lease judges the move, so a daemon without the lease stops judging.
		d.judging = d.judging && d.lease != 0
	}
}

// runMoveDriver takes part in driving the move of the daemon's own service: it campaigns for the driver's key, renews its
// lease and runs the rounds that are due.
func (c *Core) runMoveDriver(now time.Time) {
	d := &c.driver
	service := c.cfg.Target.Service
	needed := !c.local.stopping && c.needsDriver(service)
	if needed != d.needed {
		d.needed = needed
		d.campaignAt = now.Add(c.campaignDelay())
	}
	if !needed {
		c.resign(d)
		return
	}
	if d.lease != 0 && !now.Before(d.heldUntil) {
		c.log("driver-lost", "service", string(service), "reason", "the lease was not renewed in time")
		d.lease, d.campaignAt = 0, now
	}
	if d.judging && !now.Before(d.nextRoundAt) {
		c.runRound(now, service, d)
	}
	switch {
	case d.callPending:
	case d.lease == 0:
		c.campaign(now, service, d)
	case !now.Before(d.renewAt):
		c.renewDriverLease(now, d)
	}
}

// needsDriver reports whether a service has an unfinished intent of the operator and this daemon can drive its move.
func (c *Core) needsDriver(service model.ServiceName) bool {
	in := c.intents[service]
	if in == nil || !c.ready || !c.local.isAnnounceable() {
		return false
	}
	m := c.moves[service]
	return m == nil || !c.isInForce(m) || m.Phase.Active() || !m.stored
}

// resign revokes the lease, so that another daemon can take over at once, and drops the evidence.
func (c *Core) resign(d *moveDriver) {
	if d.lease != 0 && !d.callPending {
		c.callStore(store.Call{Kind: store.KindRevoke, Priority: store.PriorityLease, Reason: "drive", Lease: d.lease},
			func(time.Time, store.Result) {
				// A lease that could not be revoked expires.
			})
		d.lease = 0
	}
	d.judging, d.rollout, d.move, d.reports = false, nil, "", nil
}

// campaignDelay staggers the campaigns of the service's daemons by their names, so that usually only one of them campaigns.
func (c *Core) campaignDelay() time.Duration {
	rank := 0
	for daemon, m := range c.roster {
		if m.target.Service == c.cfg.Target.Service && daemon < c.cfg.Target.Daemon {
			rank++
		}
	}
	return min(time.Duration(rank)*campaignStagger, campaignStaggerMax) + c.jitter(campaignStagger)
}

// campaign requests a lease and then the driver's key, if no driver has been seen for driverTimeout.
func (c *Core) campaign(now time.Time, service model.ServiceName, d *moveDriver) {
	if timeout := d.driverSeenAt.Add(driverTimeout); now.Before(timeout) {
		d.campaignAt = timeout.Add(c.campaignDelay())
		return
	}
	if now.Before(d.campaignAt) {
		return
	}
	d.campaignAt = now.Add(c.jitter(campaignBackoffBase))
	if !c.isCurrent(&c.meshKeys) || !c.knowsPeers() {
		// The store may hold an earlier state of the move than the peers of a daemon that has just started.
		return
	}
	d.callPending = true
	started := now
	ttl := max(driverLeaseTTL, c.cfg.MinLease)
	c.callStore(store.Call{Kind: store.KindGrant, Priority: store.PriorityLease, Reason: "drive", TTL: ttl},
		func(now time.Time, r store.Result) {
			if r.Outcome != store.Applied {
				d.callPending = false
				c.handleCampaignFailure(now, service, d, r)
				return
			}
			c.acquireDriverKey(service, d, r.Lease, started.Add(r.TTL))
		})
}

// driverKey returns the key that the driver of a service holds. Each era of the store has its own, so that a driver that has not noticed
// a restore cannot write: its revision might have been given out again.
func (c *Core) driverKey(service model.ServiceName) string {
	key := store.PrefixDrivers + string(service)
	if c.era.Number > 0 {
		key += "@" + strconv.FormatUint(c.era.Number, 10)
	}
	return key
}

// acquireDriverKey writes the driver's key under the granted lease, unless another daemon holds the key.
func (c *Core) acquireDriverKey(service model.ServiceName, d *moveDriver, lease store.LeaseID, heldUntil time.Time) {
	key := c.driverKey(service)
	c.callStore(store.Call{Kind: store.KindTxn, Priority: store.PriorityLease, Reason: "drive", Txn: store.Txn{
		Compares: []store.Compare{{Key: key}},
		Puts:     []store.Put{{Key: key, Value: []byte(c.cfg.Target.Daemon), Lease: lease}},
	}}, func(now time.Time, r store.Result) {
		d.callPending = false
		switch r.Outcome {
		case store.Applied:
			d.lease, d.revision, d.heldUntil, d.campaignFailures = lease, r.Revision, heldUntil, 0
			d.renewAt = now.Add(driverLeaseTTL / renewalsPerTTL)
			d.startJudging(now)
			c.log("driver", "service", string(service), "revision", strconv.FormatInt(r.Revision, 10))
		case store.Conflict:
			d.judging, d.campaignFailures = false, 0
		default:
			c.handleCampaignFailure(now, service, d, r)
		}
	})
}

// handleCampaignFailure schedules the next campaign, with a backoff that grows with each failure. If the driver fails during
// an outage of the platform, no daemon can acquire the lease; this daemon then judges and withholds without the lease, unless
// another daemon does.
func (c *Core) handleCampaignFailure(now time.Time, service model.ServiceName, d *moveDriver, r store.Result) {
	c.log("campaign-failed", "service", string(service), "outcome", string(r.Outcome), "detail", r.Detail)
	d.campaignAt = now.Add(c.jitter(min(campaignBackoffBase<<min(d.campaignFailures, 2), campaignBackoffMax)))
	d.campaignFailures++
	if !d.judging && now.Sub(d.judgeSeenAt) >= driverTimeout {
		d.startJudging(now)
		c.log("judge", "service", string(service))
	}
}

// startJudging begins the rounds. The lease decides whether this daemon also writes the move.
func (d *moveDriver) startJudging(now time.Time) {
	if !d.judging {
		d.judging, d.nextRoundAt, d.reports = true, now, map[model.DaemonID]*evidenceReport{}
	}
}

func (c *Core) renewDriverLease(started time.Time, d *moveDriver) {
	d.callPending = true
	c.callStore(store.Call{Kind: store.KindKeepAlive, Priority: store.PriorityLease, Reason: "drive", Lease: d.lease},
		func(now time.Time, r store.Result) {
			d.callPending = false
			d.renewAt = now.Add(driverLeaseTTL / renewalsPerTTL)
			switch r.Outcome {
			case store.Applied:
				// The new lifetime began when the platform processed the call, at the earliest when it was sent.
				d.heldUntil = started.Add(driverLeaseTTL)
			case store.NotFound:
				c.log("driver-lost", "service", string(c.cfg.Target.Service), "reason", "the lease has ended")
				d.lease, d.campaignAt = 0, now
			default:
				c.log("driver-unrenewed", "service", string(c.cfg.Target.Service), "outcome", string(r.Outcome),
					"held_ms", formatMillis(d.heldUntil.Sub(now)))
			}
		})
}

// runRound creates the move or decides on it with the reports received so far, and then queries the next reports.
func (c *Core) runRound(now time.Time, service model.ServiceName, d *moveDriver) {
	d.nextRoundAt = now.Add(roundInterval)
	m := c.moves[service]
	switch {
	case m == nil || !c.isInForce(m):
		if d.lease != 0 && !d.callPending {
			c.createMove(service, d)
		}
	default:
		if d.rollout == nil || d.move != m.ID {
			d.rollout, d.move, d.reports = rollout.NewDriver(c.cfg.Exposure), m.ID, map[model.DaemonID]*evidenceReport{}
		}
		observations := d.takeObservations()
		d.rollout.Observe(now, c.composeConfiguration(c.targets()), &m.Rollout, observations)
		c.logProgress(now, d, m, observations)
		decision := d.rollout.Decide(now, &m.Rollout, c.callable(&m.Rollout, observations))
		if mark := c.findMark(m.Version(), m.ID); mark != nil && m.Phase == model.PhaseRunning {
			// A withheld version receives no calls, so there is no new evidence against it. It must still be withdrawn,
			// because the daemons beside its targets lose the mark when they restart.
			decision = rollout.Withdraw(now, &m.Rollout, mark.Reason)
		}
		c.applyDecision(service, d, m, decision)
		if !m.stored && d.lease != 0 && !d.callPending {
			c.writeMove(service, d, &m.Rollout, m.revision)
		}
	}
	c.queryEvidence(now, service, d)
}

// takeObservations returns the latest reports, and clears their sums so that each sum is returned only once.
func (d *moveDriver) takeObservations() []rollout.Observation {
	observations := make([]rollout.Observation, 0, len(d.reports))
	for _, r := range d.reports {
		observations = append(observations, r.Observation)
		r.Sums, r.Window = nil, 0
	}
	return observations
}

// applyDecision logs why a move is held, or withholds the version and writes the changed move as decided.
func (c *Core) applyDecision(service model.ServiceName, d *moveDriver, m *moveRecord, decision rollout.Decision) {
	if decision.Next == nil {
		if decision.Hold != d.holdReason {
			d.holdReason = decision.Hold
			c.log("move-held", "service", string(service), "move", string(m.ID), "reason", decision.Hold)
		}
		return
	}
	if decision.Next.Phase == model.PhaseWithdrawing && m.Phase != model.PhaseWithdrawing &&
		c.findMark(decision.Next.Version(), decision.Next.ID) == nil {
		// The daemons beside the targets refuse the version's calls at once, even if the platform does not answer.
		c.withholdAtTargets(decision.Next)
	}
	if d.lease != 0 && !d.callPending {
		c.writeMove(service, d, decision.Next, m.revision)
	}
}

// withholdAtTargets withholds a version on this daemon and on the daemons beside the service's other targets.
func (c *Core) withholdAtTargets(m *model.Rollout) {
	mark := model.Mark{VersionRef: m.Version(), Move: m.ID, Reason: m.Reason, By: c.cfg.Target.Daemon, At: m.Since}
	c.addMarks([]model.Mark{mark})
	for _, member := range c.roster {
		if member.target.Service == m.Service {
			c.send(member.target.PeerAddress, &message.Withhold{Marks: []model.Mark{mark}}, func(time.Time, message.Reply) {
				// A daemon that did not answer learns of the withdrawal from the record of the move.
			})
		}
	}
}
