package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/command/retry"
	_ "sniperail.example/sniperail/internal/testseed"
)

func drawAttempt(t *rapid.T) retry.Attempt {
	return retry.Attempt{
		Number: rapid.IntRange(1, 4).Draw(t, "number"), Executed: retry.Executed(rapid.IntRange(0, 1).Draw(t, "executed")),
		Idempotent: rapid.Bool().Draw(t, "idempotent"), Nested: rapid.IntRange(0, 3).Draw(t, "nested") == 0,
		Replayable: rapid.IntRange(0, 3).Draw(t, "replayable") > 0,
		Remaining:  time.Duration(rapid.IntRange(0, 100).Draw(t, "remaining")) * time.Millisecond,
	}
}

// Guards against a second execution, retries of nested calls, retries of more than 10% of the calls and retries after the
// deadline; and against refusing a retry that all rules allow.
func TestDecideMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget retry.Budget
		random := rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)
		calls, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "op") > 0 {
				budget.RecordCall()
				calls++
				continue
			}
			a := drawAttempt(t)
			d := retry.Decide(&budget, a, random)
			if d.Retry {
				retries++
			}
			safe := a.Executed == retry.ExecutedNo || a.Idempotent
			if d.Retry && (!safe || a.Nested || !a.Replayable || a.Number >= retry.MaxAttempts || d.Wait >= a.Remaining) {
				t.Fatalf("%+v was retried: %+v", a, d)
			}
			if retries*10 > calls {
				t.Fatalf("%d retries of %d calls", retries, calls)
			}
			allowed := safe && !a.Nested && a.Replayable && a.Number < retry.MaxAttempts && a.Remaining > 50*time.Millisecond
			if !d.Retry && allowed && (retries+1)*10 <= calls {
				t.Fatalf("%+v was not retried after %d calls and %d retries: %+v", a, calls, retries, d)
			}
		}
	})
}

// Guards against a retry storm paid for by retries saved during a time without failures.
func TestSavedRetriesAreBounded(t *testing.T) {
	var budget retry.Budget
	for range 1_000_000 {
		budget.RecordCall()
	}
	granted := 0
	for retry.Decide(&budget, retry.Attempt{Number: 1, Replayable: true, Remaining: time.Second}, rand.NewPCG(1, 1)).Retry {
		granted++
	}
	if granted != 100 {
		t.Fatalf("%d retries were saved, want 100", granted)
	}
}
