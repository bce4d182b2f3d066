package traffic

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/model"
)

// RequestLog writes one line for each decision about a request: for each failed send with the decision to retry, and for
// the end of the request. The logger must not block.
type RequestLog struct {
	Logger *zap.Logger
	// RequestID is the header that identifies a request.
	RequestID string
}

func (l RequestLog) id(r *http.Request) zap.Field {
	return zap.String("request", r.Header.Get(l.RequestID))
}

// tenantField is the tenant of a request, left out if it has none.
func tenantField(t *model.Tenant) zap.Field {
	if t == nil {
		return zap.Skip()
	}
	return zap.String("tenant", string(t.Name))
}

// Unrouted logs a request that was refused before a target was selected.
func (l RequestLog) Unrouted(r *http.Request, refused *refusal) {
	l.Logger.Info("request-refused", l.id(r), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		tenantField(refused.tenant), zap.String("reason", refused.reason), zap.String("executed", formatExecuted(refused.executed)),
		zap.Int("status", refused.status))
}

// Refused logs a refusal on the caller's side or on the target's side.
func (l RequestLog) Refused(request refusedRequest, refused *refusal) {
	fields := append([]zap.Field{l.id(request.httpRequest())}, request.logFields()...)
	l.Logger.Info(request.logEvent(), append(fields, zap.String("reason", refused.reason),
		zap.String("executed", formatExecuted(refused.executed)), zap.Int("status", refused.status),
		zap.Int64("retry_after_ms", refused.retryAfter.Milliseconds()))...)
}

// refusedRequest is a refused request with its log event and fields.
type refusedRequest interface {
	logEvent() string
	httpRequest() *http.Request
	logFields() []zap.Field
}

func (r *outboundRequest) logEvent() string           { return "request-refused" }
func (r *outboundRequest) httpRequest() *http.Request { return r.request }
func (r *outboundRequest) logFields() []zap.Field {
	return []zap.Field{
		zap.String("route", string(r.route.Name)), zap.String("service", string(r.service.Name)),
		zap.Uint64("number", uint64(r.table.View.Configuration.Number)), zap.Int("sends", r.sends),
		zap.Int("attempts", r.attempts), milliseconds("age_ms", time.Since(r.started)),
		milliseconds("left_ms", time.Until(r.deadline)), tenantField(r.tenant),
	}
}

func (c *inboundCall) logEvent() string           { return "call-refused" }
func (c *inboundCall) httpRequest() *http.Request { return c.request }
func (c *inboundCall) logFields() []zap.Field {
	load := c.inbound.load(string(c.dispatch.route))
	return []zap.Field{
		zap.String("call", c.dispatch.call), zap.String("route", string(c.dispatch.route)),
		zap.String("instance", string(c.dispatch.instance)), milliseconds("waited_ms", c.queueTime),
		milliseconds("left_ms", time.Until(c.deadline)),
		zap.Int("running", load.running), zap.Int("queued", load.queued), zap.Int("slots", load.slots),
		milliseconds("run_ms", load.executionTime),
	}
}

// Attempt logs a failed send and the reason why the request is or is not sent again.
func (l RequestLog) Attempt(r *outboundRequest, a *attempt, next string) {
	if a.refused == nil && next == "" {
		return
	}
	outcome, executed := "status-"+strconv.Itoa(statusOf(a)), formatExecuted(retry.ExecutedUnknown)
	if a.refused != nil {
		outcome, executed = a.refused.reason, formatExecuted(a.refused.executed)
	}
	l.Logger.Info("attempt-failed", l.id(r.request), zap.String("route", string(r.route.Name)),
		zap.String("daemon", string(a.target.Daemon)), zap.String("instance", string(a.target.Instance)),
		zap.String("version", string(a.target.Version)), zap.String("outcome", outcome), zap.String("executed", executed),
		milliseconds("took_ms", a.took), milliseconds("wait_ms", a.choice.Wait), milliseconds("run_ms", a.choice.ExecutionTime),
		milliseconds("load_age_ms", a.choice.ReportAge),
		zap.String("next", next), milliseconds("left_ms", time.Until(r.deadline)))
}

func statusOf(a *attempt) int {
	if a.response == nil {
		return 0
	}
	return a.response.StatusCode
}

// Answered logs a response of a target that is forwarded.
func (l RequestLog) Answered(r *outboundRequest, a *attempt) {
	l.Logger.Info("request-answered", l.id(r.request), zap.String("route", string(r.route.Name)),
		zap.Uint64("number", uint64(r.table.View.Configuration.Number)), zap.String("daemon", string(a.target.Daemon)),
		zap.String("instance", string(a.target.Instance)), zap.String("version", string(a.target.Version)),
		zap.Int("status", statusOf(a)), zap.Int("sends", r.sends), zap.Int("attempts", r.attempts),
		milliseconds("wait_ms", a.choice.Wait), milliseconds("run_ms", a.choice.ExecutionTime),
		milliseconds("load_age_ms", a.choice.ReportAge),
		milliseconds("age_ms", time.Since(r.started)), tenantField(r.tenant))
}

// Cut logs a request that the end of the process cuts.
func (l RequestLog) Cut(r *http.Request, hop string, age time.Duration) {
	l.Logger.Warn("request-cut", l.id(r), zap.String("hop", hop), zap.String("method", r.Method), milliseconds("age_ms", age))
}

// recoverPanic logs the panic of the handler of a request, and aborts the response. It must be deferred. http.Server would report the
// panic without the request, on a log of its own that daemons keep at the debug level.
func (l RequestLog) recoverPanic(r *http.Request) {
	fault := recover()
	if fault == nil {
		return
	}
	if fault != http.ErrAbortHandler {
		l.Logger.Error("handler-panicked", l.id(r), zap.String("path", r.URL.Path), zap.Any("fault", fault), zap.StackSkip("stack", 1))
	}
	panic(http.ErrAbortHandler)
}

// CallerGone logs a request whose caller disconnected before the response.
func (l RequestLog) CallerGone(r *outboundRequest, a *attempt) {
	l.Logger.Info("caller-gone", l.id(r.request), zap.String("route", string(r.route.Name)),
		zap.String("daemon", string(a.target.Daemon)), milliseconds("age_ms", time.Since(r.started)))
}

// RateLimit logs that the response to a request named another rate limit, or ended it, or named one that cannot be read.
func (l RequestLog) RateLimit(r *http.Request, run targetRun, s targetStatement, text string) {
	l.Logger.Info("target-rate-limit", l.id(r), zap.String("instance", string(run.instance)), zap.Bool("limited", s.limited),
		zap.Float64("per_s", s.perSecond), zap.Bool("invalid", s.invalid), zap.String("named", truncate(text)))
}

// maxLoggedValue is the length in bytes to which a value of a target is cut for the log.
const maxLoggedValue = 64

func truncate(value string) string { return value[:min(len(value), maxLoggedValue)] }

// TargetLeaving logs that the target said in the response to a request that it is leaving.
func (l RequestLog) TargetLeaving(r *http.Request, run targetRun) {
	l.Logger.Info("target-leaving", l.id(r), zap.String("instance", string(run.instance)), zap.Int64("born", run.born))
}

func milliseconds(name string, d time.Duration) zap.Field { return zap.Int64(name, d.Milliseconds()) }
