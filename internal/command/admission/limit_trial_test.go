package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against calls that count as running for the rest of a trial because their execution began some time after they got a slot, or
// because they ended without a time, and against a call from before the trial that counts as one of it.
func TestTrialCountsCallsThatBeginLate(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	trial := newLimitTrial(start, 12, nil, 100*time.Millisecond)
	trial.recordRunning(start, 6, 6)
	for i := range 3 {
		trial.recordStart(start.Add(time.Duration(i)*20*time.Millisecond), "k", 6)
	}
	end := func(began, ended time.Duration, measured bool) {
		trial.recordEnd("k", executionSample{at: start.Add(ended), took: ended - began}, measured)
	}
	end(-50*time.Millisecond, 60*time.Millisecond, true)
	is.Equal(trial.started(), 3)
	is.Equal(len(trial.ended), 0)
	end(15*time.Millisecond, 90*time.Millisecond, true)
	end(55*time.Millisecond, 95*time.Millisecond, true)
	end(100*time.Millisecond, 100*time.Millisecond, false)
	is.Equal(len(trial.ended), 2)
	is.Equal(len(trial.running), 0)
	is.Equal(trial.ends, 3) // the rate before the trial, too, is that of calls with a time
}
