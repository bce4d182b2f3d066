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

// askedQuota is a request of a traffic goroutine that was sent to the owner.
type askedQuota struct {
	token    effect.Token
	tenant   model.TenantName
	deadline time.Time
	answered bool
}

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
