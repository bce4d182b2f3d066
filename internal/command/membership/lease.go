package membership

import (
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// Lease is the leadership of one key: a key created under a granted lease. Its term is the key's create revision.
type Lease struct {
	key string
	ttl time.Duration
	id  store.LeaseID
	// term is 0 unless the key was created under id.
	term    model.Term
	expires time.Time
}

// NewLease returns a lease on a key that is not held.
func NewLease(key string, ttl time.Duration) *Lease { return &Lease{key: key, ttl: ttl} }

// Held reports whether the key was created and not found lost since. It may have expired unnoticed, see Valid.
func (l *Lease) Held() bool { return l.term != 0 }

// Valid reports whether the service cannot have let the lease expire yet: the deadline counts from before the last
// successful call was sent.
func (l *Lease) Valid(now time.Time) bool { return l.term != 0 && now.Before(l.expires) }

// Term returns the term of a held lease, or 0.
func (l *Lease) Term() model.Term { return l.term }

// GrantCall asks for a lease.
func (l *Lease) GrantCall() store.Call {
	return store.Call{Kind: store.KindGrant, Priority: store.PriorityLease, Reason: "leader-grant", TTL: l.ttl}
}

// RecordGrant takes the result of Grant.
func (l *Lease) RecordGrant(sent time.Time, result store.Result) bool {
	if result.Outcome != store.Applied {
		return false
	}
	l.id, l.term, l.expires = result.Lease, 0, sent.Add(l.ttl)
	return true
}

// CreateCall writes the key if it does not exist.
func (l *Lease) CreateCall(value []byte) store.Call {
	return store.Call{
		Kind: store.KindTxn, Priority: store.PriorityLease, Reason: "leader-create",
		Txn: store.Txn{
			Compares: []store.Compare{{Key: l.key, UseCreate: true}},
			Puts:     []store.Put{{Key: l.key, Value: value, Lease: l.id}},
		},
	}
}

// ReadCall reads the key.
func (l *Lease) ReadCall() store.Call {
	return store.Call{Kind: store.KindGet, Priority: store.PriorityLease, Reason: "leader-read", Key: l.key}
}

// RecordEntry takes an entry of the key as read or as the result of a conflict, and reports whether it is this lease's own.
// It also reconciles a Create whose answer was lost.
func (l *Lease) RecordEntry(entry store.Entry) bool {
	if l.id == 0 || entry.Lease != l.id {
		l.Reset()
		return false
	}
	l.term = model.Term(entry.CreateRevision)
	return true
}

// RecordCreate takes the result of a Create that was applied.
func (l *Lease) RecordCreate(result store.Result) { l.term = model.Term(result.Revision) }

// KeepAliveCall prolongs the lease.
func (l *Lease) KeepAliveCall() store.Call {
	return store.Call{Kind: store.KindKeepAlive, Priority: store.PriorityLease, Reason: "leader-keepalive", Lease: l.id}
}

// RecordKeepAlive takes the result of a KeepAlive sent at the given time. It reports false if the lease is lost for certain; an
// unavailable service leaves it held but no longer Valid once it may have expired.
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

// Reset forgets the lease.
func (l *Lease) Reset() { l.id, l.term, l.expires = 0, 0, time.Time{} }
