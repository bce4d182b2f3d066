package model

import "time"

// TargetState is what a daemon announces about the target beside it.
type TargetState string

// States of a target. Only ready targets receive new work.
const (
	TargetStarting TargetState = "starting"
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
	TargetDown     TargetState = "down"
	TargetSilent   TargetState = "silent"
	// TargetGone is a target that has said that it ends.
	TargetGone TargetState = "gone"
)

// Target is one upstream: a back end of one version of a service and the daemon beside it.
type Target struct {
	Daemon      DaemonID    `json:"daemon"`
	Incarnation Incarnation `json:"incarnation"`
	Service     ServiceName `json:"service"`
	Version     VersionName `json:"version"`
	DataCentre  DataCentre  `json:"dataCentre"`
	Region      Region      `json:"region"`
	// Address is the admission listener of the daemon beside the target, host:port.
	Address string `json:"address"`
	// PeerAddress is the daemon's net/rpc listener, host:port.
	PeerAddress string      `json:"peerAddress"`
	Slots       int         `json:"slots"`
	Connections int         `json:"connections"`
	State       TargetState `json:"state"`
	// DaemonEnds says that State is draining because the daemon ends, while the target stays.
	DaemonEnds bool `json:"daemonEnds,omitempty"`
	// Since is when the target entered State.
	Since time.Time `json:"since"`
	// Instance is what the target calls itself, empty if it does not report to its daemon.
	Instance InstanceID `json:"instance,omitempty"`
	// Born is the start of the target in Unix milliseconds, by its own clock.
	Born int64 `json:"born,omitempty"`
	// WarmAt is when the target is expected to have its full speed.
	WarmAt time.Time `json:"warmAt,omitzero"`
	// Sequence counts the announcements of one incarnation of the daemon.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Newer reports whether the announcement t follows o, both of the same daemon.
func (t *Target) Newer(o *Target) bool {
	if t.Incarnation != o.Incarnation {
		return t.Incarnation > o.Incarnation
	}
	return t.Sequence > o.Sequence
}

// TargetReport is what a target says of itself to the daemon beside it.
type TargetReport struct {
	Instance InstanceID
	// Born is the start of the target in Unix milliseconds. A target may start again under the same Instance.
	Born int64
	// Seq grows with each report of one run, so that a late report is recognised.
	Seq     uint64
	Service ServiceName
	Version VersionName
	Slots   int
	State   TargetState
	// WarmupLeft is how much longer the target is slow after its start.
	WarmupLeft time.Duration
}

// Newer reports whether the report r follows o.
func (r *TargetReport) Newer(o *TargetReport) bool {
	if r.Born != o.Born {
		return r.Born > o.Born
	}
	if r.Instance != o.Instance {
		// Two runs with the same start: the one heard last holds the address.
		return true
	}
	return r.Seq > o.Seq
}

// Ref returns the version that the target runs.
func (t *Target) Ref() VersionRef { return VersionRef{Service: t.Service, Version: t.Version} }

// Mark withholds a version: it receives no more calls. Marks only grow.
type Mark struct {
	VersionRef
	Move   PlanID    `json:"move"`
	Reason string    `json:"reason"`
	By     DaemonID  `json:"by"`
	At     time.Time `json:"at"`
}

// InForce tells how far a configuration has reached.
type InForce struct {
	// Number is the lowest number that any live daemon has acknowledged.
	Number Number `json:"number"`
	Live   int    `json:"live"`
	// Silent lists daemons without a heartbeat, never counted as having a configuration in force.
	Silent []SilentDaemon `json:"silent,omitempty"`
	// Refusals lists configurations that a daemon refused, with the reason.
	Refusals []Refusal `json:"refusals,omitempty"`
	// Blind lists data centres without a report.
	Blind []DataCentre `json:"blind,omitempty"`
}

// SilentDaemon is a daemon without a heartbeat and since when.
type SilentDaemon struct {
	Daemon     DaemonID   `json:"daemon"`
	DataCentre DataCentre `json:"dataCentre"`
	Since      time.Time  `json:"since"`
}

// Refusal is a configuration that a daemon refused as a whole.
type Refusal struct {
	Daemon DaemonID `json:"daemon"`
	Number Number   `json:"number"`
	Reason string   `json:"reason"`
}

// View is what traffic goroutines read. It is immutable and swapped whole.
type View struct {
	Configuration *Configuration
	// Targets is sorted by daemon.
	Targets []Target
	// Marks are the versions withheld on this daemon.
	Marks []Mark
	// Ready says that the daemon knows a configuration number that cannot be old.
	Ready bool
	// Isolated says that no parent has answered within the limit; a version under move then gets no share.
	Isolated bool
	// DataCentre and Region are the daemon's own.
	DataCentre DataCentre
	Region     Region
	// Local is the target beside this daemon.
	Local Target
}
