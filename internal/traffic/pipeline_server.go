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
	"go.uber.org/zap"
)

const (
	// maxPipelined bounds the requests of one connection that are read and not answered. Reading on shows at once when
	// the caller closes the connection.
	maxPipelined = 256
	// maxRunning bounds the requests of one connection that run at once, so that a deep pipeline does not take all slots.
	maxRunning = 16
	// requestBuffer is the read buffer of a connection in bytes, and responseBuffer the write buffer.
	requestBuffer  = 4 << 10
	responseBuffer = 4 << 10
	// closeLinger is how long a connection is read after its last response, so that the response is not lost to a reset.
	closeLinger = 500 * time.Millisecond
	// bodyTimeout bounds the time that a caller takes to send a short body.
	bodyTimeout = 30 * time.Second
	// acceptPause is the pause after a failure to accept a connection, such as for a lack of descriptors.
	acceptPause = 20 * time.Millisecond
)

// PipelineOptions configure a PipelineServer.
type PipelineOptions struct {
	Handler http.Handler
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// HeaderTimeout bounds the time that a caller takes to send a header, IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout func() time.Duration
	Logger                     *zap.Logger
}

// PipelineServer serves HTTP/1.1 like http.Server, except that the requests of one connection run at the same time; their
// responses are written in the order of the requests. http.Server runs them one after the other, so that a caller that
// pipelines waits for the sum of their times.
type PipelineServer struct {
	options        PipelineOptions
	draining       atomic.Bool
	stoppedReading atomic.Bool

	mu     sync.Mutex
	conns  map[*pipelineConn]struct{}
	closed bool
}

// NewPipelineServer returns a server that Serve starts.
func NewPipelineServer(options PipelineOptions) *PipelineServer {
	return &PipelineServer{options: options, conns: map[*pipelineConn]struct{}{}}
}

// Serve accepts connections until the listener is closed, and returns why it ended.
func (s *PipelineServer) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if err != nil {
			s.options.Logger.Warn("accept-failed", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		c := &pipelineConn{server: s, conn: conn}
		if !s.add(c) {
			_ = conn.Close()
			return http.ErrServerClosed
		}
		go c.serve()
	}
}

func (s *PipelineServer) add(c *pipelineConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[c] = struct{}{}
	}
	return !s.closed
}

func (s *PipelineServer) remove(c *pipelineConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes the last response of each connection close it.
func (s *PipelineServer) Drain() { s.draining.Store(true) }

// StopReading closes the connections without a request and reads no more requests from the others, which end with their last
// response. The listener must be closed before.
func (s *PipelineServer) StopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	s.stoppedReading.Store(true)
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Close ends all connections.
func (s *PipelineServer) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.conn.Close()
	}
	return nil
}

// pipelineConn is one connection. One goroutine reads its requests, one writes its responses, and each request has one.
type pipelineConn struct {
	server *PipelineServer
	conn   net.Conn
	reader *bufio.Reader
	limit  headerLimitReader
	// responses holds the responses in the order of their requests.
	responses chan *pipelinedResponse
	semaphore chan struct{}
	// cancel ends all requests that run.
	cancel context.CancelFunc

	mu sync.Mutex
	// pending counts the requests that were read and not answered.
	pending int
	// lastWritten says that the last response was written and the read deadline is final.
	lastWritten bool
}

// headerLimitReader fails when the header of a request is longer than left.
type headerLimitReader struct {
	conn net.Conn
	left int
}

var errHeaderTooLong = errors.New("the request header is over the limit")

func (l *headerLimitReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func (c *pipelineConn) serve() {
	defer c.server.remove(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.cancel = cancel
	c.limit.conn = c.conn
	c.reader = bufio.NewReaderSize(&c.limit, requestBuffer)
	c.responses = make(chan *pipelinedResponse, maxPipelined)
	c.semaphore = make(chan struct{}, maxRunning)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	for c.read(ctx) {
	}
	c.awaitClose()
	close(c.responses)
	<-written
	_ = c.conn.Close()
}

// read reads one request and starts it. It reports whether another may follow.
func (c *pipelineConn) read(ctx context.Context) bool {
	c.limit.left = noReadLimit
	if _, err := c.reader.Peek(1); err != nil || ctx.Err() != nil || c.server.stoppedReading.Load() {
		return false
	}
	c.limit.left = c.server.options.HeaderBytes + requestBuffer
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.options.HeaderTimeout()))
	request, err := http.ReadRequest(c.reader)
	c.limit.left = noReadLimit
	if err != nil {
		c.refuseUnreadable(err)
		return false
	}
	c.onRequestRead()
	r := newPipelinedResponse(c, request)
	if request.Host == "" || request.ProtoMajor != 1 {
		r.setErrorStatus(http.StatusBadRequest)
		c.responses <- r
		return false
	}
	c.responses <- r
	return c.start(ctx, r)
}

// awaitClose reads until the caller closes the connection or the wait for it is over. What runs for a caller that is gone
// ends.
func (c *pipelineConn) awaitClose() {
	_, err := io.Copy(io.Discard, c.conn)
	if !isTimeout(err) {
		c.cancel()
	}
}

// noReadLimit lifts the limit on reads while a body is read; the handler limits its length.
const noReadLimit = 1 << 40

// refuseUnreadable answers a request that cannot be read, if its sender may still be there.
func (c *pipelineConn) refuseUnreadable(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		return
	}
	c.onRequestRead()
	r := newPipelinedResponse(c, nil)
	r.setErrorStatus(status)
	c.responses <- r
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// start runs a request. It returns false if no request can follow on the connection.
func (c *pipelineConn) start(ctx context.Context, r *pipelinedResponse) bool {
	request := r.request
	ctx, cancel := context.WithCancel(ctx)
	r.request = request.WithContext(context.WithValue(ctx, arrivalTimeKey{}, time.Now()))
	r.request.RemoteAddr = c.conn.RemoteAddr().String()
	if request.Header.Get("Expect") == "100-continue" && request.ContentLength != 0 {
		r.request.Body = &continueBody{ReadCloser: request.Body, response: r}
	}
	whole, err := c.bufferBody(r.request)
	if err != nil {
		cancel()
		r.abort()
		return false
	}
	if whole {
		c.semaphore <- struct{}{}
		go func() {
			defer func() { <-c.semaphore }()
			defer cancel()
			r.run()
		}()
		return !request.Close
	}
	// The handler reads the body from the connection, so the next request is read after it.
	r.run()
	cancel()
	_, err = io.Copy(io.Discard, io.LimitReader(request.Body, maxReplayBody))
	return err == nil && !request.Close
}

// bufferBody reads a short body, so that the next request can be read while this one runs. It reports whether the body
// has ended.
func (c *pipelineConn) bufferBody(r *http.Request) (bool, error) {
	if r.ContentLength == 0 {
		return true, nil
	}
	if _, asks := r.Body.(*continueBody); asks || r.ContentLength > maxReplayBody {
		return false, nil
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	start, err := io.ReadAll(io.LimitReader(r.Body, maxReplayBody+1))
	if err != nil {
		return false, err
	}
	if len(start) <= maxReplayBody {
		r.Body = io.NopCloser(bytes.NewReader(start))
		return true, nil
	}
	r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(start), r.Body))
	return false, nil
}

// onRequestRead notes that a request was read.
func (c *pipelineConn) onRequestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending++
	if !c.lastWritten {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}

// onResponseWritten notes that a request was answered.
func (c *pipelineConn) onResponseWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && !c.lastWritten {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.server.options.IdleTimeout()))
	}
}

// closeIfIdle closes the connection if no request is pending.
func (c *pipelineConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		_ = c.conn.Close()
	}
}

// isLastResponse reports whether the response being written is the last one pending while the server drains.
func (c *pipelineConn) isLastResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server.draining.Load() && c.pending == 1
}

// write writes the responses in order. After one that closes the connection the others are given up.
func (c *pipelineConn) write() {
	writer := bufio.NewWriterSize(c.conn, responseBuffer)
	state := stateOpen
	for r := range c.responses {
		if state == stateOpen {
			if state = r.writeTo(writer); state != stateOpen {
				c.closeAfterLast(state)
			}
		}
		r.discard()
		c.onResponseWritten()
	}
}

// connState says how a connection goes on after a response.
type connState uint8

const (
	stateOpen connState = iota
	// stateLast means that the response is whole and the last one, stateBroken that it must not look whole.
	stateLast
	stateBroken
)

// closeAfterLast closes the sending side after the last response, because bytes that arrive after a full close would reset the
// connection and the response could be lost. A broken response closes the connection at once.
func (c *pipelineConn) closeAfterLast(state connState) {
	c.cancel()
	half, ok := c.conn.(interface{ CloseWrite() error })
	if state == stateBroken || !ok || half.CloseWrite() != nil {
		_ = c.conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWritten = true
	_ = c.conn.SetReadDeadline(time.Now().Add(closeLinger))
}

// arrivalTimeKey is the context key of the time at which a request was read.
type arrivalTimeKey struct{}

// arrivalTime returns when a request was read, or now.
func arrivalTime(r *http.Request) time.Time {
	if at, ok := r.Context().Value(arrivalTimeKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}
