package catalog

import (
	"time"

	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/model"
)

// tenantOwner is the daemon that owns a tenant.
type tenantOwner struct {
	daemon model.DaemonID
	weight uint64
	// bucket is nil unless this daemon owns the tenant.
	bucket *quota.Bucket
	// exceeding says that the log has been told so.
	exceeding bool
}

// joiningDaemon is a daemon that owns no tenants before a time; zero until it is computed.
type joiningDaemon struct {
	daemon model.DaemonID
	at     time.Time
}

// ownershipDelay is the time from the announcement of a daemon until it owns tenants: it must have settled before it can grant tokens.
// Until then the owner before it goes on. The daemon itself waits as long, so that the two do not grant the same tokens.
const ownershipDelay = maxSettleDelay

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

// supersede records which of the daemons with the address of a new member are lost: all but the one that started last. A lost owner
// grants nothing, and its lease would keep its tenants without an owner for as long as it lasts.
func (c *Core) supersede(m *member) {
	for daemon, other := range c.roster {
		if other == m || other.target.PeerAddress != m.target.PeerAddress {
			continue
		}
		if other.target.Incarnation > m.target.Incarnation {
			m.superseded = true
			continue
		}
		other.superseded = true
		c.updateOwners(daemon)
	}
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
	return !m.unconfirmed && !m.superseded && !m.joining && !m.lapsed && m.target.State == model.TargetReady
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
