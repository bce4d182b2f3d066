// Package model holds the typed core of sniperail: configuration, moves, targets and the view that a daemon
// publishes to its traffic goroutines. It has values only, no I/O and no state.
package model

import "fmt"

type (
	// Number orders configurations. It grows by one with each write and never falls on a daemon.
	Number uint64
	// ServiceName names a service, such as "placements".
	ServiceName string
	// RouteName names a route.
	RouteName string
	// VersionName names a version of a service, such as "v2".
	VersionName string
	// DataCentre names a data centre, such as "worcester".
	DataCentre string
	// Region names a region, such as "new-england".
	Region string
	// DaemonID names a daemon and the upstream beside it. It survives restarts.
	DaemonID string
	// InstanceID names one run of a target, as the target calls itself. A target may start again under the same one.
	InstanceID string
	// PlanID names a plan and the move that confirming it starts.
	PlanID string
	// Incarnation is the start time of a daemon process in Unix nanoseconds. The higher one wins.
	Incarnation int64
	// Term is the create revision of a leader's lease key. It only grows.
	Term int64
)

// Share is a part of a service's calls in basis points.
type Share int

// FullShare is 100% in basis points.
const FullShare Share = 10_000

// String renders the share in percent.
func (s Share) String() string {
	return fmt.Sprintf("%.2f%%", float64(s)/100)
}

// VersionRef names one version of one service.
type VersionRef struct {
	Service ServiceName `json:"service"`
	Version VersionName `json:"version"`
}

// String renders the reference as service/version.
func (r VersionRef) String() string { return string(r.Service) + "/" + string(r.Version) }
