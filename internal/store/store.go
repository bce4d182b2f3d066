// Package store defines the interface to the platform's key-value service. Calls and results are values without I/O:
// decision code builds calls and reads results, and internal/platform performs them.
package store

import (
	"context"
	"strings"
	"time"
)

// Keys and prefixes that sniperail uses.
const (
	KeyConfiguration = "sniperail/configuration"
	KeyDriver        = "sniperail/driver"
	PrefixLeaders    = "sniperail/leaders/"
	PrefixPlans      = "sniperail/plans/"
	PrefixClaims     = "sniperail/claims/"
	// PrefixMesh is the prefix of what sniperail-sidecar daemons, which have no leaders, share: targets, moves and their
	// drivers.
	PrefixMesh    = "sniperail/mesh/"
	PrefixTargets = PrefixMesh + "targets/"
	PrefixMoves   = PrefixMesh + "moves/"
	PrefixDrivers = PrefixMesh + "drivers/"
)

// EraName is how the service names its present era in a response; empty if the response names none. An era ends when the service
// comes back from an older copy of its data. Revisions, leases and watches of one era mean nothing in another one: the service
// gives them out again.
type EraName string

// Era is an era of the service as daemons order them: a later one has a higher number.
type Era struct {
	Number uint64
	Name   EraName
}

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Kind is the kind of a call.
type Kind string

// Kinds of calls. The service counts each of them against its rate limits, and an open watch as one read.
const (
	KindGet       Kind = "get"
	KindList      Kind = "list"
	KindTxn       Kind = "txn"
	KindGrant     Kind = "lease-grant"
	KindKeepAlive Kind = "lease-keepalive"
	KindRevoke    Kind = "lease-revoke"
)

// IsWrite reports whether the service counts a call of this kind as a write.
func (k Kind) IsWrite() bool { return k != KindGet && k != KindList }

// Priority determines which calls are shed first when a daemon exceeds its rate: those with the highest value.
type Priority int

// Priorities of calls.
const (
	PriorityLease Priority = iota
	PriorityWithdraw
	PriorityClaim
	PriorityCommand
	PriorityRead
	PriorityReport
)

// Call is one request to the service.
type Call struct {
	Kind     Kind
	Priority Priority
	// Reason is a short constant that labels the call in the call counter.
	Reason string
	// Key is the key of a get or the prefix of a list.
	Key string
	// Limit is the maximum number of entries of a list; 0 means no limit.
	Limit int
	// After makes a list start behind this key.
	After string
	Txn   Txn
	Lease LeaseID
	// TTL is the lifetime of the lease to grant.
	TTL time.Duration
}

// Txn performs all Puts and Deletes if all Compares hold, and otherwise writes nothing.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Compare holds if the key's revision equals the given one. Revision 0 means that the key does not exist.
type Compare struct {
	Key string
	// ModRevision is compared unless UseCreate is set; with UseCreate, CreateRevision is.
	ModRevision    int64
	CreateRevision int64
	UseCreate      bool
}

// Put writes one key, bound to a lease unless Lease is 0.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Entry is a key and its value.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Outcome classifies a result.
type Outcome string

// Outcomes of a call.
const (
	// Applied means that the call took effect, or that the read succeeded (even if it found no entry).
	Applied Outcome = "applied"
	// Conflict means that a compare failed and nothing was written. Entries holds the current entries of the compared keys.
	Conflict Outcome = "conflict"
	// NotFound means that the lease no longer exists.
	NotFound Outcome = "not-found"
	// Unknown means that the call may or may not have taken effect. Read before you write again.
	Unknown Outcome = "unknown"
	// Unavailable means that the call did not take effect.
	Unavailable Outcome = "unavailable"
	// Shed means that platform.Gate did not send the call.
	Shed Outcome = "shed"
)

// Result is the result of a call.
type Result struct {
	Outcome  Outcome
	Entries  []Entry
	Revision int64
	Lease    LeaseID
	TTL      time.Duration
	// Truncated means that the list has more entries after the last one. platform.Client reads the remaining pages itself.
	Truncated bool
	// Skipped are the entries of a list that could not be read.
	Skipped []Skipped
	// Era is the era in which the service answered.
	Era EraName
	// Detail explains an outcome other than Applied in logs.
	Detail string
}

// Skipped is an entry that could not be read. Key is empty if not even its key could be.
type Skipped struct{ Key, Detail string }

// WatchEvent is a change of a watched key.
type WatchEvent struct {
	Entry   Entry
	Deleted bool
	// Skipped is set instead of Entry for a change that could not be read.
	Skipped *Skipped
	// Era is the era in which the service sent the event. An event with nothing else tells that the era has changed.
	Era EraName
	// Lost means that the watch has ended and events may be missing: read again before the next watch.
	Lost bool
	// Detail explains in logs why the watch was lost.
	Detail string
}

// IsPrefix reports whether a watched key is a prefix that stands for all keys below it.
func IsPrefix(key string) bool { return strings.HasSuffix(key, "/") }

// Store is the platform's key-value service.
type Store interface {
	// Do performs one call. It does not block after ctx has ended. Failures are outcomes of the result, not errors.
	Do(ctx context.Context, call Call) Result
	// Watch delivers changes of a key, or of all keys below a prefix, after the given revision until ctx ends. If the
	// service ends the watch, an event with Lost set is delivered before the channel is closed.
	Watch(ctx context.Context, key string, after int64) <-chan WatchEvent
}
