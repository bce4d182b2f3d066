package routing

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

const (
	// SlowStart is how long a target that became ready receives a growing part of its calls.
	SlowStart = 10 * time.Second
	// slowStartFloor is the part at the beginning of SlowStart; without it a cold target would stay cold.
	slowStartFloor = 0.1
	// assumedLatency stands in for the latency of a target without calls.
	assumedLatency = time.Millisecond
	// draws is how many random candidates are tried before the tier is scanned for a usable target.
	draws = 4
)

// TargetStats is what this daemon's calls have shown about a target. Traffic owns it.
type TargetStats struct {
	InFlight int
	// Latency is the smoothed latency of calls; 0 means that there were none.
	Latency time.Duration
	// ReadyFor is how long the target has been known as ready.
	ReadyFor time.Duration
	// Ejected says that calls to the target failed in a row.
	Ejected bool
	// Leaving says that the target refused a call because it drains or is not ready.
	Leaving bool
	// Busy says that the target refused a call for its load, and is expected to refuse the next one too.
	Busy bool
}

// StatsProvider returns the signal of a target.
type StatsProvider interface {
	Stats(target *model.Target) TargetStats
}

// RandomSource is a random source, such as math/rand/v2.RandomSource.
type RandomSource interface{ Uint64() uint64 }

// SelectByTwoChoices selects a ready target that is not in tried: the better of two random choices by requests in flight and latency,
// of the own data centre before the region before other regions. Targets that are leaving or ejected are used only if no
// other is left. If the others are busy the call is refused here, because a second hop only to be refused costs both
// daemons time that calls in progress need.
func (v *Version) SelectByTwoChoices(signals StatsProvider, random RandomSource, tried []model.DaemonID) (*model.Target, Reason) {
	for level := range 3 {
		if level == 1 && v.anyBusy(signals, tried) {
			return nil, Overloaded
		}
		for _, tier := range v.tiers {
			if target := pickTier(tier, picker{signals, random, tried, level}); target != nil {
				return target, Found
			}
		}
	}
	return nil, NoTarget
}

func (v *Version) anyBusy(signals StatsProvider, tried []model.DaemonID) bool {
	for _, tier := range v.tiers {
		for _, target := range tier {
			if !slices.Contains(tried, target.Daemon) && signals.Stats(target).Busy {
				return true
			}
		}
	}
	return false
}

// MayEject reports whether one more target of the version may be ejected. At least half stay, because a fault that
// affects most targets is a fault of the version or of the network and not of the targets. That does not hold for a
// target that refused a connection: after the loss of a data centre most targets may be unreachable, and calls to them
// would spend the retries that reach the others.
func (v *Version) MayEject(signals StatsProvider, unreachable bool) bool {
	if unreachable {
		return true
	}
	ejected := 0
	for _, tier := range v.tiers {
		for _, target := range tier {
			if signals.Stats(target).Ejected {
				ejected++
			}
		}
	}
	return ejected+1 <= v.Ready()/2
}

type picker struct {
	signals StatsProvider
	random  RandomSource
	tried   []model.DaemonID
	// level 0 skips busy, leaving and ejected targets, level 1 ejected ones, level 2 none.
	level int
}

func pickTier(tier []*model.Target, p picker) *model.Target {
	if len(tier) == 0 {
		return nil
	}
	a, signalA := p.draw(tier, nil)
	if a == nil || len(tier) == 1 {
		return a
	}
	b, signalB := p.draw(tier, a)
	if b != nil && score(signalB) < score(signalA) {
		return b
	}
	return a
}

func (p picker) draw(tier []*model.Target, other *model.Target) (*model.Target, TargetStats) {
	n := uint64(len(tier))
	for range draws {
		target := tier[p.random.Uint64()%n]
		if signal, ok := p.usable(target, other); ok && p.warm(signal) {
			return target, signal
		}
	}
	offset := p.random.Uint64() % n
	for i := range n {
		target := tier[(offset+i)%n]
		if signal, ok := p.usable(target, other); ok {
			return target, signal
		}
	}
	return nil, TargetStats{}
}

func (p picker) usable(target, other *model.Target) (TargetStats, bool) {
	if target == other || slices.Contains(p.tried, target.Daemon) {
		return TargetStats{}, false
	}
	signal := p.signals.Stats(target)
	if signal.Ejected && p.level < 2 || (signal.Busy || signal.Leaving) && p.level < 1 {
		return signal, false
	}
	return signal, true
}

// warm passes a target in slow start with a probability that grows with its age.
func (p picker) warm(signal TargetStats) bool {
	if signal.ReadyFor >= SlowStart {
		return true
	}
	part := max(slowStartFloor, float64(signal.ReadyFor)/float64(SlowStart))
	return float64(p.random.Uint64()>>11)/(1<<53) < part
}

func score(s TargetStats) float64 {
	latency := s.Latency
	if latency <= 0 {
		latency = assumedLatency
	}
	return float64(s.InFlight+1) * float64(latency)
}
