package catalog

import (
	"fmt"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/store"
)

const (
	// relistBase and relistMax bound the wait before a prefix is read again after a failure. A change must be in force
	// 2 s after the platform is back, so the longest wait leaves time for a read.
	relistBase = 100 * time.Millisecond
	relistMax  = 800 * time.Millisecond
)

// source follows all keys below one prefix: it lists them, then watches for changes, and lists again when the watch ends.
// Entries that peers pass on are merged by revision.
type source struct {
	prefix string
	// apply takes an entry that is new, or whose removal was seen.
	apply   func(now time.Time, key string, e *store.Entry)
	entries map[string]store.Entry
	// revision is the latest seen.
	revision int64
	// loaded says that all keys have been read once, from the platform or from a peer that had.
	loaded   bool
	listing  bool
	watching bool
	retryAt  time.Time
	failures int
	// lostAt is when the platform was last found not to answer; zero while it does.
	lostAt time.Time
	// expected is the revision that a peer has seen, and expectedBy when the own watch should have shown it.
	expected   int64
	expectedBy time.Time
}

func newSource(prefix string, apply func(time.Time, string, *store.Entry)) source {
	return source{prefix: prefix, apply: apply, entries: map[string]store.Entry{}}
}

// due returns when follow has something to do: zero while it waits for the platform.
func (s *source) due() time.Time {
	if s.listing || s.watching {
		return s.expectedBy
	}
	if s.retryAt.IsZero() {
		return time.Unix(0, 1)
	}
	return s.retryAt
}

// follow lists the prefix if it is neither watched nor being listed.
func (c *Core) follow(now time.Time, s *source) {
	c.checkExpected(now, s)
	if s.listing || s.watching || now.Before(s.retryAt) {
		return
	}
	s.listing = true
	c.call(store.Call{Kind: store.KindList, Priority: store.PriorityLease, Reason: "catalog", Key: s.prefix},
		func(now time.Time, r store.Result) { c.listed(now, s, r) })
}

func (c *Core) listed(now time.Time, s *source, r store.Result) {
	s.listing = false
	if r.Outcome != store.Applied {
		if s.lostAt.IsZero() {
			s.lostAt = now
			c.log("platform-lost", "prefix", s.prefix, "outcome", string(r.Outcome), "detail", r.Detail)
		}
		s.retryAt = now.Add(c.jitter(min(relistBase<<min(s.failures, 8), relistMax)))
		s.failures++
		return
	}
	if !s.lostAt.IsZero() {
		c.log("platform-regained", "prefix", s.prefix, "lost_ms", milliseconds(now.Sub(s.lostAt)))
	}
	s.failures, s.lostAt = 0, time.Time{}
	s.take(now, r)
	s.loaded, s.watching = true, true
	c.emit(effect.Watch{Key: s.prefix, After: r.Revision})
}

// take replaces what is known by a list. It reports whether the list held news.
func (s *source) take(now time.Time, r store.Result) bool {
	news := false
	present := make(map[string]bool, len(r.Entries))
	for i := range r.Entries {
		present[r.Entries[i].Key] = true
		news = s.merge(now, r.Entries[i]) || news
	}
	for key, e := range s.entries {
		if !present[key] && e.ModRevision <= r.Revision {
			s.remove(now, key, r.Revision)
			news = true
		}
	}
	s.revision = max(s.revision, r.Revision)
	return news
}

// latest returns the highest revision of an entry.
func (s *source) latest() int64 {
	var latest int64
	for _, e := range s.entries {
		latest = max(latest, e.ModRevision)
	}
	return latest
}

// merge takes an entry unless a later one is known. It reports whether the entry was new.
func (s *source) merge(now time.Time, e store.Entry) bool {
	if known, ok := s.entries[e.Key]; ok && known.ModRevision >= e.ModRevision {
		return false
	}
	s.entries[e.Key] = e
	s.revision = max(s.revision, e.ModRevision)
	s.apply(now, e.Key, &e)
	return true
}

// forget drops what is known of a key, so that the next entry is taken whatever its revision.
func (s *source) forget(key string) { delete(s.entries, key) }

func (s *source) remove(now time.Time, key string, revision int64) {
	if known, ok := s.entries[key]; ok && known.ModRevision <= revision {
		delete(s.entries, key)
		s.revision = max(s.revision, revision)
		s.apply(now, key, nil)
	}
}

// watched takes one change, or the end of a watch.
func (c *Core) watched(now time.Time, ev effect.Watched) {
	s := &c.mesh
	if ev.Key == c.operator.prefix {
		s = &c.operator
	}
	switch e := &ev.Event; {
	case e.Lost:
		c.log("watch-lost", "prefix", s.prefix, "revision", strconv.FormatInt(s.revision, 10), "detail", e.Detail)
		s.watching = false
		s.retryAt = now
	case e.Deleted:
		s.remove(now, e.Entry.Key, e.Entry.ModRevision)
	default:
		s.merge(now, e.Entry)
	}
}

func milliseconds(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) }
