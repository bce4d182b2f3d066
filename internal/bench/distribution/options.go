// Package distribution measures how the configuration reaches every daemon. It runs the real agents with the real
// encoding of their messages in one process, over in-memory links and a virtual clock, and compares them with two naive
// designs.
package distribution

import (
	"time"

	"sniperail.example/sniperail/internal/bench/fleet"
)

const (
	// centreDelay is the one-way delay between daemons of one region, regionDelay between daemons of two regions.
	centreDelay = 1500 * time.Microsecond
	regionDelay = 40 * time.Millisecond
	// storeDelay is the duration of a call to the platform from the region that hosts it, the first one.
	storeDelay = 3 * time.Millisecond
	// changeInterval is the time between changes of the configuration; it gives about 2,100 changes a day.
	changeInterval = 40 * time.Second
	// burstChanges is the number of changes in the burst at the end, burstInterval apart.
	burstChanges  = 20
	burstInterval = 100 * time.Millisecond
	// restartsPerDay is the number of restarts in a fleet of fullFleetSize daemons; it scales with the size of the fleet.
	restartsPerDay = 480
	fullFleetSize  = 1300
	// downtime is the time from the end of a killed or restarted daemon until it boots again.
	downtime = 5 * time.Second
	// killDelay is the time from a change until daemons are killed, so that they die while the change is propagating.
	killDelay = 2 * time.Millisecond
	// startWindow is the time over which the boots of all daemons are spread, at the first start and after all were killed.
	startWindow = 10 * time.Second
	// daemonsPerObserver is n if one in n daemons calls the service under move. Each of these daemons reports its outcomes
	// every second.
	daemonsPerObserver = 8
)

// Options describe a run.
type Options struct {
	// Daemons and Centres give the size of the fleet, Services the size of its configuration.
	Daemons, Centres, Services int
	// Changes is the number of single changes before the burst.
	Changes int
	// Kill is the fraction of the relays that are killed during the middle change, between 0 and 1.
	Kill float64
	Seed uint64
}

func linkDelay(from, to *fleet.Node) time.Duration {
	if from.Target.Region != to.Target.Region {
		return regionDelay
	}
	return centreDelay
}

func storeDelayFrom(n *fleet.Node) time.Duration {
	if n.Target.Region != "region0" {
		return storeDelay + 2*regionDelay
	}
	return storeDelay
}
