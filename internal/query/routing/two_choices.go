package routing

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

const (
	// SlowStart is the period after a target became ready in which its share of calls grows to the full share.
	SlowStart = 10 * time.Second
	// slowStartFloor is the fraction of that share at the beginning of SlowStart. A target without calls would never warm up.
	slowStartFloor = 0.1
	// defaultLatency is the assumed latency of a target without calls.
	defaultLatency = time.Millisecond
	// maxDraws is the number of random draws before the tier is scanned for a usable target.
	maxDraws = 4
)

// TargetStats holds what this daemon has measured about a target with its own calls. Package traffic maintains it.
type TargetStats struct {
	InFlight int
	// Latency is the smoothed latency of calls; 0 means that there were no calls.
	Latency time.Duration
	// ReadyFor is how long the target has been known as ready.
	ReadyFor time.Duration
	// Ejected says that calls to the target failed in a row, or that a connection to it was refused.
	Ejected bool
	// Leaving says that the target refused a call because it drains or is not ready.
	Leaving bool
	// Busy says that the target refused a call because of its load and is expected to refuse the next one too.
	Busy bool
}

// StatsProvider returns the stats of a target.
type StatsProvider interface {
	Stats(target *model.Target) TargetStats
}

// RandomSource is a source of random numbers, such as math/rand/v2.Source.
type RandomSource interface{ Uint64() uint64 }

// SelectByTwoChoices selects a ready target that is not in tried: the better of two random candidates by requests in flight
// and latency. Targets of the own data centre come first, then those of the region, then those of other regions. If every
// target is busy, leaving or ejected and at least one of them is busy, the call is refused here: a second hop that ends in
// a refusal costs both daemons time that calls in progress need. Otherwise leaving targets are used, and after them ejected
// ones.
func (v *Version) SelectByTwoChoices(stats StatsProvider, random RandomSource, tried []model.DaemonID) (*model.Target, Reason) {
	for level := range 3 {
		if level == 1 && v.hasBusyTarget(stats, tried) {
			return nil, Overloaded
		}
		for _, tier := range v.tiers {
			if target := selectInTier(tier, picker{stats, random, tried, level}); target != nil {
				return target, Found
			}
		}
	}
	return nil, NoTarget
}

func (v *Version) hasBusyTarget(stats StatsProvider, tried []model.DaemonID) bool {
	for _, tier := range v.tiers {
		for _, target := range tier {
			if !slices.Contains(tried, target.Daemon) && stats.Stats(target).Busy {
				return true
			}
		}
	}
	return false
}

// MayEject reports whether one more target of the version may be ejected. At least half of the targets stay in use, because
// a fault that affects most targets is a fault of the version or of the network and not of the targets. An unreachable
// target, which refused a connection, may always be ejected: after the loss of a data centre most targets may be
// unreachable, and calls to them would use up the retries that could reach the other targets.
func (v *Version) MayEject(stats StatsProvider, unreachable bool) bool {
	if unreachable {
		return true
	}
	ejected := 0
	for _, tier := range v.tiers {
		for _, target := range tier {
			if stats.Stats(target).Ejected {
				ejected++
			}
		}
	}
	return ejected+1 <= v.ReadyCount()/2
}

// picker holds the arguments of one pass over the targets.
type picker struct {
	stats  StatsProvider
	random RandomSource
	tried  []model.DaemonID
	// level says which targets are skipped: at 0 busy, leaving and ejected ones, at 1 ejected ones, at 2 none.
	level int
}

func selectInTier(tier []*model.Target, p picker) *model.Target {
	if len(tier) == 0 {
		return nil
	}
	a, statsA := p.drawCandidate(tier, nil)
	if a == nil || len(tier) == 1 {
		return a
	}
	b, statsB := p.drawCandidate(tier, a)
	if b != nil && score(statsB) < score(statsA) {
		return b
	}
	return a
}

// drawCandidate returns a random usable target that is not other, or nil. Targets in slow start are drawn less often.
func (p picker) drawCandidate(tier []*model.Target, other *model.Target) (*model.Target, TargetStats) {
	n := uint64(len(tier))
	for range maxDraws {
		target := tier[p.random.Uint64()%n]
		if stats, ok := p.checkUsable(target, other); ok && p.passesSlowStart(stats) {
			return target, stats
		}
	}
	offset := p.random.Uint64() % n
	for i := range n {
		target := tier[(offset+i)%n]
		if stats, ok := p.checkUsable(target, other); ok {
			return target, stats
		}
	}
	return nil, TargetStats{}
}

// checkUsable returns the stats of a target, and whether it may be selected at the picker's level. It may not if it equals
// other or has been tried.
func (p picker) checkUsable(target, other *model.Target) (TargetStats, bool) {
	if target == other || slices.Contains(p.tried, target.Daemon) {
		return TargetStats{}, false
	}
	stats := p.stats.Stats(target)
	if stats.Ejected && p.level < 2 || (stats.Busy || stats.Leaving) && p.level < 1 {
		return stats, false
	}
	return stats, true
}

// passesSlowStart reports whether a drawn target is accepted. A target in slow start is accepted with a probability that
// grows with the time since it became ready.
func (p picker) passesSlowStart(stats TargetStats) bool {
	if stats.ReadyFor >= SlowStart {
		return true
	}
	probability := max(slowStartFloor, float64(stats.ReadyFor)/float64(SlowStart))
	return float64(p.random.Uint64()>>11)/(1<<53) < probability
}

// score ranks targets; the lowest is the best.
func score(s TargetStats) float64 {
	latency := s.Latency
	if latency <= 0 {
		latency = defaultLatency
	}
	return float64(s.InFlight+1) * float64(latency)
}
