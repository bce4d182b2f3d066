// Package model defines the data types of sniperail: configurations, moves, targets and the view that a daemon
// publishes to its traffic goroutines. It does no I/O and has no mutable package state.
package model

import "fmt"

type (
	// Number is the sequence number of a configuration. It grows by one with each write, and a daemon never goes back to
	// a lower number.
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
	// TenantName names a tenant, a customer whose callers have API keys and a quota.
	TenantName string
	// InstanceID is the name that a target reports for one run of itself. A restarted target may reuse the name.
	InstanceID string
	// PlanID names a plan and the move that starts when the plan is confirmed.
	PlanID string
	// Incarnation is the start time of a daemon process in Unix nanoseconds. Of two incarnations the higher is
	// the current one.
	Incarnation int64
	// Term is the create revision of a leader's lease key, so it grows with each new leader.
	Term int64
)

// Share is a fraction of a service's calls in basis points.
type Share int

// FullShare is 100% in basis points.
const FullShare Share = 10_000

// String formats the share in percent.
func (s Share) String() string {
	return fmt.Sprintf("%.2f%%", float64(s)/100)
}

// VersionRef names one version of one service.
type VersionRef struct {
	Service ServiceName `json:"service"`
	Version VersionName `json:"version"`
}

// String formats the reference as service/version.
func (r VersionRef) String() string { return string(r.Service) + "/" + string(r.Version) }
