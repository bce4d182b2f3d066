package catalog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/store"
)

const (
	// listBackoffBase and listBackoffMax bound the backoff after a failed list of a prefix. A change must be in force 2 s
	// after an outage of the platform, so the longest backoff leaves time for a list.
	listBackoffBase = 100 * time.Millisecond
	listBackoffMax  = 800 * time.Millisecond
	// loadedListBackoff is the backoff of a daemon that has loaded all keys and does not watch the prefix: its peers send it
	// the changes.
	loadedListBackoff = 4 * time.Second
	// maxTombstones bounds the tombstones, which keep delayed copies of removed entries from being taken again. The older half
	// is dropped when it is reached.
	maxTombstones = 2048
)

// keyReplica is the local replica of all keys below one prefix of the platform's store. Lists from the platform are
// authoritative; entries from watches and peers are merged by revision.
type keyReplica struct {
	prefix string
	// applyEntry is called with each new entry, and with nil for a removal.
	applyEntry func(now time.Time, key string, e *store.Entry)
	entries    map[string]store.Entry
	// tombstones holds the revisions at which keys were removed.
	tombstones map[string]int64
	// revision is the highest store revision seen below the prefix.
	revision int64
	// era is the number of the era of the store to which the entries, tombstones and revisions belong. renewing is set while they are
	// replaced by those of a new one.
	era      uint64
	renewing bool
	// loaded says that all keys have been read once, from the platform or from a peer that had loaded them.
	loaded bool
	// fetched says that this process has read all keys from the platform.
	fetched bool
	// listed says that the last list succeeded and no other one has been scheduled since.
	listed       bool
	listing      bool
	watching     bool
	retryAt      time.Time
	listFailures int
	// unavailableSince is the time of the first failed list since the platform last answered; zero while it answers.
	unavailableSince time.Time
}

func newKeyReplica(prefix string, apply func(time.Time, string, *store.Entry)) keyReplica {
	return keyReplica{prefix: prefix, applyEntry: apply, entries: map[string]store.Entry{}, tombstones: map[string]int64{}}
}

// isEmpty reports whether nothing is known of the keys.
func (k *keyReplica) isEmpty() bool { return !k.loaded && len(k.entries)+len(k.tombstones) == 0 }

// nextWake returns when startDueList must run next; zero means never.
func (k *keyReplica) nextWake() time.Time {
	switch {
	case k.listing || k.listed:
		return time.Time{}
	case k.retryAt.IsZero():
		return time.Unix(0, 1)
	}
	return k.retryAt
}

// scheduleList schedules a list of the prefix.
func (k *keyReplica) scheduleList(at time.Time) {
	k.listed = false
	k.retryAt = at
}

// startDueList lists the prefix if a list is scheduled and due.
func (c *Core) startDueList(now time.Time, k *keyReplica) {
	if k.listing || k.listed || now.Before(k.retryAt) {
		return
	}
	k.listing = true
	confirm := c.confirmList(k)
	c.callStore(store.Call{Kind: store.KindList, Priority: store.PriorityLease, Reason: "catalog", Key: k.prefix},
		func(now time.Time, r store.Result) {
			c.handleList(now, k, r)
			confirm(r)
		})
}

func (c *Core) handleList(now time.Time, k *keyReplica, r store.Result) {
	k.listing = false
	if r.Outcome != store.Applied {
		c.recordUnavailable(now, k, r)
		wait := min(listBackoffBase<<min(k.listFailures, 8), listBackoffMax)
		if k.loaded && !k.watching && c.isCurrent(k) {
			wait = loadedListBackoff
		}
		k.scheduleList(now.Add(c.jitter(wait)))
		k.listFailures++
		return
	}
	c.recordAvailable(now, k)
	k.listFailures = 0
	first := !k.loaded
	k.listed, k.loaded, k.fetched = true, true, true
	c.applyList(now, k, r, !first)
	if first {
		c.dirty = true
	}
	if k.watching {
		c.emit(effect.Watch{Key: k.prefix, After: k.revision})
	}
	if k == &c.operatorKeys && !first {
		// A list of all the operator's keys is a freshness check too.
		c.recordCheck(now, c.freshness.lastCheck+1)
	}
}

// relist lists the keys of a replica and corrects the replica.
func (c *Core) relist(k *keyReplica) {
	confirm := c.confirmList(k)
	c.callStore(store.Call{Kind: store.KindList, Priority: store.PriorityRead, Reason: "verify", Key: k.prefix},
		func(now time.Time, r store.Result) {
			if r.Outcome != store.Applied {
				c.recordUnavailable(now, k, r)
				return
			}
			c.recordAvailable(now, k)
			if c.applyList(now, k, r, true) && k.watching {
				c.restartWatch(k)
			}
			confirm(r)
		})
}

// recordUnavailable logs the first failed list of an outage.
func (c *Core) recordUnavailable(now time.Time, k *keyReplica, r store.Result) {
	if k.unavailableSince.IsZero() {
		k.unavailableSince = now
		c.log("platform-lost", "prefix", k.prefix, "outcome", string(r.Outcome), "detail", r.Detail)
	}
}

// recordAvailable logs the end of an outage.
func (c *Core) recordAvailable(now time.Time, k *keyReplica) {
	if !k.unavailableSince.IsZero() {
		c.log("platform-regained", "prefix", k.prefix, "lost_ms", formatMillis(now.Sub(k.unavailableSince)))
		k.unavailableSince = time.Time{}
	}
}

// applyList merges a complete list of the prefix: it adds newer entries and removes those that the list lacks. If gossip is
// set, the differences are gossiped. It reports whether anything changed.
func (c *Core) applyList(now time.Time, k *keyReplica, r store.Result, gossip bool) bool {
	if !c.isCurrent(k) {
		c.renewFromList(now, k, r)
		return true
	}
	changed := false
	present := make(map[string]bool, len(r.Entries))
	for i := range r.Entries {
		present[r.Entries[i].Key] = true
		changed = c.mergeEntry(now, k, r.Entries[i], gossip) || changed
	}
	for i := range r.Skipped {
		// The entry that was read last holds until its key can be read again.
		present[r.Skipped[i].Key] = true
		c.logUnreadable(&r.Skipped[i])
	}
	for key, e := range k.entries {
		if !present[key] && e.ModRevision <= r.Revision {
			changed = c.mergeRemoval(now, k, key, r.Revision, gossip) || changed
		}
	}
	k.revision = max(k.revision, r.Revision)
	return changed
}

// renewFromList replaces a replica of an earlier era by a complete list of the present one.
func (c *Core) renewFromList(now time.Time, k *keyReplica, r store.Result) {
	skipped := make(map[string]bool, len(r.Skipped))
	for i := range r.Skipped {
		skipped[r.Skipped[i].Key] = true
		c.logUnreadable(&r.Skipped[i])
	}
	c.renew(now, k, r.Entries, func(key string) bool { return skipped[key] })
	k.revision = max(k.revision, r.Revision)
}

// logUnreadable logs and counts an entry that could not be read.
func (c *Core) logUnreadable(s *store.Skipped) {
	c.log("entry-unreadable", "key", truncate(s.Key), "detail", truncate(s.Detail))
	c.count("sniperail_entries_refused", "unreadable")
}

// mergeEntry stores an entry unless the same or a later revision of its key is known. It reports whether the entry was
// stored.
func (c *Core) mergeEntry(now time.Time, k *keyReplica, e store.Entry, gossip bool) bool {
	if known, ok := k.entries[e.Key]; ok && known.ModRevision >= e.ModRevision || k.tombstones[e.Key] >= e.ModRevision {
		return false
	}
	k.entries[e.Key] = e
	k.revision = max(k.revision, e.ModRevision)
	k.applyEntry(now, e.Key, &e)
	if gossip && e.Key != c.cfg.Operator.KeyConfiguration() {
		c.pendingChanges = append(c.pendingChanges, message.Change{Entry: e})
	}
	return true
}

// mergeRemoval records the removal of a key unless a later revision of the key is known. It reports whether an entry was
// removed.
func (c *Core) mergeRemoval(now time.Time, k *keyReplica, key string, revision int64, gossip bool) bool {
	known, ok := k.entries[key]
	if ok && known.ModRevision > revision || k.tombstones[key] >= revision {
		return false
	}
	if len(k.tombstones) >= maxTombstones {
		k.dropOldTombstones()
	}
	k.tombstones[key] = revision
	k.revision = max(k.revision, revision)
	if !ok {
		// The entry itself is unknown, but may still arrive from a slower peer; the tombstone then rejects it.
		return false
	}
	delete(k.entries, key)
	k.applyEntry(now, key, nil)
	if gossip {
		c.pendingChanges = append(c.pendingChanges, message.Change{Entry: store.Entry{Key: key, ModRevision: revision}, Removed: true})
	}
	return true
}

// dropOldTombstones drops the older half of the tombstones: copies of entries that were removed recently are the most likely to
// arrive late.
func (k *keyReplica) dropOldTombstones() {
	revisions := slices.Sorted(maps.Values(k.tombstones))
	oldestKept := revisions[len(revisions)/2]
	maps.DeleteFunc(k.tombstones, func(_ string, revision int64) bool { return revision < oldestKept })
}

// forget drops the entry of a key, so that the next entry for the key is stored whatever its revision.
func (k *keyReplica) forget(key string) { delete(k.entries, key) }

// handleKeyChanged processes a change seen by a watch, or the loss of the watch.
func (c *Core) handleKeyChanged(now time.Time, ev effect.KeyChanged) {
	k := c.replicaOf(ev.Key)
	// A watch that has just been replaced may still deliver events of an earlier era.
	c.observeEra(now, ev.Event.Era, eraUnknown)
	switch e := &ev.Event; {
	case !k.watching, e.Era != "" && e.Era != c.era.Name:
	case e.Lost:
		c.log("watch-lost", "prefix", k.prefix, "revision", fmt.Sprint(k.revision), "detail", e.Detail)
		k.scheduleList(now)
	case e.Skipped != nil:
		c.logUnreadable(e.Skipped)
	case e.Entry.Key == "":
		// The event only names the era.
	case e.Deleted:
		c.mergeRemoval(now, k, e.Entry.Key, e.Entry.ModRevision, true)
	default:
		c.mergeEntry(now, k, e.Entry, true)
	}
}

// replicaOf returns the replica that holds a key.
func (c *Core) replicaOf(key string) *keyReplica {
	if strings.HasPrefix(key, store.PrefixMesh) {
		return &c.meshKeys
	}
	return &c.operatorKeys
}

func formatMillis(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) }
