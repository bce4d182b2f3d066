package catalog

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// A replica holds the entries of one era of the store, and only entries, revisions and leases of the same era are compared. When the
// store has been restored from an older copy, each daemon enters the new era and replaces its replicas. What daemons know beyond
// them (the configuration, orders, moves, targets that have left) stays in force where it is later than what the store holds, and is
// written again by its owner.

const (
	// renewListDelay is the longest delay before a daemon that learned from the store itself that it was restored lists the keys.
	// Daemons that hear of it from a peer meanwhile get the keys there.
	renewListDelay = 200 * time.Millisecond
	// renewPeerTimeout is the longest time for which a daemon that learned of it from a peer waits for the keys of a peer before it
	// lists them. It waits for half of that at least, in which a query to the peer and one to another are answered.
	renewPeerTimeout = 2 * time.Second
	// announceSpread is the time over which the daemons write their announcements again. They must be back two seconds after the
	// store.
	announceSpread = time.Second
)

// eraUnknown is the sentIn of a watch event: it is not known whether the watch began in the present era.
const eraUnknown = math.MaxUint64

// observeEra processes the era that a response of the store names. sentIn is the era that was known when the call was sent.
func (c *Core) observeEra(now time.Time, name store.EraName, sentIn uint64) {
	if name == "" || name == c.era.Name {
		return
	}
	number, err := strconv.ParseUint(string(name), 10, 64)
	if err != nil || c.era.Name != "" && number <= c.era.Number {
		if sentIn != c.era.Number {
			return // a late response of an earlier era
		}
		c.log("store-era-unexpected", "era", truncate(string(name)), "previous", string(c.era.Name))
		number = c.era.Number + 1
	}
	c.enterEra(now, store.Era{Number: number, Name: name}, "platform", renewListDelay)
}

// observePeerEra processes the era of the keys that a peer holds, and asks the peer for them if this daemon holds those of an earlier
// era.
func (c *Core) observePeerEra(now time.Time, era store.Era, address string) {
	if era.Number > c.era.Number {
		c.enterEra(now, era, "peer", renewPeerTimeout)
	}
	if era.Number < c.era.Number || c.allCurrent() || c.renewQueryPending {
		return
	}
	c.renewQueryPending = true
	c.queryCatalog(address, c.configurationNumber(), func() { c.renewQueryPending = false })
}

// enterEra ends the use of all revisions and leases of the era before. The keys are listed within listDelay unless a peer sends them
// first.
func (c *Core) enterEra(now time.Time, era store.Era, source string, listDelay time.Duration) {
	previous := c.era
	c.era = era
	c.doubtStore(previous)
	if previous == (store.Era{}) && c.operatorKeys.isEmpty() && c.meshKeys.isEmpty() {
		c.operatorKeys.era, c.meshKeys.era = era.Number, era.Number
		return
	}
	c.log("store-restored", "era", string(era.Name), "previous", string(previous.Name), "source", source)
	c.count("sniperail_store_restores", source)
	c.pendingChanges, c.configurationRevision = nil, 0
	for _, k := range []*keyReplica{&c.operatorKeys, &c.meshKeys} {
		if k.watching {
			k.watching = false
			c.emit(effect.Unwatch{Key: k.prefix})
		}
		k.scheduleList(now.Add(c.jitter(listDelay)))
	}
	c.freshness.pendingUntil = time.Time{}
	c.local.lease, c.local.storedSequence = 0, 0
	c.local.retryAt = now.Add(time.Duration(c.cfg.Rand.Int64N(int64(announceSpread))))
	c.driver.lease, c.driver.campaignAt = 0, now.Add(c.campaignDelay())
}

// isCurrent reports whether a replica holds the entries of the present era.
func (c *Core) isCurrent(k *keyReplica) bool { return k.era == c.era.Number }

// allCurrent reports whether this daemon holds all keys of the present era.
func (c *Core) allCurrent() bool { return c.isCurrent(&c.operatorKeys) && c.isCurrent(&c.meshKeys) }

// eraOfKeys returns the era of the keys that this daemon holds, for peers; zero while they belong to different ones.
func (c *Core) eraOfKeys() store.Era {
	if !c.allCurrent() {
		return store.Era{}
	}
	return c.era
}

// pendingStoreCall is a call to the platform's store that has not been answered.
type pendingStoreCall struct {
	kind store.Kind
	// era is the one that was known when the call was sent.
	era  uint64
	done func(now time.Time, r store.Result)
}

// handleStoreDone passes on the result of a call.
func (c *Core) handleStoreDone(now time.Time, ev effect.StoreDone) {
	call, ok := c.pendingStoreCalls[ev.Request]
	if !ok {
		return
	}
	delete(c.pendingStoreCalls, ev.Request)
	c.observeEra(now, ev.Result.Era, call.era)
	call.done(now, c.resultInEra(call, ev.Result))
}

// resultInEra returns what the result of a call means in the present era. A call that was sent in an earlier one may have compared
// revisions of two eras, renewed the lease of another daemon, or written what the store has lost since.
func (c *Core) resultInEra(call pendingStoreCall, r store.Result) store.Result {
	if call.era == c.era.Number || r.Outcome == store.Unknown || r.Outcome == store.Unavailable || r.Outcome == store.Shed {
		return r
	}
	switch call.kind {
	case store.KindGet, store.KindList, store.KindGrant:
		if r.Era == c.era.Name {
			return r
		}
		return store.Result{Outcome: store.Unavailable, Detail: "answered before the store was restored"}
	case store.KindKeepAlive, store.KindRevoke:
		return store.Result{Outcome: store.NotFound, Detail: "the lease belongs to an earlier era"}
	default:
		return store.Result{Outcome: store.Unknown, Detail: "sent before the store was restored"}
	}
}

// renew replaces the entries of a replica of an earlier era by those of the present one. isKept reports whether a key that is not
// among the entries is in the store all the same.
func (c *Core) renew(now time.Time, k *keyReplica, entries []store.Entry, isKept func(key string) bool) {
	old := k.entries
	k.entries, k.tombstones = make(map[string]store.Entry, len(entries)), map[string]int64{}
	for _, e := range entries {
		k.entries[e.Key] = e
	}
	for key, e := range old {
		if _, listed := k.entries[key]; !listed && isKept(key) {
			k.entries[key] = e
		}
	}
	k.era, k.revision, k.listed, k.renewing = c.era.Number, 0, true, true
	if k == &c.operatorKeys {
		c.forgetIntentRevisions()
	}
	changed := c.applyRenewed(now, k, old)
	k.renewing = false
	c.eraPending = true
	c.log("keys-renewed", "prefix", k.prefix, "era", string(c.era.Name), "keys", strconv.Itoa(len(k.entries)), "changed", strconv.Itoa(changed))
}

// applyRenewed applies the entries of a renewed replica that differ from the old ones, and returns their number. All entries of the
// operator are applied, as an order has a new revision where its entry is the same.
func (c *Core) applyRenewed(now time.Time, k *keyReplica, old map[string]store.Entry) (changed int) {
	for _, key := range slices.Sorted(maps.Keys(k.entries)) {
		e, known := k.entries[key], old[key]
		k.revision = max(k.revision, e.ModRevision)
		if known.ModRevision == e.ModRevision && bytes.Equal(known.Value, e.Value) && k != &c.operatorKeys {
			continue
		}
		changed++
		c.keepLostRecord(now, key, known.Value)
		k.applyEntry(now, key, &e)
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		if _, ok := k.entries[key]; ok {
			continue
		}
		changed++
		c.keepLostRecord(now, key, old[key].Value)
		k.applyEntry(now, key, nil)
	}
	return changed
}

// renewFromPeer replaces the replicas of an earlier era by what a peer holds. The query told the peer the digests of these replicas:
// its reply has all entries of the partitions that differ, and the other partitions are the same.
func (c *Core) renewFromPeer(now time.Time, reply *message.CatalogReply) {
	for _, k := range []*keyReplica{&c.operatorKeys, &c.meshKeys} {
		if c.isCurrent(k) {
			continue
		}
		differing := reply.DifferingMesh
		if k == &c.operatorKeys {
			differing = reply.DifferingOperator
			c.configurationRevision = reply.Revision
			c.scheduleCheck(now)
		}
		var entries []store.Entry
		for i := range reply.Changes {
			if e := reply.Changes[i].Entry; !reply.Changes[i].Removed && strings.HasPrefix(e.Key, k.prefix) {
				entries = append(entries, e)
			}
		}
		c.renew(now, k, entries, func(key string) bool {
			return key != c.cfg.Operator.KeyConfiguration() && differing&(1<<digestPartition(key)) == 0
		})
	}
}

// keepLostRecord keeps the record of a target if the store has lost it and the next process of its daemon must know it: a run is leaving,
// or has been replaced by a later one. That daemon may be killed before it has written the record again.
func (c *Core) keepLostRecord(now time.Time, key string, lost []byte) {
	name, ok := strings.CutPrefix(key, store.PrefixTargets)
	if !ok || model.DaemonID(name) == c.cfg.Target.Daemon {
		return
	}
	record, err := c.cfg.Records.DecodeTarget(lost)
	if err != nil {
		return
	}
	stored, err := c.cfg.Records.DecodeTarget(c.meshKeys.entries[key].Value)
	isLost := err != nil || isSuperseded(stored, record)
	hasReplaced := err == nil && !record.IsSameRun(&stored.Target)
	if isLost && (record.HoldsLeaving() || hasReplaced) {
		c.keepSharedRecord(sharedRecord{*record, now.Add(sharedRecordTTL)})
	}
}

// learnOwnRecord learns what an earlier process of this daemon has recorded from a peer that has not noticed the restore of the store. This
// daemon may have read an earlier record from the restored store.
func (c *Core) learnOwnRecord(now time.Time, changes []message.Change) {
	key := store.PrefixTargets + string(c.cfg.Target.Daemon)
	for i := range changes {
		if changes[i].Removed || changes[i].Entry.Key != key {
			continue
		}
		record, err := c.cfg.Records.DecodeTarget(changes[i].Entry.Value)
		if err == nil && record.Daemon == c.cfg.Target.Daemon && record.Incarnation != c.local.target.Incarnation {
			c.handleEarlierRecord(now, record)
		}
	}
}
