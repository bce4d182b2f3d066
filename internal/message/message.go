// Package message holds the messages between daemons as plain structs. Encoding is in internal/peer, so that decision
// code can be driven by any front end.
package message

import (
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// Code answers a message.
type Code string

// Codes of replies.
const (
	Accepted  Code = "accepted"
	NotLeader Code = "not-leader"
	Stale     Code = "stale"
	Unknown   Code = "unknown-member"
	Gap       Code = "gap"
	Refused   Code = "refused"
)

// Request is a message that one daemon sends to another; Command messages change the receiver's state, Query
// messages only read it.
type Request interface{ request() }

// Reply answers a Request.
type Reply interface{ reply() }

// Change is an entry of the platform's store that was written or removed.
type Change struct {
	Entry store.Entry
	// Removed says that the key is gone; ModRevision is then that of the removal.
	Removed bool
}

// Spread brings changes to a peer, which passes on what is news to it.
type Spread struct {
	Changes []Change
	// Number is that of the sender's configuration, and Revision that of its entry. Delta is the change that led to it, or
	// nil.
	Number   model.Number
	Revision int64
	Delta    *Delta
}

// SpreadReply acknowledges a Spread.
type SpreadReply struct{ Code Code }

// CatalogQuery asks a peer for what the sender does not have.
type CatalogQuery struct {
	// Operator and Mesh are digests of the entries that the sender has of what the operator wrote and of what daemons share,
	// one for each part of the keys. Revisions would not do: changes arrive in any order, so that an early one may be missing.
	Operator, Mesh []uint32
	// Number is that of the configuration in force, 0 if there is none.
	Number model.Number
}

// CatalogReply holds the receiver's entries, and the keys that it knows as removed, in the parts whose digests differ.
type CatalogReply struct {
	// Loaded says that the receiver has read everything once; only then Changes may be complete.
	Loaded  bool
	Changes []Change
	// Number is that of the receiver's configuration, and Revision that of its entry.
	Number   model.Number
	Revision int64
	// Marks are the versions that the receiver withholds.
	Marks []model.Mark
	// Deltas lead from the asker's number to Number, one after the other. Configuration is set instead if the asker has none.
	Deltas        []*Delta
	Configuration *model.Configuration
}

// TargetQuery asks a daemon for the target beside it.
type TargetQuery struct{}

// TargetReply describes the target, in state model.TargetGone if there is none.
type TargetReply struct{ Target model.Target }

// EvidenceQuery asks the daemon beside a target for the outcomes of the target's calls.
type EvidenceQuery struct {
	// Service is the service whose move the sender drives, and Held says that it holds the driver's lease.
	Service model.ServiceName
	Held    bool
}

// EvidenceReply holds sums since the start of the daemon.
type EvidenceReply struct {
	Target model.Target
	Sums   []model.KeyedSum
	// Running counts the calls at the target, and Idle says for how long none has arrived.
	Running int
	Idle    time.Duration
}

// Announce introduces a daemon to the leader of its data centre.
type Announce struct {
	Target model.Target
	Number model.Number
	// Relay says that the sender already serves members below it, as after the loss of a leader.
	Relay bool
	// Avoid is the peer address of a parent that the sender could not reach.
	Avoid string
	// Probe only asks for Number and Current of the reply; the sender keeps its parent.
	Probe bool
}

// AnnounceReply assigns a parent.
type AnnounceReply struct {
	Code Code
	Term model.Term
	// Leader is the peer address of the leader that the receiver knows, for NotLeader.
	Leader string
	// Parent is the peer address to send heartbeats to; empty means the leader itself.
	Parent string
	// Relay says that the daemon itself serves as a relay.
	Relay bool
	// Number is the leader's configuration number. A daemon that holds it may serve if Current is set.
	Number model.Number
	// Current says that Number cannot be older than any number that a daemon of this data centre has served.
	Current bool
}

// Heartbeat goes from a daemon to its parent.
type Heartbeat struct {
	From        model.DaemonID
	Incarnation model.Incarnation
	Term        model.Term
	// Seq grows with each heartbeat of an incarnation, so that a late or repeated one is not counted again.
	Seq uint64
	// Own is the sender's number, Number the lowest number of the sender and the live daemons below it. Daemons that do
	// not serve yet have number 0 and are left out of Number.
	Own, Number model.Number
	// Live counts the sender and the live daemons below it.
	Live int
	// Roster is the roster version that the sender holds and RosterTerm the term that counted it.
	Roster     uint64
	RosterTerm model.Term
	// Digest covers the live targets at and below the sender. A parent whose own digest differs asks for all of them.
	Digest uint64
	// MarkDigest covers the marks that the sender holds.
	MarkDigest uint64
	// AskLeader asks for the leader's address in the reply.
	AskLeader bool
	// Full says that Changed lists every live target at and below the sender.
	Full bool
	// Changed lists targets whose announcement changed since the last heartbeat.
	Changed []model.Target
	Silent  []model.SilentDaemon
	// Sums holds request outcomes of services with an active move.
	Sums     []ServiceSums
	Refusals []model.Refusal
	Marks    []model.Mark
}

// HeartbeatReply tells the child whether it is behind. Unknown asks for a full heartbeat.
type HeartbeatReply struct {
	Code Code
	Term model.Term
	// Leader is the peer address of the leader, set when the child's term differs or when it asked.
	Leader string
	// Number is the configuration number that the parent holds.
	Number model.Number
	// AgeMS is how long ago, in milliseconds, the parent last knew to be connected to the source of configuration.
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
	Moves           []model.Move
	RemovedMoves    []model.PlanID
	// Withdrawn, Dashboard and Limits replace the old values as a whole.
	Withdrawn []model.VersionRef
	Dashboard *model.Dashboard
	Limits    *model.CallerLimits
	// Checksum covers the resulting configuration.
	Checksum uint64
}

// RosterChange turns roster version Base of BaseTerm into Version of Term; Base 0 is a snapshot. A leader counts the
// versions of its term on from the version that it held of the term before.
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

// Exchange goes from leader to leader.
type Exchange struct {
	DataCentre model.DataCentre
	Leader     string
	Term       model.Term
	// Seq grows with each exchange of a term to one peer, so that evidence is not counted twice.
	Seq uint64
	// Number is the configuration number that the sender holds.
	Number model.Number
	// Platform says that the sender holds its lease and reaches the platform.
	Platform bool
	// Driver says that the sender drives the moves and wants the evidence of all data centres.
	Driver bool
	// Roster changes the targets of the sender's data centre.
	Roster  *RosterChange
	InForce model.InForce
	// Sums are the outcomes of the sender's data centre from From to To, sent to the driver only.
	Sums     []ServiceSums
	From, To time.Time
	Marks    []model.Mark
	// Holds come from the driver only.
	Holds []Hold
}

// ExchangeReply answers an Exchange. Gap asks for the roster from version Roster.
type ExchangeReply struct {
	Code   Code
	Term   model.Term
	Roster uint64
	Number model.Number
}

// Withhold spreads marks from peer to peer.
type Withhold struct{ Marks []model.Mark }

// WithholdReply answers a Withhold.
type WithholdReply struct{ Code Code }

// SnapshotQuery asks a peer for its configuration and roster if they are newer.
type SnapshotQuery struct {
	From       model.DaemonID
	Number     model.Number
	Roster     uint64
	RosterTerm model.Term
}

// SnapshotReply answers a SnapshotQuery; nil parts mean nothing newer.
type SnapshotReply struct {
	Term          model.Term
	Configuration *model.Configuration
	Roster        *RosterChange
	Marks         []model.Mark
}

// Scope says how far a LoadQuery goes.
type Scope string

// Scopes of a LoadQuery.
const (
	// ScopeTree covers the receiver and the daemons below it.
	ScopeTree Scope = "tree"
	// ScopeAll covers all data centres; a receiver that is not a leader passes the query on to its leader.
	ScopeAll Scope = "all"
)

// LoadQuery asks for the calls that daemons received as ingress. It is sent when a plan is made, so that load costs no
// control bytes otherwise.
type LoadQuery struct {
	Service model.ServiceName
	Scope   Scope
}

// LoadReply answers a LoadQuery.
type LoadReply struct {
	Routes []RouteLoad
	// Daemons counts the daemons that answered. Those without an answer make the load too low.
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
	// Holds says why moves do not go on, as the driver last reported.
	Holds []Hold
	// At is when the reply was made.
	At time.Time
}

// Hold says why a move does not go on.
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
