package traffic

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/command/retry"
)

// RequestLog writes one line for each decision that touches a request: each send that failed and what follows, and how the
// request ended. The logger must not block.
type RequestLog struct {
	Logger *zap.Logger
	// RequestID is the header that identifies a request.
	RequestID string
}

func (l RequestLog) id(r *http.Request) zap.Field {
	return zap.String("request", r.Header.Get(l.RequestID))
}

// Unrouted logs a request that was refused before a target was chosen.
func (l RequestLog) Unrouted(r *http.Request, refused *refusal) {
	l.Logger.Info("request-refused", l.id(r), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		zap.String("reason", refused.reason), zap.String("executed", executedText(refused.executed)), zap.Int("status", refused.status))
}

// Refused logs a refusal beside a caller or beside a target.
func (l RequestLog) Refused(at refusedAt, refused *refusal) {
	fields := append([]zap.Field{l.id(at.origin())}, at.fields()...)
	l.Logger.Info(at.event(), append(fields, zap.String("reason", refused.reason),
		zap.String("executed", executedText(refused.executed)), zap.Int("status", refused.status),
		zap.Int64("retry_after_ms", refused.retryAfter.Milliseconds()))...)
}

// refusedAt is where a request was refused.
type refusedAt interface {
	event() string
	origin() *http.Request
	fields() []zap.Field
}

func (p *placement) event() string         { return "request-refused" }
func (p *placement) origin() *http.Request { return p.request }
func (p *placement) fields() []zap.Field {
	return []zap.Field{
		zap.String("route", string(p.route.Name)), zap.String("service", string(p.service.Name)),
		zap.Uint64("number", uint64(p.table.View.Configuration.Number)), zap.Int("sends", p.sends),
		zap.Int("attempts", p.attempts), milliseconds("age_ms", time.Since(p.started)),
		milliseconds("left_ms", time.Until(p.deadline)),
	}
}

func (a *arrival) event() string         { return "call-refused" }
func (a *arrival) origin() *http.Request { return a.request }
func (a *arrival) fields() []zap.Field {
	load := a.in.load(string(a.dispatch.route))
	return []zap.Field{
		zap.String("call", a.dispatch.call), zap.String("route", string(a.dispatch.route)),
		zap.String("instance", string(a.dispatch.instance)), milliseconds("waited_ms", a.waited),
		milliseconds("left_ms", time.Until(a.deadline)),
		zap.Int("running", load.running), zap.Int("queued", load.queued), zap.Int("slots", load.slots),
		milliseconds("run_ms", load.run),
	}
}

// Attempt logs a send that did not end the request well, and whether another follows.
func (l RequestLog) Attempt(p *placement, a *attempt, next string) {
	if a.refused == nil && next == "" {
		return
	}
	outcome, executed := "status-"+strconv.Itoa(statusOf(a)), executedText(retry.ExecutedUnknown)
	if a.refused != nil {
		outcome, executed = a.refused.reason, executedText(a.refused.executed)
	}
	l.Logger.Info("attempt-failed", l.id(p.request), zap.String("route", string(p.route.Name)),
		zap.String("daemon", string(a.target.Daemon)), zap.String("instance", string(a.target.Instance)),
		zap.String("version", string(a.target.Version)), zap.String("outcome", outcome), zap.String("executed", executed),
		milliseconds("took_ms", a.took), milliseconds("wait_ms", a.choice.Wait), milliseconds("run_ms", a.choice.ExecutionTime),
		milliseconds("load_age_ms", a.choice.ReportAge),
		zap.String("next", next), milliseconds("left_ms", time.Until(p.deadline)))
}

func statusOf(a *attempt) int {
	if a.response == nil {
		return 0
	}
	return a.response.StatusCode
}

// Answered logs a response of a target that is passed on.
func (l RequestLog) Answered(p *placement, a *attempt) {
	l.Logger.Info("request-answered", l.id(p.request), zap.String("route", string(p.route.Name)),
		zap.Uint64("number", uint64(p.table.View.Configuration.Number)), zap.String("daemon", string(a.target.Daemon)),
		zap.String("instance", string(a.target.Instance)), zap.String("version", string(a.target.Version)),
		zap.Int("status", statusOf(a)), zap.Int("sends", p.sends), zap.Int("attempts", p.attempts),
		milliseconds("wait_ms", a.choice.Wait), milliseconds("run_ms", a.choice.ExecutionTime),
		milliseconds("load_age_ms", a.choice.ReportAge),
		milliseconds("age_ms", time.Since(p.started)))
}

// CallerGone logs a request whose caller left before the response.
func (l RequestLog) CallerGone(p *placement, a *attempt) {
	l.Logger.Info("caller-gone", l.id(p.request), zap.String("route", string(p.route.Name)),
		zap.String("daemon", string(a.target.Daemon)), milliseconds("age_ms", time.Since(p.started)))
}

func milliseconds(name string, d time.Duration) zap.Field { return zap.Int64(name, d.Milliseconds()) }
