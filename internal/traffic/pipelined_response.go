package traffic

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"
)

// pipelinedResponse is the response to one request of a PipelineServer. The handler writes into it, and the connection's writer
// takes what it holds when it is its turn. A handler blocks only while it holds more than maxHeld bytes.
type pipelinedResponse struct {
	conn    *pipelineConn
	request *http.Request
	header  http.Header

	mu      sync.Mutex
	changed *sync.Cond
	status  int
	// buffered is the part of the body that is not yet taken, length the declared length or -1.
	buffered []byte
	length   int64
	// finished says that the handler has returned, aborted that the response must not look complete, discarded that
	// nobody takes it any more, asked that the caller waits to be asked for its body.
	finished, aborted, discarded, wantsContinue bool
}

// maxBufferedResponse bounds the bytes of a response that wait for their turn.
const maxBufferedResponse = 2 * maxBufferedBody

func newPipelinedResponse(c *pipelineConn, request *http.Request) *pipelinedResponse {
	r := &pipelinedResponse{conn: c, request: request, header: http.Header{}, length: -1}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Header returns the header that WriteHeader sends.
func (r *pipelinedResponse) Header() http.Header { return r.header }

// WriteHeader fixes the status and the header.
func (r *pipelinedResponse) WriteHeader(status int) {
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

// Write adds to the body. It blocks while too much waits for its turn.
func (r *pipelinedResponse) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setStatus(http.StatusOK)
	for len(r.buffered) >= maxBufferedResponse && !r.discarded {
		r.changed.Wait()
	}
	if r.discarded {
		return 0, http.ErrAbortHandler
	}
	r.buffered = append(r.buffered, p...)
	r.changed.Broadcast()
	return len(p), nil
}

// Flush does nothing: the writer takes what is held at once when it is its turn.
func (r *pipelinedResponse) Flush() {}

// SetReadDeadline bounds the reading of the request body.
func (r *pipelinedResponse) SetReadDeadline(t time.Time) error { return r.conn.conn.SetReadDeadline(t) }

// SetWriteDeadline bounds the writing of responses on the connection.
func (r *pipelinedResponse) SetWriteDeadline(t time.Time) error {
	return r.conn.conn.SetWriteDeadline(t)
}

// EnableFullDuplex is how http.ResponseController asks that the body can be read after the response has begun, which is
// always possible here.
func (r *pipelinedResponse) EnableFullDuplex() error { return nil }

// run calls the handler.
func (r *pipelinedResponse) run() {
	defer func() {
		if fault := recover(); fault != nil {
			r.abort()
			if fault != http.ErrAbortHandler {
				panic(fault)
			}
			return
		}
		r.finish()
	}()
	r.conn.server.options.Handler.ServeHTTP(r, r.request)
}

func (r *pipelinedResponse) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.setStatus(http.StatusOK)
	}
	r.finished = true
	r.changed.Broadcast()
}

// abort ends a response so that it cannot be taken for a complete one.
func (r *pipelinedResponse) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.aborted, r.finished = true, true
	r.changed.Broadcast()
}

// discard releases a handler whose response nobody takes.
func (r *pipelinedResponse) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discarded = true
	r.changed.Broadcast()
}

// setErrorStatus makes this the response to a request that cannot be served.
func (r *pipelinedResponse) setErrorStatus(status int) {
	r.header.Set("Content-Length", "0")
	r.header.Set("Connection", "close")
	r.status, r.length, r.finished = status, 0, true
}

// writeTo writes the response once it is complete or too long to wait for.
func (r *pipelinedResponse) writeTo(w *bufio.Writer) connState {
	r.mu.Lock()
	r.waitFor(func() bool { return r.finished || len(r.buffered) >= maxBufferedResponse })
	if r.aborted {
		r.mu.Unlock()
		return stateBroken
	}
	if r.finished && r.length < 0 {
		r.length = int64(len(r.buffered))
	}
	closes := r.closesConnection()
	r.writeHead(w, closes)
	r.mu.Unlock()
	switch {
	case !r.writeBody(w) || w.Flush() != nil:
		return stateBroken
	case closes:
		return stateLast
	}
	return stateOpen
}

// waitFor waits for a condition. The caller holds the lock. A caller that waits to be asked for its body is asked.
func (r *pipelinedResponse) waitFor(met func() bool) {
	for !met() {
		if r.wantsContinue {
			r.wantsContinue = false
			_, _ = io.WriteString(r.conn.conn, "HTTP/1.1 100 Continue\r\n\r\n") // a caller that is gone sends no body
		}
		if !met() {
			r.changed.Wait()
		}
	}
}

// closesConnection reports whether the connection ends with this response.
func (r *pipelinedResponse) closesConnection() bool {
	if r.header.Get("Connection") == "close" || r.request == nil || r.request.Close {
		return true
	}
	return r.conn.isLastResponse()
}

func (r *pipelinedResponse) hasNoBody() bool {
	return r.request != nil && r.request.Method == http.MethodHead || r.status == http.StatusNoContent ||
		r.status == http.StatusNotModified
}

func (r *pipelinedResponse) writeHead(w *bufio.Writer, closes bool) {
	text := http.StatusText(r.status)
	if text == "" {
		text = "Status"
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", r.status, text) // bufio keeps the first error for Flush
	if closes {
		r.header.Set("Connection", "close")
	} else {
		r.header.Del("Connection")
	}
	switch {
	case r.status == http.StatusNoContent:
		r.header.Del("Content-Length")
	case r.length >= 0:
		r.header.Set("Content-Length", strconv.FormatInt(r.length, 10))
	default:
		r.header.Set("Transfer-Encoding", "chunked")
	}
	if r.header.Get("Date") == "" {
		r.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_ = r.header.Write(w)
	_, _ = w.WriteString("\r\n")
}

// writeBody writes the body as it grows. It returns false if the body is not whole.
func (r *pipelinedResponse) writeBody(w *bufio.Writer) bool {
	var body io.Writer = w
	var chunks io.WriteCloser
	if r.length < 0 && !r.hasNoBody() {
		chunks = httputil.NewChunkedWriter(w)
		body = chunks
	}
	var sent int64
	for {
		part, finished, aborted := r.takeBody()
		if !r.hasNoBody() {
			sent += int64(len(part))
			if _, err := body.Write(part); err != nil {
				return false
			}
		}
		if aborted || !finished && w.Flush() != nil {
			return false
		}
		if finished {
			break
		}
	}
	if chunks == nil {
		return r.hasNoBody() || sent == r.length
	}
	if chunks.Close() != nil {
		return false
	}
	_, err := w.WriteString("\r\n")
	return err == nil
}

// takeBody takes what the handler has written since.
func (r *pipelinedResponse) takeBody() (part []byte, finished, aborted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitFor(func() bool { return r.finished || len(r.buffered) > 0 })
	part, r.buffered = r.buffered, nil
	r.changed.Broadcast()
	return part, r.finished, r.aborted
}

// continueBody asks the caller for its body when it is first read.
type continueBody struct {
	io.ReadCloser
	response *pipelinedResponse
	asked    bool
}

func (b *continueBody) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked = true
		b.response.requestContinue()
	}
	return b.ReadCloser.Read(p)
}

func (r *pipelinedResponse) requestContinue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wantsContinue = true
	r.changed.Broadcast()
}
