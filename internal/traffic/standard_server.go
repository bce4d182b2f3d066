package traffic

import (
	"io"
	"net/http"
	"time"
)

// unreadBodyLinger is how long the rest of a request body is still read after the response.
const unreadBodyLinger = 500 * time.Millisecond

// ResponseWriteTimeout bounds the time for writing a response. A caller that does not read its response must not keep its connection, or
// block a drain, forever.
const ResponseWriteTimeout = maxDeadline + time.Minute

// NewServer returns a server for a handler of this package with the limits that a handler cannot enforce.
func NewServer(handler http.Handler, limits Limits) *http.Server {
	return &http.Server{
		Handler:           longBodyHandler{handler},
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		WriteTimeout:      ResponseWriteTimeout,
		// Longer than the idle timeout of the connection pools, so that the client side closes an idle connection first.
		IdleTimeout: idleTimeout + 30*time.Second,
	}
}

// longBodyHandler calls a handler that may respond before it has read a long body. By default, http.Server would read the rest
// before it sends the response, so that a refusal waits for a slow caller.
type longBodyHandler struct{ next http.Handler }

func (h longBodyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength >= 0 && r.ContentLength <= maxReplayBody {
		h.next.ServeHTTP(w, r)
		return
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	body := &trackedBody{ReadCloser: r.Body}
	r.Body = body
	h.next.ServeHTTP(&longBodyResponse{ResponseWriter: w, body: body}, r)
	if body.ended.Load() {
		return
	}
	// The caller may send the whole body before it reads the response, which would be lost if the connection were reset.
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyLinger))
	_, _ = io.Copy(io.Discard, body)
}

// longBodyResponse closes the connection after a response that begins before the request body has been read to its end. In full
// duplex, http.Server keeps such a connection open in the head of the response and may drop it under the next request.
type longBodyResponse struct {
	http.ResponseWriter
	body  *trackedBody
	begun bool
}

// WriteHeader sends the head of the response.
func (w *longBodyResponse) WriteHeader(status int) {
	if !w.begun && !w.body.ended.Load() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w *longBodyResponse) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the response of the server.
func (w *longBodyResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }
