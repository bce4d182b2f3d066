// Package storetest provides an in-memory store for tests of decision code. It has no goroutines and no clock and injects
// no faults: a test ends a lease with Expire.
package storetest

import (
	"maps"
	"slices"
	"strings"

	"sniperail.example/sniperail/internal/store"
)

// Memory is an in-memory key-value service.
type Memory struct {
	entries  map[string]store.Entry
	revision int64
	lease    store.LeaseID
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{entries: map[string]store.Entry{}} }

// Clone returns a copy, which later changes do not affect.
func (m *Memory) Clone() *Memory {
	return &Memory{entries: maps.Clone(m.entries), revision: m.revision, lease: m.lease}
}

// Do performs one call. It always succeeds, except for transactions whose compares fail.
func (m *Memory) Do(call store.Call) store.Result {
	switch call.Kind {
	case store.KindGet:
		return m.read(func(key string) bool { return key == call.Key })
	case store.KindList:
		return m.read(func(key string) bool { return strings.HasPrefix(key, call.Key) })
	case store.KindTxn:
		return m.transact(call.Txn)
	case store.KindGrant:
		m.lease++
		return store.Result{Outcome: store.Applied, Revision: m.revision, Lease: m.lease, TTL: call.TTL}
	default:
		return store.Result{Outcome: store.Applied, Revision: m.revision, Lease: call.Lease}
	}
}

// Expire deletes a key as the expiry of its lease does.
func (m *Memory) Expire(key string) {
	m.revision++
	delete(m.entries, key)
}

func (m *Memory) read(match func(string) bool) store.Result {
	result := store.Result{Outcome: store.Applied, Revision: m.revision}
	for key, e := range m.entries {
		if match(key) {
			result.Entries = append(result.Entries, e)
		}
	}
	slices.SortFunc(result.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return result
}

func (m *Memory) transact(txn store.Txn) store.Result {
	for _, c := range txn.Compares {
		e := m.entries[c.Key]
		if c.UseCreate && e.CreateRevision != c.CreateRevision || !c.UseCreate && e.ModRevision != c.ModRevision {
			return m.conflict(txn)
		}
	}
	m.revision++
	for _, p := range txn.Puts {
		e := store.Entry{Key: p.Key, Value: p.Value, Lease: p.Lease, CreateRevision: m.revision, ModRevision: m.revision}
		if present, ok := m.entries[p.Key]; ok {
			e.CreateRevision = present.CreateRevision
		}
		m.entries[p.Key] = e
	}
	for _, key := range txn.Deletes {
		delete(m.entries, key)
	}
	return store.Result{Outcome: store.Applied, Revision: m.revision}
}

func (m *Memory) conflict(txn store.Txn) store.Result {
	result := store.Result{Outcome: store.Conflict, Revision: m.revision}
	for _, c := range txn.Compares {
		if e, ok := m.entries[c.Key]; ok {
			result.Entries = append(result.Entries, e)
		}
	}
	return result
}
