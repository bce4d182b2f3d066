// Package traffic is the data plane: HTTP handlers on the caller's side that select a target and retry (Ingress in
// sniperaild, Outbound in the sidecar), and handlers in front of the local target that admit calls (Admission, Inbound).
// It reads published routing tables and owns the traffic state (counters, peers, slots of the local target), but no
// control state.
package traffic

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"sniperail.example/sniperail/internal/command/callers"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// Headers of the call path. HeaderDeadline and HeaderAttempt are sent to the target, which sets them on its own calls.
const (
	// HeaderDeadline holds the milliseconds that remain until the deadline of the call.
	HeaderDeadline = "Sniperail-Deadline-Ms"
	// HeaderAttempt holds the number of the attempt. A request that has it already when it reaches the ingress is nested: a
	// target made it while executing another call.
	HeaderAttempt = "Sniperail-Attempt"
	// HeaderCall tells the admission side what the ingress selected: call id, service, version, route and whether the route
	// executes requests at most once, separated by spaces. One header costs less to parse than five. The response carries
	// the call id, which matches it to its request.
	HeaderCall = "Sniperail-Call"
	// HeaderRefusal and HeaderExecuted mark a refusal by a daemon. They are removed from responses of a target.
	HeaderRefusal  = "Sniperail-Refusal"
	HeaderExecuted = "Sniperail-Executed"
	// HeaderWait is the wait in microseconds that a refusing target estimates.
	HeaderWait = "Sniperail-Wait-Us"
	// HeaderIdempotencyKey is the header that holds the identity of a request unless the route names another one.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Tables returns the current routing table. It is called once per request and must not block.
type Tables interface{ Table() *routing.Table }

// Observer receives batches of call outcomes. It must not block and returns false if it dropped the batch.
type Observer interface {
	Observe(sums []model.KeyedSum) bool
}

// Once records claims, so that a request with an identity is executed at most once.
type Once interface {
	// Begin claims a request. The request may be executed only if the decision is OnceRun; Finish must then be called.
	Begin(ctx context.Context, request OnceRequest) OnceDecision
	// Finish records how the claimed request ended. Its context must not end with the caller's connection.
	Finish(ctx context.Context, request OnceRequest, decision OnceDecision, result OnceResult)
}

// OnceRequest identifies a request within its service and route.
type OnceRequest struct {
	Service  model.ServiceName
	Route    model.RouteName
	Identity string
	// Window is how long a digest identifies a request. It is 0 for an explicit identity.
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
	// OnceReplay means that the request was executed before; the stored response is sent.
	OnceReplay
	// OnceRunning means that the request is being executed.
	OnceRunning
	// OnceUnknown means that the request may have been executed and its response is not known.
	OnceUnknown
)

// OnceDecision is the result of Begin.
type OnceDecision struct {
	Kind OnceKind
	// Claim is opaque to traffic.
	Claim string
	// Response is the stored response for OnceReplay.
	Response *Response
	// Reason explains OnceRefused, such as "platform-unavailable".
	Reason string
	// RetryAfter is a hint for OnceRefused and OnceRunning.
	RetryAfter time.Duration
}

// OnceOutcome says how a claimed request ended.
type OnceOutcome uint8

// Outcomes of a claimed request.
const (
	// OnceNotExecuted means that nothing reached the target; the claim may be released.
	OnceNotExecuted OnceOutcome = iota
	// OnceAnswered means that the complete response of the target was received.
	OnceAnswered
	// OnceInDoubt means that the target may have executed the request.
	OnceInDoubt
)

// OnceResult is how a claimed request ended.
type OnceResult struct {
	Outcome OnceOutcome
	// Response is the complete response for OnceAnswered.
	Response *Response
}

// Response is a complete response of a target, as it is stored for an at-most-once request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Limits bound the sizes of requests and responses and the idle connections of a handler.
type Limits struct {
	// BodyBytes bounds a request body.
	BodyBytes int64
	// BufferedBodyBytes is the length up to which a request body is held whole by the daemon that takes the request from
	// its caller, so that a caller that stops short occupies no slot of a target. Bodies of up to 64 KB always are.
	BufferedBodyBytes int64
	// Pace is how fast a longer body has to come; the zero value means until the deadline of the call.
	Pace callers.Pace
	// HeaderBytes bounds the headers of a request or response.
	HeaderBytes int
	// IdlePerPeer and IdleTotal bound idle connections to other daemons.
	IdlePerPeer, IdleTotal int
	// OutgoingConnections bounds all connections to other daemons; 0 bounds nothing.
	OutgoingConnections int
	// StoredResponseBytes bounds the response of an at-most-once request, which is stored.
	StoredResponseBytes int
}

// GCPercent is the garbage collection target for a process with these handlers. A call allocates about 10 KB per hop on a
// live heap of a few MB; the default of 100 spent 15% more processor time per call, and memory stays small either way.
const GCPercent = 400

// DefaultLimits returns limits for a mesh of the size that the design document states.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes: 32 << 20, HeaderBytes: 32 << 10,
		// A target executes 10 to 12 calls at once, so more idle connections to one peer are never in use at the same time.
		IdlePerPeer: 16, IdleTotal: 1024,
		StoredResponseBytes: 256 << 10,
	}
}

const (
	// maxReplayBody is the largest request body that is buffered before the call is sent. A buffered body can be sent
	// again, and a caller that sends it slowly occupies no slot.
	maxReplayBody = 64 << 10
	// maxBufferedBody is the largest response body that is buffered before the response is written. A truncated body is
	// then detected before the caller receives a byte, and a caller that reads slowly occupies no slot.
	maxBufferedBody = 64 << 10
	// maxUnsizedBody is the largest response without Content-Length that Inbound reads to its end.
	maxUnsizedBody = 8 << 20
	// maxUnsizedTotal bounds the bytes of such responses that one Inbound holds at the same time. Without it, endless responses
	// on all slots of a target would exceed the memory of the process.
	maxUnsizedTotal = 32 << 20
)

// random is the shared random source; it is safe for concurrent use and takes no lock.
type random struct{}

func (random) Uint64() uint64 { return rand.Uint64() }
