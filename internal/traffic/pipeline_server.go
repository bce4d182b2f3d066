package traffic

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// maxPipelined bounds the requests of one connection that have been read and not answered. Requests are read ahead so
	// that a connection closed by the caller is noticed at once.
	maxPipelined = 256
	// maxRunning bounds the requests of one connection that run concurrently, so that one connection with many pipelined
	// requests does not occupy all slots.
	maxRunning = 16
	// requestBuffer and responseBuffer are the sizes of a connection's read and write buffers in bytes.
	requestBuffer  = 4 << 10
	responseBuffer = 4 << 10
	// closeLinger is how long a connection is still read after its last response, unless the caller closes it before: the default
	// deadline of a call, in which a slow caller has read its responses.
	closeLinger = 5 * time.Second
	// StopLinger is how long a connection without a pending request is still read after StopReading, so that a request that has
	// already arrived at the socket is answered.
	StopLinger = 100 * time.Millisecond
	// bodyTimeout bounds the time in which a caller must send a short body.
	bodyTimeout = 30 * time.Second
	// acceptPause is the pause after a failed accept, for example when the process is out of file descriptors.
	acceptPause = 20 * time.Millisecond
	// acceptDrainTimeout bounds the time in which StopAccepting accepts the connections in the queue. A process that is out of file
	// descriptors accepts them only as other connections end.
	acceptDrainTimeout = 1500 * time.Millisecond
)

// PipelineOptions configures a PipelineServer.
type PipelineOptions struct {
	Handler http.Handler
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// HeaderTimeout bounds the time in which a caller must send a request header, IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout func() time.Duration
	// WriteTimeout bounds the time for writing a response whose handler sets no deadline for that.
	WriteTimeout time.Duration
	Logger       *zap.Logger
	// Callers bounds what is held for callers; nil bounds nothing.
	Callers *CallerBudget
}

// PipelineServer serves HTTP/1.1 like http.Server, except that the requests of one connection run concurrently; their
// responses are written in the order of the requests. http.Server runs them one after another, so that a caller that
// pipelines requests waits for the sum of their execution times.
type PipelineServer struct {
	options        PipelineOptions
	draining       atomic.Bool
	stoppedReading atomic.Bool
	// pending counts the requests of all connections that have been read and not answered.
	pending inFlightCalls
	// reading counts the connections on which a request may follow, lingering those whose callers were told to close them or have not
	// received all of their responses.
	reading, lingering inFlightCalls

	mu     sync.Mutex
	conns  map[*pipelineConn]struct{}
	closed bool
	// listener is that of Serve, nil before. acceptUntil is when StopAccepting leaves the connections in its queue.
	listener    net.Listener
	acceptUntil time.Time
	// serveEnded is closed when Serve returns.
	serveEnded chan struct{}
}

// NewPipelineServer returns a server that accepts connections once Serve is called.
func NewPipelineServer(options PipelineOptions) *PipelineServer {
	return &PipelineServer{options: options, conns: map[*pipelineConn]struct{}{}, serveEnded: make(chan struct{})}
}

// Serve accepts connections until the listener or the server is closed, and then returns http.ErrServerClosed.
func (s *PipelineServer) Serve(listener net.Listener) error {
	defer close(s.serveEnded)
	if !s.setListener(listener) {
		return http.ErrServerClosed
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || isTimeout(err) && !s.extendAccepting() {
			return http.ErrServerClosed
		}
		if isTimeout(err) {
			continue
		}
		if err != nil {
			s.options.Logger.Warn("accept-failed", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		c := &pipelineConn{server: s, conn: conn, progress: make(chan struct{}, 1)}
		var admitted bool
		if c.caller, admitted = s.options.Callers.open(conn.RemoteAddr(), "ingress", func() { reset(conn) }); !admitted {
			_ = conn.Close()
			continue
		}
		if !s.add(c) {
			c.caller.close()
			_ = conn.Close()
			return http.ErrServerClosed
		}
		go c.serve()
	}
}

// setListener sets the listener of Serve, and returns false if it is not to accept.
func (s *PipelineServer) setListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	return !s.closed
}

// StopAccepting closes the listener. Before, it accepts the connections that wait in its queue: closing it resets them, with the
// requests that their callers have sent. It should follow StopReading, which frees the file descriptors of idle connections.
func (s *PipelineServer) StopAccepting() {
	s.mu.Lock()
	listener := s.listener
	s.acceptUntil = time.Now().Add(acceptDrainTimeout)
	s.mu.Unlock()
	if d, ok := listener.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(time.Unix(1, 0)) == nil {
		<-s.serveEnded
	}
	if listener != nil {
		_ = listener.Close()
	}
}

// extendAccepting extends the deadline of the listener while connections wait in its queue, until acceptUntil.
func (s *PipelineServer) extendAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok || !hasInput(s.listener) || time.Now().After(s.acceptUntil) {
		return false
	}
	return d.SetDeadline(time.Now().Add(acceptPause)) == nil
}

func (s *PipelineServer) add(c *pipelineConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	s.reading.begin()
	return true
}

func (s *PipelineServer) remove(c *pipelineConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes each connection close after its last pending response.
func (s *PipelineServer) Drain() { s.draining.Store(true) }

// StopReading closes each connection after its last pending response. A connection without a pending request is closed after
// StopLinger, or after the response to a request that arrives until then. That holds for connections accepted later, too.
func (s *PipelineServer) StopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	s.stoppedReading.Store(true)
	for c := range s.conns {
		c.stopIfIdle()
	}
}

// Wait blocks until every request that was read has been answered, or returns the error of ctx. After StopReading, it also waits
// for connections on which a request may have arrived that is not read yet. Once it has returned, no request begins: Close, which
// follows, would cut it.
func (s *PipelineServer) Wait(ctx context.Context) error {
	if s.stoppedReading.Load() {
		if err := s.reading.wait(ctx); err != nil {
			s.pending.drain()
			return err
		}
	}
	return s.pending.waitAndDrain(ctx)
}

// WaitClosed blocks until the callers that were told to close their connections, or had not received all of their responses when the
// reading of their connections ended, have closed them, or returns the error of ctx. Until then Close could discard responses.
func (s *PipelineServer) WaitClosed(ctx context.Context) error { return s.lingering.wait(ctx) }

// Close closes all connections at once.
func (s *PipelineServer) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.conn.Close()
	}
	return nil
}
