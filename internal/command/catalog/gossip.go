package catalog

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sniperail.example/sniperail/internal/command/distribution"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

const (
	// localFanout and remoteFanout are the numbers of random peers in the daemon's own data centre and in other data centres to
	// which it gossips a change, besides the daemon that follows in the order of names. Every daemon passes a change on once.
	// With random peers alone some daemons are missed each time, two of 295 at a fanout of five; with the next daemon, only
	// those whose predecessor is lost or was missed too. Anti-entropy reaches the rest.
	localFanout  = 1
	remoteFanout = 1
	// gossipInterval is the time between two messages with changes of targets alone. Hundreds of daemons that start together
	// announce their targets within seconds, and each announcement in a message of its own would be too much. A change after
	// a quiet time is not delayed.
	gossipInterval = 100 * time.Millisecond
	// peerDraws is the number of random draws before the members are scanned for a peer in the wanted data centres.
	peerDraws = 16
	// antiEntropyInterval is the longest time between anti-entropy queries, each of which asks a random peer for the changes
	// that this daemon lacks.
	antiEntropyInterval = 2 * time.Second
	// maxDeltas is the number of configuration changes kept for peers that are behind.
	maxDeltas = 32
	// digestPartitions is the number of partitions that keys are hashed into; each partition has a digest. Only the entries
	// of differing partitions are sent: while targets come and go, daemons differ by some entries most of the time, and
	// sending all announcements would be too much.
	digestPartitions = 32
)

// antiEntropy schedules the anti-entropy queries to random peers.
type antiEntropy struct {
	nextAt  time.Time
	pending bool
}

// gossipChanges sends the changes first seen during this event, and a new freshness check, to a few peers. Changes of targets
// alone are collected for gossipInterval.
func (c *Core) gossipChanges(now time.Time) {
	urgent := c.configurationPending || c.freshness.announcePending
	if !urgent && (!c.hasPendingTargets() || now.Before(c.gossipAt)) {
		return
	}
	if c.hasPendingTargets() {
		c.gossipAt = now.Add(gossipInterval)
	}
	spread := &message.Spread{
		From: c.cfg.Target.PeerAddress, Changes: c.pendingChanges,
		Number: c.configurationNumber(), Revision: c.configurationRevision, Delta: c.pendingDelta,
		Shared: c.sharedRecordMessages(now, c.pendingRecords),
	}
	if c.freshness.announcePending {
		spread.Check = c.freshness.lastCheck
	}
	c.pendingChanges, c.pendingDelta, c.configurationPending, c.freshness.announcePending = nil, nil, false, false
	c.pendingRecords = nil
	for _, address := range c.gossipPeers() {
		c.send(address, spread, func(time.Time, message.Reply) {
			// A peer that missed the message catches up by anti-entropy.
		})
	}
}

// hasPendingTargets reports whether there are changes or records of targets to be gossiped.
func (c *Core) hasPendingTargets() bool { return len(c.pendingChanges)+len(c.pendingRecords) > 0 }

// gossipPeers returns the addresses of the peers to gossip to: the next daemon in the order of names, and random ones.
func (c *Core) gossipPeers() []string {
	if len(c.members) == 0 {
		return nil
	}
	next, _ := slices.BinarySearch(c.members, c.cfg.Target.Daemon)
	peers := []int{next % len(c.members)}
	peers = c.appendRandomPeers(peers, localFanout, true)
	peers = c.appendRandomPeers(peers, remoteFanout, false)
	addresses := make([]string, len(peers))
	for i, peer := range peers {
		addresses[i] = c.roster[c.members[peer]].target.PeerAddress
	}
	return addresses
}

// appendRandomPeers appends the positions of up to n random members, in this daemon's data centre or in others, that peers does
// not contain.
func (c *Core) appendRandomPeers(peers []int, n int, local bool) []int {
	usable := func(position int) bool {
		dataCentre := c.roster[c.members[position]].target.DataCentre
		return (dataCentre == c.cfg.Target.DataCentre) == local && !slices.Contains(peers, position)
	}
	for range n {
		for draw := range peerDraws + len(c.members) {
			position := draw % len(c.members)
			if draw < peerDraws {
				position = c.cfg.Rand.IntN(len(c.members))
			}
			if usable(position) {
				peers = append(peers, position)
				break
			}
		}
	}
	return peers
}

// handleSpread merges the changes that a peer gossiped.
func (c *Core) handleSpread(now time.Time, m *message.Spread) {
	c.mergeSharedRecords(now, m.Shared)
	c.mergeChanges(now, m.Changes)
	if m.Delta != nil {
		c.applyDelta(now, m.Delta, m.Revision, "peer")
	}
	c.recordAnnouncedNumber(now, m.Number, m.From)
	c.handleAnnouncedCheck(now, m.Check, m.Number)
}

// mergeChanges merges changes received from a peer, and reports whether any of them changed a replica.
func (c *Core) mergeChanges(now time.Time, changes []message.Change) bool {
	changed := false
	for i := range changes {
		e := &changes[i].Entry
		k := c.replicaOf(e.Key)
		if !strings.HasPrefix(e.Key, k.prefix) {
			continue
		}
		if changes[i].Removed {
			changed = c.mergeRemoval(now, k, e.Key, e.ModRevision, true) || changed
		} else {
			changed = c.mergeEntry(now, k, *e, true) || changed
		}
	}
	return changed
}

// applyDelta applies a delta to the configuration. A delta with another base is ignored; the daemon is then behind its peer.
func (c *Core) applyDelta(now time.Time, d *message.Delta, revision int64, source string) {
	if c.configuration == nil || d.Number <= c.configuration.Number {
		return
	}
	next, ok := distribution.Patch(c.configuration, d)
	if !ok {
		c.log("delta-refused", "number", formatNumber(d.Number), "base", formatNumber(d.Base),
			"own", formatNumber(c.configuration.Number))
		return
	}
	c.setConfiguration(now, next, d, revision, source)
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
	query := &message.CatalogQuery{Operator: c.digests(&c.operatorKeys), Mesh: c.digests(&c.meshKeys), Number: since}
	c.send(address, query, func(now time.Time, r message.Reply) {
		done()
		if reply, ok := r.(*message.CatalogReply); ok {
			c.mergeCatalog(now, address, reply)
		}
	})
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

// mergeCatalog merges the reply to an anti-entropy query. The first reply of a peer that has loaded all keys counts as
// the initial lists of the platform's keys.
func (c *Core) mergeCatalog(now time.Time, from string, reply *message.CatalogReply) {
	// Before the changes: the platform may still hold the record before the one that was shared.
	c.mergeSharedRecords(now, reply.Shared)
	changed := c.mergeChanges(now, reply.Changes)
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
		Loaded: c.operatorKeys.loaded && c.meshKeys.loaded, Revision: c.configurationRevision, Marks: c.activeMarks(),
		Shared: c.allSharedRecords(now),
	}
	reply.Changes = c.missingChanges(reply.Changes, &c.operatorKeys, query.Operator)
	reply.Changes = c.missingChanges(reply.Changes, &c.meshKeys, query.Mesh)
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

// missingChanges appends the entries and tombstones in the partitions where the peer's digests differ. The configuration is
// left out, since it is sent as deltas.
func (c *Core) missingChanges(to []message.Change, k *keyReplica, peerDigests []uint32) []message.Change {
	own := c.digests(k)
	if slices.Equal(own, peerDigests) {
		return to
	}
	inDifferingPartition := func(key string) bool {
		partition := digestPartition(key)
		return partition >= len(peerDigests) || own[partition] != peerDigests[partition]
	}
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
	return to
}

func digestPartition(key string) int { return int(xxhash.Sum64String(key) % digestPartitions) }

// digests returns a digest of the keys and revisions in each partition. The digests do not depend on the order of the entries.
func (c *Core) digests(k *keyReplica) []uint32 {
	sums := make([]uint32, digestPartitions)
	var text []byte
	for key, e := range k.entries {
		if key != c.cfg.Operator.KeyConfiguration() {
			text = append(append(text[:0], key...), '@')
			text = strconv.AppendInt(text, e.ModRevision, 10)
			sums[digestPartition(key)] ^= uint32(xxhash.Sum64(text))
		}
	}
	return sums
}

// deltasSince returns the deltas that lead from a configuration number to the current one, or nil if they are no longer kept.
func (c *Core) deltasSince(base model.Number) []*message.Delta {
	for i, d := range c.deltas {
		if d.Base == base {
			return c.deltas[i:]
		}
	}
	return nil
}

// setConfiguration replaces the configuration by a newer one. delta is the difference between the two; nil if it must be
// computed.
func (c *Core) setConfiguration(
	now time.Time, next *model.Configuration, delta *message.Delta, revision int64, source string,
) {
	if c.configuration != nil {
		if delta == nil {
			delta = distribution.Diff(c.configuration, next)
		}
		c.pendingDelta = delta
		c.deltas = append(c.deltas, c.pendingDelta)
		if len(c.deltas) > maxDeltas {
			c.deltas = slices.Delete(c.deltas, 0, 1)
		}
	}
	c.configuration, c.configurationRevision, c.configurationPending = next, revision, true
	c.operatorKeys.revision = max(c.operatorKeys.revision, revision)
	c.dirty = true
	c.log("configuration", "number", formatNumber(next.Number), "revision", strconv.FormatInt(revision, 10),
		"routes", strconv.Itoa(len(next.Routes)), "source", source, "behind_ms", formatMillis(c.endLag(now)))
}

func formatNumber(n model.Number) string { return strconv.FormatUint(uint64(n), 10) }
