// Package message defines the messages between daemons as plain structs. They are encoded in internal/peer, so that
// decision code does not depend on the transport.
package message

import (
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// Code is the result code of a reply.
type Code string

// Codes of replies.
const (
	Accepted      Code = "accepted"
	NotLeader     Code = "not-leader"
	Stale         Code = "stale"
	UnknownMember Code = "unknown-member"
	Gap           Code = "gap"
	Refused       Code = "refused"
	NotOwner      Code = "not-owner"
)

// Request is a message that one daemon sends to another; Command messages change the receiver's state, Query
// messages only read it.
type Request interface{ request() }

// Reply answers a Request.
type Reply interface{ reply() }

// Change is a write or a removal of one entry of the platform's store.
type Change struct {
	Entry store.Entry
	// Removed is set if the key was removed; Entry.ModRevision is then the revision of the removal.
	Removed bool
}

// Spread is a gossip message: it sends changes to a peer, which forwards those that it did not have.
type Spread struct {
	// From is the peer address of the sender.
	From    string
	Changes []Change
	// Era is the era of the store to which Changes and Revision belong. It is zero while the sender replaces its entries by those of a
	// new era.
	Era store.Era
	// Number is the number of the sender's configuration and Revision the store revision of its entry. Delta is the change
	// that produced it from the configuration before, or nil.
	Number   model.Number
	Revision int64
	Delta    *Delta
	// Check is the number of a freshness check if the message announces one, 0 otherwise: a daemon has compared its operator's
	// keys with the platform's, and Number was the latest configuration.
	Check uint64
	// Shared are records that the platform had not stored when they were shared.
	Shared []SharedRecord
	// Document is the latest document of the configuration that the sender knows to be valid. It belongs to Era, and is nil if the
	// sender knows none or confirms no configurations.
	Document *Document
}

// SharedRecord is the record of a target that is leaving, which its daemon shares with its peers because the platform has not
// stored it.
type SharedRecord struct {
	Record model.TargetRecord
	// Age is the time since the record was shared. Daemons drop it once it is old.
	Age time.Duration
}

// SpreadReply acknowledges a Spread.
type SpreadReply struct{ Code Code }

// CatalogQuery is an anti-entropy request: it asks a peer for entries, marks and configuration that the sender lacks.
type CatalogQuery struct {
	// Operator and Mesh are digests of the sender's entries: those that the operator wrote and those that daemons share. The
	// keys are partitioned by hash, with one digest per partition. The highest revision would not be enough: changes arrive
	// in any order, so an earlier one may still be missing.
	Operator, Mesh []uint32
	// Number is the number of the configuration whose changes are wanted, or 0 to get the whole configuration.
	Number model.Number
}

// CatalogReply holds the entries of the daemon that answers, and the keys that it knows to be removed, from the partitions
// whose digests differ.
type CatalogReply struct {
	// Loaded is set if the answering daemon has read the whole store at least once. Otherwise Changes may be incomplete.
	Loaded bool
	// Era is the era of the store to which the entries belong. It is zero, and there are no Changes, while the answering daemon replaces
	// its entries by those of a new era.
	Era     store.Era
	Changes []Change
	// DifferingOperator and DifferingMesh have a bit for each partition whose digests differ.
	DifferingOperator, DifferingMesh uint32
	// LostMoves are moves that the store has lost in a restore and that have not been written again.
	LostMoves []model.Rollout
	// Number is the number of the answering daemon's configuration and Revision the store revision of its entry.
	Number   model.Number
	Revision int64
	// Marks are the versions that the answering daemon withholds.
	Marks []model.Mark
	// Deltas are the consecutive changes from CatalogQuery.Number to Number, empty if the answering daemon does not keep all of
	// them. Configuration is set instead if that number is 0.
	Deltas        []*Delta
	Configuration *model.Configuration
	// Shared are the records that the answering daemon keeps for others; see Spread.
	Shared []SharedRecord
}

// TargetQuery asks a daemon for a description of its local target.
type TargetQuery struct{}

// TargetReply describes the local target. Its state is model.TargetGone if there is none.
type TargetReply struct{ Target model.Target }

// EvidenceQuery asks a daemon for the outcomes of the calls to its local target.
type EvidenceQuery struct {
	// Service is the service whose move the sender drives. Held is set if the sender holds the driver's lease.
	Service model.ServiceName
	Held    bool
}

// EvidenceReply holds the outcomes summed since the start of the answering daemon.
type EvidenceReply struct {
	Target model.Target
	Sums   []model.KeyedSum
	// Running is the number of calls in flight at the target and Idle the time since the last call arrived.
	Running int
	Idle    time.Duration
}

// Announce introduces a daemon to the leader of its data centre.
type Announce struct {
	Target model.Target
	Number model.Number
	// Relay is set if the sender already is a relay with members below it, for example after the loss of a leader.
	Relay bool
	// Avoid is the peer address of a parent that the sender could not reach.
	Avoid string
	// Probe is set if the sender only wants Number and Current of the reply and keeps its parent.
	Probe bool
}

// AnnounceReply assigns a parent.
type AnnounceReply struct {
	Code Code
	Term model.Term
	// Leader is set with NotLeader: the peer address of the leader as far as the answering daemon knows it.
	Leader string
	// Parent is the peer address to send heartbeats to; empty means the leader itself.
	Parent string
	// Relay makes the announced daemon a relay.
	Relay bool
	// Number is the leader's configuration number. If Current is set, a daemon that holds this number may serve.
	Number model.Number
	// Current is set if Number cannot be older than any number that a daemon of this data centre has served.
	Current bool
}

// Heartbeat is sent by a daemon to its parent.
type Heartbeat struct {
	From        model.DaemonID
	Incarnation model.Incarnation
	Term        model.Term
	// Seq grows with each heartbeat of an incarnation, so that a delayed or duplicate heartbeat is not counted again.
	Seq uint64
	// Own is the sender's configuration number; Number is the lowest number of the sender and the live daemons below it.
	// Daemons that do not serve yet have number 0 and are left out of Number.
	Own, Number model.Number
	// Live counts the sender and the live daemons below it.
	Live int
	// Roster is the roster version that the sender holds and RosterTerm the term of that version.
	Roster     uint64
	RosterTerm model.Term
	// Digest covers the live targets at and below the sender. A parent whose digest differs asks for a full heartbeat.
	Digest uint64
	// MarkDigest covers the marks that the sender holds.
	MarkDigest uint64
	// AskLeader asks for the leader's address in the reply.
	AskLeader bool
	// Full is set if Changed lists every live target at and below the sender.
	Full bool
	// Changed lists targets whose announcement changed since the last heartbeat.
	Changed []model.Target
	Silent  []model.SilentDaemon
	// Sums holds request outcomes of services with an active move.
	Sums     []ServiceSums
	Refusals []model.Refusal
	Marks    []model.Mark
}

// HeartbeatReply tells the child which configuration and marks its parent holds. Code UnknownMember asks for a full heartbeat.
type HeartbeatReply struct {
	Code Code
	Term model.Term
	// Leader is the peer address of the leader. It is set if the child's term differs or if the child asked for it.
	Leader string
	// Number is the configuration number that the parent holds.
	Number model.Number
	// AgeMS is the time in milliseconds since the parent last had a confirmed connection to the source of configuration.
	AgeMS int64
	// MarkDigest covers the marks that the parent holds.
	MarkDigest uint64
}

// Update carries configuration, roster and marks down the tree.
type Update struct {
	Term model.Term
	// Configuration is a snapshot, or nil.
	Configuration *model.Configuration
	// Delta is a change from Delta.Base, or nil.
	Delta *Delta
	// Roster is the change of the roster, or nil.
	Roster *RosterChange
	Marks  []model.Mark
}

// Delta turns the configuration Base into Number. Checksum covers the result.
type Delta struct {
	Base, Number    model.Number
	Services        []model.Service
	RemovedServices []model.ServiceName
	Routes          []model.Route
	RemovedRoutes   []model.RouteName
	Tenants         []model.Tenant
	RemovedTenants  []model.TenantName
	Moves           []model.Move
	RemovedMoves    []model.PlanID
	// Withdrawn, Dashboard and Limits replace the old values as a whole.
	Withdrawn []model.VersionRef
	Dashboard *model.Dashboard
	Limits    *model.CallerLimits
	// Checksum covers the resulting configuration.
	Checksum uint64
}

// RosterChange turns roster version Base of BaseTerm into Version of Term; Base 0 is a snapshot. A new leader continues
// the version numbers from the version that it held when its term began.
type RosterChange struct {
	Term, BaseTerm model.Term
	Base, Version  uint64
	Groups         []TargetGroup
	Removed        []model.DaemonID
}

// UpdateReply answers an Update.
type UpdateReply struct {
	Code       Code
	Term       model.Term
	Number     model.Number
	Roster     uint64
	RosterTerm model.Term
	// MarkDigest covers the marks that the receiver holds.
	MarkDigest uint64
	Reason     string
}

// Exchange is sent by a leader to the leader of another data centre.
type Exchange struct {
	DataCentre model.DataCentre
	Leader     string
	Term       model.Term
	// Seq grows with each exchange of a term to one peer, so that evidence is not counted twice.
	Seq uint64
	// Number is the configuration number that the sender holds.
	Number model.Number
	// Platform is set if the sender's lease is valid, which shows that it reaches the platform.
	Platform bool
	// Driver is set if the sender drives the moves and so needs the evidence of all data centres.
	Driver bool
	// Roster is the change of the targets of the sender's data centre, or nil.
	Roster  *RosterChange
	InForce model.InForce
	// Sums are the outcomes of the sender's data centre from From to To. They are sent to the driver only.
	Sums     []ServiceSums
	From, To time.Time
	Marks    []model.Mark
	// Holds are set by the driver only.
	Holds []Hold
}

// ExchangeReply answers an Exchange. Code Gap asks for the roster changes since version Roster.
type ExchangeReply struct {
	Code   Code
	Term   model.Term
	Roster uint64
	Number model.Number
}

// Withhold is a gossip message that sends marks to a peer.
type Withhold struct{ Marks []model.Mark }

// WithholdReply answers a Withhold.
type WithholdReply struct{ Code Code }

// SnapshotQuery asks a peer for its configuration and roster if they are newer than the sender's.
type SnapshotQuery struct {
	From       model.DaemonID
	Number     model.Number
	Roster     uint64
	RosterTerm model.Term
}

// SnapshotReply answers a SnapshotQuery. Configuration and Roster are nil if those of the querying daemon are not older.
type SnapshotReply struct {
	Term          model.Term
	Configuration *model.Configuration
	Roster        *RosterChange
	Marks         []model.Mark
}

// Scope selects the daemons that a LoadQuery covers.
type Scope string

// Scopes of a LoadQuery.
const (
	// ScopeTree covers the receiver and the daemons below it.
	ScopeTree Scope = "tree"
	// ScopeAll covers all data centres; a receiver that is not a leader forwards the query to its leader.
	ScopeAll Scope = "all"
)

// LoadQuery asks for the load of calls that daemons received as ingress. It is sent only when a plan is made, so that load
// measurement costs no control traffic at other times.
type LoadQuery struct {
	Service model.ServiceName
	Scope   Scope
}

// LoadReply answers a LoadQuery.
type LoadReply struct {
	Routes []RouteLoad
	// Daemons is the number of daemons that answered. The load of the others is missing, so the sum is too low.
	Daemons int
}

// RouteLoad is the load of one route.
type RouteLoad struct {
	Route          model.RouteName
	CallsPerSecond float64
	// MeanLatencyMS is the mean latency of a call in milliseconds.
	MeanLatencyMS float64
}

// StatusQuery asks a leader for the state of its data centre.
type StatusQuery struct{}

// StatusReply answers a StatusQuery.
type StatusReply struct {
	DataCentre model.DataCentre
	Leader     string
	Term       model.Term
	InForce    model.InForce
	Targets    []model.Target
	Marks      []model.Mark
	// Holds are the reasons why moves do not advance, as last reported by the driver.
	Holds []Hold
	// At is when the reply was made.
	At time.Time
}

// Hold is the reason why a move does not advance.
type Hold struct {
	Move   model.PlanID
	Reason string
}

func (*Announce) request()      {}
func (*Heartbeat) request()     {}
func (*Update) request()        {}
func (*Exchange) request()      {}
func (*Withhold) request()      {}
func (*SnapshotQuery) request() {}
func (*StatusQuery) request()   {}
func (*LoadQuery) request()     {}
func (*CatalogQuery) request()  {}
func (*TargetQuery) request()   {}
func (*Spread) request()        {}
func (*EvidenceQuery) request() {}

func (*AnnounceReply) reply()  {}
func (*HeartbeatReply) reply() {}
func (*UpdateReply) reply()    {}
func (*ExchangeReply) reply()  {}
func (*WithholdReply) reply()  {}
func (*SnapshotReply) reply()  {}
func (*StatusReply) reply()    {}
func (*LoadReply) reply()      {}
func (*CatalogReply) reply()   {}
func (*TargetReply) reply()    {}
func (*SpreadReply) reply()    {}
func (*EvidenceReply) reply()  {}
