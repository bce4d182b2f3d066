package traffic

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// maxDiscardedBody is the longest rest of an unread body that is read and discarded, so that the connection can serve another
// request. Receiving a longer one costs more than a new connection.
const maxDiscardedBody = 64 << 10

// trackedBody is a request body that knows how much of it has been read.
type trackedBody struct {
	io.ReadCloser
	// read is the number of bytes read, ended says that they are the whole body.
	read  atomic.Int64
	ended atomic.Bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read.Add(int64(n))
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// pipelinedBody is a request body that the handler reads from the connection of a PipelineServer. The next request begins where
// it ends, so nothing may be read as a request before the whole body has been read.
type pipelinedBody struct {
	trackedBody
	response *pipelinedResponse
	// length is the declared length, or -1.
	length int64
	// released makes later reads fail.
	released atomic.Bool

	// mu is held during a read. http.Transport may still read after the handler has returned.
	mu sync.Mutex
	// awaitsContinue says that the caller waits for "100 Continue", which has not been requested, before it sends the body.
	awaitsContinue bool
}

func newPipelinedBody(r *pipelinedResponse, request *http.Request) *pipelinedBody {
	return &pipelinedBody{
		trackedBody: trackedBody{ReadCloser: request.Body}, response: r, length: request.ContentLength,
		awaitsContinue: expectsContinue(request),
	}
}

func expectsContinue(request *http.Request) bool {
	return request.ContentLength != 0 && request.Header.Get("Expect") == "100-continue"
}

// errBodyNotRequested is the error of a body that the caller sends only after "100 Continue", which cannot follow the head of a response.
var errBodyNotRequested = errors.New("the response has begun without the body of the request")

// Read reads from the connection. It requests "100 Continue" before the first read if the caller waits for it.
func (b *pipelinedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.awaitsContinue {
		if !b.response.requestContinue() {
			return 0, errBodyNotRequested
		}
		b.awaitsContinue = false
	}
	n, err := b.trackedBody.Read(p)
	if b.ended.Load() {
		b.response.conn.caller.received()
	}
	return n, err
}

// setReadDeadline sets the deadline of the reads, unless they have ended. It must not be called during a read.
func (b *pipelinedBody) setReadDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.released.Load() {
		b.response.conn.setReadDeadline(t)
	}
}

// release ends the reads on behalf of the handler, so that the connection can be read otherwise.
func (b *pipelinedBody) release() {
	b.released.Store(true)
	conn := b.response.conn
	if !b.mu.TryLock() {
		// A read that waits for the caller would go on until the caller sends more.
		conn.setReadDeadline(time.Unix(1, 0))
		b.mu.Lock()
	}
	b.mu.Unlock()
	conn.clearReadDeadline()
}

// allowsNext reports whether another request can follow on the connection: the body has been read to its end, or a short rest
// is left. It must be called after release.
func (b *pipelinedBody) allowsNext() bool {
	if b.ended.Load() {
		return true
	}
	return !b.awaitsContinue && b.length >= 0 && b.length-b.read.Load() <= maxDiscardedBody
}

// discard reads the rest of the body and reports whether it was read to its end. It must be called after release.
func (b *pipelinedBody) discard() bool {
	if b.ended.Load() {
		return true
	}
	read, discarded := b.read.Load(), int64(0)
	if b.allowsNext() {
		conn := b.response.conn
		conn.setReadDeadline(time.Now().Add(bodyTimeout))
		discarded, _ = io.Copy(io.Discard, &b.trackedBody) // a failure shows as a body that has not ended
		conn.clearReadDeadline()
	}
	b.response.conn.server.options.Logger.Info("request-body-unread", zap.String("path", b.response.request.URL.Path),
		zap.Int64("length", b.length), zap.Int64("read", read), zap.Int64("discarded", discarded),
		zap.Bool("reused", b.ended.Load()))
	return b.ended.Load()
}
