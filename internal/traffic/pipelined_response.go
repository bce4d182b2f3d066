package traffic

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// pipelinedResponse is the response to one request of a PipelineServer. The handler writes into its buffer, and the writer
// of the connection takes the buffered bytes once all earlier responses are written. The handler blocks only while
// maxBufferedResponse bytes or more are buffered. Until the writer has begun the response, the handler can withdraw it and write
// another one.
type pipelinedResponse struct {
	conn    *pipelineConn
	request *http.Request
	header  http.Header
	// body is the request body if the handler reads it from the connection, nil if it is buffered.
	body *pipelinedBody

	mu      sync.Mutex
	changed *sync.Cond
	status  int
	// buffered is the part of the body that the writer has not taken yet, length the declared length or -1.
	buffered []byte
	length   int64
	// writeDeadline is the write deadline of the connection while this response is written. If it is zero, latestWrite is, which the
	// writer sets when it begins the response. From expires on the handler cannot complete a response that is not begun yet; zero
	// means never, and expiry wakes those who wait then.
	writeDeadline, latestWrite, expires time.Time
	expiry                              *time.Timer
	// charged is what is charged for the request until its response has been written.
	charged int64
	// begun means that the writer may have sent bytes of the response, finished that the handler has returned, aborted that the
	// response is incomplete and the caller must be able to tell, discarded that the response will not be written (any further),
	// wantsContinue that "100 Continue" must be sent before the caller sends its body, bodyLeft that the rest of the request body
	// stays on the connection, flushed that the handler wants the caller to receive what it has written.
	begun, finished, aborted, discarded, wantsContinue, bodyLeft, flushed bool
}

// maxBufferedResponse is the number of buffered bytes from which Write blocks.
const maxBufferedResponse = 2 * maxBufferedBody

func newPipelinedResponse(c *pipelineConn, request *http.Request) *pipelinedResponse {
	r := &pipelinedResponse{conn: c, request: request, header: http.Header{}, length: -1}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Header returns the header that WriteHeader sends.
func (r *pipelinedResponse) Header() http.Header { return r.header }

// WriteHeader sets the status, once, and reads the declared length from the header. Like http.Server it panics for a
// status that no response has; 0 would be sent as 200.
func (r *pipelinedResponse) WriteHeader(status int) {
	if !isFinalStatus(status) {
		panic(errors.Errorf("%d is not the status of a final response", status))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setStatus(status)
}

func (r *pipelinedResponse) setStatus(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	if n, err := strconv.ParseInt(r.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		r.length = n
	}
	r.changed.Broadcast()
}

// Write appends to the body. It blocks while maxBufferedResponse bytes or more are buffered, and fails if the response expires before
// its turn has come.
func (r *pipelinedResponse) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setStatus(http.StatusOK)
	for len(r.buffered) >= maxBufferedResponse && !r.discarded && !r.expired() {
		r.changed.Wait()
	}
	switch {
	case r.discarded:
		return 0, http.ErrAbortHandler
	case len(r.buffered) >= maxBufferedResponse:
		return 0, os.ErrDeadlineExceeded
	}
	r.buffered = append(r.buffered, p...)
	r.conn.caller.charge(int64(len(p)))
	if n := int64(len(r.buffered)); n > r.conn.largest.Load() {
		r.conn.largest.Store(n) // a smaller value of a concurrent response is as good
	}
	r.changed.Broadcast()
	return len(p), nil
}

// Flush makes the writer begin the response, if it has a body by then, without waiting for more of it.
func (r *pipelinedResponse) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushed = r.flushed || len(r.buffered) > 0
	r.changed.Broadcast()
}

// SetReadDeadline sets the deadline for reading the request body from the connection. For a body that is buffered it does nothing: the
// connection is then read for the next request, which the deadline would end.
func (r *pipelinedResponse) SetReadDeadline(t time.Time) error {
	if r.body != nil {
		r.body.setReadDeadline(t)
	}
	return nil
}

// SetWriteDeadline sets the deadline for writing this response. The writer applies it while it writes the response, so that the time in
// which others are written does not count.
func (r *pipelinedResponse) SetWriteDeadline(t time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeDeadline = t
	return nil
}

// ExpireAt sets the time from which the handler cannot complete the response. If the writer has not begun it by then, it waits until
// the handler has completed it or written another one.
func (r *pipelinedResponse) ExpireAt(t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clearExpiry()
	r.expires = t
	r.expiry = time.AfterFunc(time.Until(t), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changed.Broadcast()
	})
}

// mayBegin reports whether the writer may begin a response that is not complete. The lock must be held.
func (r *pipelinedResponse) mayBegin() bool {
	return r.flushed || len(r.buffered) >= maxBufferedResponse
}

// expired reports whether the response cannot be completed any more and has not been begun. The lock must be held.
func (r *pipelinedResponse) expired() bool {
	return !r.begun && !r.expires.IsZero() && !time.Now().Before(r.expires)
}

// clearExpiry makes the response one that does not expire. The lock must be held.
func (r *pipelinedResponse) clearExpiry() {
	if r.expiry != nil {
		r.expiry.Stop()
	}
	r.expires = time.Time{}
}

// run calls the handler and ends the response.
func (r *pipelinedResponse) run() {
	defer func() {
		fault := recover()
		r.releaseBody()
		switch {
		case fault == nil:
			r.finish()
		case fault == http.ErrAbortHandler || !r.replaceFaulty(fault):
			r.abort()
		}
	}()
	r.conn.server.options.Handler.ServeHTTP(r, r.request)
}

// replaceFaulty logs the panic of a handler, and replaces its response unless bytes of it may have been sent. Like http.Server, the
// server goes on: the end of the process would cut the requests of all connections. A target may have executed the request.
func (r *pipelinedResponse) replaceFaulty(fault any) bool {
	r.conn.server.options.Logger.Error("handler-panicked", zap.String("path", r.request.URL.Path), zap.Any("fault", fault),
		zap.StackSkip("stack", 1))
	if !r.Withdraw() {
		return false
	}
	r.WriteHeader(http.StatusBadGateway)
	r.finish()
	return true
}

// releaseBody ends the reads of the request body. It must come before the end of the response, whose head says whether the
// connection closes.
func (r *pipelinedResponse) releaseBody() {
	if r.body == nil {
		return
	}
	r.body.release()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyLeft = !r.body.allowsNext()
}

func (r *pipelinedResponse) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.setStatus(http.StatusOK)
	}
	r.clearExpiry()
	r.finished = true
	r.changed.Broadcast()
}

// abort ends the response as incomplete: the connection is closed, so that the caller can tell.
func (r *pipelinedResponse) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clearExpiry()
	r.aborted, r.finished = true, true
	r.changed.Broadcast()
}

// discard unblocks the handler of a response that will not be written (any further).
func (r *pipelinedResponse) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discarded = true
	r.conn.caller.release(r.charged + int64(len(r.buffered)))
	r.charged, r.buffered = 0, nil
	r.changed.Broadcast()
}

// setErrorStatus makes this an empty response that closes the connection, for a request that cannot be served.
func (r *pipelinedResponse) setErrorStatus(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.header.Set("Content-Length", "0")
	r.header.Set("Connection", "close")
	r.status, r.length, r.finished = status, 0, true
	r.changed.Broadcast()
}

// refuseBody ends the response to a request whose short body could not be read.
func (r *pipelinedResponse) refuseBody(err error) {
	if status := unreadableStatus(err); status != 0 {
		r.setErrorStatus(status)
		return
	}
	r.abort()
}

// Withdraw discards what the handler has written, so that it can write another response. It returns false if bytes of the response
// may have been sent: the handler must then abort it.
func (r *pipelinedResponse) Withdraw() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun || r.discarded {
		return false
	}
	clear(r.header)
	r.conn.caller.release(int64(len(r.buffered)))
	r.status, r.buffered, r.length, r.flushed = 0, nil, -1, false
	r.clearExpiry()
	return true
}

// writeTo writes the response, and reports whether another may follow on the connection. It begins once the response is complete, or
// it was flushed or maxBufferedResponse bytes are buffered, and the rest can still follow.
func (r *pipelinedResponse) writeTo(w *bufio.Writer) (open bool) {
	r.mu.Lock()
	r.waitFor(func() bool { return r.finished || r.mayBegin() && !r.expired() })
	r.begun, r.wantsContinue = true, false
	r.latestWrite = time.Now().Add(r.conn.server.options.WriteTimeout)
	defer r.conn.limitWriting(time.Time{})
	r.limitWriting()
	if r.aborted {
		r.mu.Unlock()
		return false
	}
	if r.finished && r.length < 0 && !r.hasNoBody() {
		r.length = int64(len(r.buffered))
	}
	closes, endsWithConnection := r.conn.decideClosing(r.mustClose()), r.endsWithConnection()
	r.writeHead(w, closes)
	r.mu.Unlock()
	if endsWithConnection {
		setResetOnClose(r.conn.conn, true)
	}
	complete := r.writeBody(w) && w.Flush() == nil
	switch {
	case endsWithConnection && complete:
		setResetOnClose(r.conn.conn, false)
	case endsWithConnection:
		_ = r.conn.conn.Close()
	}
	return complete && !closes && !r.leavesBody()
}

// limitWriting sets the write deadline of the connection for this response. The lock must be held.
func (r *pipelinedResponse) limitWriting() {
	if r.writeDeadline.IsZero() {
		r.conn.limitWriting(r.latestWrite)
		return
	}
	r.conn.limitWriting(r.writeDeadline)
}

// leavesBody reports whether the rest of the request body stays on the connection. The head of a long response may have been
// written before that was known.
func (r *pipelinedResponse) leavesBody() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodyLeft
}

// waitFor waits until a condition holds, and meanwhile sends "100 Continue" if the handler reads a body that the caller
// sends only then. The lock must be held.
func (r *pipelinedResponse) waitFor(met func() bool) {
	for !met() {
		if r.wantsContinue {
			r.wantsContinue = false
			_, _ = io.WriteString(r.conn.conn, "HTTP/1.1 100 Continue\r\n\r\n") // fails only if the caller has disconnected
		}
		if !met() {
			r.changed.Wait()
		}
	}
}

// mustClose reports whether the connection has to close after this response.
func (r *pipelinedResponse) mustClose() bool {
	return r.header.Get("Connection") == "close" || r.request == nil || r.request.Close || r.bodyLeft || r.endsWithConnection()
}

// takeBody waits for buffered bytes or the end of the response and takes the buffered bytes.
func (r *pipelinedResponse) takeBody() (part []byte, finished, aborted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitFor(func() bool { return r.finished || len(r.buffered) > 0 })
	r.limitWriting()
	part, r.buffered = r.buffered, nil
	r.changed.Broadcast()
	return part, r.finished, r.aborted
}

// requestContinue makes the writer send "100 Continue" before the response. It returns false if the response has begun.
func (r *pipelinedResponse) requestContinue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun {
		return false
	}
	r.wantsContinue = true
	r.changed.Broadcast()
	return true
}
