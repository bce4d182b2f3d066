package catalog

import (
	"fmt"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/store"
)

const (
	// relistBase and relistMax bound the wait before a prefix is read again after a failure. A change must be in force
	// 2 s after the platform is back, so the longest wait leaves time for a read.
	relistBase = 100 * time.Millisecond
	relistMax  = 800 * time.Millisecond
	// relistLoaded is that wait for a daemon that has everything from its peers, which also bring what changes.
	relistLoaded = 4 * time.Second
	// maxRemoved bounds the removals that are remembered, against late copies of what was removed.
	maxRemoved = 512
)

// source is what is known of all keys below one prefix. Lists of the platform are authoritative; entries of watches and
// peers are merged by revision.
type source struct {
	prefix string
	// apply takes an entry that is new, or nil for a removal.
	apply   func(now time.Time, key string, e *store.Entry)
	entries map[string]store.Entry
	// removed holds the revision at which a key was removed.
	removed map[string]int64
	// revision is the latest seen.
	revision int64
	// loaded says that all keys have been read once, from the platform or from a peer that had.
	loaded bool
	// listed says that the last list succeeded and nothing asks for another.
	listed   bool
	listing  bool
	watching bool
	retryAt  time.Time
	failures int
	// lostAt is when the platform was last found not to answer; zero while it does.
	lostAt time.Time
}

func newSource(prefix string, apply func(time.Time, string, *store.Entry)) source {
	return source{prefix: prefix, apply: apply, entries: map[string]store.Entry{}, removed: map[string]int64{}}
}

// due returns when follow has something to do; zero means never.
func (s *source) due() time.Time {
	switch {
	case s.listing || s.listed:
		return time.Time{}
	case s.retryAt.IsZero():
		return time.Unix(0, 1)
	}
	return s.retryAt
}

// relist asks for another list.
func (s *source) relist(at time.Time) {
	s.listed = false
	s.retryAt = at
}

// follow lists the prefix if a list is due.
func (c *Core) follow(now time.Time, s *source) {
	if s.listing || s.listed || now.Before(s.retryAt) {
		return
	}
	s.listing = true
	c.call(store.Call{Kind: store.KindList, Priority: store.PriorityLease, Reason: "catalog", Key: s.prefix},
		func(now time.Time, r store.Result) { c.listed(now, s, r) })
}

func (c *Core) listed(now time.Time, s *source, r store.Result) {
	s.listing = false
	if r.Outcome != store.Applied {
		c.platformLost(now, s, r)
		wait := min(relistBase<<min(s.failures, 8), relistMax)
		if s.loaded && !s.watching {
			wait = relistLoaded
		}
		s.relist(now.Add(c.jitter(wait)))
		s.failures++
		return
	}
	c.platformAnswered(now, s)
	s.failures = 0
	first := !s.loaded
	s.listed, s.loaded = true, true
	c.take(now, s, r, !first)
	if first {
		c.dirty = true
	}
	if s.watching {
		c.emit(effect.Watch{Key: s.prefix, After: s.revision})
	}
}

func (c *Core) platformLost(now time.Time, s *source, r store.Result) {
	if s.lostAt.IsZero() {
		s.lostAt = now
		c.log("platform-lost", "prefix", s.prefix, "outcome", string(r.Outcome), "detail", r.Detail)
	}
}

func (c *Core) platformAnswered(now time.Time, s *source) {
	if !s.lostAt.IsZero() {
		c.log("platform-regained", "prefix", s.prefix, "lost_ms", milliseconds(now.Sub(s.lostAt)))
		s.lostAt = time.Time{}
	}
}

// take replaces what is known by a list, and spreads what is news if asked. It reports whether there was news.
func (c *Core) take(now time.Time, s *source, r store.Result, spread bool) bool {
	news := false
	present := make(map[string]bool, len(r.Entries))
	for i := range r.Entries {
		present[r.Entries[i].Key] = true
		news = c.merge(now, s, r.Entries[i], spread) || news
	}
	for key, e := range s.entries {
		if !present[key] && e.ModRevision <= r.Revision {
			news = c.remove(now, s, key, r.Revision, spread) || news
		}
	}
	s.revision = max(s.revision, r.Revision)
	return news
}

// merge takes an entry unless a later state of its key is known. It reports whether the entry was news.
func (c *Core) merge(now time.Time, s *source, e store.Entry, spread bool) bool {
	if known, ok := s.entries[e.Key]; ok && known.ModRevision >= e.ModRevision || s.removed[e.Key] >= e.ModRevision {
		return false
	}
	s.entries[e.Key] = e
	s.revision = max(s.revision, e.ModRevision)
	s.apply(now, e.Key, &e)
	if spread && e.Key != c.cfg.Operator.KeyConfiguration() {
		c.outgoing = append(c.outgoing, message.Change{Entry: e})
	}
	return true
}

// remove takes the removal of a key. It reports whether that was news.
func (c *Core) remove(now time.Time, s *source, key string, revision int64, spread bool) bool {
	known, ok := s.entries[key]
	if ok && known.ModRevision > revision || s.removed[key] >= revision {
		return false
	}
	if len(s.removed) >= maxRemoved {
		clear(s.removed)
	}
	s.removed[key] = revision
	s.revision = max(s.revision, revision)
	if !ok {
		// The entry itself may still come from a slower peer.
		return false
	}
	delete(s.entries, key)
	s.apply(now, key, nil)
	if spread {
		c.outgoing = append(c.outgoing, message.Change{Entry: store.Entry{Key: key, ModRevision: revision}, Removed: true})
	}
	return true
}

// forget drops what is known of a key, so that the next entry is taken whatever its revision.
func (s *source) forget(key string) { delete(s.entries, key) }

// watched takes one change, or the end of a watch.
func (c *Core) watched(now time.Time, ev effect.KeyChanged) {
	s := c.sourceOf(ev.Key)
	switch e := &ev.Event; {
	case !s.watching:
	case e.Lost:
		c.log("watch-lost", "prefix", s.prefix, "revision", fmt.Sprint(s.revision), "detail", e.Detail)
		s.relist(now)
	case e.Deleted:
		c.remove(now, s, e.Entry.Key, e.Entry.ModRevision, true)
	default:
		c.merge(now, s, e.Entry, true)
	}
}

// sourceOf returns the source of a key.
func (c *Core) sourceOf(key string) *source {
	if strings.HasPrefix(key, store.PrefixMesh) {
		return &c.mesh
	}
	return &c.operator
}

func milliseconds(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) }
