package catalog

import (
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// A change must be in force two seconds after it was written. The sum of checkInterval, backupDelay, backupJitter and
// checkTimeout stays below that, so that also a daemon that learns of no check in time reads the change itself.
const (
	// checkInterval is the time from one freshness check to the next. The daemons take turns in the order of their names.
	checkInterval = 700 * time.Millisecond
	// backupDelay is how much later a daemon checks if it is not its turn. It covers a check and the gossip that follows, so
	// that the backups check only if the check in turn fails to appear.
	backupDelay = 250 * time.Millisecond
	// backupJitter spreads the backups: the first one to check relieves the others. The firstBackups daemons that follow the one
	// in turn check backupStep apart, and all others after them. If hundreds of daemons drew their delays alike, dozens would
	// check before the announcement of the first check reached them.
	backupJitter = 350 * time.Millisecond
	backupStep   = 40 * time.Millisecond
	firstBackups = 6
	// firstCheckDelay and firstCheckJitter bound the time to the first check of a process, which has just listed the keys and
	// has three seconds from its start to be current. When all daemons restart together, an earlier check would compete with
	// the lists of the others. The daemons of lowest rank check first, as with backups.
	firstCheckDelay  = 1200 * time.Millisecond
	firstCheckJitter = 1200 * time.Millisecond
	// checkTimeout is the time after which an unanswered check is repeated once, since its connection may have gone silent. The
	// platform normally answers within milliseconds.
	checkTimeout = 500 * time.Millisecond
	// checkBackoffPerDaemon times the number of known daemons, within checkBackoffMin and checkBackoffMax, is the limit of the
	// backoff after failed checks. During an outage the calls of all daemons together then do not grow with their number, and
	// the first check that succeeds is announced to all.
	checkBackoffPerDaemon = 150 * time.Millisecond
	checkBackoffMin       = 800 * time.Millisecond
	checkBackoffMax       = 5 * time.Second
	// meshListChecks is the number of checks between two lists of the keys that the daemons share. These lists are needed only
	// to find expired announcements; all other changes are gossiped by the daemon that wrote them.
	meshListChecks = 3
	// operatorListChecks is the number of checks between two lists of the operator's keys, which find what the checks do not
	// compare: removed intents, and those of further services.
	operatorListChecks = 12
)

// freshness bounds the age of what this daemon knows of the operator's keys. In a check, one daemon compares their revisions
// with the platform's and announces the number of the check to the others. A daemon that learns of no new check makes one
// itself, whatever became of the daemon whose turn it was. The comparison returns values only if a revision differs; a list
// would transfer the whole configuration each time, which occupies a slow link for longer than backupDelay.
type freshness struct {
	// lastCheck is the highest number of a check that this daemon has made or learned of.
	lastCheck uint64
	// checkAt is when this daemon makes a check unless it learns of a new one before; zero until the first is scheduled.
	checkAt time.Time
	// pendingUntil is when the check in flight counts as failed; zero if there is none.
	pendingUntil time.Time
	// attempts counts the checks that this daemon has begun, and failures those that failed since the last check of any daemon.
	attempts uint64
	failures int
	// repeated says that the check in flight repeats one that got no answer.
	repeated bool
	// announcePending says that lastCheck must be gossiped at the end of this event.
	announcePending bool
}

// nextWake returns when startDueCheck must run next; zero means never.
func (f *freshness) nextWake() time.Time {
	if !f.pendingUntil.IsZero() {
		return f.pendingUntil
	}
	return f.checkAt
}

// startDueCheck begins a check if one is due, and repeats one that got no answer.
func (c *Core) startDueCheck(now time.Time) {
	f := &c.freshness
	if !c.settled || !c.isCurrent(&c.operatorKeys) {
		return
	}
	if f.checkAt.IsZero() {
		rank, _ := c.rank()
		f.checkAt = now.Add(firstCheckDelay + c.backupWait(rank, firstCheckJitter))
	}
	if now.Before(f.nextWake()) {
		return
	}
	unanswered := !f.pendingUntil.IsZero()
	if unanswered && f.repeated {
		c.handleFailedCheck(now)
		return
	}
	f.repeated = unanswered
	c.beginCheck(now)
}

// beginCheck compares the revisions of the operator's keys with the platform's.
func (c *Core) beginCheck(now time.Time) {
	f := &c.freshness
	f.attempts++
	attempt := f.attempts
	f.pendingUntil = now.Add(checkTimeout)
	compares := c.operatorCompares()
	confirm := c.confirmComparison(compares)
	call := store.Call{Kind: store.KindTxn, Priority: store.PriorityRead, Reason: "verify", Txn: store.Txn{Compares: compares}}
	c.callStore(call, func(now time.Time, r store.Result) {
		answered := c.mergeComparison(now, compares, r)
		confirm(r)
		switch {
		case attempt != f.attempts || f.pendingUntil.IsZero():
			// The check has timed out, or a peer has announced another one meanwhile.
		case answered:
			c.handleSuccessfulCheck(now)
		default:
			c.handleFailedCheck(now)
		}
	})
}

// handleSuccessfulCheck announces the check, and lists the keys whose lists are due with it.
func (c *Core) handleSuccessfulCheck(now time.Time) {
	c.recordCheck(now, c.freshness.lastCheck+1)
	if c.freshness.lastCheck%meshListChecks == 0 {
		c.relist(&c.meshKeys)
	}
	if c.freshness.lastCheck%operatorListChecks == 0 {
		c.relist(&c.operatorKeys)
	}
}

// handleFailedCheck schedules the next check after a backoff: a quarter of the limit, half of it, and then the limit.
func (c *Core) handleFailedCheck(now time.Time) {
	f := &c.freshness
	f.pendingUntil, f.repeated = time.Time{}, false
	limit := min(max(checkBackoffPerDaemon*time.Duration(len(c.roster)+1), checkBackoffMin), checkBackoffMax)
	f.checkAt = now.Add(c.jitter(limit >> max(2-f.failures, 0)))
	f.failures++
}

// handleAnnouncedCheck processes a check that a peer has announced, with the number of the configuration at that time. A
// daemon that does not have this configuration yet ignores the check: it must not pass the check on with an older number. The
// peer is asked for its confirmation, which the check has renewed or is renewing.
func (c *Core) handleAnnouncedCheck(now time.Time, check uint64, number model.Number, from string) {
	if check > c.freshness.lastCheck {
		c.askAnnouncer(from)
	}
	if check > c.freshness.lastCheck && c.configurationNumber() >= number && c.isCurrent(&c.operatorKeys) {
		c.recordCheck(now, check)
	}
}

// recordCheck records a new check, which is gossiped at the end of this event, and schedules the next one.
func (c *Core) recordCheck(now time.Time, check uint64) {
	f := &c.freshness
	f.lastCheck, f.announcePending = check, true
	f.pendingUntil, f.repeated, f.failures = time.Time{}, false, 0
	c.scheduleCheck(now)
}

// scheduleCheck schedules this daemon's next check: sooner if it is its turn.
func (c *Core) scheduleCheck(now time.Time) {
	f := &c.freshness
	f.checkAt = now.Add(checkInterval)
	rank, daemons := c.rank()
	turn := int(f.lastCheck % uint64(daemons))
	if rank != turn {
		f.checkAt = f.checkAt.Add(backupDelay + c.backupWait((rank-turn+daemons)%daemons-1, backupJitter))
	}
}

// backupWait returns the wait, shorter than limit, of the backup with the given position: the first ones wait for a multiple of
// backupStep, the others for a random time after them.
func (c *Core) backupWait(position int, limit time.Duration) time.Duration {
	if position < firstBackups {
		return time.Duration(position) * backupStep
	}
	first := firstBackups * backupStep
	return first + time.Duration(c.cfg.Rand.Int64N(int64(limit-first)))
}
