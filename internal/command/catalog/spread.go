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
	// nearFanout and farFanout are the peers of the own data centre and of others that a daemon passes news on to. Every
	// daemon passes news on once, so that five reach nearly all; the rest ask by themselves.
	nearFanout = 3
	farFanout  = 2
	// exchangeEvery is how often a peer, at random, is asked for what this daemon has not seen.
	exchangeEvery = 2 * time.Second
	// maxDeltas bounds the changes of the configuration that are kept for peers that are behind.
	maxDeltas = 32
	// digestParts is the number of parts of the keys with a digest each. Only parts that differ are sent, a few announcements
	// of many: while targets come and go, daemons differ by some entries most of the time.
	digestParts = 32
	// gapJitter spreads the daemons that read the platform because a delta does not fit.
	gapJitter = 100 * time.Millisecond
)

// exchange is the anti-entropy with peers.
type exchange struct {
	at      time.Time
	pending bool
}

// sendNews passes on what was learned in this step.
func (c *Core) sendNews() {
	if len(c.outgoing) == 0 && !c.newNumber {
		return
	}
	news := &message.Spread{Changes: c.outgoing, Delta: c.delta, Revision: c.configurationRevision}
	if c.configuration != nil {
		news.Number = c.configuration.Number
	}
	c.outgoing, c.delta, c.newNumber = nil, nil, false
	for _, address := range c.spreadTo() {
		c.send(address, news, func(time.Time, message.Reply) {
			// A peer that does not answer asks another one when it can.
		})
	}
}

// spreadTo returns the peers to pass news on to.
func (c *Core) spreadTo() []string {
	var near, far []string
	for _, daemon := range slices.Sorted(maps.Keys(c.roster)) {
		t := &c.roster[daemon].target
		if t.DataCentre == c.cfg.Target.DataCentre {
			near = append(near, t.PeerAddress)
		} else {
			far = append(far, t.PeerAddress)
		}
	}
	return append(c.sample(near, nearFanout), c.sample(far, farFanout)...)
}

// sample returns up to n of the addresses, at random.
func (c *Core) sample(addresses []string, n int) []string {
	c.cfg.Rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), n)]
}

// spreadReceived takes news of a peer.
func (c *Core) spreadReceived(now time.Time, m *message.Spread) {
	c.mergeChanges(now, m.Changes)
	if m.Delta != nil {
		c.applyDelta(m.Delta, m.Revision, "peer")
	}
	if m.Number > 0 && (c.configuration == nil || c.configuration.Number < m.Number) && c.operator.listed {
		c.operator.relist(now.Add(c.jitter(gapJitter)))
	}
}

// mergeChanges takes changes of a peer and reports whether one was news.
func (c *Core) mergeChanges(now time.Time, changes []message.Change) bool {
	news := false
	for i := range changes {
		e := &changes[i].Entry
		s := c.sourceOf(e.Key)
		if !strings.HasPrefix(e.Key, s.prefix) {
			continue
		}
		if changes[i].Removed {
			news = c.remove(now, s, e.Key, e.ModRevision, true) || news
		} else {
			news = c.merge(now, s, *e, true) || news
		}
	}
	return news
}

// applyDelta changes the configuration. If the delta does not fit, the platform is read.
func (c *Core) applyDelta(d *message.Delta, revision int64, source string) {
	if c.configuration == nil || d.Number <= c.configuration.Number {
		return
	}
	next, ok := distribution.Patch(c.configuration, d)
	if !ok {
		c.log("delta-refused", "number", number(d.Number), "base", number(d.Base), "own", number(c.configuration.Number))
		return
	}
	c.setConfiguration(next, d, revision, source)
}

// exchangeDue asks one peer, at random, for what this daemon has not seen.
func (c *Core) exchangeDue(now time.Time) {
	x := &c.exchange
	if x.at.IsZero() {
		x.at = now.Add(c.jitter(exchangeEvery / 4))
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
	query := &message.CatalogQuery{Operator: c.digests(&c.operator), Mesh: c.digests(&c.mesh)}
	if c.configuration != nil {
		query.Number = c.configuration.Number
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
	var addresses []string
	if !c.operator.loaded || !c.mesh.loaded || len(c.roster) == 0 {
		addresses = slices.Clone(c.cfg.Seeds)
	}
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
	news := c.mergeChanges(now, reply.Changes)
	// A daemon that was started again has none, and the record of a withdrawal may wait for the platform.
	c.withhold(reply.Marks)
	switch {
	case reply.Configuration != nil && (c.configuration == nil || c.configuration.Number < reply.Number):
		c.setConfiguration(reply.Configuration, nil, reply.Revision, "peer")
	case c.configuration != nil:
		for _, d := range reply.Deltas {
			c.applyDelta(d, reply.Revision, "peer")
		}
		if reply.Number > c.configuration.Number && c.operator.listed {
			c.operator.relist(now)
		}
	}
	if news {
		c.log("peer-catalog", "from", from, "changes", strconv.Itoa(len(reply.Changes)))
	}
	if reply.Loaded && (!c.operator.loaded || !c.mesh.loaded) {
		c.operator.loaded, c.mesh.loaded = true, true
		c.dirty = true
	}
}

// catalogReply returns what the asker has not seen.
func (c *Core) catalogReply(q *message.CatalogQuery) *message.CatalogReply {
	reply := &message.CatalogReply{
		Loaded: c.operator.loaded && c.mesh.loaded, Revision: c.configurationRevision, Marks: c.currentMarks(),
	}
	reply.Changes = c.changes(reply.Changes, &c.operator, q.Operator)
	reply.Changes = c.changes(reply.Changes, &c.mesh, q.Mesh)
	if c.configuration == nil {
		return reply
	}
	reply.Number = c.configuration.Number
	if q.Number == 0 {
		reply.Configuration = c.configuration
	} else if q.Number < reply.Number {
		reply.Deltas = c.deltasFrom(q.Number)
	}
	return reply
}

// changes appends what is known of a source, but for the configuration, in the parts where an asker's digests differ.
func (c *Core) changes(to []message.Change, s *source, theirs []uint32) []message.Change {
	own := c.digests(s)
	if slices.Equal(own, theirs) {
		return to
	}
	differs := func(key string) bool {
		part := partOf(key)
		return part >= len(theirs) || own[part] != theirs[part]
	}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if key != c.cfg.Operator.KeyConfiguration() && differs(key) {
			to = append(to, message.Change{Entry: s.entries[key]})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.removed)) {
		if differs(key) {
			to = append(to, message.Change{Entry: store.Entry{Key: key, ModRevision: s.removed[key]}, Removed: true})
		}
	}
	return to
}

func partOf(key string) int { return int(xxhash.Sum64String(key) % digestParts) }

// digests cover the keys and revisions of a source, in any order, one for each part of the keys.
func (c *Core) digests(s *source) []uint32 {
	sums := make([]uint32, digestParts)
	var text []byte
	for key, e := range s.entries {
		if key != c.cfg.Operator.KeyConfiguration() {
			text = append(append(text[:0], key...), '@')
			text = strconv.AppendInt(text, e.ModRevision, 10)
			sums[partOf(key)] ^= uint32(xxhash.Sum64(text))
		}
	}
	return sums
}

// deltasFrom returns the changes that lead from a number to the present one, or nil if they are not kept.
func (c *Core) deltasFrom(base model.Number) []*message.Delta {
	for i, d := range c.deltas {
		if d.Base == base {
			return c.deltas[i:]
		}
	}
	return nil
}

// setConfiguration puts a configuration in force that is newer than the present one. Delta leads to it from the present one;
// nil if it is not known.
func (c *Core) setConfiguration(next *model.Configuration, delta *message.Delta, revision int64, source string) {
	if c.configuration != nil {
		if delta == nil {
			delta = distribution.Diff(c.configuration, next)
		}
		c.delta = delta
		c.deltas = append(c.deltas, c.delta)
		if len(c.deltas) > maxDeltas {
			c.deltas = slices.Delete(c.deltas, 0, 1)
		}
	}
	c.configuration, c.configurationRevision, c.newNumber = next, revision, true
	c.operator.revision = max(c.operator.revision, revision)
	c.dirty = true
	c.log("configuration", "number", number(next.Number), "revision", strconv.FormatInt(revision, 10),
		"routes", strconv.Itoa(len(next.Routes)), "source", source)
}

func number(n model.Number) string { return strconv.FormatUint(uint64(n), 10) }
