// Package placement measures how the selection of targets and the queues beside them spread calls over targets of different
// speed. It drives the decision code of the daemons with a virtual clock.
package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultSlots are the slots of a target, meanWork the mean execution time of a call at speed 1.
	defaultSlots = 12
	meanWork     = 230 * time.Millisecond
	// noisePeriod, noisyFraction and noisySpeed describe machines that are shared: in 15% of the time all work takes 2.5 times as
	// long, and which machines these are changes every 600 ms.
	noisePeriod   = 600 * time.Millisecond
	noisyFraction = 0.15
	noisySpeed    = 0.4
	// slowSpeed is the speed of a target that runs more calls than it can.
	slowSpeed = 0.2
)

// speeds are the speeds of targets that differ.
var speeds = [...]float64{1, 0.5, 0.33}

// scenario describes the targets of a run.
type scenario struct {
	name string
	// slots returns the announced slots of a target.
	slots func(target int) int
	// usable returns the calls that a target can run without slowing down.
	usable func(target int, changed bool) int
	// speed returns the speed of a target apart from its load. Changed says that the first half of the run is over.
	speed func(target int, at time.Duration, changed bool) float64
	// changes says that the targets change in the middle of the run.
	changes bool
}

func scenarios(seed uint64) []scenario {
	sameSlots := func(int) int { return defaultSlots }
	allSlots := func(int, bool) int { return defaultSlots }
	differentSlots := func(target int) int { return defaultSlots / 2 * (1 + target%3) }
	return []scenario{
		{name: "alike", slots: sameSlots, usable: allSlots, speed: func(int, time.Duration, bool) float64 { return 1 }},
		{name: "three speeds", slots: sameSlots, usable: allSlots,
			speed: func(target int, _ time.Duration, _ bool) float64 { return speeds[target%3] }},
		{name: "slots and speeds", slots: differentSlots, usable: func(target int, _ bool) int { return differentSlots(target) },
			speed: func(target int, _ time.Duration, _ bool) float64 { return speeds[target/3%3] }},
		{name: "speeds change", slots: sameSlots, usable: allSlots, changes: true,
			speed: func(target int, _ time.Duration, changed bool) float64 {
				if changed {
					target++
				}
				return speeds[target%3]
			}},
		{name: "noise", slots: sameSlots, usable: allSlots, speed: func(target int, at time.Duration, _ bool) float64 {
			if rand.New(rand.NewPCG(seed, uint64(target)<<32|uint64(at/noisePeriod))).Float64() < noisyFraction {
				return noisySpeed
			}
			return 1
		}},
		{name: "a third slows, recovers", slots: sameSlots, changes: true,
			speed: func(int, time.Duration, bool) float64 { return 1 },
			usable: func(target int, changed bool) int {
				if target%3 == 0 && !changed {
					return defaultSlots / 2
				}
				return defaultSlots
			}},
	}
}

// capacity returns the calls per second that a target can execute.
func (s *scenario) capacity(target int, at time.Duration, changed bool) float64 {
	return float64(s.usable(target, changed)) * s.speed(target, at, changed) / meanWork.Seconds()
}
