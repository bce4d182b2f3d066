// Package claims implements at-most-once execution of requests. A claim is a record under a key derived from the identity
// of a request. It is created only if the key is absent, and only its owner may dispatch the request. State holds the
// claims of one daemon as a state machine that takes events, returns effects and performs no I/O. docs/claims.md gives
// the rules and figures.
package claims

import (
	"crypto/sha256"
	"fmt"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// Token correlates a Begin event with its Decide effect.
type Token uint64

// Key returns the key of an identity's claim. A cryptographic digest prevents two identities from sharing a claim, which
// would give one caller the response of another.
func Key(identity string) string {
	return fmt.Sprintf("%s%x", store.PrefixClaims, sha256.Sum256([]byte(identity)))
}

// Phase is the state of a claim in the platform.
type Phase string

// Phases of a record.
const (
	// Running means that the owner may have dispatched the request.
	Running Phase = "running"
	// Done means that the request was executed and its response is known.
	Done Phase = "done"
	// Lost means that the request was dispatched and the owner does not know the outcome.
	Lost Phase = "lost"
)

// Response is the complete response of a target to a request.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size returns the number of bytes of the header and of the body in base64.
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
	// ID is unique to one attempt to claim. By it the owner recognizes its own record if the response of the write was lost.
	ID    string
	Owner string
	Phase Phase
	// Deadline is the time until which the request may run.
	Deadline time.Time
	Response Response
	// Dropped means that the response was over the size limit and is not part of the record.
	Dropped bool
}

// Claim allows its holder to dispatch the request.
type Claim struct {
	Key string
	ID  string
	// Deadline is the time after which the request must not be dispatched.
	Deadline time.Time
}

// Kind is what is to be done with a request.
type Kind string

// Kinds of decisions.
const (
	// Run means that the caller dispatches the request and then reports Finish, Release or ReportLost.
	Run Kind = "run"
	// Replay means that the caller returns the response of the first execution.
	Replay Kind = "replay"
	// InProgress means that another submission of the request is running.
	InProgress Kind = "running"
	// OutcomeUnknown means that the request may have been executed. It is never executed again.
	OutcomeUnknown Kind = "outcome-unknown"
	// Refused means that this submission was not executed.
	Refused Kind = "refused"
)

// Reason explains a decision; it labels counters.
type Reason string

// Reasons of refusals and of unknown outcomes.
const (
	ReasonUnavailable      Reason = "platform-unavailable"
	ReasonUnconfirmed      Reason = "claim-unconfirmed"
	ReasonCancelled        Reason = "caller-gave-up"
	ReasonDeadline         Reason = "deadline-passed"
	ReasonDeadlineTooFar   Reason = "deadline-too-far"
	ReasonSpaceExhausted   Reason = "claim-space-used-up"
	ReasonTooManyClaims    Reason = "too-many-claims"
	ReasonReleasing        Reason = "claim-being-released"
	ReasonStopped          Reason = "guard-stopped"
	ReasonOwnerLost        Reason = "owner-lost"
	ReasonResponseLost     Reason = "answer-lost"
	ReasonResponseTooLarge Reason = "answer-not-kept"
	ReasonUnreadable       Reason = "record-unreadable"
)

// Decision is the result of Begin. The request may be dispatched only if Kind is Run.
type Decision struct {
	Kind     Kind
	Claim    Claim
	Response Response
	Reason   Reason
	// RetryAfter is the time after which a repeated submission may get another decision; 0 if unknown.
	RetryAfter time.Duration
	// Reconcile tells the caller how to find out the outcome; set for OutcomeUnknown.
	Reconcile string
}

// Config holds the limits of a daemon's claims.
type Config struct {
	// Owner names the daemon in records.
	Owner string
	// Retention is the minimum time for which a claim is kept after its creation.
	Retention time.Duration
	// LeaseWindow is how long new claims are attached to one lease. The time to live of the lease is Retention plus
	// LeaseWindow, and it is never renewed.
	LeaseWindow time.Duration
	// Interval is the minimum time between two writes.
	Interval time.Duration
	// FinishDelay is how long a response waits, so that other writes can join its transaction.
	FinishDelay time.Duration
	// DecisionTimeout is the maximum time from Begin to a decision.
	DecisionTimeout time.Duration
	// WriteTimeout is how long the daemon tries to store a response, to release a claim or to find out whether a claim was
	// written.
	WriteTimeout time.Duration
	// ClockSkewMargin is the time after the deadline of a request from which another daemon reports its outcome as unknown,
	// because clocks differ.
	ClockSkewMargin time.Duration
	// MaxResponse is the maximum size of a stored response in bytes, with the body in base64.
	MaxResponse int
	// MaxBytes is the maximum space of this daemon's claims in the platform.
	MaxBytes int
	// MaxClaims is the maximum number of claims that this daemon is creating, running or storing.
	MaxClaims int
	// MaxBatch is the maximum number of claims in one transaction, MaxBatchBytes the maximum size of a transaction.
	MaxBatch      int
	MaxBatchBytes int
}

// DefaultConfig returns the limits that docs/claims.md derives.
func DefaultConfig(owner string) Config {
	return Config{
		Owner: owner, Retention: 24 * time.Hour, LeaseWindow: time.Hour,
		Interval: 20 * time.Millisecond, FinishDelay: 100 * time.Millisecond,
		DecisionTimeout: time.Second, WriteTimeout: 30 * time.Second, ClockSkewMargin: 2 * time.Second,
		MaxResponse: 4 << 10, MaxBytes: 768 << 10, MaxClaims: 4096, MaxBatch: 32, MaxBatchBytes: 512 << 10,
	}
}

// Validate returns one error for each invalid field.
func (c Config) Validate() []error {
	var problems []error
	require := func(ok bool, format string, arguments ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf(format, arguments...))
		}
	}
	require(c.Owner != "", "owner: must not be empty")
	require(c.LeaseWindow >= time.Second, "lease window: %s is below 1s", c.LeaseWindow)
	require(c.Retention >= c.LeaseWindow, "retention: %s is below the lease window of %s", c.Retention, c.LeaseWindow)
	require(c.Interval >= 0 && c.FinishDelay >= 0 && c.ClockSkewMargin >= 0,
		"interval, finish delay and clock skew margin: must not be below 0")
	require(c.DecisionTimeout > 0, "decision timeout: %s is not above 0", c.DecisionTimeout)
	require(c.WriteTimeout >= c.DecisionTimeout, "write timeout: %s is below the decision timeout of %s",
		c.WriteTimeout, c.DecisionTimeout)
	require(c.MaxResponse >= 0, "maximum size of a response: %d is below 0", c.MaxResponse)
	require(c.MaxBytes >= c.reservation(), "space: %d bytes do not hold one claim of %d", c.MaxBytes, c.reservation())
	require(c.MaxClaims > 0, "claims: %d is not above 0", c.MaxClaims)
	require(c.MaxBatch > 0 && c.MaxBatch <= maxOperations, "batch: %d claims are not between 1 and %d", c.MaxBatch, maxOperations)
	require(c.MaxBatchBytes >= c.reservation(), "batch: %d bytes do not hold one claim of %d", c.MaxBatchBytes, c.reservation())
	return problems
}

// maxOperations is the platform's limit of operations in one transaction.
const maxOperations = 128

// recordOverhead is an upper estimate of the bytes of a key, of a record without a response and of the metadata of the
// entry.
const recordOverhead = 512

// reservation returns the maximum space that a claim may use.
func (c Config) reservation() int { return recordOverhead + c.MaxResponse }

// DecideClaimed decides about a request whose identity is already claimed. It never returns Run.
func DecideClaimed(config Config, record Record, now time.Time) Decision {
	switch {
	case record.Phase == Done && !record.Dropped:
		return Decision{Kind: Replay, Response: record.Response}
	case record.Phase == Done:
		return outcomeUnknown(record, ReasonResponseTooLarge)
	case record.Phase == Lost:
		return outcomeUnknown(record, ReasonResponseLost)
	case record.Phase != Running:
		return outcomeUnknown(record, ReasonUnreadable)
	}
	if left := record.Deadline.Add(config.ClockSkewMargin).Sub(now); left > 0 {
		return Decision{Kind: InProgress, RetryAfter: left}
	}
	return outcomeUnknown(record, ReasonOwnerLost)
}

func outcomeUnknown(record Record, reason Reason) Decision {
	state := "may have been executed"
	if reason == ReasonResponseTooLarge {
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
