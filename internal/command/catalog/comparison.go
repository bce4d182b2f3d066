package catalog

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// maxCompares is the number of keys that the platform compares in one call.
const maxCompares = 32

// operatorCompares returns comparisons with the known revisions of the configuration and of the services' intents.
func (c *Core) operatorCompares() []store.Compare {
	keys := []string{c.cfg.Operator.KeyConfiguration()}
	if c.configuration != nil {
		for i := range c.configuration.Services {
			keys = append(keys, c.cfg.Operator.KeyIntent(c.configuration.Services[i].Name))
		}
	}
	compares := make([]store.Compare, 0, maxCompares)
	for _, key := range keys[:min(len(keys), maxCompares)] {
		compares = append(compares, store.Compare{Key: key, ModRevision: c.knownRevision(key)})
	}
	return compares
}

// knownRevision returns the revision of one of the operator's keys as this daemon knows it. A configuration that a peer sent
// has no entry of its own.
func (c *Core) knownRevision(key string) int64 {
	revision := c.operatorKeys.entries[key].ModRevision
	if key == c.cfg.Operator.KeyConfiguration() {
		revision = max(revision, c.configurationRevision)
	}
	return revision
}

// mergeComparison merges the result of a comparison, and reports whether the platform answered.
func (c *Core) mergeComparison(now time.Time, compares []store.Compare, r store.Result) bool {
	k := &c.operatorKeys
	switch r.Outcome {
	case store.Applied:
	case store.Conflict:
		c.mergeDifferences(now, k, compares, r.Entries)
	default:
		c.recordUnavailable(now, k, r)
		return false
	}
	c.recordAvailable(now, k)
	return true
}

// mergeDifferences merges the present entries of compared keys. Removed keys are found by a list.
func (c *Core) mergeDifferences(now time.Time, k *keyReplica, compares []store.Compare, entries []store.Entry) {
	changed := false
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = e.ModRevision > 0
		changed = c.mergeEntry(now, k, e, true) || changed
	}
	if changed && k.watching {
		c.restartWatch(k)
	}
	if slices.ContainsFunc(compares, func(cmp store.Compare) bool { return cmp.ModRevision > 0 && !present[cmp.Key] }) {
		c.relist(k)
	}
}
