package traffic

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/callers"
)

// maxUnread bounds the bytes of responses that one connection is expected to hold. Beyond it, the next request is started only when an
// earlier response has been written.
const maxUnread = 512 << 10

// errCallersFull is the error of a request for which the budget for callers has no room.
var errCallersFull = errors.New("the budget for callers is exhausted")

// scanHead counts the fields of a head, and charges for those beyond the usual while the rest has not arrived.
func (l *headerLimitReader) scanHead(p []byte) error {
	if !l.inRequest || l.scanner.ended {
		return nil
	}
	l.scanner.scan(p)
	if l.maxFields > 0 && l.scanner.fields > l.maxFields {
		l.caller.budget.refused(refusedFields)
		return errTooManyFields
	}
	more := callers.HeadBytes(l.scanner.fields, l.scanner.size) - l.charged
	if l.caller == nil || more <= 0 {
		return nil
	}
	if !l.caller.reserve(more) {
		return errCallersFull
	}
	l.charged += more
	return nil
}

// takeCharge returns what was charged for the head, which the caller of takeCharge has to release.
func (l *headerLimitReader) takeCharge() int64 {
	n := l.charged
	l.charged = 0
	return n
}

// requestComplete marks that the whole request has been read.
func (l *headerLimitReader) requestComplete() {
	l.inRequest = false
	l.caller.received()
}

// beginHead marks that a request has begun, and counts the fields that are in the buffer.
func (c *pipelineConn) beginHead() error {
	c.caller.setBusy()
	c.limit.inRequest, c.limit.scanner = true, headScanner{}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
	return c.limit.scanHead(buffered)
}

// awaitRoom waits while the responses of the connection that are not written may be longer than maxUnread together.
func (c *pipelineConn) awaitRoom() {
	for {
		c.mu.Lock()
		others := int64(c.pending - 1)
		c.mu.Unlock()
		if others*c.largest.Load() < maxUnread {
			return
		}
		<-c.progress
	}
}

// requestCharge returns what a request holds while it runs, without what is charged for a large head.
func requestCharge(r *http.Request) int64 {
	switch {
	case r.ContentLength == 0:
		return callers.RequestBytes
	case expectsContinue(r) || r.ContentLength > maxReplayBody:
		return callers.RequestBytes + callers.StreamBytes
	case r.ContentLength < 0:
		return callers.RequestBytes + 2*maxReplayBody // a body of unknown length is read into a buffer that grows
	}
	return callers.RequestBytes + r.ContentLength
}

// readShortBody reads a body, of which it returns more than maxReplayBody bytes if it has more.
func readShortBody(r *http.Request) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(r.Body, maxReplayBody+1))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// bufferedBody is a request body that is held whole.
type bufferedBody struct {
	*bytes.Reader
	data []byte
}

func newBufferedBody(data []byte) *bufferedBody { return &bufferedBody{bytes.NewReader(data), data} }

// Close does nothing.
func (*bufferedBody) Close() error { return nil }

// callerWriter writes to a connection, and marks meanwhile that the connection waits for its caller to read.
type callerWriter struct{ c *pipelineConn }

func (w callerWriter) Write(p []byte) (int, error) {
	if w.c.caller != nil {
		w.c.caller.sendingSince.Store(sinceStart())
		defer w.c.caller.sendingSince.Store(0)
	}
	return w.c.conn.Write(p)
}

// reserve takes bytes for the request, which are returned when its response has been written.
func (r *pipelinedResponse) reserve(n int64) bool {
	ok := r.conn.caller.reserve(n)
	if ok {
		r.hold(n)
	}
	return ok
}

// hold makes bytes that were reserved be returned when the response has been written.
func (r *pipelinedResponse) hold(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.discarded {
		r.conn.caller.release(n)
		return
	}
	r.charged += n
}

// refuseFull ends the response to a request for which there is no room. It closes the connection, because what follows the head
// is not read.
func (r *pipelinedResponse) refuseFull() {
	request := r.request
	if request == nil {
		request = &http.Request{}
	}
	r.header.Set("Connection", "close")
	callersRefusal("there is no room for the request").write(r, request, r.conn.caller.budget.metrics)
	r.finish()
}

// arrivalKey is the context key of the arrival of a request.
type arrivalKey struct{}

// arrival is when a PipelineServer read a request, and the account of its connection.
type arrival struct {
	at     time.Time
	caller *callerConn
	// response is that to the request.
	response *pipelinedResponse
}

// arrivalTime returns the time at which a PipelineServer read the request, or the current time for another server.
func arrivalTime(r *http.Request) time.Time {
	if a, ok := r.Context().Value(arrivalKey{}).(*arrival); ok {
		return a.at
	}
	return time.Now()
}
