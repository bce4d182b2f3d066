// Package claims decides about at-most-once execution. A claim is a record under a key derived from the identity of a
// request, created only if the key is absent; its owner alone may dispatch the request. The package holds the state of
// one daemon's claims as a pure state machine: events in, effects out. docs/claims.md gives the rules and figures.
package claims

import (
	"crypto/sha256"
	"fmt"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// Token correlates a Begin event with its Decide effect.
type Token uint64

// Key returns the key of an identity's claim. A cryptographic digest keeps two identities from sharing a claim, which
// would give one caller the response of another.
func Key(identity string) string {
	return fmt.Sprintf("%s%x", store.PrefixClaims, sha256.Sum256([]byte(identity)))
}

// Phase is how far a claim has come.
type Phase string

// Phases of a record.
const (
	// Running: the owner may have dispatched the request.
	Running Phase = "running"
	// Done: the request was executed and the answer is known.
	Done Phase = "done"
	// Lost: the request was dispatched and the owner does not know the outcome.
	Lost Phase = "lost"
)

// Response is a complete response.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size returns the bytes of the header and of the body in base64.
func (a Response) size() int {
	n := (len(a.Body) + 2) / 3 * 4
	for name, values := range a.Header {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return n
}

// Record is the value of a claim's key.
type Record struct {
	// ID is unique to one attempt to claim. It tells the owner that a write took effect whose answer was lost.
	ID    string
	Owner string
	Phase Phase
	// Deadline is the time until which the request may run.
	Deadline time.Time
	Response Response
	// Dropped says that the answer was over the size limit and is not part of the record.
	Dropped bool
}

// Claim proves to its holder that the request may be dispatched.
type Claim struct {
	Key string
	ID  string
	// Deadline is the time after which the request must not be dispatched.
	Deadline time.Time
}

// Kind tells what to do with a request.
type Kind string

// Kinds of decisions.
const (
	// Run: dispatch the request, then report Finish, Release or Lose.
	Run Kind = "run"
	// Replay: give the caller the answer of the first execution.
	Replay Kind = "replay"
	// InProgress: another submission of the request is running.
	InProgress Kind = "running"
	// OutcomeUnknown: the request may have been executed and is never executed again.
	OutcomeUnknown Kind = "outcome-unknown"
	// Refused: this submission was not executed.
	Refused Kind = "refused"
)

// Reason explains a decision; it labels counters.
type Reason string

// Reasons of refusals and of unknown outcomes.
const (
	ReasonUnavailable  Reason = "platform-unavailable"
	ReasonUnconfirmed  Reason = "claim-unconfirmed"
	ReasonCancelled    Reason = "caller-gave-up"
	ReasonDeadline     Reason = "deadline-passed"
	ReasonTooFar       Reason = "deadline-too-far"
	ReasonSpace        Reason = "claim-space-used-up"
	ReasonTooMany      Reason = "too-many-claims"
	ReasonReleasing    Reason = "claim-being-released"
	ReasonStopped      Reason = "guard-stopped"
	ReasonOwnerLost    Reason = "owner-lost"
	ReasonAnswerLost   Reason = "answer-lost"
	ReasonAnswerTooBig Reason = "answer-not-kept"
	ReasonUnreadable   Reason = "record-unreadable"
)

// Decision answers Begin. Only Run allows the request to be dispatched.
type Decision struct {
	Kind     Kind
	Claim    Claim
	Response Response
	Reason   Reason
	// RetryAfter is when a repeat may learn more; 0 if unknown.
	RetryAfter time.Duration
	// Reconcile tells the caller how to find out what happened, for OutcomeUnknown.
	Reconcile string
}

// Config holds the limits of a daemon's claims.
type Config struct {
	// Owner names the daemon in records.
	Owner string
	// Retention is the least time that a claim is kept after it was made.
	Retention time.Duration
	// Bucket is how long one lease takes new claims. The lease lives for Retention plus Bucket and is never renewed.
	Bucket time.Duration
	// Interval is the least time between two writes.
	Interval time.Duration
	// FinishDelay lets an answer wait for other writes to join its transaction.
	FinishDelay time.Duration
	// Patience bounds the time from Begin to a decision.
	Patience time.Duration
	// SettlePatience bounds the attempts to store an answer, to release a claim or to settle an unconfirmed one.
	SettlePatience time.Duration
	// SkewMargin is added to a deadline before another daemon calls the outcome unknown, because clocks differ.
	SkewMargin time.Duration
	// MaxAnswer bounds the stored bytes of an answer, with the body in base64.
	MaxAnswer int
	// MaxBytes bounds the space of this daemon's claims in the platform.
	MaxBytes int
	// MaxClaims bounds the claims that are being made, running or stored.
	MaxClaims int
	// MaxGroup bounds the claims of one transaction and MaxGroupBytes its size.
	MaxGroup      int
	MaxGroupBytes int
}

// DefaultConfig returns the limits that docs/claims.md derives.
func DefaultConfig(owner string) Config {
	return Config{
		Owner: owner, Retention: 24 * time.Hour, Bucket: time.Hour,
		Interval: 20 * time.Millisecond, FinishDelay: 100 * time.Millisecond,
		Patience: time.Second, SettlePatience: 30 * time.Second, SkewMargin: 2 * time.Second,
		MaxAnswer: 4 << 10, MaxBytes: 768 << 10, MaxClaims: 4096, MaxGroup: 32, MaxGroupBytes: 512 << 10,
	}
}

// Check returns one error for each invalid field.
func (c Config) Check() []error {
	var problems []error
	require := func(ok bool, format string, arguments ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf(format, arguments...))
		}
	}
	require(c.Owner != "", "owner: must not be empty")
	require(c.Bucket >= time.Second, "bucket: %s is below 1s", c.Bucket)
	require(c.Retention >= c.Bucket, "retention: %s is below the bucket of %s", c.Retention, c.Bucket)
	require(c.Interval >= 0 && c.FinishDelay >= 0 && c.SkewMargin >= 0, "interval, finish delay and skew margin: must not be below 0")
	require(c.Patience > 0, "patience: %s is not above 0", c.Patience)
	require(c.SettlePatience >= c.Patience, "settle patience: %s is below the patience of %s", c.SettlePatience, c.Patience)
	require(c.MaxAnswer >= 0, "largest answer: %d is below 0", c.MaxAnswer)
	require(c.MaxBytes >= c.reservation(), "space: %d bytes do not hold one claim of %d", c.MaxBytes, c.reservation())
	require(c.MaxClaims > 0, "claims: %d is not above 0", c.MaxClaims)
	require(c.MaxGroup > 0 && c.MaxGroup <= maxOperations, "group: %d is not within 1 and %d", c.MaxGroup, maxOperations)
	require(c.MaxGroupBytes >= c.reservation(), "group: %d bytes do not hold one claim of %d", c.MaxGroupBytes, c.reservation())
	return problems
}

// maxOperations is the limit of the service for one transaction.
const maxOperations = 128

// recordOverhead is an upper estimate of the bytes of a key, of a record without answer and of the entry's own fields.
const recordOverhead = 512

// reservation is the space that a claim may come to use.
func (c Config) reservation() int { return recordOverhead + c.MaxAnswer }

// Judge decides about a request whose identity is already claimed. It never allows the request to run.
func Judge(config Config, record Record, now time.Time) Decision {
	switch {
	case record.Phase == Done && !record.Dropped:
		return Decision{Kind: Replay, Response: record.Response}
	case record.Phase == Done:
		return unknown(record, ReasonAnswerTooBig)
	case record.Phase == Lost:
		return unknown(record, ReasonAnswerLost)
	case record.Phase != Running:
		return unknown(record, ReasonUnreadable)
	}
	if left := record.Deadline.Add(config.SkewMargin).Sub(now); left > 0 {
		return Decision{Kind: InProgress, RetryAfter: left}
	}
	return unknown(record, ReasonOwnerLost)
}

func unknown(record Record, reason Reason) Decision {
	state := "may have been executed"
	if reason == ReasonAnswerTooBig {
		state = "was executed and its answer was too large to keep"
	}
	return Decision{Kind: OutcomeUnknown, Reason: reason, Reconcile: fmt.Sprintf(
		"The request %s under claim %q of daemon %q. Look up the result in the service itself. Submit under a new "+
			"identity only if it shows no effect and %s has passed.",
		state, record.ID, record.Owner, record.Deadline.UTC().Format(time.RFC3339))}
}

func refused(reason Reason, retryAfter time.Duration) Decision {
	return Decision{Kind: Refused, Reason: reason, RetryAfter: retryAfter}
}
