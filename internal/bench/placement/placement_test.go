package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against calls that do not follow the speed of targets, and against a learned limit that costs calls in time.
func TestCallsFollowTheSpeedOfTargets(t *testing.T) {
	is := is.New(t)
	const correct = 2 // index of the policy with correct weights
	rows := Run(Options{Daemons: 48, Centres: 1, Utilization: 0.75, Length: 30 * time.Second, Seed: 1})
	for len(rows) > 0 {
		today, learned, weights := rows[0], rows[1], rows[correct]
		rows = rows[len(policies()):]
		t.Logf("%s: in time %.3f, learned %.3f, correct weights %.3f; after a change %.3f, %.3f, %.3f", today.Scenario,
			today.InTime, learned.InTime, weights.InTime, today.AfterChange, learned.AfterChange, weights.AfterChange)
		is.Equal(weights.Policy, "correct weights")
		is.True(today.Calls > 5_000)
		is.True(learned.Busiest < 1.6)
		is.True(learned.InTime >= today.InTime-0.01)
		if today.AfterChange < 0 {
			is.True(learned.InTime >= weights.InTime-0.02)
			continue
		}
		// The tenth of the counted calls that arrive within 3 s after the change, and those that follow, still suffer from it.
		is.True(learned.InTime >= weights.InTime-0.05)
		is.True(learned.AfterChange >= today.AfterChange-0.01)
	}
}
