// Package store defines the interface to the platform's key-value service: calls and results as values, no I/O. The
// adapter is internal/platform; decision code builds calls and reads results.
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
	// PrefixMesh holds what daemons without leaders share: targets, moves and their drivers.
	PrefixMesh    = "sniperail/mesh/"
	PrefixTargets = PrefixMesh + "targets/"
	PrefixMoves   = PrefixMesh + "moves/"
	PrefixDrivers = PrefixMesh + "drivers/"
)

// LeaseID names a lease; 0 is no lease.
type LeaseID int64

// Kind is the kind of a call.
type Kind string

// Kinds of calls. The service counts each call, and a waiting watch as one.
const (
	KindGet       Kind = "get"
	KindList      Kind = "list"
	KindTxn       Kind = "txn"
	KindGrant     Kind = "lease-grant"
	KindKeepAlive Kind = "lease-keepalive"
	KindRevoke    Kind = "lease-revoke"
)

// IsWrite reports whether the service counts the call as a write.
func (k Kind) IsWrite() bool { return k != KindGet && k != KindList }

// Priority orders calls when the gate has to shed; lower values are kept longer.
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
	// Reason is a short constant that labels the call counter.
	Reason string
	// Key is the key of a get or the prefix of a list.
	Key string
	// Limit bounds the entries of a list; 0 is no limit.
	Limit int
	// After is the key after which a list begins.
	After string
	Txn   Txn
	Lease LeaseID
	// TTL is the lifetime of a granted lease.
	TTL time.Duration
}

// Txn writes all Puts and Deletes if all Compares hold; otherwise nothing.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Compare holds if the key's revision equals the given one. 0 means that the key does not exist.
type Compare struct {
	Key string
	// ModRevision is compared unless UseCreate is set; CreateRevision otherwise.
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
	// Applied: the call took effect, or the read succeeded (also with no entry found).
	Applied Outcome = "applied"
	// Conflict: a compare failed and nothing was written. Entries holds the present entries of the compared keys.
	Conflict Outcome = "conflict"
	// NotFound: the lease does not exist any more.
	NotFound Outcome = "not-found"
	// Unknown: the call may or may not have taken effect. Read before writing again.
	Unknown Outcome = "unknown"
	// Unavailable: the call did not take effect.
	Unavailable Outcome = "unavailable"
	// Shed: the gate did not send the call.
	Shed Outcome = "shed"
)

// Result answers a call.
type Result struct {
	Outcome  Outcome
	Entries  []Entry
	Revision int64
	Lease    LeaseID
	TTL      time.Duration
	// Truncated says that a list has more entries after the last one. Client reads them itself.
	Truncated bool
	// Detail explains an outcome other than Applied, for logs.
	Detail string
}

// WatchEvent is a change of a watched key.
type WatchEvent struct {
	Entry   Entry
	Deleted bool
	// Lost says that the watch ended and events may be missing: read again before the next watch.
	Lost bool
	// Detail says why a watch was lost, for logs.
	Detail string
}

// IsPrefix reports whether a watched key stands for all keys below it.
func IsPrefix(key string) bool { return strings.HasSuffix(key, "/") }

// Store is the platform's key-value service.
type Store interface {
	// Do performs one call. It never blocks past ctx; outcomes are values and not errors.
	Do(ctx context.Context, call Call) Result
	// Watch delivers changes of a key, or of all keys below a prefix, after the given revision until ctx ends. A final
	// event with Lost set precedes the close of the channel when the service ended the watch.
	Watch(ctx context.Context, key string, after int64) <-chan WatchEvent
}
