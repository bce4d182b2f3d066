package traffic

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// bodyGrace is the time between the deadline of the call and the read deadline of its body, in which the refusal for the
// passed deadline can be written.
const bodyGrace = time.Second

// requestBody is the body of a call. A completely buffered body can be sent more than once.
type requestBody struct {
	buffered []byte
	// rest is the part that follows buffered, streamed from the caller; nil if the whole body is buffered.
	rest        io.Reader
	length      int64
	readStarted atomic.Bool
	// pace bounds the time of reading rest; nil if only the deadline of the call does.
	pace *pacedRead
	// readFailed is set when reading a streamed body from the caller fails.
	readFailed atomic.Bool
}

// callerBodyReader reads the streamed part of a body and records if reading it fails.
type callerBodyReader struct{ body *requestBody }

func (s callerBodyReader) Read(p []byte) (int, error) {
	n, err := s.body.rest.Read(p)
	s.body.pace.read(n)
	if err != nil && err != io.EOF {
		s.body.readFailed.Store(true)
	}
	return n, err
}

// readRequestBody buffers a body of at most maxReplayBody bytes, or of limits.BufferedBodyBytes if there are more. A longer one is
// streamed.
func readRequestBody(
	w http.ResponseWriter, r *http.Request, limits Limits, limit int64, deadline time.Time,
) (*requestBody, *refusal) {
	if r.ContentLength > limit {
		return nil, notExecuted(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the request body is over the limit")
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if b, ok := r.Body.(*bufferedBody); ok {
		return &requestBody{buffered: b.data, length: int64(len(b.data))}, nil
	}
	// A caller that sends its body too slowly is cut off at the deadline of the call, or before by its pace.
	control := http.NewResponseController(w)
	pace := newPacedRead(control, limits.Pace, deadline.Add(bodyGrace))
	if r.ContentLength > maxReplayBody {
		if r.ContentLength <= limits.BufferedBodyBytes {
			return readUpload(control, r, pace)
		}
		return &requestBody{rest: r.Body, length: r.ContentLength, pace: pace}, nil
	}
	size := r.ContentLength
	if size < 0 {
		size = maxReplayBody
	}
	buffer := make([]byte, size)
	n, err := io.ReadFull(r.Body, buffer)
	switch {
	case err == nil && r.ContentLength >= 0:
		_ = control.SetReadDeadline(time.Time{})
		return &requestBody{buffered: buffer, length: size}, nil
	case err == nil && size < limits.BufferedBodyBytes:
		return readUnsizedUpload(control, r, buffer, limits.BufferedBodyBytes, limit, pace)
	case err == nil:
		return &requestBody{buffered: buffer, rest: &limitedReader{r.Body, limit - size}, length: -1, pace: pace}, nil
	case r.ContentLength < 0 && (err == io.EOF || err == io.ErrUnexpectedEOF) && n < len(buffer) && atEOF(r.Body):
		_ = control.SetReadDeadline(time.Time{})
		return &requestBody{buffered: buffer[:n], length: int64(n)}, nil
	}
	return nil, notExecuted(http.StatusBadRequest, reasonBodyUnreadable, "the request body ended early")
}

// atEOF reports whether a body of unknown length has ended completely. io.ReadFull returns the same error for a truncated
// body and a short complete one; the next read tells them apart.
func atEOF(body io.Reader) bool {
	_, err := body.Read(make([]byte, 1))
	return err == io.EOF
}

// limitedReader fails once more bytes than the limit have been read.
type limitedReader struct {
	r    io.Reader
	left int64
}

var (
	errBodyTooLarge    = errors.New("the request body is over the limit")
	errResponseTooLong = errors.New("the response without a length is too long")
)

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// replayable reports whether the whole body can be sent, or sent again.
func (b *requestBody) replayable() bool { return b.rest == nil || !b.readStarted.Load() }

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// hasFraming reports whether the end of the body can be told from a broken connection. A body without Content-Length and
// without chunks ends when the connection closes, and a truncated one looks complete.
func hasFraming(method string, response *http.Response) bool {
	return method == http.MethodHead || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// mustStream reports whether a response is forwarded while it is received. A body without Content-Length may never end.
func mustStream(method string, response *http.Response) bool {
	return method != http.MethodHead && (response.ContentLength < 0 || response.ContentLength > maxBufferedBody)
}

// readResponseBody reads a body of at most limit bytes. Complete is false if the body is longer or could not be read.
func readResponseBody(method string, response *http.Response, limit int) (body []byte, complete bool, err error) {
	if method == http.MethodHead || response.ContentLength == 0 {
		return nil, true, nil
	}
	if response.ContentLength >= 0 && response.ContentLength <= int64(limit) {
		body = make([]byte, response.ContentLength)
		_, err = io.ReadFull(response.Body, body)
		return body, err == nil, err
	}
	if response.ContentLength > int64(limit) {
		return nil, false, nil
	}
	return readUnsized(response.Body, limit)
}

const (
	// firstBlock and largestBlock are the sizes of the first and of the largest block in which a body without a length is read.
	firstBlock   = 4 << 10
	largestBlock = 64 << 10
)

// readUnsized reads a body of at most limit bytes. It keeps blocks until the body has ended: a buffer that grows would hold several
// times the bytes of a body without end.
func readUnsized(r io.Reader, limit int) (body []byte, complete bool, err error) {
	var blocks [][]byte
	block := make([]byte, 0, firstBlock)
	for total := 0; total <= limit; {
		if len(block) == cap(block) {
			blocks = append(blocks, block)
			block = make([]byte, 0, min(2*cap(block), largestBlock))
		}
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		total += n
		switch {
		case err == nil || err == io.EOF && total > limit:
		case err != io.EOF:
			return nil, false, err
		case len(blocks) == 0:
			return block, true, nil
		default:
			return slices.Concat(append(blocks, block)...), true, nil
		}
	}
	return nil, false, nil
}

// byteBudget bounds the bytes that several readers buffer together.
type byteBudget struct{ taken, limit atomic.Int64 }

// budgetReader takes the bytes that it reads from a budget, and fails once the budget is spent. release returns them.
type budgetReader struct {
	io.ReadCloser
	budget *byteBudget
	taken  int64
}

func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.taken += int64(n)
	if r.budget.taken.Add(int64(n)) > r.budget.limit.Load() {
		return 0, errResponseTooLong
	}
	return n, err
}

func (r *budgetReader) release() {
	r.budget.taken.Add(-r.taken)
	r.taken = 0
}

// streamFailure is the reason why a response could not be forwarded completely.
type streamFailure uint8

const (
	senderFailed streamFailure = iota + 1
	// receiverFailed also covers a caller that reads so slowly that the deadline passes.
	receiverFailed
)

// queuedResponse is a response that its server sends only after others, and that can be replaced until then.
type queuedResponse interface {
	Withdraw() bool
	ExpireAt(t time.Time)
}

// withdraw takes back a response, so that the handler can write another one. It returns false if the server may have sent bytes of it.
func withdraw(w http.ResponseWriter) bool {
	queued, ok := w.(queuedResponse)
	return ok && queued.Withdraw()
}

// stream copies a body and returns 0 if it was copied completely. After any other result the handler must either withdraw the
// response, or panic with http.ErrAbortHandler, which closes the connection, so that a truncated response never looks complete.
func stream(w http.ResponseWriter, body io.Reader, flush bool, deadline time.Time) streamFailure {
	control := http.NewResponseController(w)
	// A caller that reads too slowly is cut off soon after the deadline of the call.
	_ = control.SetWriteDeadline(deadline.Add(time.Second))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if queued, ok := w.(queuedResponse); ok {
		queued.ExpireAt(deadline)
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	start, writing := time.Now(), time.Duration(0)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			before := time.Now()
			if _, werr := w.Write((*buffer)[:n]); werr != nil {
				return receiverFailed
			}
			if flush && control.Flush() != nil {
				return receiverFailed
			}
			writing += time.Since(before)
		}
		switch {
		case err == io.EOF:
			return 0
		case err != nil && isTimeout(err) && writing > time.Since(start)/2:
			return receiverFailed
		case err != nil:
			return senderFailed
		}
	}
}
