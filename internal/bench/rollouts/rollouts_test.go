package rollouts

import (
	"fmt"
	"testing"
	"time"

	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/model"
)

const (
	runs    = 20
	mostBad = runs / 20
)

func scenario(kind Kind, targets int, failureRate float64, seed int) Scenario {
	return Scenario{
		Kind: kind, Targets: targets, Slots: 9, Utilization: 0.53, FailureRate: failureRate, Within: 16 * time.Second,
		Limit: rollout.ExposureLimit{Fraction: 0.1, Slack: 50}, Seed: uint64(seed),
	}
}

// Guards against a bad version that receives more calls than the exposure limit because its fault shows under load only.
func TestBadUnderLoadIsWithdrawnWithinTheExposureLimit(t *testing.T) {
	for _, targets := range []int{4, 30} {
		for _, failureRate := range []float64{0.25, 0.5, 0.9} {
			t.Run(fmt.Sprintf("%d targets, %.2f fail", targets, failureRate), func(t *testing.T) {
				t.Parallel()
				checkBad(t, KindUnderLoad, targets, failureRate)
			})
		}
	}
}

// checkBad checks that versions of a bad kind are withdrawn within the exposure limit, with one exception in 20.
func checkBad(t *testing.T, kind Kind, targets int, failureRate float64) {
	t.Helper()
	wrong := 0
	for seed := range runs {
		r := Simulate(scenario(kind, targets, failureRate, seed))
		if r.Phase != model.PhaseWithdrawn || float64(r.Exposed) > r.Allowed || r.Late > 0 {
			wrong++
			t.Logf("seed %d: %+v", seed, r)
		}
	}
	if wrong > mostBad {
		t.Errorf("%d of %d moves went wrong", wrong, runs)
	}
}

// Guards against a bound on bad versions that others than those that fail under load exceed.
func TestOtherBadVersionsAreWithdrawnWithinTheExposureLimit(t *testing.T) {
	for _, targets := range []int{4, 30} {
		for _, kind := range []Kind{KindFailing, KindSlow, KindLate, KindOneRoute} {
			t.Run(fmt.Sprintf("%s, %d targets", kind, targets), func(t *testing.T) {
				t.Parallel()
				checkBad(t, kind, targets, 0.5)
			})
		}
	}
}

// Guards against a bound on exposure that holds or withdraws good versions.
func TestGoodVersionsAreInForceByTheirDeadline(t *testing.T) {
	for _, targets := range []int{4, 30} {
		for _, kind := range []Kind{KindGood, KindGoodHalf} {
			t.Run(fmt.Sprintf("%s, %d targets", kind, targets), func(t *testing.T) {
				t.Parallel()
				wrong := 0
				for seed := range runs {
					s := scenario(kind, targets, 0, seed)
					if kind == KindGoodHalf {
						s.Utilization /= halfSpeedFactor
					}
					if r := Simulate(s); r.Phase != model.PhaseDone || r.Took > s.Within {
						wrong++
						t.Logf("seed %d: %+v", seed, r)
					}
				}
				if wrong > mostBad {
					t.Errorf("%d of %d moves went wrong", wrong, runs)
				}
			})
		}
	}
}

// Guards against a version that fails under load and is taken as good on a service that is too quiet to show it.
func TestBadUnderLoadIsWithdrawnOnAQuietService(t *testing.T) {
	wrong := 0
	for seed := range runs {
		s := scenario(KindUnderLoad, 4, 0.25, seed)
		s.Utilization = 0.15
		if r := Simulate(s); r.Phase != model.PhaseWithdrawn || float64(r.Exposed) > r.Allowed {
			wrong++
		}
	}
	if wrong > mostBad {
		t.Errorf("%d of %d moves went wrong", wrong, runs)
	}
}
