package catalog

import (
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// lostIntentTTL is the time after a restore for which an intent that the store has lost takes precedence over an older one that the
// store holds again. The operator writes the later one again within moments.
const lostIntentTTL = 10 * time.Second

// intent is an intent of the operator that is in force, or was until the next one for its service.
type intent struct {
	model.Intent
	// window is the time that the operator gave for the move.
	window time.Duration
	// revision is that of the entry in the present era of the store; 0 if the store was restored and lost the entry, until the operator
	// writes it again. lostRevision is the one before the restore.
	revision, lostRevision int64
	// move is the ID of the move that follows the intent.
	move model.PlanID
	// previous is the intent before this one, nil if it is not known. A restored store may hold it again.
	previous *intent
	// replacedLost says that the store had lost previous in a restore when this intent was read: it may be an older one of the copy, and
	// previous may still be written again.
	replacedLost bool
	// keptUntil is the time until which the intent, which is lost, stays in force beside an older one in the store; zero if there is none.
	keptUntil time.Time
}

// isLost reports whether the store lost the entry of an intent in a restore.
func (in *intent) isLost() bool { return in != nil && in.revision == 0 }

// isSame reports whether two intents ask for the same.
func (in *intent) isSame(other *intent) bool {
	return in.Service == other.Service && in.To == other.To && in.window == other.window &&
		in.WatchSeconds == other.WatchSeconds && in.MinCalls == other.MinCalls
}

// forgetIntentRevisions records that the revisions of the intents belong to an earlier era of the store.
func (c *Core) forgetIntentRevisions() {
	for service, in := range c.intents {
		if m := c.moves[service]; m != nil && m.ID == in.move {
			m.IntentRevision = model.LostIntent
		}
		for ; in != nil; in = in.previous {
			if in.revision != 0 {
				in.lostRevision, in.revision = in.revision, 0
			}
		}
	}
}

// applyIntentEntry applies the entry of an intent; e is nil if it was removed. An intent that a restored store has lost stays in force
// until the operator writes another one, and is the same one when it is written again.
func (c *Core) applyIntentEntry(now time.Time, service model.ServiceName, e *store.Entry) {
	known := c.intents[service]
	if e == nil {
		if !known.isLost() {
			delete(c.intents, service)
		}
		return
	}
	decoded, err := c.cfg.Operator.DecodeIntent(e.Value, now)
	if err != nil || decoded.Service != service {
		c.log("intent-refused", c.countRefusedEntry(e, "intent", err)...)
		return
	}
	next := &intent{Intent: decoded, window: decoded.By.Sub(now), revision: e.ModRevision}
	revision := strconv.FormatInt(e.ModRevision, 10)
	switch {
	case known.isLost() && isOlderIntent(known, next):
		known.keptUntil = now.Add(lostIntentTTL)
		c.log("intent-kept", "service", string(service), "version", string(known.To), "stored", string(next.To), "revision", revision)
	case known.isLost() && known.isSame(next):
		c.adoptIntent(known, next.revision)
	case known != nil && known.replacedLost && known.previous.isSame(next):
		c.adoptIntent(known.previous, next.revision)
	default:
		next.move, next.previous, next.replacedLost = c.newMoveID(next), known, known.isLost()
		if m := c.moves[service]; known == nil && m != nil && !m.stored && follows(&m.Rollout, next) {
			// A peer has told of the move before the operator wrote its intent again.
			next.move, m.IntentRevision = m.ID, next.revision
		}
		if known != nil {
			known.previous = nil
		}
		c.intents[service] = next
		c.log("intent", "service", string(service), "version", string(next.To), "revision", revision, "left_ms", formatMillis(next.window))
	}
	if record, ok := c.meshKeys.entries[store.PrefixMoves+string(service)]; ok && c.isCurrent(&c.meshKeys) {
		// The record of the move may have come first.
		c.applyMoveEntry(now, service, &record)
	}
}

// isOlderIntent reports whether a restored store holds the intent before the known one.
func isOlderIntent(known, stored *intent) bool {
	older := known.previous
	return older.isLost() && !known.replacedLost && older.lostRevision == stored.revision && older.isSame(stored) && !known.isSame(stored)
}

// dropKeptIntents puts the stored intents in force where the lost ones have not been written again in time.
func (c *Core) dropKeptIntents(now time.Time) {
	for service, in := range c.intents {
		if in.keptUntil.IsZero() || now.Before(in.keptUntil) {
			continue
		}
		in.keptUntil, in.previous = time.Time{}, nil
		if e, ok := c.operatorKeys.entries[c.cfg.Operator.KeyIntent(service)]; ok && c.isCurrent(&c.operatorKeys) {
			c.dirty = true
			c.applyIntentEntry(now, service, &e)
		}
	}
}

// adoptIntent puts an intent in force that the store holds again under a revision of the present era. Its move goes on.
func (c *Core) adoptIntent(in *intent, revision int64) {
	in.revision, in.keptUntil = revision, time.Time{}
	c.intents[in.Service] = in
	m := c.moves[in.Service]
	if m != nil && m.ID == in.move {
		m.IntentRevision = revision
	}
	if revision == in.lostRevision {
		return // the store had not lost it
	}
	in.previous, in.replacedLost = nil, false
	if m != nil && m.ID == in.move {
		m.stored = false
	}
	c.log("intent-restored", "service", string(in.Service), "version", string(in.To), "move", string(in.move),
		"revision", strconv.FormatInt(revision, 10))
}

// newMoveID returns the ID of the move for a new intent. It contains the revision, which tells two intents for the same version apart,
// and the era, since a restored store gives revisions out again.
func (c *Core) newMoveID(in *intent) model.PlanID {
	id := string(in.Service) + "@"
	if c.era.Number > 0 {
		id += strconv.FormatUint(c.era.Number, 10) + "."
	}
	return model.PlanID(id + strconv.FormatInt(in.revision, 10))
}
