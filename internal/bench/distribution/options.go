// Package distribution measures how configuration reaches every daemon: the real agents and the real encoding of
// their messages in one process, over in-memory links and a virtual clock, beside two naive designs.
package distribution

import (
	"time"

	"sniperail.example/sniperail/internal/bench/fleet"
)

const (
	// centreDelay is one way between daemons of one region, regionDelay between regions.
	centreDelay = 1500 * time.Microsecond
	regionDelay = 40 * time.Millisecond
	// storeDelay is a call to the platform from its own region, the first one.
	storeDelay = 3 * time.Millisecond
	// changeInterval is the time between changes: 2,100 a day.
	changeInterval = 40 * time.Second
	// burst is how many changes follow each other at the end, burstInterval apart.
	burst         = 20
	burstInterval = 100 * time.Millisecond
	// restartsPerDay is for fullSize daemons and scales with the fleet.
	restartsPerDay = 480
	fullSize       = 1300
	// downFor is how long a killed or restarted daemon stays away.
	downFor = 5 * time.Second
	// killAfter is when after a change relays are killed: while the change is on its way.
	killAfter = 2 * time.Millisecond
	// returnWithin is the time in which all daemons come back after they died at once.
	returnWithin = 10 * time.Second
	// observers is one in how many daemons calls a service under move; each reports its outcomes every second.
	observers = 8
)

// Options of a run.
type Options struct {
	// Daemons and Centres give the size of the fleet, Services of its configuration.
	Daemons, Centres, Services int
	// Changes is the number of single changes before the burst.
	Changes int
	// Kill is the share of relays killed during the middle change, between 0 and 1.
	Kill float64
	Seed uint64
}

func delay(from, to *fleet.Node) time.Duration {
	if from.Target.Region != to.Target.Region {
		return regionDelay
	}
	return centreDelay
}

func storeDelayOf(n *fleet.Node) time.Duration {
	if n.Target.Region != "region0" {
		return storeDelay + 2*regionDelay
	}
	return storeDelay
}
