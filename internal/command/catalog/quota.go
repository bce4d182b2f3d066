package catalog

import (
	"maps"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// quotas is what the core knows of the quotas of tenants.
type quotas struct {
	// tenants holds the owners of the tenants that were asked for, until the roster changes them.
	tenants map[model.TenantName]*tenantOwner
	// changedAt is the uptime since when the owners of all other tenants are unchanged.
	changedAt time.Duration
	// announced says that the platform has stored that this daemon's target is ready, so that others may count it among the owners.
	announced bool
	// unlisted says that others may not have this daemon in their rosters: they count it among the owners only ownershipDelay after
	// they learn of it. ownsAt is the end of that delay; zero if there is none.
	unlisted bool
	ownsAt   time.Time
	// leaseUntil is the uptime until which this daemon's lease on the platform cannot have expired.
	leaseUntil time.Duration
	// leaseTTL is the lifetime with which the lease was granted.
	leaseTTL time.Duration
	// asked are the requests of the traffic goroutines that other daemons have not answered, in the order of their deadlines.
	asked []*askedQuota
	// joining are the daemons that do not own tenants yet, in the order of the times at which they will.
	joining []joiningDaemon
	// checkAt is when tenants may have stopped exceeding their quotas.
	checkAt time.Time
}

// tenantOwner is the daemon that owns a tenant.
type tenantOwner struct {
	daemon model.DaemonID
	weight uint64
	// bucket is nil unless this daemon owns the tenant.
	bucket *quota.Bucket
	// exceeding says that the log has been told so.
	exceeding bool
}

// askedQuota is a request of a traffic goroutine that was sent to the owner.
type askedQuota struct {
	token    effect.Token
	tenant   model.TenantName
	deadline time.Time
	answered bool
}

// joiningDaemon is a daemon that owns no tenants before a time; zero until it is computed.
type joiningDaemon struct {
	daemon model.DaemonID
	at     time.Time
}

// ownershipDelay is the time from the announcement of a daemon until it owns tenants: it must have settled before it can grant tokens.
// Until then the owner before it goes on. The daemon itself waits as long, so that the two do not grant the same tokens.
const ownershipDelay = maxSettleDelay

func (c *Core) uptime() time.Duration {
	if c.cfg.Uptime == nil {
		return 0
	}
	return c.cfg.Uptime()
}

// handleQuotaAsked answers a request of a traffic goroutine if this daemon owns the tenant, and sends it to the owner otherwise.
func (c *Core) handleQuotaAsked(now time.Time, ev effect.QuotaAsked) {
	q := ev.Request
	q.Borrower = c.borrower
	owner, limit := c.ownerOf(q.Tenant)
	switch {
	case owner == nil:
		c.emit(effect.ReturnQuota{Token: ev.Token, Share: c.quotaShare(q.Tenant)})
		return
	case owner.daemon == c.cfg.Target.Daemon && !c.settled:
		c.emit(effect.ReturnQuota{Token: ev.Token, Share: c.quotaShare(q.Tenant)})
		return
	case owner.daemon == c.cfg.Target.Daemon:
		reply := c.grantQuota(now, &q, owner, limit)
		c.emit(effect.ReturnQuota{Token: ev.Token, Reply: &reply, Share: c.quotaShare(q.Tenant)})
		return
	}
	asked := &askedQuota{token: ev.Token, tenant: q.Tenant, deadline: now.Add(quota.AskTimeout)}
	c.quotas.asked = append(c.quotas.asked, asked)
	c.send(c.roster[owner.daemon].target.PeerAddress, &q, func(_ time.Time, r message.Reply) {
		if !asked.answered {
			reply, _ := r.(*message.QuotaReply)
			c.answerQuota(asked, reply)
		}
	})
}

func (c *Core) answerQuota(asked *askedQuota, reply *message.QuotaReply) {
	asked.answered = true
	c.emit(effect.ReturnQuota{Token: asked.token, Reply: reply, Share: c.quotaShare(asked.tenant)})
}

// answerDueQuotas answers the requests whose owners have not replied in time, and drops those that were answered.
func (c *Core) answerDueQuotas(now time.Time) {
	asked := c.quotas.asked
	for len(asked) > 0 && (asked[0].answered || !now.Before(asked[0].deadline)) {
		if !asked[0].answered {
			c.answerQuota(asked[0], nil)
		}
		asked = asked[1:]
	}
	c.quotas.asked = asked
	c.checkExceeding(now)
	c.admitOwners(now)
}

// admitOwners lets daemons that have joined own tenants once they are expected to have settled.
func (c *Core) admitOwners(now time.Time) {
	joining := c.quotas.joining
	c.quotas.joining = joining[:0]
	for _, j := range joining {
		if j.at.IsZero() {
			j.at = c.ownsTenantsAt(now, j.daemon)
		}
		if now.Before(j.at) {
			c.quotas.joining = append(c.quotas.joining, j)
			continue
		}
		if m := c.roster[j.daemon]; m != nil {
			m.joining = false
		}
		c.updateOwners(j.daemon)
	}
	if !c.quotas.ownsAt.IsZero() && !now.Before(c.quotas.ownsAt) {
		c.quotas.ownsAt = time.Time{}
		c.updateOwners(c.cfg.Target.Daemon)
	}
}

// ownsTenantsAt returns when a daemon that has just become known owns tenants. A daemon that starts judges the others by the time of
// day at which their targets started, since a daemon that restarts beside a running target keeps its tenants. Where clocks differ it
// may ask a daemon that does not grant yet, or not any more.
func (c *Core) ownsTenantsAt(now time.Time, daemon model.DaemonID) time.Time {
	m := c.roster[daemon]
	if m == nil || c.settled {
		return now.Add(ownershipDelay)
	}
	if started := time.UnixMilli(m.target.Born); started.Before(now) {
		return started.Add(ownershipDelay)
	}
	return now
}

// handleQuotaRequest answers a request for tokens of another daemon.
func (c *Core) handleQuotaRequest(now time.Time, q *message.QuotaRequest) *message.QuotaReply {
	owner, limit := c.ownerOf(q.Tenant)
	if owner == nil || !c.settled {
		return &message.QuotaReply{Code: message.Refused}
	}
	if owner.daemon != c.cfg.Target.Daemon {
		c.count("sniperail_quota_requests_refused", "not-owner")
		return &message.QuotaReply{Code: message.NotOwner}
	}
	reply := c.grantQuota(now, q, owner, limit)
	return &reply
}

// grantQuota grants tokens of a tenant that this daemon owns, unless others may have taken the tenant over.
func (c *Core) grantQuota(now time.Time, q *message.QuotaRequest, owner *tenantOwner, limit quota.Limit) message.QuotaReply {
	uptime := c.uptime()
	if uptime >= c.quotas.leaseUntil {
		c.count("sniperail_quota_requests_refused", "lease")
		return message.QuotaReply{Code: message.Refused}
	}
	if owner.bucket == nil {
		owner.bucket = quota.NewBucket(c.quotas.changedAt)
	}
	reply := owner.bucket.Grant(uptime, limit, q)
	if reply.Code == message.Accepted && reply.Granted < q.Waiting && !owner.exceeding {
		owner.exceeding = true
		c.log("quota-exceeded", "tenant", string(q.Tenant), "rate_per_s", strconv.FormatFloat(limit.Rate, 'f', -1, 64))
	}
	if owner.exceeding {
		c.quotas.checkAt = earliest(c.quotas.checkAt, now.Add(limit.Window))
	}
	return reply
}

// checkExceeding logs the tenants that have stopped exceeding their quotas.
func (c *Core) checkExceeding(now time.Time) {
	if c.quotas.checkAt.IsZero() || now.Before(c.quotas.checkAt) {
		return
	}
	c.quotas.checkAt = time.Time{}
	for name, owner := range c.quotas.tenants {
		switch {
		case !owner.exceeding:
		case owner.bucket != nil && owner.bucket.Exceeding(c.uptime(), c.cfg.Quota.Window):
			c.quotas.checkAt = now.Add(c.cfg.Quota.Window)
		default:
			owner.exceeding = false
			c.log("quota-kept", "tenant", string(name))
		}
	}
}

// ownerOf returns the owner of a tenant and the tenant's limit. The owner is nil if this daemon does not know it, or the tenant
// has no quota.
func (c *Core) ownerOf(name model.TenantName) (*tenantOwner, quota.Limit) {
	tenant := c.tenant(name)
	if tenant == nil || !tenant.HasQuota() || !c.meshKeys.loaded {
		return nil, quota.Limit{}
	}
	owner := c.quotas.tenants[name]
	if owner == nil {
		owner = &tenantOwner{}
		c.selectOwner(name, owner)
		c.quotas.tenants[name] = owner
	}
	return owner, quota.NewLimit(tenant, c.cfg.Quota)
}

func (c *Core) tenant(name model.TenantName) *model.Tenant {
	if c.configuration == nil {
		return nil
	}
	for i := range c.configuration.Tenants {
		if t := &c.configuration.Tenants[i]; t.Name == name {
			return t
		}
	}
	return nil
}

// selectOwner selects the owner of a tenant among all daemons.
func (c *Core) selectOwner(name model.TenantName, owner *tenantOwner) {
	before := owner.daemon
	*owner = tenantOwner{exceeding: owner.exceeding}
	for daemon, m := range c.roster {
		if m.ownsTenants() {
			owner.offer(daemon, quota.Weight(name, daemon))
		}
	}
	self := c.cfg.Target.Daemon
	if c.ownsTenants() {
		owner.offer(self, quota.Weight(name, self))
	}
	if owner.daemon == "" {
		c.offerAll(name, owner)
	}
	if owner.daemon == self && before != "" && before != self {
		owner.bucket = quota.NewBucket(c.uptime())
	}
}

// offerAll selects the owner where all daemons have just started.
func (c *Core) offerAll(name model.TenantName, owner *tenantOwner) {
	owner.offer(c.cfg.Target.Daemon, quota.Weight(name, c.cfg.Target.Daemon))
	for daemon, m := range c.roster {
		if !m.unconfirmed && m.target.State == model.TargetReady {
			owner.offer(daemon, quota.Weight(name, daemon))
		}
	}
}

// offer makes a daemon the owner if its weight is the highest, and reports whether it did.
func (t *tenantOwner) offer(daemon model.DaemonID, weight uint64) bool {
	if t.daemon != "" && (weight < t.weight || weight == t.weight && daemon <= t.daemon) {
		return false
	}
	t.daemon, t.weight = daemon, weight
	return true
}

// delayOwnership makes a daemon that has joined own tenants only after ownershipDelay.
func (c *Core) delayOwnership(m *member, daemon model.DaemonID) {
	m.joining = true
	c.quotas.joining = append(c.quotas.joining, joiningDaemon{daemon: daemon})
}

// recordListed records that the platform lists the announcement of a daemon. One whose lease had ended joins anew.
func (c *Core) recordListed(m *member, daemon model.DaemonID) {
	m.unlistedSince = time.Time{}
	if m.lapsed {
		m.lapsed = false
		c.delayOwnership(m, daemon)
	}
}

// ownsTenants reports whether a daemon takes part in the ownership of tenants: it has joined and is not leaving.
func (m *member) ownsTenants() bool {
	return !m.unconfirmed && !m.joining && !m.lapsed && m.target.State == model.TargetReady
}

// ownsTenants reports whether others may count this daemon among the owners.
func (c *Core) ownsTenants() bool {
	return c.quotas.announced && c.quotas.ownsAt.IsZero() && c.settled && c.local.target.State == model.TargetReady
}

// setAnnounced records whether the platform holds the announcement that this daemon's target is ready.
func (c *Core) setAnnounced(now time.Time, announced bool) {
	if c.quotas.announced == announced {
		return
	}
	if announced && c.quotas.unlisted {
		c.quotas.unlisted, c.quotas.ownsAt = false, now.Add(ownershipDelay)
	}
	c.quotas.announced = announced
	c.updateOwners(c.cfg.Target.Daemon)
}

// recordOwnState records a change of the local target's state, after which the platform holds another one. Others remove a daemon whose
// target is gone.
func (c *Core) recordOwnState(now time.Time, before, state model.TargetState) {
	if (before == model.TargetReady) != (state == model.TargetReady) {
		c.setAnnounced(now, false)
		c.updateOwners(c.cfg.Target.Daemon)
	}
	c.quotas.unlisted = c.quotas.unlisted || state == model.TargetGone
}

// recordLeaseEnd records that the platform has removed the announcement, after which others may remove this daemon from their rosters.
func (c *Core) recordLeaseEnd(now time.Time) {
	c.quotas.leaseUntil, c.quotas.unlisted = 0, true
	c.setAnnounced(now, false)
}

// updateOwners updates the owners of tenants after a change of a daemon. It must be called after each change that may concern
// ownsTenants.
func (c *Core) updateOwners(daemon model.DaemonID) {
	self := c.cfg.Target.Daemon
	owns := c.ownsTenants()
	if daemon != self {
		m := c.roster[daemon]
		owns = m != nil && m.ownsTenants()
	}
	changed := c.uptime()
	for name, owner := range c.quotas.tenants {
		switch {
		case owner.daemon == daemon && !owns:
			c.selectOwner(name, owner)
		case owner.daemon == self && !c.ownsTenants():
			// This daemon owned the tenant because it knew no other.
			c.selectOwner(name, owner)
		case owns && owner.daemon != daemon && owner.offer(daemon, quota.Weight(name, daemon)):
			owner.bucket = nil
			if daemon == self {
				owner.bucket = quota.NewBucket(changed)
			}
		}
	}
	c.quotas.changedAt = changed
}

// resetOwnership empties the buckets of this daemon, because others may have owned its tenants.
func (c *Core) resetOwnership() {
	c.quotas.changedAt = c.uptime()
	for _, owner := range c.quotas.tenants {
		owner.bucket = nil
	}
}

// extendLease records that the lease was granted or renewed by a call that was sent at an uptime. ttl is its new lifetime, 0
// if the platform named none.
func (c *Core) extendLease(sent, ttl time.Duration) {
	if ttl > 0 {
		c.quotas.leaseTTL = ttl
	}
	if c.uptime() >= c.quotas.leaseUntil {
		c.resetOwnership()
	}
	c.quotas.leaseUntil = sent + c.quotas.leaseTTL
}

// quotaShare returns the requests of a tenant that this daemon may execute in a window without the owner. It has none as long as it
// does not know how many daemons there are.
func (c *Core) quotaShare(name model.TenantName) int {
	tenant := c.tenant(name)
	if tenant == nil || !tenant.HasQuota() || !c.settled {
		return 0
	}
	position, daemons := c.rank()
	return quota.NewLimit(tenant, c.cfg.Quota).FallbackShare(name, position, daemons)
}

// dropRemovedTenants drops the owners of tenants that have no quota any more. If they get one again, their buckets start empty.
func (c *Core) dropRemovedTenants() {
	before := len(c.quotas.tenants)
	maps.DeleteFunc(c.quotas.tenants, func(name model.TenantName, _ *tenantOwner) bool {
		tenant := c.tenant(name)
		return tenant == nil || !tenant.HasQuota()
	})
	if len(c.quotas.tenants) != before {
		c.quotas.changedAt = c.uptime()
	}
}

func (q *quotas) nextWake() time.Time {
	next := earliest(q.checkAt, q.ownsAt)
	for _, j := range q.joining {
		next = earliest(next, j.at)
	}
	for _, asked := range q.asked {
		if !asked.answered {
			return earliest(next, asked.deadline)
		}
	}
	return next
}
