package catalog

import (
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
)

// rank returns the position of this daemon among the sorted names of all known daemons, and their number.
func (c *Core) rank() (position, daemons int) {
	for daemon := range c.roster {
		if daemon < c.cfg.Target.Daemon {
			position++
		}
	}
	return position, len(c.roster) + 1
}

// updateOperatorWatch starts or ends the watch on the operator's keys, depending on whether this daemon is one of the
// watchers. The watchers are spaced evenly over the sorted names, and so over the data centres.
func (c *Core) updateOperatorWatch() {
	k := &c.operatorKeys
	if !c.settled || k.listing {
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
// platform and is settled at once. Any other one waits for settleDelay, since all may be starting for the first time.
func (c *Core) updateSettled(now time.Time) {
	if c.settled || !c.operatorKeys.loaded || !c.meshKeys.loaded {
		return
	}
	if c.settledAt.IsZero() {
		c.settledAt = now.Add(settleDelay)
		c.settled = c.local.restarted
		return
	}
	c.settled = !now.Before(c.settledAt)
}

// restartWatch restarts a watch that did not report a change.
func (c *Core) restartWatch(k *keyReplica) {
	c.log("watch-behind", "prefix", k.prefix, "revision", strconv.FormatInt(k.revision, 10))
	c.emit(effect.Watch{Key: k.prefix, After: k.revision})
}
