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

// response is the response to one request of a PipelineServer. The handler writes into it, and the connection's writer
// takes what it holds when it is its turn. A handler blocks only while it holds more than maxHeld bytes.
type response struct {
	conn    *pipelineConn
	request *http.Request
	header  http.Header

	mu      sync.Mutex
	changed *sync.Cond
	status  int
	// held is the part of the body that is not yet taken, length the declared length or -1.
	held   []byte
	length int64
	// finished says that the handler has returned, aborted that the response must not look complete, discarded that
	// nobody takes it any more, asked that the caller waits to be asked for its body.
	finished, aborted, discarded, asked bool
}

// maxHeld bounds the bytes of a response that wait for their turn.
const maxHeld = 2 * bufferedBytes

func newResponse(c *pipelineConn, request *http.Request) *response {
	r := &response{conn: c, request: request, header: http.Header{}, length: -1}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Header returns the header that WriteHeader sends.
func (r *response) Header() http.Header { return r.header }

// WriteHeader fixes the status and the header.
func (r *response) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setStatus(status)
}

func (r *response) setStatus(status int) {
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
func (r *response) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setStatus(http.StatusOK)
	for len(r.held) >= maxHeld && !r.discarded {
		r.changed.Wait()
	}
	if r.discarded {
		return 0, http.ErrAbortHandler
	}
	r.held = append(r.held, p...)
	r.changed.Broadcast()
	return len(p), nil
}

// Flush does nothing: the writer takes what is held at once when it is its turn.
func (r *response) Flush() {}

// SetReadDeadline bounds the reading of the request body.
func (r *response) SetReadDeadline(t time.Time) error { return r.conn.conn.SetReadDeadline(t) }

// SetWriteDeadline bounds the writing of responses on the connection.
func (r *response) SetWriteDeadline(t time.Time) error { return r.conn.conn.SetWriteDeadline(t) }

// EnableFullDuplex is how http.ResponseController asks that the body can be read after the response has begun, which is
// always possible here.
func (r *response) EnableFullDuplex() error { return nil }

// run calls the handler.
func (r *response) run() {
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

func (r *response) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.setStatus(http.StatusOK)
	}
	r.finished = true
	r.changed.Broadcast()
}

// abort ends a response so that it cannot be taken for a complete one.
func (r *response) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.aborted, r.finished = true, true
	r.changed.Broadcast()
}

// discard releases a handler whose response nobody takes.
func (r *response) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discarded = true
	r.changed.Broadcast()
}

// refuse makes this the response to a request that cannot be served.
func (r *response) refuse(status int) {
	r.header.Set("Content-Length", "0")
	r.header.Set("Connection", "close")
	r.status, r.length, r.finished = status, 0, true
}

// writeTo writes the response once it is complete or too long to wait for.
func (r *response) writeTo(w *bufio.Writer) connState {
	r.mu.Lock()
	r.waitFor(func() bool { return r.finished || len(r.held) >= maxHeld })
	if r.aborted {
		r.mu.Unlock()
		return stateBroken
	}
	if r.finished && r.length < 0 {
		r.length = int64(len(r.held))
	}
	closes := r.closes()
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
func (r *response) waitFor(met func() bool) {
	for !met() {
		if r.asked {
			r.asked = false
			_, _ = io.WriteString(r.conn.conn, "HTTP/1.1 100 Continue\r\n\r\n") // a caller that is gone sends no body
		}
		if !met() {
			r.changed.Wait()
		}
	}
}

// closes reports whether the connection ends with this response.
func (r *response) closes() bool {
	if r.header.Get("Connection") == "close" || r.request == nil || r.request.Close {
		return true
	}
	return r.conn.last()
}

func (r *response) bodyless() bool {
	return r.request != nil && r.request.Method == http.MethodHead || r.status == http.StatusNoContent ||
		r.status == http.StatusNotModified
}

func (r *response) writeHead(w *bufio.Writer, closes bool) {
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
func (r *response) writeBody(w *bufio.Writer) bool {
	var body io.Writer = w
	var chunks io.WriteCloser
	if r.length < 0 && !r.bodyless() {
		chunks = httputil.NewChunkedWriter(w)
		body = chunks
	}
	var sent int64
	for {
		part, finished, aborted := r.next()
		if !r.bodyless() {
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
		return r.bodyless() || sent == r.length
	}
	if chunks.Close() != nil {
		return false
	}
	_, err := w.WriteString("\r\n")
	return err == nil
}

// next takes what the handler has written since.
func (r *response) next() (part []byte, finished, aborted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitFor(func() bool { return r.finished || len(r.held) > 0 })
	part, r.held = r.held, nil
	r.changed.Broadcast()
	return part, r.finished, r.aborted
}

// continueBody asks the caller for its body when it is first read.
type continueBody struct {
	io.ReadCloser
	response *response
	asked    bool
}

func (b *continueBody) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked = true
		b.response.ask()
	}
	return b.ReadCloser.Read(p)
}

func (r *response) ask() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = true
	r.changed.Broadcast()
}
