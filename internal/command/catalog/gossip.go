package catalog

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/command/distribution"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
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
	// maxDeltas is the number of configuration changes kept for peers that are behind.
	maxDeltas = 32
)

// gossipChanges sends the changes first seen during this event, and a new freshness check, to a few peers. Changes of targets
// alone are collected for gossipInterval.
func (c *Core) gossipChanges(now time.Time) {
	urgent := c.configurationPending || c.freshness.announcePending || c.eraPending
	if !urgent && (!c.hasPendingTargets() || now.Before(c.gossipAt)) {
		return
	}
	if c.hasPendingTargets() {
		c.gossipAt = now.Add(gossipInterval)
	}
	spread := &message.Spread{
		From: c.cfg.Target.PeerAddress, Era: c.eraOfKeys(), Changes: c.pendingChanges,
		Number: c.configurationNumber(), Revision: c.configurationRevision, Delta: c.pendingDelta,
		Shared: c.sharedRecordMessages(now, c.pendingRecords), Document: c.documentMessage(),
	}
	if c.freshness.announcePending {
		spread.Check = c.freshness.lastCheck
	}
	c.pendingChanges, c.pendingDelta, c.configurationPending, c.freshness.announcePending = nil, nil, false, false
	c.pendingRecords, c.eraPending = nil, false
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
	peers := []int{c.nextPeer()}
	peers = c.appendRandomPeers(peers, localFanout, true)
	peers = c.appendRandomPeers(peers, remoteFanout, false)
	addresses := make([]string, len(peers))
	for i, peer := range peers {
		addresses[i] = c.roster[c.members[peer]].target.PeerAddress
	}
	return addresses
}

// nextPeer returns the position of the member that follows this daemon in the order of names. There must be members.
func (c *Core) nextPeer() int {
	next, _ := slices.BinarySearch(c.members, c.cfg.Target.Daemon)
	return next % len(c.members)
}

// neighbourAddresses returns the addresses of the members that follow and precede this daemon in the order of names.
func (c *Core) neighbourAddresses() []string {
	next := c.nextPeer()
	addresses := []string{c.roster[c.members[next]].target.PeerAddress}
	if previous := (next + len(c.members) - 1) % len(c.members); previous != next {
		addresses = append(addresses, c.roster[c.members[previous]].target.PeerAddress)
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
	c.observePeerEra(now, m.Era, m.From)
	revision := int64(0)
	if m.Era.Number == c.era.Number {
		revision = m.Revision
		c.mergeChanges(now, m.Changes)
	}
	if m.Delta != nil {
		c.applyDelta(now, m.Delta, revision, "peer")
	}
	c.recordAnnouncedNumber(now, m.Number, m.From)
	c.learnDocument(m.Era, m.Document)
	c.handleAnnouncedCheck(now, m.Check, m.Number, m.From)
}

// mergeChanges merges changes of the present era received from a peer, and reports whether any of them changed a replica. A replica of
// an earlier era is replaced as a whole instead.
func (c *Core) mergeChanges(now time.Time, changes []message.Change) bool {
	changed := false
	for i := range changes {
		e := &changes[i].Entry
		k := c.replicaOf(e.Key)
		if !strings.HasPrefix(e.Key, k.prefix) || !c.isCurrent(k) {
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
	c.dropRemovedTenants()
	c.log("configuration", "number", formatNumber(next.Number), "revision", strconv.FormatInt(revision, 10),
		"routes", strconv.Itoa(len(next.Routes)), "source", source, "behind_ms", formatMillis(c.endLag(now)))
}

func formatNumber(n model.Number) string { return strconv.FormatUint(uint64(n), 10) }
