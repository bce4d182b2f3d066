package catalog

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

const (
	// watcherCount is the number of daemons that watch the operator's keys. They gossip changes to all other daemons, so that
	// the number of calls to the platform does not grow with the number of daemons. There are several, because some of them
	// may have just failed.
	watcherCount = 3
	// turnDuration is the duration of a turn: in each turn, one daemon lists the operator's keys. A watch may miss a change
	// without reporting an error, and a change must be in force two seconds after it was written.
	turnDuration = 700 * time.Millisecond
	// settleDelay is the time after its first list for which a daemon neither watches nor takes turns. Until daemons that
	// start together know each other, each of them would consider itself one of only a few daemons.
	settleDelay = 2500 * time.Millisecond
	// meshListTurns is the number of turns between two lists of the keys that the daemons share. These lists are needed only
	// to find expired announcements; all other changes are gossiped by the daemon that wrote them.
	meshListTurns = 4
)

// sortedDaemons returns the names of all known daemons, this one included, in sorted order.
func (c *Core) sortedDaemons() []model.DaemonID {
	daemons := append(slices.Collect(maps.Keys(c.roster)), c.cfg.Target.Daemon)
	slices.Sort(daemons)
	return daemons
}

// updateOperatorWatch starts or ends the watch on the operator's keys, depending on whether this daemon is one of the
// watchers. The watchers are spaced evenly over the sorted names, and so over the data centres.
func (c *Core) updateOperatorWatch(now time.Time) {
	k := &c.operatorKeys
	if !c.isSettled(now) || k.listing {
		return
	}
	daemons := c.sortedDaemons()
	rank := slices.Index(daemons, c.cfg.Target.Daemon)
	wanted := false
	for i := range watcherCount {
		wanted = wanted || rank == i*len(daemons)/watcherCount
	}
	if wanted == k.watching {
		return
	}
	k.watching = wanted
	if wanted {
		c.log("watch-started", "rank", strconv.Itoa(rank), "daemons", strconv.Itoa(len(daemons)), "revision", strconv.FormatInt(k.revision, 10))
		c.emit(effect.Watch{Key: k.prefix, After: k.revision})
	} else {
		c.log("watch-ended", "rank", strconv.Itoa(rank), "daemons", strconv.Itoa(len(daemons)))
		c.emit(effect.Unwatch{Key: k.prefix})
	}
}

// listOnTurn lists the platform's keys when it is this daemon's turn. The turns are derived from the rank of the daemon's
// name and the clock.
func (c *Core) listOnTurn(now time.Time) {
	if !c.isSettled(now) {
		return
	}
	if c.nextTurnAt.IsZero() {
		c.nextTurnAt, c.nextTurnNumber = c.nextTurn(now)
	}
	if now.Before(c.nextTurnAt) {
		return
	}
	turn := c.nextTurnNumber
	c.nextTurnAt, c.nextTurnNumber = c.nextTurn(now)
	c.relist(&c.operatorKeys)
	if turn%meshListTurns == 0 {
		c.relist(&c.meshKeys)
	}
}

// isSettled reports whether settleDelay has passed since this daemon loaded the platform's keys.
func (c *Core) isSettled(now time.Time) bool {
	if !c.operatorKeys.loaded || !c.meshKeys.loaded {
		return false
	}
	if c.settledAt.IsZero() {
		c.settledAt = now.Add(settleDelay)
	}
	return !now.Before(c.settledAt)
}

// nextTurn returns the start of this daemon's next turn after now, and the number of that turn.
func (c *Core) nextTurn(now time.Time) (time.Time, int64) {
	daemons := c.sortedDaemons()
	rank := int64(slices.Index(daemons, c.cfg.Target.Daemon))
	turns := int64(len(daemons))
	turn := now.UnixNano() / int64(turnDuration)
	ahead := (rank - turn%turns + turns) % turns
	if ahead == 0 {
		ahead = turns
	}
	return now.Add(time.Duration((turn+ahead)*int64(turnDuration) - now.UnixNano())), turn + ahead
}

// relist lists the keys of a replica and corrects the replica; if it was outdated, the watch is restarted.
func (c *Core) relist(k *keyReplica) {
	c.callStore(store.Call{Kind: store.KindList, Priority: store.PriorityRead, Reason: "verify", Key: k.prefix},
		func(now time.Time, r store.Result) {
			if r.Outcome != store.Applied {
				c.recordUnavailable(now, k, r)
				return
			}
			c.recordAvailable(now, k)
			if c.applyList(now, k, r, true) && k.watching {
				c.log("watch-behind", "prefix", k.prefix, "revision", strconv.FormatInt(r.Revision, 10))
				c.emit(effect.Watch{Key: k.prefix, After: r.Revision})
			}
		})
}
