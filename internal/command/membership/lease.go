package membership

import (
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// Lease is an exclusive claim on one key of the store: its holder created the key under a lease of the store. The term is the
// key's create revision.
type Lease struct {
	key string
	ttl time.Duration
	id  store.LeaseID
	// term is 0 unless the key was created under id.
	term    model.Term
	expires time.Time
}

// NewLease returns a lease for a key. It is not held yet.
func NewLease(key string, ttl time.Duration) *Lease { return &Lease{key: key, ttl: ttl} }

// Held reports whether the key was created and is not known to be lost. The lease may have expired unnoticed; see Valid.
func (l *Lease) Held() bool { return l.term != 0 }

// Valid reports whether the lease cannot have expired in the store yet. The expiry time is computed from the time at which
// the last successful grant or keep-alive was sent, so it is not later than the store's.
func (l *Lease) Valid(now time.Time) bool { return l.term != 0 && now.Before(l.expires) }

// Term returns the term of a held lease, or 0.
func (l *Lease) Term() model.Term { return l.term }

// GrantCall returns the call that requests a lease.
func (l *Lease) GrantCall() store.Call {
	return store.Call{Kind: store.KindGrant, Priority: store.PriorityLease, Reason: "leader-grant", TTL: l.ttl}
}

// RecordGrant records the result of a GrantCall sent at the given time. It reports whether the lease was granted.
func (l *Lease) RecordGrant(sent time.Time, result store.Result) bool {
	if result.Outcome != store.Applied {
		return false
	}
	l.id, l.term, l.expires = result.Lease, 0, sent.Add(l.ttl)
	return true
}

// CreateCall returns the call that writes the key if it does not exist.
func (l *Lease) CreateCall(value []byte) store.Call {
	return store.Call{
		Kind: store.KindTxn, Priority: store.PriorityLease, Reason: "leader-create",
		Txn: store.Txn{
			Compares: []store.Compare{{Key: l.key, UseCreate: true}},
			Puts:     []store.Put{{Key: l.key, Value: value, Lease: l.id}},
		},
	}
}

// ReadCall returns the call that reads the key.
func (l *Lease) ReadCall() store.Call {
	return store.Call{Kind: store.KindGet, Priority: store.PriorityLease, Reason: "leader-read", Key: l.key}
}

// RecordEntry records an entry of the key, from a read or from the conflict of a CreateCall. It reports whether the entry
// belongs to this lease; the lease is then held, also if the response to its CreateCall was lost. Otherwise the lease is
// reset.
func (l *Lease) RecordEntry(entry store.Entry) bool {
	if l.id == 0 || entry.Lease != l.id {
		l.Reset()
		return false
	}
	l.term = model.Term(entry.CreateRevision)
	return true
}

// RecordCreate records the result of a CreateCall that was applied. The lease is then held.
func (l *Lease) RecordCreate(result store.Result) { l.term = model.Term(result.Revision) }

// KeepAliveCall returns the call that renews the lease.
func (l *Lease) KeepAliveCall() store.Call {
	return store.Call{Kind: store.KindKeepAlive, Priority: store.PriorityLease, Reason: "leader-keepalive", Lease: l.id}
}

// RecordKeepAlive records the result of a KeepAliveCall for lease id, sent at the given time. It reports false if the lease is
// certainly lost. If the store is unavailable, the lease stays held but is no longer valid once it may have expired.
func (l *Lease) RecordKeepAlive(sent time.Time, id store.LeaseID, result store.Result) bool {
	if id != l.id {
		return l.Held()
	}
	switch result.Outcome {
	case store.Applied:
		if e := sent.Add(l.ttl); e.After(l.expires) {
			l.expires = e
		}
	case store.NotFound:
		l.Reset()
		return false
	}
	return true
}

// Reset discards the lease without a call to the store.
func (l *Lease) Reset() { l.id, l.term, l.expires = 0, 0, time.Time{} }
