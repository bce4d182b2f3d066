package traffic

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	minStatus = 200
	maxStatus = 599
)

// errInvalidResponse is the failure of an exchange whose response has a head that no caller may get.
var errInvalidResponse = errors.New("the response has an invalid head")

// isFinalStatus reports whether a final response may have the status. A status line may also say 100 to 199, but those responses are
// interim ones, which http.Transport skips, except for 101, which a daemon never asks for. http.Transport takes any number of three
// digits, and http.Server panics when it is to send one below 100.
func isFinalStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// isSuccess reports whether a status says that the request has succeeded.
func isSuccess(status int) bool { return status/100 == http.StatusOK/100 }

// isValidHead reports whether the head of a response may be used: its status is that of a final response, and no header that frames the
// body is hidden by a space before its colon. http.Transport ignores such a header and would return the chunks as the body, or a part
// of the body as the whole.
func isValidHead(method string, response *http.Response) bool {
	if !isFinalStatus(response.StatusCode) {
		return false
	}
	if hasFraming(method, response) {
		return true
	}
	for name := range response.Header {
		trimmed := strings.TrimRight(name, " ")
		if trimmed != name && (strings.EqualFold(trimmed, "Content-Length") || strings.EqualFold(trimmed, "Transfer-Encoding")) {
			return false
		}
	}
	return true
}

// checkHead ends the exchange if the head of its response is invalid. Until it has returned, the connection is not used for the next
// exchange.
func (e *exchange) checkHead(method string) error {
	if isValidHead(method, e.response) {
		e.conn.endCheck()
		return nil
	}
	// http.Transport has kept the connection if the response has no body, and closes it with the body otherwise.
	_ = e.conn.Close()
	e.finish(false)
	e.conn.endCheck()
	return errors.Wrapf(errInvalidResponse, "status %03d", e.response.StatusCode)
}

// setLength sets the length of a response whose whole body is known. The header of a response to HEAD keeps the length that the target
// has named, which is that of a response to GET.
func setLength(h http.Header, method string, body []byte) {
	if method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
}
