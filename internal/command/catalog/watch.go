package catalog

import (
	"slices"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/effect"
)

const (
	// watcherCount is the number of daemons that watch the operator's keys. They gossip changes to all other daemons, so that
	// the number of calls to the platform does not grow with the number of daemons. There are several, because some of them
	// may have just failed.
	watcherCount = 3
	// settleDelay is the time after its first list for which a daemon that starts for the first time neither watches nor checks.
	// Until daemons that start together know each other, each of them would consider itself one of only a few daemons.
	settleDelay = 2500 * time.Millisecond
	// settleQuiet is how long such a daemon must have learned of no other one, and maxSettleDelay the longest time for which it
	// waits: the targets of hundreds of daemons report over several seconds.
	settleQuiet    = 700 * time.Millisecond
	maxSettleDelay = 5 * time.Second
)

// rank returns the position of this daemon among the sorted names of all known daemons, and their number.
func (c *Core) rank() (position, daemons int) {
	position, _ = slices.BinarySearch(c.members, c.cfg.Target.Daemon)
	return position, len(c.members) + 1
}

// updateOperatorWatch starts or ends the watch on the operator's keys, depending on whether this daemon is one of the
// watchers. The watchers are spaced evenly over the sorted names, and so over the data centres.
func (c *Core) updateOperatorWatch() {
	k := &c.operatorKeys
	if !c.settled || k.listing || !c.isCurrent(k) {
		return
	}
	rank, daemons := c.rank()
	wanted := false
	for i := range watcherCount {
		wanted = wanted || rank == i*daemons/watcherCount
	}
	if wanted == k.watching {
		return
	}
	k.watching = wanted
	if wanted {
		c.log("watch-started", "rank", strconv.Itoa(rank), "daemons", strconv.Itoa(daemons), "revision", strconv.FormatInt(k.revision, 10))
		c.emit(effect.Watch{Key: k.prefix, After: k.revision})
	} else {
		c.log("watch-ended", "rank", strconv.Itoa(rank), "daemons", strconv.Itoa(daemons))
		c.emit(effect.Unwatch{Key: k.prefix})
	}
}

// updateSettled records whether this daemon can be expected to know the others. A daemon that restarts finds them on the
// platform and is settled at once. Any other one waits, since all may be starting for the first time; if they do, it has
// waited before it listed the keys.
func (c *Core) updateSettled(now time.Time) {
	if c.settled || !c.operatorKeys.loaded || !c.meshKeys.loaded {
		return
	}
	if c.loadedAt.IsZero() {
		c.loadedAt, c.settledAt = now, now.Add(settleDelay)
		if c.cfg.FirstStart {
			c.settledAt, c.discovered = now.Add(settleQuiet), true
		}
		if c.local.restarted {
			c.settle()
		}
		return
	}
	if now.Before(c.settledAt) {
		return
	}
	if len(c.members) == 0 && !c.discovered {
		// The daemons that start together had announced nothing when this one listed the keys.
		c.discovered = true
		c.settledAt = now.Add(settleQuiet)
		c.relist(&c.meshKeys)
		return
	}
	c.settle()
}

func (c *Core) settle() {
	c.settled = true
	c.resetOwnership()
	c.updateOwners(c.cfg.Target.Daemon)
	c.log("settled", "daemons", strconv.Itoa(len(c.members)+1))
}

// delaySettled delays the end of the start of a daemon that has learned of another one, which may not be the last.
func (c *Core) delaySettled(now time.Time) {
	if c.loadedAt.IsZero() {
		return
	}
	until := now.Add(settleQuiet)
	if latest := c.loadedAt.Add(maxSettleDelay); until.After(latest) {
		until = latest
	}
	if until.After(c.settledAt) {
		c.settledAt = until
	}
}

// restartWatch restarts a watch that did not report a change.
func (c *Core) restartWatch(k *keyReplica) {
	c.log("watch-behind", "prefix", k.prefix, "revision", strconv.FormatInt(k.revision, 10))
	c.emit(effect.Watch{Key: k.prefix, After: k.revision})
}
