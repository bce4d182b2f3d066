package traffic

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// outgoingRequest is a request to the next hop: the received request without its hop-by-hop headers, and with new headers.
type outgoingRequest struct {
	request *http.Request
	body    *requestBody
	// headers holds names and values alternately. The values contain no control characters.
	headers []string
	// retryable means that the call may be cancelled and sent again if the target stops answering.
	retryable bool
}

// build returns the request for http.Transport.
func (o *outgoingRequest) build(ctx context.Context, address string) *http.Request {
	r := o.request
	out := (&http.Request{
		Method: r.Method, Host: r.Host, Header: o.header(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: nextURL(r, address),
	}).WithContext(ctx)
	o.body.attach(out)
	return out
}

// nextURL returns the URL at the next hop. It keeps the path and query as received, with their escapes.
func nextURL(r *http.Request, address string) *url.URL {
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: r.RequestURI}
	}
	// A target expects the path alone. The absolute form is for proxies, and an opaque part that starts with // would be
	// sent as an absolute form.
	u := *r.URL
	u.Scheme, u.Host, u.User = "http", address, nil
	return &u
}

func (o *outgoingRequest) header() http.Header {
	src := o.request.Header
	dst := make(http.Header, len(src)+len(o.headers)/2+1)
	copyHeader(dst, src, replacedHeaders)
	for i := 0; i < len(o.headers); i += 2 {
		dst[o.headers[i]] = o.headers[i+1 : i+2 : i+2]
	}
	// http.Transport treats a request without a body as replayable if it has one of these headers. It looks for the
	// canonical names only; on the wire, names are case-insensitive.
	for _, name := range [...]string{HeaderIdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := dst[name]; ok {
			delete(dst, name)
			dst[strings.ToLower(name)] = values
		}
	}
	if _, ok := dst["User-Agent"]; !ok {
		// Without an entry net/http sends its own name.
		dst["User-Agent"] = nil
	}
	return dst
}

// replacedHeaders are the request headers that are not copied: they are set anew for the next hop or left out.
var replacedHeaders = map[string]bool{
	"Content-Length": true, HeaderDeadline: true, HeaderAttempt: true, HeaderCall: true, HeaderRefusal: true, HeaderExecuted: true,
	HeaderDispatch: true, HeaderTenant: true,
}

var (
	identityEncoding = []string{"identity"}
	chunkedEncoding  = []string{"chunked"}
)

// attach sets the body of an outgoing request. The request has no GetBody, so that http.Transport never sends it again
// after a byte was sent.
func (b *requestBody) attach(out *http.Request) {
	switch {
	case b.length == 0 && isSafeMethod(out.Method):
		// http.Transport itself retries a request with a safe method and no body, outside the retry budget. An empty body
		// that is not http.NoBody prevents this; with the identity encoding nothing is sent for it.
		out.Body = io.NopCloser(bytes.NewReader(nil))
		out.TransferEncoding = identityEncoding
	case b.length == 0:
		out.Body = http.NoBody
	case b.rest == nil:
		out.Body = io.NopCloser(bytes.NewReader(b.buffered))
		out.ContentLength = b.length
	default:
		out.Body = &streamedBody{body: b, r: io.MultiReader(bytes.NewReader(b.buffered), callerBodyReader{b})}
		out.ContentLength = b.length
		if b.length < 0 {
			out.TransferEncoding = chunkedEncoding
		}
	}
}

func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// streamedBody records that reading the body has begun. Close does nothing: the server closes the body of its request.
type streamedBody struct {
	body *requestBody
	r    io.Reader
}

func (s *streamedBody) Read(p []byte) (int, error) {
	s.body.readStarted.Store(true)
	return s.r.Read(p)
}

func (s *streamedBody) Close() error { return nil }

// callHeader is the content of HeaderCall: what the ingress selected. On the wire, its parts are escaped, so that they
// contain no space and no control character.
type callHeader struct{ id, service, version, route, once string }

func (t callHeader) String() string {
	return strings.Join([]string{
		t.id, url.QueryEscape(t.service), url.QueryEscape(t.version), url.QueryEscape(t.route), t.once,
	}, " ")
}

// parseCallHeader returns the parts of HeaderCall, still escaped.
func parseCallHeader(h http.Header) (t callHeader, ok bool) {
	values := h[HeaderCall]
	if len(values) != 1 {
		return callHeader{}, false
	}
	rest := values[0]
	for _, part := range [...]*string{&t.id, &t.service, &t.version, &t.route} {
		if *part, rest, ok = strings.Cut(rest, " "); !ok {
			return callHeader{}, false
		}
	}
	t.once = rest
	return t, true
}
