package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	bench "sniperail.example/sniperail/internal/bench/quota"
	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/testseed"
)

// draw draws one of some values. Ranges would prefer small ones.
func draw[V any](t *rapid.T, name string, values ...V) V {
	return rapid.SampledFrom(values).Draw(t, name)
}

// drawTenant draws a tenant, and drawPhase what happens to it and the daemons for some time.
func drawTenant(t *rapid.T) *bench.Tenant {
	rate := draw(t, "rate", 2, 20, 100, 300.0)
	return &bench.Tenant{Name: "t", Limit: quota.Limit{
		Rate: rate, Burst: rate * draw(t, "burst", 0.5, 1, 2, 0),
		Settings: quota.Settings{Window: 5 * time.Second, Tolerance: draw(t, "tolerance", 0, 0.1), Slack: draw(t, "slack", 5, 20.0)},
	}}
}

func drawPhase(t *rapid.T, s *bench.Simulation, tenant *bench.Tenant) {
	n := len(s.Daemons)
	tenant.Demand = tenant.Limit.Rate * draw(t, "demand", 0.3, 0.8, 4, 20, 0)
	some := draw(t, "daemons with requests", n, 1, (n+1)/2)
	tenant.Arrival = func(r *rand.Rand, _ int) int { return r.IntN(some) }
	s.Loss = draw(t, "loss", 0, 0, 0.3)
	s.MaxDelay = draw(t, "delay", time.Millisecond, 20*time.Millisecond, 400*time.Millisecond)
	s.Returned = draw(t, "returned", 0, 0, 0.5, 1)
	i := rapid.IntRange(0, n-1).Draw(t, "daemon")
	length := draw(t, "fault length", 100*time.Millisecond, time.Second, 4*time.Second)
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		s.SetOwner(tenant, i)
	case 1:
		s.Kill(i, length)
	case 2:
		s.Freeze(s.Daemons[i], length)
	case 3:
		s.Freeze(s.Owner(tenant), length)
	case 4:
		for _, d := range s.Daemons {
			d.Group = rapid.IntRange(0, 1).Draw(t, "group")
		}
	case 5:
		for _, d := range s.Daemons {
			d.Group = 0
		}
	}
	s.Run(draw(t, "length", 50*time.Millisecond, 300*time.Millisecond, time.Second, 3*time.Second, 6*time.Second))
}

func checkWindows(t *rapid.T, tenant *bench.Tenant, l quota.Limit, from time.Duration) {
	if n, at := bench.WorstWindow(tenant.Executed, l.Window, from); float64(n) > l.Allowed() {
		t.Fatalf("%d requests executed from %v on, allowed are %.1f", n, at, l.Allowed())
	}
}

// Guards against an order of grants, lost and late messages, owner changes, restarts, suspensions, returned tokens and a lowered
// limit by which more requests are executed in a window than the quota allows.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenant := drawTenant(t)
		s := bench.NewSimulation(rapid.Uint64().Draw(t, "seed"), draw(t, "daemons", 1, 3, 8, 20), []*bench.Tenant{tenant})
		phases := rapid.IntRange(3, 8)
		for range phases.Draw(t, "phases") {
			drawPhase(t, s, tenant)
		}
		high, lowered := tenant.Limit, s.Now()
		tenant.Limit.Rate *= rapid.Float64Range(0.05, 1).Draw(t, "lowered")
		for range phases.Draw(t, "later phases") {
			drawPhase(t, s, tenant)
		}
		checkWindows(t, tenant, high, 0)
		checkWindows(t, tenant, tenant.Limit, lowered+high.Window)
	})
}

// Guards against requests that are refused although the tenant stays within its quota and nothing fails.
func TestTenantWithinItsQuotaIsServed(t *testing.T) {
	arrivals := map[string]func(r *rand.Rand, n int) int{
		"even":       nil,
		"skewed":     func(r *rand.Rand, n int) int { return int(float64(n) * r.Float64() * r.Float64() * r.Float64()) },
		"one daemon": func(*rand.Rand, int) int { return 3 },
	}
	for name, arrival := range arrivals {
		t.Run(name, func(t *testing.T) {
			for _, demand := range []float64{1, 5, 30, 600} {
				tenant := &bench.Tenant{Name: "t", Arrival: arrival, Limit: quota.Limit{
					Rate: 1.6 * demand, Burst: 1.6 * demand,
					Settings: quota.Settings{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20},
				}}
				s := bench.NewSimulation(testseed.Seed(), 66, []*bench.Tenant{tenant})
				s.Run(10 * time.Second) // the owner's bucket is empty at its start
				tenant.Demand = demand
				s.Run(30 * time.Second)
				if requests := len(tenant.Executed) + tenant.Refused; float64(tenant.Refused) >= 0.005*float64(requests) {
					t.Errorf("%v per second: %d of %d requests refused", demand, tenant.Refused, requests)
				}
			}
		})
	}
}
