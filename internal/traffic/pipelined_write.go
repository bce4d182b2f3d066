package traffic

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// write writes the responses in order. The responses after one that closes the connection are discarded.
func (c *pipelineConn) write() {
	writer := bufio.NewWriterSize(callerWriter{c}, responseBuffer)
	open, discarded := true, 0
	for r := range c.responses {
		if !open {
			discarded++
		} else if open = r.writeTo(writer); !open {
			c.closeAfterLast()
		}
		r.discard()
		c.endRequest()
		select {
		case c.progress <- struct{}{}:
		default:
		}
	}
	if discarded > 0 {
		c.server.options.Logger.Info("responses-discarded", zap.Int("responses", discarded), zap.Bool("caller_left", c.callerLeft))
	}
}

// limitWriting sets the write deadline of the connection to that of the response being written. Only the writer may call it: a deadline
// that the handler of a later response sets would end the writing of earlier ones.
func (c *pipelineConn) limitWriting(t time.Time) {
	if !t.Equal(c.writeDeadline) {
		c.writeDeadline = t
		_ = c.conn.SetWriteDeadline(t)
	}
}

func (r *pipelinedResponse) hasNoBody() bool {
	return r.request != nil && r.request.Method == http.MethodHead || r.status == http.StatusNoContent ||
		r.status == http.StatusNotModified
}

// endsWithConnection reports whether the end of the connection is that of the body, because the caller does not know chunks.
func (r *pipelinedResponse) endsWithConnection() bool {
	return r.length < 0 && r.request != nil && !r.request.ProtoAtLeast(1, 1) && !r.hasNoBody()
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
	case r.status == http.StatusNoContent || r.status == http.StatusNotModified:
		// A length of a 304 would be that of the response to a GET without conditions, which is not known here.
		r.header.Del("Content-Length")
	case r.length >= 0:
		r.header.Set("Content-Length", strconv.FormatInt(r.length, 10))
	case !r.endsWithConnection() && !r.hasNoBody():
		r.header.Set("Transfer-Encoding", "chunked")
	}
	if r.header.Get("Date") == "" {
		r.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_ = r.header.Write(w)
	_, _ = w.WriteString("\r\n")
}

// writeBody writes the body while the handler produces it. It returns false if the body is incomplete.
func (r *pipelinedResponse) writeBody(w *bufio.Writer) bool {
	var body io.Writer = w
	var chunks io.WriteCloser
	if r.length < 0 && !r.hasNoBody() && !r.endsWithConnection() {
		chunks = httputil.NewChunkedWriter(w)
		body = chunks
	}
	var sent int64
	for {
		part, finished, aborted := r.takeBody()
		if aborted {
			return false
		}
		if !r.hasNoBody() {
			sent += int64(len(part))
			if _, err := body.Write(part); err != nil {
				return false
			}
		}
		if !finished && w.Flush() != nil {
			return false
		}
		r.conn.caller.release(int64(len(part))) // after a failure the connection ends, and with it what it is charged
		if finished {
			break
		}
	}
	if chunks == nil {
		return r.hasNoBody() || r.endsWithConnection() || sent == r.length
	}
	if chunks.Close() != nil {
		return false
	}
	_, err := w.WriteString("\r\n")
	return err == nil
}
