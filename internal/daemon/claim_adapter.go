package daemon

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/claims"
	"sniperail.example/sniperail/internal/once"
	"sniperail.example/sniperail/internal/traffic"
)

// claimAdapter implements traffic.Once with claims that are stored in the platform's store.
type claimAdapter struct {
	guard *once.Guard
	// defaultTimeout bounds a request whose context has no deadline.
	defaultTimeout time.Duration
}

// Begin claims a request.
func (c claimAdapter) Begin(ctx context.Context, r traffic.OnceRequest) traffic.OnceDecision {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(c.defaultTimeout)
	}
	// The route is not part of the identity: a request that is repeated after its route was renamed is the same request.
	d := c.guard.Begin(ctx, string(r.Service)+"\x00"+r.Identity, deadline)
	decision := traffic.OnceDecision{Reason: string(d.Reason), RetryAfter: d.RetryAfter}
	switch d.Kind {
	case claims.Run:
		decision.Kind, decision.Claim = traffic.OnceRun, formatClaim(d.Claim)
	case claims.Replay:
		decision.Kind = traffic.OnceReplay
		decision.Response = &traffic.Response{Status: d.Response.Status, Header: http.Header(d.Response.Header), Body: d.Response.Body}
	case claims.InProgress:
		decision.Kind = traffic.OnceRunning
	case claims.OutcomeUnknown:
		decision.Kind = traffic.OnceUnknown
	default:
		decision.Kind = traffic.OnceRefused
	}
	return decision
}

// Finish records how a claimed request ended.
func (c claimAdapter) Finish(ctx context.Context, _ traffic.OnceRequest, decision traffic.OnceDecision, result traffic.OnceResult) {
	claim := parseClaim(decision.Claim)
	switch result.Outcome {
	case traffic.OnceNotExecuted:
		c.guard.Release(ctx, claim)
	case traffic.OnceAnswered:
		r := result.Response
		c.guard.Finish(ctx, claim, claims.Response{Status: r.Status, Header: r.Header, Body: r.Body})
	default:
		c.guard.ReportLost(ctx, claim)
	}
}

// formatClaim and parseClaim convert a claim to and from the text that the call path carries, to which it is opaque.
func formatClaim(c claims.Claim) string {
	return strings.Join([]string{c.Key, c.ID, strconv.FormatInt(c.Deadline.UnixNano(), 10)}, " ")
}

func parseClaim(text string) claims.Claim {
	parts := strings.Split(text, " ")
	if len(parts) != 3 {
		panic(errors.Errorf("claim %q was not made by this daemon", text))
	}
	nanos, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		panic(errors.Wrapf(err, "claim %q", text))
	}
	return claims.Claim{Key: parts[0], ID: parts[1], Deadline: time.Unix(0, nanos)}
}
