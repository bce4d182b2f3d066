package rollout_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/model"
)

// Guards against a move that waits for calls of a canary which is gone, and ends after its deadline.
func TestLostCanaryIsReplaced(t *testing.T) {
	is := is.New(t)
	now := time.Unix(10_000, 0)
	m := &model.Rollout{Move: model.Move{
		ID: "m", Service: service, From: "v1", To: "v2", Deadline: now.Add(10 * time.Second),
		Phase: model.PhaseRunning, Since: now.Add(-time.Second), Step: 2,
	}, Canaries: []model.DaemonID{"gone"}}
	m.Steps = rollout.Steps(now.Add(-4*time.Second), m.Deadline)
	observations := []rollout.Observation{
		newObservation("old", "v1", now, now), newObservation("new1", "v2", now, now), newObservation("new2", "v2", now, now),
	}
	d := rollout.NewDriver(exposureLimit)
	d.Observe(now, &model.Configuration{Moves: []model.Move{m.Move}}, m, observations)
	got := d.Decide(now, m, observations)
	is.True(got.Next != nil)
	is.Equal(got.Next.Step, 2)
	is.Equal(len(got.Next.Canaries), 1)
	is.True(slices.Contains([]model.DaemonID{"new1", "new2"}, got.Next.Canaries[0]))
}

// Guards against a last step in which the version's other targets are idle.
func TestWideStepsHaveNoCanaries(t *testing.T) {
	is := is.New(t)
	now := time.Unix(10_000, 0)
	m := &model.Rollout{Move: model.Move{
		ID: "m", Service: service, From: "v1", To: "v2", Deadline: now, Phase: model.PhaseRunning, Since: now.Add(-time.Minute), Step: 2,
	}, Canaries: []model.DaemonID{"new1"}}
	m.Steps = rollout.Steps(now.Add(-time.Hour), now.Add(-time.Minute))
	observations := []rollout.Observation{newObservation("old", "v1", now, now), newObservation("new1", "v2", now, now)}
	d := rollout.NewDriver(exposureLimit)
	d.Observe(now, &model.Configuration{Moves: []model.Move{m.Move}}, m, observations)
	got := d.Decide(now, m, observations)
	is.True(got.Next != nil)
	is.Equal(got.Next.Step, 3)
	is.Equal(len(got.Next.Canaries), 0)
}

// Guards against a driver that ends because the record of its move, from another writer or another release, has other steps.
func TestMoveWithOtherStepsIsDecided(t *testing.T) {
	now := time.Unix(10_000, 0)
	for steps := 1; steps <= 7; steps++ {
		for step := range steps {
			m := &model.Rollout{Move: model.Move{
				ID: "m", Service: service, From: "v1", To: "v2", Deadline: now.Add(-time.Second),
				Phase: model.PhaseRunning, Since: now.Add(-time.Minute), Step: step, Steps: make([]model.Step, steps),
			}, Canaries: []model.DaemonID{"gone"}}
			observations := []rollout.Observation{
				newObservation("old", "v1", now, now), newObservation("new1", "v2", now, now), newObservation("new2", "v2", now, now),
			}
			d := rollout.NewDriver(exposureLimit)
			for range 5 {
				d.Observe(now, &model.Configuration{Moves: []model.Move{m.Move}}, m, observations)
				if next := d.Decide(now, m, observations).Next; next != nil {
					m = next
				}
				now = now.Add(2 * time.Second)
				for i := range observations {
					observations[i].At = now
				}
			}
			is.New(t).True(m.Step < len(m.Steps))
		}
	}
}
