package catalog_test

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
	"sniperail.example/sniperail/internal/store/storetest"
)

// simulatedLease is a lease that the store of a simulation has granted.
type simulatedLease struct {
	owner   *node
	ttl     time.Duration
	expires time.Time
}

// newNamedSimulation returns a simulation whose store names its era and ends leases.
func newNamedSimulation(t failer, n int) *simulation {
	sim := newSimulation(t, n)
	sim.era, sim.leases = 1, map[store.LeaseID]simulatedLease{}
	return sim
}

func (sim *simulation) eraName() store.EraName {
	if sim.era == 0 && !sim.zeroBased {
		return ""
	}
	return store.EraName(strconv.Itoa(sim.era))
}

// callStore performs a call of a node, which knew of the given number of restores when it sent it. A node that renews or revokes the lease of another one, and could know that, fails the
// test.
func (sim *simulation) callStore(n *node, call store.Call, knownRestores int) store.Result {
	result := store.Result{Outcome: store.NotFound}
	if sim.leasesExist(n, call, knownRestores) {
		result = sim.store.Do(call)
	}
	result.Era = sim.eraName()
	if sim.leases == nil || result.Outcome != store.Applied {
		return result
	}
	switch call.Kind {
	case store.KindTxn:
		if len(call.Txn.Puts) > 0 && strings.HasPrefix(call.Txn.Puts[0].Key, store.PrefixMoves) {
			sim.lastWriter = n
		}
	case store.KindGrant:
		sim.leases[result.Lease] = simulatedLease{n, call.TTL, sim.now.Add(call.TTL)}
	case store.KindKeepAlive:
		l := sim.leases[call.Lease]
		l.expires, result.TTL = sim.now.Add(l.ttl), l.ttl
		sim.leases[call.Lease] = l
	case store.KindRevoke:
		sim.endLease(call.Lease)
	}
	return result
}

// leasesExist reports whether the store knows the leases that a call names.
func (sim *simulation) leasesExist(n *node, call store.Call, knownRestores int) bool {
	if sim.leases == nil {
		return true
	}
	for _, p := range call.Txn.Puts {
		if _, ok := sim.leases[p.Lease]; p.Lease != 0 && !ok {
			return false
		}
	}
	if call.Lease == 0 {
		return true
	}
	l, ok := sim.leases[call.Lease]
	if ok && l.owner != n && knownRestores == sim.restores {
		sim.t.Fatalf("%s: %s of the lease %d of %s", n.address, call.Kind, call.Lease, l.owner.address)
	}
	return ok
}

func (sim *simulation) expireLeases() {
	for id, l := range sim.leases {
		if sim.now.After(l.expires) {
			sim.endLease(id)
		}
	}
}

func (sim *simulation) endLease(id store.LeaseID) {
	delete(sim.leases, id)
	for _, e := range sim.store.Do(store.Call{Kind: store.KindList}).Entries {
		if e.Lease == id {
			sim.store.Expire(e.Key)
		}
	}
}

// storeCopy is a copy of the store of a simulation.
type storeCopy struct {
	memory *storetest.Memory
	leases map[store.LeaseID]simulatedLease
}

func (sim *simulation) copyStore() storeCopy {
	return storeCopy{sim.store.Clone(), maps.Clone(sim.leases)}
}

// restore puts the store back to a copy and returns what the operator has written since, which rewrite writes again.
func (sim *simulation) restore(c storeCopy) (lost []store.Put) {
	list := store.Call{Kind: store.KindList, Key: "op/"}
	copied := c.memory.Do(list).Revision
	for _, e := range sim.store.Do(list).Entries {
		if e.ModRevision > copied {
			lost = append(lost, store.Put{Key: e.Key, Value: e.Value})
		}
	}
	sim.store, sim.leases = c.memory.Clone(), maps.Clone(c.leases)
	sim.era++
	sim.restores++
	revision := sim.store.Do(list).Revision
	for _, n := range sim.nodes {
		for prefix, after := range n.watches {
			if after > revision && !n.platformUnreachable && !n.watchesSilent && !n.stopped {
				sim.handle(n, effect.KeyChanged{Key: prefix, Event: store.WatchEvent{Lost: true, Detail: "compacted"}})
			}
		}
	}
	return lost
}

// rewrite writes again what the operator lost in a restore.
func (sim *simulation) rewrite(lost []store.Put) {
	for _, p := range lost {
		sim.store.Do(store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{p}}})
	}
}

// decodeTarget decodes a stored announcement.
func decodeTarget(t failer, value []byte) *model.TargetRecord {
	record, err := document.JSON{}.DecodeTarget(value)
	if err != nil {
		t.Fatal(err)
	}
	return record
}
