// Package retry decides whether a daemon sends a call again. It is pure: the owner keeps a Budget per service under its
// own lock, and the random source is an argument.
package retry

import "time"

// Executed says whether a target may have executed a call.
type Executed uint8

// Values of Executed.
const (
	// ExecutedNo means that nothing reached a target.
	ExecutedNo Executed = iota
	// ExecutedUnknown means that a byte may have reached a target.
	ExecutedUnknown
)

// Reason says why a call is or is not sent again.
type Reason string

// Reasons.
const (
	NotExecuted Reason = "not-executed"
	Idempotent  Reason = "idempotent"
	// The reasons below refuse a retry.
	Nested        Reason = "nested"
	MayHaveExecuted        Reason = "may-have-executed"
	BodyConsumed  Reason = "body-consumed"
	NoBudget      Reason = "budget-exhausted"
	NoTime        Reason = "no-time-left"
	AttemptsSpent Reason = "attempts-spent"
)

const (
	// MaxAttempts bounds the attempts of one call. With a third of the targets dead, four attempts fail in about 1% of
	// calls even before the dead targets are ejected; with three, calls were refused after the loss of a data centre.
	MaxAttempts = 4
	// callsPerRetry is 1 / 10%: each call earns a tenth of a retry.
	callsPerRetry = 10
	// maxSaved bounds saved retries, so that a quiet hour does not pay for a storm of retries.
	maxSaved = 100
	// baseBackoff and maxBackoff bound the wait before a retry. A retry goes to another target, so the wait only has to
	// break up bursts.
	baseBackoff = 2 * time.Millisecond
	maxBackoff  = 50 * time.Millisecond
)

// Budget holds the retries that calls of one service have earned: one for every ten calls, so retries never exceed 10%
// of calls. The zero value is an empty budget.
type Budget struct{ earned int }

// RecordCall records a first attempt.
func (b *Budget) RecordCall() { b.earned = min(b.earned+1, maxSaved*callsPerRetry) }

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

// Decision answers Decide.
type Decision struct {
	Retry  bool
	Reason Reason
	// Wait is how long to wait before the next attempt.
	Wait time.Duration
}

// Source is a random source, such as math/rand/v2.Source.
type Source interface{ Uint64() uint64 }

// Decide decides on the attempt after a and takes a granted retry from the budget.
func Decide(b *Budget, a Attempt, random Source) Decision {
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
	case b.earned < callsPerRetry:
		return Decision{Reason: NoBudget}
	}
	b.earned -= callsPerRetry
	if a.Executed == ExecutedNo {
		return Decision{Retry: true, Reason: NotExecuted, Wait: wait}
	}
	return Decision{Retry: true, Reason: Idempotent, Wait: wait}
}

// backoff draws a wait with full jitter from an interval that doubles with each attempt.
func backoff(attempt int, random Source) time.Duration {
	interval := min(baseBackoff<<max(attempt-1, 0), maxBackoff)
	return time.Duration(random.Uint64() % uint64(interval))
}
