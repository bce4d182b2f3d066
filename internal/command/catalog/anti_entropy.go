package catalog

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

const (
	// antiEntropyInterval is the longest time between anti-entropy queries, each of which asks a random peer for the changes
	// that this daemon lacks.
	antiEntropyInterval = 2 * time.Second
	// digestPartitions is the number of partitions that keys are hashed into; each partition has a digest. Only the entries
	// of differing partitions are sent: while targets come and go, daemons differ by some entries most of the time, and
	// sending all announcements would be too much.
	digestPartitions = 32
	// digestFactor tells the digest of a value from that of a key.
	digestFactor = 31
)

// antiEntropy schedules the anti-entropy queries to random peers.
type antiEntropy struct {
	nextAt  time.Time
	pending bool
	// answered says that a peer has answered with its keys. failures counts the queries before that.
	answered bool
	failures int
}

// maxUnansweredQueries is the number of queries without an answer after which a daemon no longer waits for one.
const maxUnansweredQueries = 3

// knowsPeers reports whether a peer has told this daemon what it holds, or none can be expected to.
func (c *Core) knowsPeers() bool {
	return c.antiEntropy.answered || c.antiEntropy.failures >= maxUnansweredQueries || len(c.members) == 0
}

// runAntiEntropy asks a random peer for the changes that this daemon lacks, if a query is due and none is pending.
func (c *Core) runAntiEntropy(now time.Time) {
	a := &c.antiEntropy
	if a.nextAt.IsZero() {
		a.nextAt = now.Add(c.jitter(antiEntropyInterval / 4))
	}
	if a.pending || now.Before(a.nextAt) {
		return
	}
	a.nextAt = now.Add(c.jitter(antiEntropyInterval))
	address := c.randomPeerAddress()
	if address == "" {
		return
	}
	a.pending = true
	c.queryCatalog(address, c.configurationNumber(), func() { a.pending = false })
}

// queryCatalog asks a peer for the changes that this daemon lacks, and for the changes of the configuration since a number,
// or for the whole configuration if it is 0. done is called when the query has ended.
func (c *Core) queryCatalog(address string, since model.Number, done func()) {
	c.queryCatalogReply(address, since, func(time.Time, *message.CatalogReply) { done() })
}

// queryCatalogReply is queryCatalog, with the reply for done; nil if the peer did not answer.
func (c *Core) queryCatalogReply(address string, since model.Number, done func(time.Time, *message.CatalogReply)) {
	era := c.era.Number
	query := &message.CatalogQuery{Operator: c.digests(&c.operatorKeys), Mesh: c.digests(&c.meshKeys), Number: since}
	c.send(address, query, func(now time.Time, r message.Reply) {
		reply, _ := r.(*message.CatalogReply)
		done(now, reply)
		renewing := c.isRenewing(reply)
		if reply != nil {
			c.mergeCatalog(now, address, era, reply)
		}
		if !c.antiEntropy.answered && !renewing {
			c.antiEntropy.failures++
		}
	})
}

// isRenewing reports whether a peer that replied replaces its entries by those of a new era of the store, so that it has told nothing.
func (c *Core) isRenewing(reply *message.CatalogReply) bool {
	return reply != nil && reply.Loaded && reply.Era == (store.Era{}) && c.era != (store.Era{})
}

// randomPeerAddress returns the address of a random known daemon, or "" if there is none. Seeds are included until the
// catalog is loaded and another daemon is known.
func (c *Core) randomPeerAddress() string {
	var addresses []string
	if !c.operatorKeys.loaded || !c.meshKeys.loaded || len(c.roster) == 0 {
		addresses = slices.Clone(c.cfg.Seeds)
	}
	for _, daemon := range c.members {
		addresses = append(addresses, c.roster[daemon].target.PeerAddress)
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == c.cfg.Target.PeerAddress })
	if len(addresses) == 0 {
		return ""
	}
	return addresses[c.cfg.Rand.IntN(len(addresses))]
}

// mergeCatalog merges the reply to an anti-entropy query that was sent in the given era of the store. The first reply of a peer that
// has loaded all keys counts as the initial lists of the platform's keys.
func (c *Core) mergeCatalog(now time.Time, from string, era uint64, reply *message.CatalogReply) {
	// Before the changes: the platform may still hold the record before the one that was shared.
	c.mergeSharedRecords(now, reply.Shared)
	if reply.Era.Number > c.era.Number {
		c.observePeerEra(now, reply.Era, from)
	}
	changed := false
	if reply.Era.Number == c.era.Number {
		c.antiEntropy.answered = c.antiEntropy.answered || reply.Loaded
		if era == c.era.Number && reply.Loaded {
			c.renewFromPeer(now, reply)
		}
		changed = c.mergeChanges(now, reply.Changes)
		c.mergeLostMoves(now, reply.LostMoves)
	} else {
		// Revisions and entries of another era mean nothing here, except that the store may have lost the own record since.
		c.learnOwnRecord(now, reply.Changes)
		reply.Revision, reply.Loaded = 0, false
	}
	// A restarted daemon has lost its marks, and during an outage of the platform the withdrawal may not be on record yet.
	c.addMarks(reply.Marks)
	switch {
	case reply.Configuration != nil && (c.configuration == nil || c.configuration.Number < reply.Number):
		c.setConfiguration(now, reply.Configuration, nil, reply.Revision, "peer")
	case c.configuration != nil:
		for _, d := range reply.Deltas {
			c.applyDelta(now, d, reply.Revision, "peer")
		}
	}
	c.recordAnnouncedNumber(now, reply.Number, from)
	if changed {
		c.log("peer-catalog", "from", from, "changes", strconv.Itoa(len(reply.Changes)))
	}
	if reply.Loaded && (!c.operatorKeys.loaded || !c.meshKeys.loaded) {
		c.operatorKeys.loaded, c.meshKeys.loaded = true, true
		c.dirty = true
	}
}

// buildCatalogReply returns what the sender of a query lacks.
func (c *Core) buildCatalogReply(now time.Time, query *message.CatalogQuery) *message.CatalogReply {
	reply := &message.CatalogReply{
		Loaded: c.operatorKeys.loaded && c.meshKeys.loaded, Era: c.eraOfKeys(),
		Marks: c.activeMarks(), Shared: c.allSharedRecords(now),
	}
	if c.allCurrent() {
		reply.Revision = c.knownRevision(c.cfg.Operator.KeyConfiguration())
		reply.Changes, reply.DifferingOperator = c.missingChanges(reply.Changes, &c.operatorKeys, query.Operator)
		reply.Changes, reply.DifferingMesh = c.missingChanges(reply.Changes, &c.meshKeys, query.Mesh)
		reply.LostMoves = c.lostMoves()
	}
	if c.configuration == nil {
		return reply
	}
	reply.Number = c.configuration.Number
	if query.Number == 0 {
		reply.Configuration = c.configuration
	} else if query.Number < reply.Number {
		reply.Deltas = c.deltasSince(query.Number)
	}
	return reply
}

// missingChanges appends the entries and tombstones in the partitions where the peer's digests differ, and returns these partitions
// as bits. The configuration is left out, since it is sent as deltas.
func (c *Core) missingChanges(to []message.Change, k *keyReplica, peerDigests []uint32) (changes []message.Change, differing uint32) {
	for partition, digest := range c.digests(k) {
		if partition >= len(peerDigests) || digest != peerDigests[partition] {
			differing |= 1 << partition
		}
	}
	if differing == 0 {
		return to, 0
	}
	inDifferingPartition := func(key string) bool { return differing&(1<<digestPartition(key)) != 0 }
	for _, key := range slices.Sorted(maps.Keys(k.entries)) {
		if key != c.cfg.Operator.KeyConfiguration() && inDifferingPartition(key) {
			to = append(to, message.Change{Entry: k.entries[key]})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(k.tombstones)) {
		if inDifferingPartition(key) {
			to = append(to, message.Change{Entry: store.Entry{Key: key, ModRevision: k.tombstones[key]}, Removed: true})
		}
	}
	return to, differing
}

func digestPartition(key string) int { return int(xxhash.Sum64String(key) % digestPartitions) }

// digests returns a digest of the keys, revisions and values in each partition. The digests do not depend on the order of the entries.
// The values count because the store gives revisions out again after it was restored.
func (c *Core) digests(k *keyReplica) []uint32 {
	sums := make([]uint32, digestPartitions)
	var text []byte
	for key, e := range k.entries {
		if key != c.cfg.Operator.KeyConfiguration() {
			text = append(append(text[:0], key...), '@')
			text = strconv.AppendInt(text, e.ModRevision, 10)
			sums[digestPartition(key)] ^= uint32(xxhash.Sum64(text) + digestFactor*xxhash.Sum64(e.Value))
		}
	}
	return sums
}
