package traffic

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"sniperail.example/sniperail/internal/command/admission"
)

const (
	headerExpect   = "Expect"
	expectContinue = "100-continue"
	// minAnnouncedBody is the length in bytes from which on a request body is sent to the target's daemon only when that asks for it. A
	// shorter one costs less than the round trip.
	minAnnouncedBody = 16 << 10
	// maxTransfers is the number of announced bodies that a daemon receives at the same time. More transfers would not be faster on
	// a full link, but delay all other requests on it by the bytes of their windows.
	maxTransfers = 4
	// transferTimeout bounds one transfer, so that a sender that has become silent does not keep others waiting.
	transferTimeout = 3 * time.Second
)

// isAnnounced reports whether the sender of a request waits for "100 Continue" before it sends the body. A longer body is streamed to the
// target, which keeps a slot until the sender has sent it.
func isAnnounced(r *http.Request) bool {
	return r.ContentLength > 0 && r.ContentLength <= MaxBufferedUpload && expectsContinue(r)
}

// bodyTransfers bounds the announced request bodies that are received at the same time.
type bodyTransfers struct{ slots *semaphore.Weighted }

func newBodyTransfers() bodyTransfers { return bodyTransfers{semaphore.NewWeighted(maxTransfers)} }

// begin waits until another body may be received. It reports false if ctx ends or the call can no longer be executed by its deadline.
func (t bodyTransfers) begin(ctx context.Context, until time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return t.slots.Acquire(ctx, 1) == nil
}

func (t bodyTransfers) end() { t.slots.Release(1) }

// receiveBody reads an announced body. The sender is refused before it sends the body if the queue would refuse the call anyway.
func (c *inboundCall) receiveBody(w http.ResponseWriter) (*requestBody, *refusal) {
	in := c.inbound
	if refused := in.queue.refuses(c.admissionCall()); refused != nil {
		return nil, refused
	}
	execution := in.queue.load(string(c.dispatch.route)).executionTime
	if !in.transfers.begin(c.request.Context(), c.deadline.Add(-execution)) {
		if c.isCallerGone() {
			return nil, c.unsentCallerGoneRefusal()
		}
		return nil, priorityQueueRefusal(admission.Deadline, shortRetryAfter)
	}
	defer in.transfers.end()
	until := time.Now().Add(transferTimeout)
	if c.deadline.Before(until) {
		until = c.deadline
	}
	limits := in.options.Limits
	limits.BufferedBodyBytes = MaxBufferedUpload
	return readRequestBody(w, c.request, limits, limits.BodyBytes, until)
}
