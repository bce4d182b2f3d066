package traffic

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// pipelineConn is one connection. One goroutine reads its requests, one writes its responses, and each request runs on its
// own.
type pipelineConn struct {
	server *PipelineServer
	conn   net.Conn
	reader *bufio.Reader
	limit  headerLimitReader
	// responses holds the responses in the order of their requests.
	responses chan *pipelinedResponse
	// semaphore holds an element per running request, at most maxRunning.
	semaphore chan struct{}
	// cancel cancels all running requests.
	cancel context.CancelFunc
	// writeDeadline is the write deadline of the connection. It belongs to the writer.
	writeDeadline time.Time
	// caller is the account of the connection in the budget for callers, nil if there is none.
	caller *callerConn
	// largest is the length of the longest response so far, as far as it was buffered. progress receives an element when a response
	// has been written.
	largest  atomic.Int64
	progress chan struct{}

	mu sync.Mutex
	// pending counts the requests of which a byte has been read and that have not been answered.
	pending int
	// undecided counts those of them for whose responses it has not been decided whether the connection closes.
	undecided int
	// closing means that the connection closes after the response being written. Its head tells the caller that later requests
	// were not read, so none may be read after that.
	closing bool
	// readingEnded means that no request follows on the connection.
	readingEnded bool
	// lingering means that the sending side is closed and the read deadline is that of closeLinger.
	lingering bool
	// callerLeft means that the caller has closed the connection. The reader sets it before it closes responses.
	callerLeft bool
	// awaited means that the server waits for the end of the connection, because the caller was told to close it or has not received
	// all of an earlier response.
	awaited bool
}

// headerLimitReader returns errHeaderTooLong once left bytes have been read.
type headerLimitReader struct {
	conn net.Conn
	left int
	// caller is the account of the connection. scanner counts the fields of the head that is being read, at most maxFields unless that
	// is 0, and charged is what was charged for the head. inRequest says that a request has begun and is incomplete.
	caller    *callerConn
	scanner   headScanner
	maxFields int
	charged   int64
	inRequest bool
}

var errHeaderTooLong = errors.New("the request header is over the limit")

func (l *headerLimitReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeaderTooLong
	}
	if l.inRequest {
		l.caller.awaitInput()
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	if err := l.scanHead(p[:max(n, 0)]); err != nil {
		return 0, err
	}
	return n, err
}

func (c *pipelineConn) serve() {
	defer c.server.remove(c)
	defer c.caller.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.cancel = cancel
	c.limit.conn, c.limit.caller, c.limit.maxFields = c.conn, c.caller, c.server.options.Callers.fields()
	c.reader = bufio.NewReaderSize(&c.limit, requestBuffer)
	c.responses = make(chan *pipelinedResponse, maxPipelined)
	c.semaphore = make(chan struct{}, maxRunning)
	c.limitFirstRequest()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	for c.read(ctx) {
	}
	if hasUnsent(c.conn) {
		c.awaitCaller() // before the connection counts as one that is not read, so that the server never misses it
	}
	c.stopReading()
	c.awaitClose()
	close(c.responses)
	<-written
	c.linger()
}

// read reads one request and starts its handler. It reports whether another request may follow.
func (c *pipelineConn) read(ctx context.Context) bool {
	c.limit.left = noReadLimit
	if !c.awaitRequest() || ctx.Err() != nil || !c.beginRequest() {
		return false
	}
	c.limit.left = c.server.options.HeaderBytes + requestBuffer
	err := c.beginHead()
	var request *http.Request
	if err == nil {
		request, err = http.ReadRequest(c.reader)
	}
	c.limit.left = noReadLimit
	if err != nil {
		c.caller.release(c.limit.takeCharge())
		c.refuseUnreadable(err)
		return false
	}
	c.clearReadDeadline()
	r := newPipelinedResponse(c, request)
	r.charged = c.limit.takeCharge()
	if request.Host == "" || request.ProtoMajor != 1 {
		r.setErrorStatus(http.StatusBadRequest)
		c.responses <- r
		return false
	}
	c.responses <- r
	return c.start(ctx, r)
}

// awaitRequest waits for the first byte of a request. It returns false if there is none until the read deadline.
func (c *pipelineConn) awaitRequest() bool {
	_, err := c.reader.Peek(1)
	if isTimeout(err) && c.extendIfArrived() {
		_, err = c.reader.Peek(1)
	}
	return err == nil
}

// extendIfArrived extends the read deadline if a request has arrived. A process that got no processor time for a while finds the
// deadline passed, and a read then fails without looking for bytes.
func (c *pipelineConn) extendIfArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !hasInput(c.conn) {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.options.HeaderTimeout()))
	return true
}

// awaitClose reads until the caller closes the connection or the read deadline passes. If the caller has closed it, the
// running requests are cancelled.
func (c *pipelineConn) awaitClose() {
	_, err := io.Copy(io.Discard, c.conn)
	if !isTimeout(err) {
		c.callerLeft = true
		c.cancel()
	}
}

// noReadLimit is the read limit while a body is read, which is in effect none; the handler limits the length of a body.
const noReadLimit = 1 << 40

// refuseUnreadable responds to a request that could not be parsed, unless the caller has disconnected.
func (c *pipelineConn) refuseUnreadable(err error) {
	status := unreadableStatus(err)
	if status == 0 {
		c.abandonRequest()
		return
	}
	c.clearReadDeadline()
	r := newPipelinedResponse(c, nil)
	if status == http.StatusServiceUnavailable {
		r.refuseFull()
	} else {
		r.setErrorStatus(status)
	}
	c.responses <- r
}

// unreadableStatus returns the status of the response to a request whose header or short body could not be read, or 0 if the caller
// has disconnected.
func unreadableStatus(err error) int {
	switch {
	case errors.Is(err, errCallersFull):
		return http.StatusServiceUnavailable
	case errors.Is(err, errHeaderTooLong), errors.Is(err, errTooManyFields):
		return http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		return 0
	}
	return http.StatusBadRequest
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// start runs the handler of a request: on its own goroutine if the body is buffered, else before it returns. It returns
// false if no request can follow on the connection.
func (c *pipelineConn) start(ctx context.Context, r *pipelinedResponse) bool {
	request := r.request
	if c.awaitRoom(); ctx.Err() != nil {
		r.abort()
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	r.request = request.WithContext(context.WithValue(ctx, arrivalKey{}, &arrival{time.Now(), c.caller, r}))
	r.request.RemoteAddr = c.conn.RemoteAddr().String()
	if !r.reserve(requestCharge(request)) {
		cancel()
		r.refuseFull()
		return false
	}
	bodyBuffered, err := c.bufferBody(r.request)
	if err != nil {
		cancel()
		r.refuseBody(err)
		return false
	}
	if bodyBuffered {
		c.limit.requestComplete()
	}
	if bodyBuffered {
		c.semaphore <- struct{}{}
		go func() {
			defer func() { <-c.semaphore }()
			defer cancel()
			r.run()
		}()
		return !request.Close
	}
	// The handler reads the body from the connection, so the next request can be read only after the handler has returned.
	r.body = newPipelinedBody(r, r.request)
	r.request.Body = r.body
	r.run()
	cancel()
	defer c.limit.requestComplete()
	return r.body.discard() && !request.Close
}

// bufferBody reads a short body, so that the next request can be read while this one runs. It reports whether the whole
// body is buffered.
func (c *pipelineConn) bufferBody(r *http.Request) (bool, error) {
	if r.ContentLength == 0 {
		return true, nil
	}
	if expectsContinue(r) || r.ContentLength > maxReplayBody {
		return false, nil
	}
	c.setReadDeadline(time.Now().Add(bodyTimeout))
	defer c.clearReadDeadline()
	start, err := readShortBody(r)
	if err != nil {
		return false, err
	}
	if len(start) <= maxReplayBody {
		r.Body, r.Trailer = newBufferedBody(start), nil
		return true, nil
	}
	r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(start), r.Body))
	return false, nil
}

// beginRequest counts a request as pending once its first byte has been read, and bounds the time until its header is read. It
// returns false for a request that must not be read, because a response before it closes the connection or, once the server
// reads no more, will close it, or because the server has ended.
func (c *pipelineConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.undecided > 0 && c.server.stoppedReading.Load() || !c.server.pending.begin() {
		return false
	}
	c.pending++
	c.undecided++
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.options.HeaderTimeout()))
	return true
}

// setReadDeadline sets the deadline of a request header or body, unless the connection lingers, which has a deadline of its own.
func (c *pipelineConn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingering {
		_ = c.conn.SetReadDeadline(t)
	}
}

// clearReadDeadline removes the deadline of a request header or body that has been read. The response may have been written
// meanwhile, and the idle timeout begun.
func (c *pipelineConn) clearReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering {
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.startIdleTimeout()
}

// abandonRequest ends a request that its caller never completed.
func (c *pipelineConn) abandonRequest() {
	c.mu.Lock()
	c.undecided--
	c.mu.Unlock()
	c.endRequest()
}

// limitFirstRequest bounds the time until the first request. The connection may have been accepted when the server stopped reading, before
// it was known to StopReading.
func (c *pipelineConn) limitFirstRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startIdleTimeout()
}

// endRequest counts a request as answered, and starts the idle timeout if no other is pending.
func (c *pipelineConn) endRequest() {
	c.server.pending.end()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 {
		c.caller.setIdle()
	}
	c.startIdleTimeout()
}

// startIdleTimeout bounds the time until the next request if none is pending. The lock must be held.
func (c *pipelineConn) startIdleTimeout() {
	if c.pending > 0 || c.closing {
		return
	}
	timeout := c.server.options.IdleTimeout()
	if c.server.stoppedReading.Load() {
		timeout = StopLinger
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
}

// stopIfIdle ends the reading of a connection without a pending request after StopLinger.
func (c *pipelineConn) stopIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.closing {
		_ = c.conn.SetReadDeadline(time.Now().Add(StopLinger))
	}
}

// decideClosing decides whether the connection closes after the response being written: if that is required, or if the server
// is draining and no other request has been read behind it.
func (c *pipelineConn) decideClosing(required bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = required || c.server.draining.Load() && c.undecided == 1
	c.undecided--
	if c.closing {
		c.endReading()
	}
	return c.closing
}
