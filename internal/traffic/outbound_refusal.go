package traffic

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/retry"
)

// writeRefusalOrLastResponse responds with the response of an earlier target if there is one, which is more useful to the
// caller, and with the refusal otherwise.
func (r *outboundRequest) writeRefusalOrLastResponse(w http.ResponseWriter, refused *refusal) {
	if r.lastResponse != nil {
		r.writeResponse(w, r.lastResponse)
		return
	}
	if r.maybeExecuted && refused.executed == retry.ExecutedNo {
		refused = inDoubt(http.StatusBadGateway, refused.reason, refused.detail)
	}
	if refused.executed == retry.ExecutedNo && refused.status == http.StatusServiceUnavailable && refused.retryAfter == 0 {
		refused.withRetryAfter(shortRetryAfter)
	}
	r.refuse(w, refused)
}

func (r *outboundRequest) refuse(w http.ResponseWriter, refused *refusal) {
	r.outbound.quotas.giveBack(r.token, refused)
	r.outbound.options.Log.Refused(r, refused)
	refused.write(w, r.request, r.outbound.options.Metrics)
}

// failureRefusal returns the refusal for a failed exchange with a target's daemon. MaybeSent means that the daemon may have
// received the request.
func (r *outboundRequest) failureRefusal(a *attempt, err error, maybeSent bool) *refusal {
	if r.request.Context().Err() != nil {
		return inDoubt(http.StatusBadGateway, reasonCallerGone, "the caller is gone")
	}
	if r.body.readFailed.Load() {
		return inDoubt(http.StatusBadRequest, reasonBodyUnreadable, "the request body broke off or is over the limit")
	}
	deadlinePassed := isTimeout(err) && !time.Now().Before(r.deadline)
	daemon := string(a.target.Daemon)
	switch {
	case errors.Is(err, errStopping) && maybeSent:
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the daemon stops before the response")
	case errors.Is(err, errStopping):
		return notExecuted(http.StatusServiceUnavailable, reasonDraining, "this daemon is shutting down")
	case errors.Is(err, errNoConnectionLeft):
		return callersRefusal("all connections to other daemons are in use")
	case errors.Is(err, errTargetLost) && maybeSent:
		return inDoubt(http.StatusBadGateway, reasonTargetLost, "the daemon "+daemon+" is gone or its target replaced")
	case errors.Is(err, errTargetLost):
		return notExecuted(http.StatusServiceUnavailable, reasonTargetLost, "the daemon "+daemon+" is gone or its target replaced")
	case deadlinePassed && maybeSent:
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before the response")
	case deadlinePassed:
		return notExecuted(http.StatusServiceUnavailable, reasonDeadline, "the deadline passed before the request was sent")
	case errors.Is(err, errInvalidResponse):
		return inDoubt(http.StatusBadGateway, reasonResponseInvalid, err.Error())
	case maybeSent:
		return inDoubt(http.StatusBadGateway, reasonConnectionLost, "the connection to "+daemon+" broke")
	}
	return notExecuted(http.StatusServiceUnavailable, reasonTargetUnreachable, "the daemon "+daemon+" could not be reached")
}

// incompleteResponseRefusal returns the refusal that takes the place of a response of which the caller has received nothing when it
// turns out that the rest of it will not come.
func (r *outboundRequest) incompleteResponseRefusal(a *attempt) *refusal {
	switch {
	case r.body.readFailed.Load():
		return inDoubt(http.StatusBadRequest, reasonBodyUnreadable, "the request body broke off or is over the limit")
	case !time.Now().Before(r.deadline):
		return inDoubt(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before the response was complete")
	}
	return inDoubt(http.StatusBadGateway, reasonConnectionLost, "the response from "+string(a.target.Daemon)+" broke off")
}
