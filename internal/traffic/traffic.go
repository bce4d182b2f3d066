// Package traffic moves calls: the ingress handler on the caller's side and the admission handler beside the target. It
// reads published tables, owns the traffic state (counters, peers, slots of the own target) and no control state.
package traffic

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// Headers of the call path. Deadline and Attempt reach the target, which passes them on with its own calls.
const (
	// HeaderDeadline holds the remaining milliseconds of the call.
	HeaderDeadline = "Sniperail-Deadline-Ms"
	// HeaderAttempt marks a call inside an attempt of another call.
	HeaderAttempt = "Sniperail-Attempt"
	// HeaderCall tells the admission side what the ingress selected: call, service, version, route and whether the route
	// runs requests at most once, separated by spaces. One header costs less to parse than five. The response returns
	// the call, which pairs it with its request.
	HeaderCall = "Sniperail-Call"
	// HeaderRefusal and HeaderExecuted mark a refusal by a daemon. Those of a target are removed.
	HeaderRefusal  = "Sniperail-Refusal"
	HeaderExecuted = "Sniperail-Executed"
	// HeaderWait is the wait in microseconds that a refusing target estimates.
	HeaderWait = "Sniperail-Wait-Us"
	// HeaderIdempotencyKey is the default identity of a request.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Tables returns the table in force. It is called once per request and must not block.
type Tables interface{ Table() *routing.Table }

// Observer takes batches of call outcomes. It must not block and returns false if it dropped the batch.
type Observer interface {
	Observe(sums []model.KeyedSum) bool
}

// Once records claims, so that a request with an identity is executed at most once.
type Once interface {
	// Begin claims a request. Only OnceRun allows its execution, and then Finish must follow.
	Begin(ctx context.Context, request OnceRequest) OnceDecision
	// Finish records how the claimed request ended. It must not be bound to the caller's connection.
	Finish(ctx context.Context, request OnceRequest, decision OnceDecision, result OnceResult)
}

// OnceRequest identifies a request within its service and route.
type OnceRequest struct {
	Service  model.ServiceName
	Route    model.RouteName
	Identity string
	// Window is how long a digest identifies a request; 0 for an explicit identity.
	Window time.Duration
}

// OnceKind is the decision on a claimed request.
type OnceKind uint8

// Kinds of decisions.
const (
	// OnceRefused means that no claim could be recorded; the request is not executed.
	OnceRefused OnceKind = iota
	// OnceRun means that this daemon holds the claim and executes the request.
	OnceRun
	// OnceReplay means that the request ran before; its stored answer is the response.
	OnceReplay
	// OnceRunning means that the request runs now.
	OnceRunning
	// OnceUnknown means that the request may have run and its answer is not known.
	OnceUnknown
)

// OnceDecision answers Begin.
type OnceDecision struct {
	Kind OnceKind
	// Claim is opaque to traffic.
	Claim string
	// Answer is the stored answer for OnceReplay.
	Answer *Answer
	// Reason explains OnceRefused, such as "platform-unavailable".
	Reason string
	// RetryAfter is a hint for OnceRefused and OnceRunning.
	RetryAfter time.Duration
}

// OnceOutcome says how a claimed request ended.
type OnceOutcome uint8

// Outcomes of a claimed request.
const (
	// OnceNotExecuted means that nothing reached the target; the claim may be given up.
	OnceNotExecuted OnceOutcome = iota
	// OnceAnswered means that the target answered completely.
	OnceAnswered
	// OnceInDoubt means that the target may have executed the request.
	OnceInDoubt
)

// OnceResult ends a claim.
type OnceResult struct {
	Outcome OnceOutcome
	// Answer is the complete response for OnceAnswered.
	Answer *Answer
}

// Answer is a complete response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Limits bound what one call may use.
type Limits struct {
	// BodyBytes bounds a request body.
	BodyBytes int64
	// HeaderBytes bounds the headers of a request or response.
	HeaderBytes int
	// IdlePerPeer and IdleTotal bound idle connections to other daemons.
	IdlePerPeer, IdleTotal int
	// AnswerBytes bounds the response of an at-most-once request, which is stored.
	AnswerBytes int
}

// GCPercent is the garbage collection target for a process with these handlers. A call allocates about 10 KB per hop on a
// live heap of a few MB; the default of 100 spent 15% more processor time per call, and memory stays small either way.
const GCPercent = 400

// DefaultLimits returns limits for the size in the design page.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes: 32 << 20, HeaderBytes: 32 << 10,
		// A target executes 10 to 12 calls at once, so more idle connections to one peer are never used together.
		IdlePerPeer: 16, IdleTotal: 1024,
		AnswerBytes: 256 << 10,
	}
}

const (
	// maxReplayBody is the largest request body that is read before the call is sent. Such a body can be sent again, and
	// a slow caller holds no slot while it arrives.
	maxReplayBody = 64 << 10
	// maxBufferedBody is the largest response body that is read before the response is written. Such a body is found cut
	// before the caller sees a byte, and a slow caller holds no slot.
	maxBufferedBody = 64 << 10
	// maxUnsizedBody is the largest response without a length that the daemon beside a target reads to its end.
	maxUnsizedBody = 8 << 20
)

// NewServer returns a server for a handler of this package with the limits that the handler itself cannot enforce.
func NewServer(handler http.Handler, limits Limits) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		// A caller that does not read its response must not hold up a drain for ever.
		WriteTimeout: maxDeadline + time.Minute,
		// Longer than the idle time of the pools, so that the client end of a connection closes it first.
		IdleTimeout: idleTimeout + 30*time.Second,
	}
}

// random is the shared random source; it is safe for concurrent use and takes no lock.
type random struct{}

func (random) Uint64() uint64 { return rand.Uint64() }
