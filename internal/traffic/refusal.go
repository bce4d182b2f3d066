package traffic

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/model"
)

// Reasons of refusals that this package decides. Further reasons come from the routing and admission packages.
const (
	reasonNotReady           = "not-ready"
	reasonDraining           = "draining"
	reasonUpgrade            = "upgrade-unsupported"
	reasonAmbiguousPath      = "ambiguous-path"
	reasonDeadline           = "deadline-exceeded"
	reasonBadDeadline        = "invalid-deadline"
	reasonBodyUnreadable     = "body-unreadable"
	reasonBodyTooLarge       = "body-too-large"
	reasonTargetUnreachable  = "target-unreachable"
	reasonConnectionLost     = "connection-lost"
	reasonTargetLost         = "target-lost"
	reasonTargetStalled      = "target-stalled"
	reasonResponseMismatch   = "response-mismatch"
	reasonResponseInvalid    = "response-invalid"
	reasonResponseUnframed   = "response-unframed"
	reasonWrongTarget        = "wrong-target"
	reasonWithheld           = "version-withheld"
	reasonEvacuated          = "evacuated"
	reasonOnceUnavailable    = "at-most-once-unavailable"
	reasonOnceRouteUnknown   = "at-most-once-route-unknown"
	reasonOnceRunning        = "running"
	reasonOnceOutcomeUnknown = "outcome-unknown"
	reasonAnswerTooLong      = "answer-too-large"
	reasonDispatchMissing    = "dispatch-missing"
	reasonCallerGone         = "caller-gone"
	reasonResponseEncoded    = "response-encoded"
	reasonTargetShed         = "target-shed"
	reasonHeaderTooLarge     = "header-too-large"
	reasonKeyUnknown         = "api-key-unknown"
	reasonUnconfirmed        = "configuration-unconfirmed"
	reasonQuotaExceeded      = "quota-exceeded"
	reasonCallersOverLimit   = "callers-over-limit"
)

// refusal is an error response of a daemon.
type refusal struct {
	status     int
	reason     string
	executed   retry.Executed
	detail     string
	retryAfter time.Duration
	// tenant is that of the request, if it is known; nil otherwise.
	tenant *model.Tenant
	// wait is the wait that the target's daemon estimates, with a finer resolution than Retry-After.
	wait time.Duration
}

// notExecuted returns a refusal of a request that no target has executed.
func notExecuted(status int, reason, detail string) *refusal {
	return &refusal{status: status, reason: reason, executed: retry.ExecutedNo, detail: detail}
}

// inDoubt returns a refusal of a request that a target may have executed.
func inDoubt(status int, reason, detail string) *refusal {
	return &refusal{status: status, reason: reason, executed: retry.ExecutedUnknown, detail: detail}
}

func (r *refusal) withRetryAfter(d time.Duration) *refusal {
	r.retryAfter = d
	return r
}

// problem is the RFC 9457 body of a refusal.
type problem struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Reason   string `json:"reason"`
	Executed string `json:"executed"`
}

// write writes the refusal as the response and counts it.
func (r *refusal) write(w http.ResponseWriter, request *http.Request, m *Metrics) {
	m.refusals.Add(request.Context(), r.reason, 1)
	executed := formatExecuted(r.executed)
	body, err := json.Marshal(problem{
		Type: "about:blank", Title: http.StatusText(r.status), Status: r.status,
		Detail: r.detail, Reason: r.reason, Executed: executed,
	})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRefusal, r.reason)
	h.Set(HeaderExecuted, executed)
	if r.retryAfter > 0 {
		h.Set("Retry-After", m.retryAfter(r.retryAfter))
	}
	if r.wait > 0 {
		h.Set(HeaderWait, strconv.FormatInt(r.wait.Microseconds(), 10))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

func formatExecuted(e retry.Executed) string {
	if e == retry.ExecutedNo {
		return "no"
	}
	return "unknown"
}

// parseRefusal returns the refusal that the other daemon sent, or nil for a response of the target.
func parseRefusal(response *http.Response) *refusal {
	reason := response.Header.Get(HeaderRefusal)
	if reason == "" {
		return nil
	}
	r := &refusal{status: response.StatusCode, reason: reason, executed: retry.ExecutedUnknown}
	if response.Header.Get(HeaderExecuted) == "no" {
		r.executed = retry.ExecutedNo
	}
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < maxDeadline.Seconds() {
		r.retryAfter = time.Duration(s * float64(time.Second))
	}
	if us, err := strconv.ParseInt(response.Header.Get(HeaderWait), 10, 64); err == nil && us > 0 &&
		us < int64(maxDeadline/time.Microsecond) {
		r.wait = time.Duration(us) * time.Microsecond
	}
	return r
}
