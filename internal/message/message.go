// Package message holds the messages between daemons as plain structs. Encoding is in internal/peer, so that decision
// code can be driven by any front end.
package message

import (
	"time"

	"sniperail.example/sniperail/internal/model"
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

// Announce introduces a daemon to the leader of its data centre.
type Announce struct {
	Target model.Target
	Number model.Number
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
}

// Heartbeat goes from a daemon to its parent.
type Heartbeat struct {
	From        model.DaemonID
	Incarnation model.Incarnation
	Term        model.Term
	// Number is the lowest number in force at the sender and the live daemons below it.
	Number model.Number
	// Live counts the sender and the live daemons below it.
	Live int
	// Changed lists targets whose announcement changed since the last accepted heartbeat.
	Changed []model.Target
	Silent  []model.SilentDaemon
	// Sums holds request outcomes of services with an active move.
	Sums     []model.KeyedSum
	Refusals []model.Refusal
	Marks    []model.Mark
}

// HeartbeatReply tells the child whether it is behind.
type HeartbeatReply struct {
	Code Code
	Term model.Term
	// Number and Roster are the versions that the parent holds.
	Number model.Number
	Roster uint64
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
	Withdrawn       []model.VersionRef
	Checksum        uint64
}

// RosterChange turns roster version Base into Version; Base 0 is a snapshot.
type RosterChange struct {
	Base, Version uint64
	Targets       []model.Target
	Removed       []model.DaemonID
}

// UpdateReply answers an Update.
type UpdateReply struct {
	Code   Code
	Number model.Number
	Roster uint64
	Reason string
}

// Exchange goes from leader to leader.
type Exchange struct {
	DataCentre model.DataCentre
	Leader     string
	Term       model.Term
	Roster     *RosterChange
	InForce    model.InForce
	Evidence   model.Evidence
	Marks      []model.Mark
}

// ExchangeReply answers an Exchange.
type ExchangeReply struct {
	Code   Code
	Roster uint64
	Number model.Number
}

// Withhold spreads marks from peer to peer.
type Withhold struct{ Marks []model.Mark }

// WithholdReply answers a Withhold.
type WithholdReply struct{ Code Code }

// SnapshotQuery asks a peer for its configuration and roster if they are newer.
type SnapshotQuery struct {
	From   model.DaemonID
	Number model.Number
	Roster uint64
}

// SnapshotReply answers a SnapshotQuery; nil parts mean nothing newer.
type SnapshotReply struct {
	Term          model.Term
	Configuration *model.Configuration
	Roster        *RosterChange
	Marks         []model.Mark
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
	// At is when the reply was made.
	At time.Time
}

func (*Announce) request()      {}
func (*Heartbeat) request()     {}
func (*Update) request()        {}
func (*Exchange) request()      {}
func (*Withhold) request()      {}
func (*SnapshotQuery) request() {}
func (*StatusQuery) request()   {}

func (*AnnounceReply) reply()  {}
func (*HeartbeatReply) reply() {}
func (*UpdateReply) reply()    {}
func (*ExchangeReply) reply()  {}
func (*WithholdReply) reply()  {}
func (*SnapshotReply) reply()  {}
func (*StatusReply) reply()    {}
