package traffic

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// hopByHopHeaders are the headers of one connection (RFC 9110, section 7.6.1), and Expect, which the server has answered.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true,
}

// internalResponseHeaders are the response headers that only a daemon may set.
var internalResponseHeaders = map[string]bool{
	HeaderRefusal: true, HeaderExecuted: true, HeaderCall: true, HeaderWait: true, HeaderLoad: true,
	HeaderRate: true,
}

// copyHeader copies the end-to-end headers, without those in drop. It shares the value slices, which must not be modified.
func copyHeader(dst, src http.Header, drop map[string]bool) {
	named := connectionOptions(src)
	for name, values := range src {
		if hopByHopHeaders[name] || drop[name] || (named != nil && named[name]) {
			continue
		}
		dst[name] = values
	}
}

// connectionOptions returns the headers that the Connection header names, which are hop-by-hop too.
func connectionOptions(src http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range src["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			if option = textproto.TrimString(option); option == "" {
				continue
			}
			if named == nil {
				named = map[string]bool{}
			}
			named[textproto.CanonicalMIMEHeaderKey(option)] = true
		}
	}
	return named
}

// isUpgrade reports whether the request asks for another protocol.
func isUpgrade(r *http.Request) bool {
	return r.Method == http.MethodConnect || r.Header["Upgrade"] != nil || connectionOptions(r.Header)["Upgrade"]
}

// isAmbiguousPath reports whether a target could normalise the path to a path that matches another route.
func isAmbiguousPath(path string) bool {
	if !strings.Contains(path, "/.") && !strings.Contains(path, "//") && !strings.Contains(path, "\\") {
		return false
	}
	if strings.Contains(path, "//") || strings.Contains(path, "\\") {
		return true
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// remainingTime returns the time until the deadline that HeaderDeadline sets, at most limit. It returns false for an invalid
// header.
func remainingTime(h http.Header, limit time.Duration) (time.Duration, bool) {
	return remainingTimeFrom(h, HeaderDeadline, limit)
}

// hostName returns the host of a Host header in the form that routes use: in lower case and without a port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
