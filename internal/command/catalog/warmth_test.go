package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
)

// Guards against a daemon that takes its target for warm after a restart because only its earlier process knew that it is cold, and
// against times of day, which differ between machines, in what it tells the others.
func TestRestartedDaemonTakesItsTargetForCold(t *testing.T) {
	for name, tc := range map[string]struct {
		health effect.HealthChecked
		cold   time.Duration
	}{
		"named by the response": {effect.HealthChecked{Instance: "i0", WarmupLeft: 4 * time.Second, WarmupKnown: true}, 4 * time.Second},
		"warm by the response":  {effect.HealthChecked{Instance: "i0", WarmupKnown: true}, 0},
		"not named":             {effect.HealthChecked{Instance: "i0"}, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 2)
			sim.startTargets("v1")
			sim.put("op/configuration", model.Configuration{Number: 2, Services: []model.Service{
				{Name: "profiles", HealthPath: "/health", WarmupPerSecond: 17, WarmupMS: 9000},
			}})
			sim.run(applyBound)
			sim.nodes[0].health = tc.health
			sim.nodes[0].stopped = true
			n := sim.start("d00", nil)
			n.health = tc.health
			sim.handle(n, effect.Wake{})
			is.Equal(n.view.Local.State, model.TargetReady)
			is.Equal(max(n.view.Local.WarmAt.Sub(sim.now), 0), tc.cold)
			sim.run(time.Second)
			seen := sim.nodes[1].view.Targets[0]
			is.Equal(max(seen.WarmAt.Sub(sim.now), 0) > 0, tc.cold > 0)

			sim.report(n, model.TargetReport{Instance: "i0", Born: 1, Seq: 9, Version: "v1", State: model.TargetReady})
			is.True(!n.view.Local.WarmAt.After(sim.now)) // its report says that it is warm
			sim.report(n, model.TargetReport{Instance: "i0", Born: 1, Seq: 10, Version: "v1", State: model.TargetReady, WarmupLeft: 2 * time.Second})
			is.Equal(n.view.Local.WarmAt.Sub(sim.now), 2*time.Second) // it is cold again
		})
	}
}

// Guards against a remaining warm-up that is computed from the sender's time of day, which may differ from that of the receiver.
func TestWarmupIsCountedFromTheReceipt(t *testing.T) {
	is := is.New(t)
	sent := time.Unix(5_000, 0)
	target := model.Target{WarmAt: sent.Add(3 * time.Second)}
	received := target.ForPeers(sent)
	here := time.Unix(900, 0)
	received.Received(here)
	is.Equal(received.WarmAt.Sub(here), 3*time.Second)
	warm := target.ForPeers(sent.Add(time.Minute))
	warm.Received(here)
	is.True(warm.WarmAt.IsZero())
}
