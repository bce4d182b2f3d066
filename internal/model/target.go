package model

import (
	"slices"
	"time"
)

// TargetState is the state of a target as announced by the daemon beside it.
type TargetState string

// States of a target. Only ready targets receive new work.
const (
	TargetStarting TargetState = "starting"
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
	TargetDown     TargetState = "down"
	TargetSilent   TargetState = "silent"
	// TargetGone is a target that has reported its own shutdown.
	TargetGone TargetState = "gone"
)

// IsKnown reports whether s is one of the states above.
func (s TargetState) IsKnown() bool {
	switch s {
	case TargetStarting, TargetReady, TargetDraining, TargetDown, TargetSilent, TargetGone:
		return true
	}
	return false
}

// Target is one upstream: a process that runs one version of a service, and the daemon beside it.
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
	// DaemonEnds says that State is draining because the daemon shuts down while the target keeps running.
	DaemonEnds bool `json:"daemonEnds,omitempty"`
	// Since is when the target entered State.
	Since time.Time `json:"since"`
	// Instance is the name that the target reports for itself; empty if the target does not report to its daemon.
	Instance InstanceID `json:"instance,omitempty"`
	// Born is the start time of the target in Unix milliseconds, by the target's clock.
	Born int64 `json:"born,omitempty"`
	// WarmAt is when the target is expected to reach full speed after its start.
	WarmAt time.Time `json:"warmAt,omitzero"`
	// WarmupLeft is, in what a daemon sends or stores, the time until WarmAt: clocks of machines differ and jump. Receivers count
	// it from the receipt; see Received.
	WarmupLeft time.Duration `json:"warmupLeft,omitempty"`
	// Sequence counts the announcements of one incarnation of the daemon.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Newer reports whether t is a later announcement than o. Both must come from the same daemon.
func (t *Target) Newer(o *Target) bool {
	if t.Incarnation != o.Incarnation {
		return t.Incarnation > o.Incarnation
	}
	return t.Sequence > o.Sequence
}

// IsSameRun reports whether both announcements are of the same run of a target.
func (t *Target) IsSameRun(o *Target) bool { return t.Instance == o.Instance && t.Born == o.Born }

// ForPeers returns the target as it is sent to other daemons or stored. A target that is warm has no WarmAt.
func (t Target) ForPeers(now time.Time) Target {
	if t.WarmupLeft = max(t.WarmAt.Sub(now), 0); t.WarmupLeft == 0 {
		t.WarmAt = time.Time{}
	}
	return t
}

// Received sets WarmAt by the clock of this daemon in a target that ForPeers has returned. A daemon of an earlier release sends no
// WarmupLeft, and its WarmAt stays.
func (t *Target) Received(now time.Time) {
	if t.WarmupLeft > 0 {
		t.WarmAt = now.Add(t.WarmupLeft)
	}
	t.WarmupLeft = 0
}

// TargetRecord is the announcement of a target as the platform stores it. Besides the target it holds what the next process of
// the daemon needs to recognise late reports.
type TargetRecord struct {
	Target
	// ReportSeq is the Seq of the latest report that was accepted when the record was written.
	ReportSeq uint64 `json:"reportSeq,omitempty"`
	// Leaving says that the run has said in a response that it is leaving. No report of that run undoes it.
	Leaving bool `json:"leaving,omitempty"`
	// Departures are the latest deregistrations that named no start time.
	Departures []Departure `json:"departures,omitempty"`
}

// Departure says that the runs of Instance that had started by BornBy, in Unix milliseconds, have deregistered.
type Departure struct {
	Instance InstanceID `json:"instance"`
	BornBy   int64      `json:"bornBy"`
}

// Covers reports whether a report comes from a run that has departed.
func (d Departure) Covers(r *TargetReport) bool {
	return r.Instance == d.Instance && r.Born <= d.BornBy
}

// Includes reports whether d covers every run that o covers.
func (d Departure) Includes(o Departure) bool {
	return d.Instance == o.Instance && d.BornBy >= o.BornBy
}

// IsLeaving reports whether the record says that the target leaves service, for another reason than the end of its daemon.
func (r *TargetRecord) IsLeaving() bool {
	return r.State == TargetDraining && !r.DaemonEnds || r.State == TargetGone
}

// HoldsLeaving reports whether the next process of the daemon must know the record, because a run was acknowledged as leaving.
func (r *TargetRecord) HoldsLeaving() bool { return r.IsLeaving() || len(r.Departures) > 0 }

// LastReport returns the latest report that the record is known to follow from.
func (r *TargetRecord) LastReport() *TargetReport {
	state := r.State
	if r.DaemonEnds {
		state = TargetReady
	}
	return &TargetReport{
		Instance: r.Instance, Born: r.Born, Seq: r.ReportSeq, Service: r.Service, Version: r.Version, Slots: r.Slots, State: state,
	}
}

// TargetReport is a status report that a target sends to the daemon beside it.
type TargetReport struct {
	Instance InstanceID
	// Born is the start time of the target in Unix milliseconds. A restarted target may reuse its Instance.
	Born int64
	// Seq grows with each report of one run, so that a report that arrives out of order is recognised.
	Seq     uint64
	Service ServiceName
	Version VersionName
	Slots   int
	State   TargetState
	// WarmupLeft is the time until the target reaches full speed.
	WarmupLeft time.Duration
}

// Newer reports whether r is a later report than o.
func (r *TargetReport) Newer(o *TargetReport) bool {
	if r.Born != o.Born {
		return r.Born > o.Born
	}
	if r.Instance != o.Instance {
		// Two runs with the same start time: the run that reported last has taken over the address.
		return true
	}
	return r.Seq > o.Seq
}

// LateAfter reports whether r was sent before o, or by a run that has ended with o or before it. Delayed reports arrive seconds
// after later ones.
func (r *TargetReport) LateAfter(o *TargetReport) bool {
	if o.State == TargetGone && r.Instance == o.Instance && r.Born <= o.Born {
		return true
	}
	return !r.Newer(o)
}

// Ref returns the version that the target runs.
func (t *Target) Ref() VersionRef { return VersionRef{Service: t.Service, Version: t.Version} }

// Mark withholds a version: the version receives no more calls. Marks are merged as a
// grow-only set; those of moves that are over may be forgotten.
type Mark struct {
	VersionRef
	Move   PlanID    `json:"move"`
	Reason string    `json:"reason"`
	By     DaemonID  `json:"by"`
	At     time.Time `json:"at"`
}

// InForce reports how far a configuration has been distributed.
type InForce struct {
	// Number is the lowest configuration number among those that the live daemons have acknowledged.
	Number Number `json:"number"`
	// Live is the number of daemons that send heartbeats.
	Live int `json:"live"`
	// Silent lists daemons whose heartbeats have stopped. They do not count for Number.
	Silent []SilentDaemon `json:"silent,omitempty"`
	// Refusals lists the configurations that daemons refused, with the reasons.
	Refusals []Refusal `json:"refusals,omitempty"`
	// Blind lists data centres whose leaders have sent no recent report.
	Blind []DataCentre `json:"blind,omitempty"`
}

// SilentDaemon is a daemon whose heartbeats have stopped, and the time since which it has been silent.
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

// View is the state that traffic goroutines read. It is immutable and replaced as a whole.
type View struct {
	Configuration *Configuration
	// Targets is sorted by daemon.
	Targets []Target
	// Marks are the versions withheld on this daemon.
	Marks []Mark
	// Canaries are, by service under a move, the daemons of Rollout.Canaries.
	Canaries map[ServiceName][]DaemonID
	// Ready says that the daemon has a configuration that is known to be current.
	Ready bool
	// Isolated says that no parent has answered within the time limit; a version that is being rolled out then gets no
	// share.
	Isolated bool
	// DataCentre and Region are the daemon's own.
	DataCentre DataCentre
	Region     Region
	// Local is the target beside this daemon.
	Local Target
	// Evacuated are the data centres whose targets get no calls, in order.
	Evacuated []DataCentre
}

// IsEvacuated reports whether the targets of a data centre get no calls.
func (v *View) IsEvacuated(dc DataCentre) bool { return slices.Contains(v.Evacuated, dc) }
