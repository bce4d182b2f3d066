package catalog

import (
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/store"
)

const (
	// exchangeAfter is how long the platform may be unreadable before peers are asked, and exchangeEvery how often then.
	exchangeAfter = 500 * time.Millisecond
	exchangeEvery = time.Second
)

// exchange is the anti-entropy with peers while the platform cannot be read.
type exchange struct {
	at      time.Time
	pending bool
}

// exchangeDue asks one peer, at random, for newer entries if the platform has not answered for some time.
func (c *Core) exchangeDue(now time.Time) {
	x := &c.exchange
	lost := earliest(c.operator.lostAt, c.mesh.lostAt)
	if lost.IsZero() {
		x.at = time.Time{}
		return
	}
	if x.at.IsZero() {
		x.at = lost.Add(exchangeAfter)
	}
	if x.pending || now.Before(x.at) {
		return
	}
	x.at = now.Add(c.jitter(exchangeEvery))
	address := c.randomPeer()
	if address == "" {
		return
	}
	x.pending = true
	query := &message.CatalogQuery{Operator: c.operator.revision, Mesh: c.mesh.revision}
	if !c.operator.loaded || !c.mesh.loaded {
		query = &message.CatalogQuery{}
	}
	c.send(address, query, func(now time.Time, r message.Reply) {
		x.pending = false
		if reply, ok := r.(*message.CatalogReply); ok {
			c.mergeCatalog(now, address, reply)
		}
	})
}

// randomPeer returns the peer address of a known daemon or of a seed, or "".
func (c *Core) randomPeer() string {
	addresses := slices.Clone(c.cfg.Seeds)
	for _, daemon := range slices.Sorted(maps.Keys(c.roster)) {
		addresses = append(addresses, c.roster[daemon].target.PeerAddress)
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == c.cfg.Target.PeerAddress })
	if len(addresses) == 0 {
		return ""
	}
	return addresses[c.cfg.Rand.IntN(len(addresses))]
}

// mergeCatalog takes what a peer knows. The first complete reply stands in for a read of the platform.
func (c *Core) mergeCatalog(now time.Time, from string, reply *message.CatalogReply) {
	news := 0
	for _, e := range reply.Entries {
		s := &c.operator
		if hasPrefix(e.Key, store.PrefixMesh) {
			s = &c.mesh
		}
		if hasPrefix(e.Key, s.prefix) && s.merge(now, e) {
			news++
		}
	}
	if news > 0 {
		c.log("peer-catalog", "from", from, "entries", count(news))
	}
	if reply.Loaded && !(c.operator.loaded && c.mesh.loaded) {
		c.operator.loaded, c.mesh.loaded = true, true
		c.dirty = true
	}
}

// catalogReply returns the entries that are newer than the asker's.
func (c *Core) catalogReply(q *message.CatalogQuery) *message.CatalogReply {
	reply := &message.CatalogReply{Loaded: c.operator.loaded && c.mesh.loaded}
	for _, key := range slices.Sorted(maps.Keys(c.operator.entries)) {
		if e := c.operator.entries[key]; e.ModRevision > q.Operator {
			reply.Entries = append(reply.Entries, e)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.mesh.entries)) {
		if e := c.mesh.entries[key]; e.ModRevision > q.Mesh {
			reply.Entries = append(reply.Entries, e)
		}
	}
	return reply
}
