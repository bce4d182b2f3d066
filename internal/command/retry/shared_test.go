package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/command/retry"
	_ "sniperail.example/sniperail/internal/testseed"
)

// Guards against daemons that together exceed the shared limit in any window, whatever the pattern of calls and failures.
func TestSharedLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := retry.SharedLimit{Ratio: 0.2, Slack: 62, Window: 10 * time.Second}
		daemons := rapid.IntRange(1, 20).Draw(t, "daemons")
		shared := make([]retry.SharedBudget, daemons)
		now := time.Unix(1000, 0)
		type stepCounts struct {
			at             time.Time
			calls, retries int
		}
		var steps []stepCounts
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			counts := stepCounts{at: now}
			for i := range shared {
				for range rapid.IntRange(0, 8).Draw(t, "calls") {
					shared[i].RecordCall()
					counts.calls++
					if shared[i].TakeRetry(now, limit, daemons, false) {
						counts.retries++
					}
				}
			}
			steps = append(steps, counts)
		}
		for i := range steps {
			calls, retries := 0, 0
			for j := i; j < len(steps) && steps[j].at.Sub(steps[i].at) < limit.Window; j++ {
				calls += steps[j].calls
				retries += steps[j].retries
			}
			// Each daemon may have saved a few retries from calls before the window.
			saved := 3 * daemons
			if float64(retries) > limit.Ratio*float64(calls)+limit.Slack+float64(saved) {
				t.Fatalf("%d retries for %d calls of %d daemons in a window", retries, calls, daemons)
			}
		}
	})
}

// Guards against retries after a possible execution that cost no more than those after a refusal: the nested calls of the
// repeated requests would exceed the limit at the services that they call.
func TestRepeatedExecutionsCostMore(t *testing.T) {
	limit := retry.SharedLimit{Ratio: 0.2, Window: 10 * time.Second}
	count := func(executed bool) int {
		var s retry.SharedBudget
		n := 0
		now := time.Unix(1000, 0)
		for range 1000 {
			s.RecordCall()
			if s.TakeRetry(now, limit, 1, executed) {
				n++
			}
		}
		return n
	}
	if refused, repeated := count(false), count(true); refused < 2*repeated || refused > 100 {
		t.Fatalf("%d retries after refusals, %d after executions", refused, repeated)
	}
}
