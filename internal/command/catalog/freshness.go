package catalog

import (
	"slices"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// A change must be in force two seconds after it was written. The sum of checkInterval, backupDelay, backupJitter and
// checkTimeout stays below that, so that also a daemon that learns of no check in time reads the change itself.
const (
	// checkInterval is the time from one freshness check to the next. The daemons take turns in the order of their names.
	checkInterval = 700 * time.Millisecond
	// backupDelay is how much later a daemon checks whose turn it is not. It covers a list of the keys and the gossip that
	// follows, so that the backups check only if the check in turn fails to appear.
	backupDelay = 250 * time.Millisecond
	// backupJitter spreads the backups: the first one to check relieves the others.
	backupJitter = 350 * time.Millisecond
	// checkTimeout is the time after which an unanswered check is repeated, since its connection may have gone silent. The
	// platform normally answers within milliseconds.
	checkTimeout = 500 * time.Millisecond
	// checkBackoffBase and checkBackoffMax bound the backoff after failed checks. The daemons that watch the keys repeat their
	// lists sooner, and announce a round when the platform answers again.
	checkBackoffBase = 200 * time.Millisecond
	checkBackoffMax  = 3 * time.Second
	// meshListRounds is the number of rounds between two lists of the keys that the daemons share. These lists are needed only
	// to find expired announcements; all other changes are gossiped by the daemon that wrote them.
	meshListRounds = 4
)

// freshness bounds the age of what this daemon knows of the operator's keys. In each round, one daemon lists the keys and
// announces the round to the others. A daemon that learns of no new round lists the keys itself, whatever became of the
// daemon whose turn it was.
type freshness struct {
	// round is the highest round that this daemon has completed or learned of.
	round uint64
	// checkAt is when this daemon lists the keys unless it learns of a new round before; zero until the first check is due.
	checkAt time.Time
	// pendingUntil is when the check in flight counts as failed; zero if there is none.
	pendingUntil time.Time
	// checks counts the checks of this daemon, and failures those that failed since the last success.
	checks   uint64
	failures int
	// announcePending says that the round must be gossiped at the end of this event.
	announcePending bool
}

// nextWake returns when startDueCheck must run next; zero means never.
func (f *freshness) nextWake() time.Time {
	if !f.pendingUntil.IsZero() {
		return f.pendingUntil
	}
	return f.checkAt
}

// startDueCheck lists the operator's keys if a check is due.
func (c *Core) startDueCheck(now time.Time) {
	f := &c.freshness
	if !c.canCheck() {
		return
	}
	if f.checkAt.IsZero() {
		c.scheduleCheck(now)
	}
	if !f.pendingUntil.IsZero() && !now.Before(f.pendingUntil) {
		c.handleFailedCheck(now)
	}
	if !f.pendingUntil.IsZero() || now.Before(f.checkAt) {
		return
	}
	f.checks++
	check := f.checks
	f.pendingUntil = now.Add(checkTimeout)
	c.relist(&c.operatorKeys, func(now time.Time, applied bool) {
		switch {
		case check != f.checks || f.pendingUntil.IsZero():
			// The check has timed out, or a peer has announced a round meanwhile.
		case applied:
			c.handleCheck(now)
		default:
			c.handleFailedCheck(now)
		}
	})
}

// canCheck reports whether this daemon takes part in the checks. A daemon that knows no other one waits until it is settled:
// all daemons that start for the first time would check otherwise.
func (c *Core) canCheck() bool {
	return c.operatorKeys.loaded && c.meshKeys.loaded && (c.settled || len(c.roster) > 0)
}

// handleCheck begins a new round after a list of the operator's keys.
func (c *Core) handleCheck(now time.Time) {
	c.freshness.failures = 0
	c.beginRound(now, c.freshness.round+1)
	if c.freshness.round%meshListRounds == 0 {
		c.relist(&c.meshKeys, func(time.Time, bool) {})
	}
}

func (c *Core) handleFailedCheck(now time.Time) {
	f := &c.freshness
	f.pendingUntil = time.Time{}
	f.checkAt = now.Add(c.jitter(min(checkBackoffBase<<min(f.failures, 8), checkBackoffMax)))
	f.failures++
}

// handleRound processes a round that a peer has announced, with the number of the configuration at that time. A daemon that
// does not have this configuration yet ignores the round: it must not pass the round on with an older number.
func (c *Core) handleRound(now time.Time, round uint64, number model.Number) {
	if round > c.freshness.round && c.configurationNumber() >= number {
		c.beginRound(now, round)
	}
}

// beginRound records a new round, which is gossiped at the end of this event.
func (c *Core) beginRound(now time.Time, round uint64) {
	f := &c.freshness
	f.round, f.announcePending = round, true
	f.pendingUntil = time.Time{}
	c.scheduleCheck(now)
}

// scheduleCheck schedules this daemon's check of the next round.
func (c *Core) scheduleCheck(now time.Time) {
	f := &c.freshness
	f.checkAt = now.Add(checkInterval)
	daemons := c.sortedDaemons()
	if rank := slices.Index(daemons, c.cfg.Target.Daemon); f.round%uint64(len(daemons)) != uint64(rank) {
		f.checkAt = f.checkAt.Add(backupDelay + time.Duration(c.cfg.Rand.Int64N(int64(backupJitter))))
	}
}

// relist lists the keys of a replica and corrects the replica; if it was outdated, the watch is restarted. done is called with
// whether the list was applied.
func (c *Core) relist(k *keyReplica, done func(now time.Time, applied bool)) {
	c.callStore(store.Call{Kind: store.KindList, Priority: store.PriorityRead, Reason: "verify", Key: k.prefix},
		func(now time.Time, r store.Result) {
			if r.Outcome != store.Applied {
				c.recordUnavailable(now, k, r)
				done(now, false)
				return
			}
			c.recordAvailable(now, k)
			if c.applyList(now, k, r, true) && k.watching {
				c.log("watch-behind", "prefix", k.prefix, "revision", strconv.FormatInt(r.Revision, 10))
				c.emit(effect.Watch{Key: k.prefix, After: r.Revision})
			}
			done(now, true)
		})
}
