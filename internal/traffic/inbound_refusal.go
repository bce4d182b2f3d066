package traffic

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/admission"
)

// failureRefusal returns the refusal for a failed exchange with the target. MaybeSent means that the target may have received
// the request.
func (c *inboundCall) failureRefusal(err error, maybeSent bool) *refusal {
	if c.body.readFailed.Load() {
		return inDoubt(http.StatusBadRequest, reasonBodyUnreadable, "the request body broke off or is over the limit")
	}
	deadlinePassed := isTimeout(err) && !time.Now().Before(c.deadline)
	switch {
	case maybeSent && c.isCallerGone():
		// The exchange was cancelled because the caller disconnected, which is not a failure of the target.
		return inDoubt(http.StatusBadGateway, reasonCallerGone, "the caller left while the target worked")
	case c.isCallerGone():
		return c.unsentCallerGoneRefusal()
	case maybeSent && deadlinePassed:
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the target did not answer before the deadline")
	case errors.Is(err, errInvalidResponse):
		return inDoubt(http.StatusBadGateway, reasonResponseInvalid, err.Error())
	case maybeSent:
		return inDoubt(http.StatusBadGateway, reasonConnectionLost, "the connection to the target broke or its response is malformed")
	case deadlinePassed:
		return notExecuted(http.StatusServiceUnavailable, reasonDeadline, "the deadline passed before the call was sent")
	case errors.Is(err, errNoConnectionLeft):
		return notExecuted(http.StatusServiceUnavailable, string(admission.Connections), err.Error())
	}
	return notExecuted(http.StatusServiceUnavailable, reasonTargetUnreachable, "the target does not accept connections")
}

// targetRefusal returns a refusal if the response says that the target did not execute the call, or nil.
func (c *inboundCall) targetRefusal(response *http.Response) *refusal {
	names := c.inbound.options.Headers
	if response.StatusCode == http.StatusMisdirectedRequest {
		return notExecuted(http.StatusServiceUnavailable, reasonWrongTarget, "another run of the target is here")
	}
	if names.NotExecuted == "" || response.Header.Get(names.NotExecuted) == "" {
		return nil
	}
	return notExecuted(http.StatusServiceUnavailable, reasonTargetShed,
		"the target did not take the call, status "+strconv.Itoa(response.StatusCode))
}

func (c *inboundCall) unsentCallerGoneRefusal() *refusal {
	return notExecuted(http.StatusServiceUnavailable, reasonCallerGone, "the caller left before the call was sent")
}

// writeRefusal responds with a refusal and the load of the target.
func (c *inboundCall) writeRefusal(w http.ResponseWriter, refused *refusal) {
	c.inbound.options.Log.Refused(c, refused)
	c.inbound.writeLoad(w, string(c.dispatch.route))
	refused.write(w, c.request, c.inbound.options.Metrics)
}
