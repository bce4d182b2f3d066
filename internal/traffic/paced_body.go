package traffic

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/command/callers"
)

// MaxBufferedUpload is the value of Limits.BufferedBodyBytes that daemons use: most uploads are shorter.
const MaxBufferedUpload = 512 << 10

// pacedRead moves the read deadline of a connection on while a body arrives. A nil value does nothing.
type pacedRead struct {
	control *http.ResponseController
	pace    callers.Pace
	// last is the deadline that the body has in any case.
	began, last time.Time
	// done is the number of bytes that have come, next that at which the deadline is moved again.
	done, next int64
}

// paceStep is the number of bytes after which the deadline is moved: few enough for callers at the least rate.
const paceStep = 16 << 10

// newPacedRead sets the read deadline, and returns nil if the pace does not bound it.
func newPacedRead(control *http.ResponseController, pace callers.Pace, last time.Time) *pacedRead {
	if pace.Rate <= 0 {
		_ = control.SetReadDeadline(last)
		return nil
	}
	p := &pacedRead{control: control, pace: pace, began: time.Now(), last: last}
	p.read(0)
	return p
}

// read takes note of bytes that have come.
func (p *pacedRead) read(n int) {
	if p == nil {
		return
	}
	if p.done += int64(n); p.done < p.next {
		return
	}
	p.next = p.done + paceStep
	p.extend(p.done)
}

// extend sets the deadline for a body of which so many bytes have come.
func (p *pacedRead) extend(n int64) {
	if p == nil {
		return
	}
	deadline := p.pace.Deadline(p.began, n)
	if deadline.After(p.last) {
		deadline = p.last
	}
	_ = p.control.SetReadDeadline(deadline)
}

// readUpload buffers a body of known length, so that it occupies nothing behind this daemon before it is complete.
func readUpload(control *http.ResponseController, r *http.Request, pace *pacedRead) (*requestBody, *refusal) {
	caller := callerOf(r)
	if !caller.reserve(r.ContentLength) {
		refused := callersRefusal("there is no room for the request body")
		return nil, refused
	}
	holdForRequest(r, r.ContentLength)
	pace.extend(r.ContentLength)
	buffer := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, buffer); err != nil {
		return nil, notExecuted(http.StatusBadRequest, reasonBodyUnreadable, "the request body ended early")
	}
	_ = control.SetReadDeadline(time.Time{})
	return &requestBody{buffered: buffer, length: r.ContentLength}, nil
}

// readUnsizedUpload is readUpload for a body of unknown length, of which the start has been read. What is longer than most is streamed.
func readUnsizedUpload(
	control *http.ResponseController, r *http.Request, start []byte, most, limit int64, pace *pacedRead,
) (*requestBody, *refusal) {
	rest := &limitedReader{r.Body, limit - int64(len(start))}
	for int64(len(start)) < most {
		if !callerOf(r).reserve(2 * maxReplayBody) { // the buffer grows by copying
			return nil, callersRefusal("there is no room for the request body")
		}
		holdForRequest(r, 2*maxReplayBody)
		n := len(start)
		start = append(start, make([]byte, maxReplayBody)...)
		read, err := io.ReadFull(rest, start[n:])
		start = start[:n+read]
		switch {
		case err == nil:
			pace.extend(int64(len(start)))
		case errors.Is(err, errBodyTooLarge):
			return nil, notExecuted(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the request body is over the limit")
		case (err == io.EOF || err == io.ErrUnexpectedEOF) && atEOF(r.Body):
			_ = control.SetReadDeadline(time.Time{})
			return &requestBody{buffered: start, length: int64(len(start))}, nil
		default:
			return nil, notExecuted(http.StatusBadRequest, reasonBodyUnreadable, "the request body ended early")
		}
	}
	return &requestBody{buffered: start, rest: rest, length: -1, pace: pace}, nil
}

// holdForRequest makes bytes that were reserved be returned at the end of the request.
func holdForRequest(r *http.Request, n int64) {
	if a, ok := r.Context().Value(arrivalKey{}).(*arrival); ok {
		a.response.hold(n)
	}
}

// streamPart is the part of a target's slots that calls with streamed bodies may occupy: one in so many, at least one.
const streamPart = 4

// bodyStreams bounds the calls whose bodies are longer than MaxBufferedUpload or of unknown length. Such a call occupies a slot of the
// target from the first byte of its body to the last, so that a few callers that stop short would occupy all of them.
type bodyStreams struct{ running atomic.Int64 }

// begin counts a call if its body is streamed from a caller, and returns a refusal if too many are.
func (s *bodyStreams) begin(c *inboundCall) *refusal {
	if c.body.rest == nil || c.body.length >= 0 && c.body.length <= MaxBufferedUpload {
		return nil
	}
	_, _, slots := c.inbound.queue.occupancy()
	c.streams = true
	if s.running.Add(1) <= max(int64(slots)/streamPart, 1) {
		return nil
	}
	c.inbound.options.Metrics.callersRefused.Add(c.request.Context(), "streams", 1)
	return notExecuted(http.StatusServiceUnavailable, string(admission.Busy), "the target receives other long request bodies").
		withRetryAfter(shortRetryAfter)
}

func (s *bodyStreams) end(c *inboundCall) {
	if c.streams {
		s.running.Add(-1)
	}
}

// holdTenant charges the request to its tenant.
func (r *outboundRequest) holdTenant() *refusal {
	caller := callerOf(r.request)
	if caller == nil || r.tenant == nil {
		return nil
	}
	r.tenantBytes = callers.RequestBytes + int64(len(r.body.buffered))
	refused := caller.budget.holdTenant(string(r.tenant.Name), r.tenantBytes)
	if refused != nil {
		r.tenantBytes = 0
	}
	return refused
}

// releaseTenant returns what holdTenant has charged.
func (r *outboundRequest) releaseTenant() {
	if r.tenantBytes > 0 {
		callerOf(r.request).budget.releaseTenant(string(r.tenant.Name), r.tenantBytes)
	}
}
