package catalog

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// maxCompares is the number of keys that the platform compares in one call.
const maxCompares = 32

// maxEvacuationCompares bounds the keys of evacuations in one call. A mesh has fewer data centres.
const maxEvacuationCompares = 16

// operatorCompares returns comparisons with the known revisions of the configuration, of evacuations and of the services' intents. If
// there are more intents than one call compares, consecutive checks compare different ones.
func (c *Core) operatorCompares() []store.Compare {
	evacuations := c.evacuationKeys()
	keys := append([]string{c.cfg.Operator.KeyConfiguration()}, evacuations[:min(len(evacuations), maxEvacuationCompares)]...)
	if c.configuration != nil {
		services := c.configuration.Services
		room := maxCompares - len(keys)
		first := 0
		if len(services) > room {
			first = int(c.freshness.lastCheck % uint64(len(services)) * uint64(room) % uint64(len(services)))
		}
		for i := range min(len(services), room) {
			keys = append(keys, c.cfg.Operator.KeyIntent(services[(first+i)%len(services)].Name))
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
