package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a limit that depends on the order of the first calls: a trial judged by a kind seen only while the target was slow
// (1.3, seed 1), and a higher limit kept after a trial in which too few calls ran to reach it (0.45).
func TestLearnedConcurrencyOfSeedsThatFailed(t *testing.T) {
	const slots = 12
	for _, run := range []struct {
		utilization float64
		seed        uint64
	}{{0.45, 6}, {0.45, 9}, {0.45, 14}, {1.3, 1}} {
		is := is.New(t)
		p := playedTarget{slots, run.utilization * slots / 0.23, 230 * time.Millisecond, func(_ time.Duration, running int) float64 {
			if running > slots/2 {
				return 0.2
			}
			return 1
		}}
		with, without := p.play(40, run.seed, true), p.play(40, run.seed, false)
		t.Logf("%+v: in time %d, without %d; limits %v", run, with.sum(0, 40), without.sum(0, 40), with.limits)
		is.True(float64(with.sum(0, 40)) >= 1.5*float64(without.sum(0, 40)))
	}
}

// Guards against a lower limit that stays at a target whose speed does not depend on concurrency, after a trial in which no more calls
// ended than before but those were quick by chance (0.45, seed 29).
func TestLearnedConcurrencyLeavesSlowTarget(t *testing.T) {
	const slots, utilization = 12, 0.45
	p := playedTarget{slots, utilization * slots / 0.23, 230 * time.Millisecond, func(at time.Duration, _ int) float64 {
		if at >= 10*time.Second {
			return 0.2
		}
		return 1
	}}
	for seed := range uint64(31) {
		lower := 0
		limits := p.play(40, seed, true).limits
		for _, limit := range limits {
			if limit < slots {
				lower++
			}
		}
		if lower > 4 {
			t.Errorf("seed %d: lower limits in %d s of 40: %v", seed, lower, limits)
		}
	}
}

// Guards against a lower limit that stays for many seconds after the target has recovered, because a trial of a higher one that had too few
// calls to be judged well is repeated as late as one that slowed down the target.
func TestLearnedConcurrencyRecovers(t *testing.T) {
	const slots, recovered = 12, 20
	for _, utilization := range []float64{0.9, 1.1} {
		p := playedTarget{slots, utilization * slots / 0.23, 230 * time.Millisecond, func(at time.Duration, running int) float64 {
			if at < recovered*time.Second && running > slots/2 {
				return 0.2
			}
			return 1
		}}
		for seed := range uint64(31) {
			limits := p.play(recovered+15, seed, true).limits
			if limits[recovered+14] < slots {
				t.Errorf("utilization %.1f, seed %d: limits %v", utilization, seed, limits[recovered:])
			}
		}
	}
}
