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
	// watchers is how many daemons watch what the operator writes. They pass changes on to all others, so that the calls
	// to the platform do not grow with the number of daemons; several, because some may just have been lost.
	watchers = 3
	// verifyTurn is the time between two daemons' lists of what the operator wrote. A watch can stay silent although
	// something changed, and a change must be in force two seconds later.
	verifyTurn = 700 * time.Millisecond
	// settleTime is how long after its first list a daemon waits before it watches or takes turns: until all daemons that
	// start together know each other, each would take itself for one of few.
	settleTime = 2500 * time.Millisecond
	// meshTurns is how many turns pass between lists of what daemons share. They show the announcements that lapsed; all
	// else is spread by the daemon that wrote it.
	meshTurns = 4
)

// daemons returns the names of all known daemons, sorted.
func (c *Core) daemons() []model.DaemonID {
	daemons := append(slices.Collect(maps.Keys(c.roster)), c.cfg.Target.Daemon)
	slices.Sort(daemons)
	return daemons
}

// watchOperator watches what the operator writes if this daemon is one of the watchers, which are spread evenly over the
// sorted names and so over the data centres.
func (c *Core) watchOperator(now time.Time) {
	s := &c.operator
	if !c.settled(now) || s.listing {
		return
	}
	daemons := c.daemons()
	rank := slices.Index(daemons, c.cfg.Target.Daemon)
	wanted := false
	for i := range watchers {
		wanted = wanted || rank == i*len(daemons)/watchers
	}
	if wanted == s.watching {
		return
	}
	s.watching = wanted
	if wanted {
		c.emit(effect.Watch{Key: s.prefix, After: s.revision})
	} else {
		c.emit(effect.Unwatch{Key: s.prefix})
	}
}

// verifySources lists the platform's keys when it is this daemon's turn. Daemons take turns by the rank of their names and
// the time of day.
func (c *Core) verifySources(now time.Time) {
	if !c.settled(now) {
		return
	}
	if c.verifyAt.IsZero() {
		c.verifyAt, c.verifyTurnNumber = c.nextTurn(now)
	}
	if now.Before(c.verifyAt) {
		return
	}
	turn := c.verifyTurnNumber
	c.verifyAt, c.verifyTurnNumber = c.nextTurn(now)
	c.verify(&c.operator)
	if turn%meshTurns == 0 {
		c.verify(&c.mesh)
	}
}

// settled reports whether this daemon has known the others for some time.
func (c *Core) settled(now time.Time) bool {
	if !c.operator.loaded || !c.mesh.loaded {
		return false
	}
	if c.settleAt.IsZero() {
		c.settleAt = now.Add(settleTime)
	}
	return !now.Before(c.settleAt)
}

// nextTurn returns the next time after now at which it is this daemon's turn, and the number of the turn.
func (c *Core) nextTurn(now time.Time) (time.Time, int64) {
	daemons := c.daemons()
	rank := int64(slices.Index(daemons, c.cfg.Target.Daemon))
	turns := int64(len(daemons))
	turn := now.UnixNano() / int64(verifyTurn)
	ahead := (rank - turn%turns + turns) % turns
	if ahead == 0 {
		ahead = turns
	}
	return now.Add(time.Duration((turn+ahead)*int64(verifyTurn) - now.UnixNano())), turn + ahead
}

func (c *Core) verify(s *source) {
	c.call(store.Call{Kind: store.KindList, Priority: store.PriorityRead, Reason: "verify", Key: s.prefix},
		func(now time.Time, r store.Result) {
			if r.Outcome != store.Applied {
				c.platformLost(now, s, r)
				return
			}
			c.platformAnswered(now, s)
			if c.take(now, s, r, true) && s.watching {
				c.log("watch-behind", "prefix", s.prefix, "revision", strconv.FormatInt(r.Revision, 10))
				c.emit(effect.Watch{Key: s.prefix, After: r.Revision})
			}
		})
}
