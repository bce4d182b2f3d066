package traffic

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
)

// outgoing is a request as it goes to the next hop: the received one without its hop-by-hop headers, and new headers.
type outgoing struct {
	request *http.Request
	body    *requestBody
	// headers are names and values in turn. Their values hold no control characters.
	headers []string
}

// writeHead writes the request line and the header. Errors are kept by the writer and return with Flush. The parts of
// the received request were checked by the server that parsed them.
func (o *outgoing) writeHead(w *bufio.Writer) {
	r := o.request
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		// The absolute form is for proxies; a target expects the path.
		target = r.URL.RequestURI()
	}
	for _, s := range [...]string{r.Method, " ", target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		_, _ = w.WriteString(s)
	}
	named := connectionOptions(r.Header)
	for name, values := range r.Header {
		if hopByHop[name] || replaced[name] || named[name] {
			continue
		}
		for _, value := range values {
			writeHeader(w, name, value)
		}
	}
	for i := 0; i < len(o.headers); i += 2 {
		writeHeader(w, o.headers[i], o.headers[i+1])
	}
	switch {
	case o.body.length > 0:
		writeHeader(w, "Content-Length", strconv.FormatInt(o.body.length, 10))
	case o.body.length < 0:
		writeHeader(w, "Transfer-Encoding", "chunked")
	case r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		writeHeader(w, "Content-Length", "0")
	}
	_, _ = w.WriteString("\r\n")
}

func writeHeader(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

// replaced are headers of a request that the next hop gets anew or not at all.
var replaced = map[string]bool{
	"Content-Length": true, HeaderDeadline: true, HeaderAttempt: true, HeaderCall: true, HeaderRefusal: true, HeaderExecuted: true,
}

// stream sends a body that is longer than the buffer.
func (b *requestBody) stream(w *bufio.Writer) error {
	var dst io.Writer = w
	var chunks io.WriteCloser
	if b.length < 0 {
		chunks = httputil.NewChunkedWriter(w)
		dst = chunks
	}
	if _, err := dst.Write(b.buffered); err != nil {
		return err
	}
	n, err := io.Copy(dst, source{b})
	if err != nil {
		return err
	}
	if chunks == nil && n+int64(len(b.buffered)) != b.length {
		return io.ErrUnexpectedEOF
	}
	if chunks != nil {
		if err := chunks.Close(); err != nil {
			return err
		}
		if _, err := w.WriteString("\r\n"); err != nil {
			return err
		}
	}
	return w.Flush()
}

// ticket is the content of HeaderCall: what the ingress selected. Its parts are escaped, so that they hold no space and
// no control character.
type ticket struct{ id, service, version, route, once string }

func (t ticket) String() string {
	return strings.Join([]string{
		t.id, url.QueryEscape(t.service), url.QueryEscape(t.version), url.QueryEscape(t.route), t.once,
	}, " ")
}

// parseTicket returns the escaped parts of HeaderCall.
func parseTicket(h http.Header) (t ticket, ok bool) {
	values := h[HeaderCall]
	if len(values) != 1 {
		return ticket{}, false
	}
	rest := values[0]
	for _, part := range [...]*string{&t.id, &t.service, &t.version, &t.route} {
		if *part, rest, ok = strings.Cut(rest, " "); !ok {
			return ticket{}, false
		}
	}
	t.once = rest
	return t, true
}
