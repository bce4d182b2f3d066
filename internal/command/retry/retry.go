// Package retry decides whether a daemon retries a failed call. It does no I/O and no locking: the caller guards the Budget
// of each service with its own lock and passes the random source.
package retry

import "time"

// Executed says whether a target may have executed a call.
type Executed uint8

// Values of Executed.
const (
	// ExecutedNo means that no target received any part of the call.
	ExecutedNo Executed = iota
	// ExecutedUnknown means that a target may have received some part of the call.
	ExecutedUnknown
)

// Reason says why a call is or is not retried.
type Reason string

// Reasons for and against a retry.
const (
	NotExecuted Reason = "not-executed"
	Idempotent  Reason = "idempotent"
	// The reasons below are against a retry.
	Nested          Reason = "nested"
	MayHaveExecuted Reason = "may-have-executed"
	BodyConsumed    Reason = "body-consumed"
	NoBudget        Reason = "budget-exhausted"
	NoTime          Reason = "no-time-left"
	AttemptsSpent   Reason = "attempts-spent"
)

const (
	// MaxAttempts bounds the attempts of one call. With a third of the targets dead, four attempts all fail for about 1% of
	// the calls even before the dead targets are ejected; with three attempts, calls were refused after the loss of a data
	// centre.
	MaxAttempts = 4
	// callsPerRetry is the number of calls that pay for one retry, the inverse of 10%.
	callsPerRetry = 10
	// maxSavedRetries bounds the retries that a budget can save, so that an hour without failures does not pay for a retry
	// storm.
	maxSavedRetries = 100
	// baseBackoff and maxBackoff bound the backoff before a retry. A retry goes to another target, so the backoff only has to
	// break up bursts.
	baseBackoff = 2 * time.Millisecond
	maxBackoff  = 50 * time.Millisecond
)

// Budget is the retry budget of one service. Every ten calls earn one retry, so retries never exceed 10% of the calls. The
// zero value is an empty budget.
type Budget struct{ unspentCalls int }

// RecordCall records a first attempt.
func (b *Budget) RecordCall() { b.unspentCalls = min(b.unspentCalls+1, maxSavedRetries*callsPerRetry) }

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts attempts from 1.
	Number   int
	Executed Executed
	// Idempotent says that the method or the route allows a second execution.
	Idempotent bool
	// Nested says that the call is part of another call's attempt; only the outermost daemon retries.
	Nested bool
	// Replayable says that the whole request can be sent again.
	Replayable bool
	// Remaining is the time to the call's deadline.
	Remaining time.Duration
	// Max bounds the attempts of the call; 0 means MaxAttempts.
	Max int
}

// Decision is the result of Decide.
type Decision struct {
	Retry  bool
	Reason Reason
	// Wait is the backoff before the next attempt.
	Wait time.Duration
}

// RandomSource is a source of random numbers, such as math/rand/v2.Source.
type RandomSource interface{ Uint64() uint64 }

// Decide decides whether the call of the failed attempt a is retried, and charges a granted retry to the budget.
func Decide(b *Budget, a Attempt, random RandomSource) Decision {
	wait := backoff(a.Number, random)
	switch {
	case a.Nested:
		return Decision{Reason: Nested}
	case a.Executed != ExecutedNo && !a.Idempotent:
		return Decision{Reason: MayHaveExecuted}
	case !a.Replayable:
		return Decision{Reason: BodyConsumed}
	case a.Number >= MaxAttempts || a.Max > 0 && a.Number >= a.Max:
		return Decision{Reason: AttemptsSpent}
	case a.Remaining <= wait:
		return Decision{Reason: NoTime}
	case b.unspentCalls < callsPerRetry:
		return Decision{Reason: NoBudget}
	}
	b.unspentCalls -= callsPerRetry
	if a.Executed == ExecutedNo {
		return Decision{Retry: true, Reason: NotExecuted, Wait: wait}
	}
	return Decision{Retry: true, Reason: Idempotent, Wait: wait}
}

// backoff returns a random backoff with full jitter, from an interval that doubles with each attempt.
func backoff(attempt int, random RandomSource) time.Duration {
	interval := min(baseBackoff<<max(attempt-1, 0), maxBackoff)
	return time.Duration(random.Uint64() % uint64(interval))
}
