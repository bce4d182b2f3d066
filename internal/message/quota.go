package message

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// QuotaRequest asks the owner of a tenant for tokens of its quota.
type QuotaRequest struct {
	Tenant model.TenantName
	// Borrower identifies the daemon that asks, and Sequence orders its requests for the tenant.
	Borrower uint64
	Sequence uint64
	// Waiting is the number of requests that wait for tokens, and Wanted the number of tokens that are wanted beyond that.
	Waiting, Wanted int
	// Held is the number of tokens in the daemon's balance, and Refused the number of requests that it has refused without asking
	// since its last request.
	Held, Refused int
}

// QuotaReply grants tokens. Code is NotOwner if another daemon owns the tenant, and Refused if the answering daemon must not grant.
type QuotaReply struct {
	Code Code
	// Granted are tokens for requests that wait, Prepaid those beyond that.
	Granted, Prepaid int
	// Hold is the time for which there are no further tokens, so that the daemon need not ask again; 0 if there may be. RetryAfter is
	// then when the first of the requests without a token may be repeated, and Spacing the time from one to the next.
	RetryAfter, Spacing, Hold time.Duration
}

func (*QuotaRequest) request() {}

func (*QuotaReply) reply() {}
