package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/api/problem"
	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// backend is a Submitter and a Reader with fixed answers. It records the submitted command.
type backend struct {
	outcome       model.Outcome
	by            string
	command       configuration.Command
	configuration *model.Configuration
}

func (b *backend) Submit(_ context.Context, by string, command configuration.Command) model.Outcome {
	b.by, b.command = by, command
	return b.outcome
}
func (b *backend) Configuration(context.Context) (*model.Configuration, bool) {
	return b.configuration, b.configuration != nil
}
func (b *backend) Plans(context.Context) ([]model.Plan, bool)          { return nil, false }
func (b *backend) Status(context.Context) (*message.StatusReply, bool) { return nil, false }

func serve(b *backend, method, path, body string) *httptest.ResponseRecorder {
	handler := New(Options{Submitter: b, Reader: b, Ready: func() string { return "no number known" }})
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Sniperail-Operator", "jana")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// Each case guards against a refusal with the wrong status, or with "executed: no" although that is not proven.
func TestRefusalsStateWhetherExecuted(t *testing.T) {
	cases := []struct {
		code     model.OutcomeCode
		status   int
		executed problem.Executed
	}{
		{model.OutcomeInvalid, http.StatusUnprocessableEntity, problem.NotExecuted},
		{model.OutcomeConflict, http.StatusConflict, problem.NotExecuted},
		{model.OutcomeNotFound, http.StatusNotFound, problem.NotExecuted},
		{model.OutcomeUnavailable, http.StatusServiceUnavailable, problem.NotExecuted},
		{model.OutcomeUnknown, http.StatusBadGateway, problem.ExecutedUnknown},
		{"a code of a later release", http.StatusBadGateway, problem.ExecutedUnknown},
	}
	for _, c := range cases {
		t.Run(string(c.code), func(t *testing.T) {
			is := is.New(t)
			b := &backend{outcome: model.Refused(c.code, "plan", "why")}
			response := serve(b, http.MethodPost, "/v1/command/confirm", `{"plan":"p"}`)
			is.Equal(response.Code, c.status)
			is.Equal(response.Header().Get("Content-Type"), problem.ContentType)
			is.Equal(response.Header().Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			var d problem.Document
			is.NoErr(json.Unmarshal(response.Body.Bytes(), &d))
			is.Equal(d.Executed, c.executed)
			is.Equal(d.Problems, []model.Problem{{Field: "plan", Reason: "why"}})
		})
	}
}

// Guards against a withdrawal during an outage that is reported as not executed, although the version is withheld.
func TestUnavailableWithdrawalMayHaveAnEffect(t *testing.T) {
	is := is.New(t)
	b := &backend{outcome: model.Refused(model.OutcomeUnavailable, "", "the platform did not answer")}
	response := serve(b, http.MethodPost, "/v1/command/withdraw", `{"move":"m","reason":"late"}`)
	is.Equal(response.Code, http.StatusServiceUnavailable)
	var d problem.Document
	is.NoErr(json.Unmarshal(response.Body.Bytes(), &d))
	is.Equal(d.Executed, problem.ExecutedUnknown)
}

// Each case guards against a malformed request that reaches the backend, or that is refused with the wrong status or reason.
func TestRequestsRefusedBeforeTheBackend(t *testing.T) {
	known := &model.Configuration{}
	cases := []struct {
		name, method, path, body string
		configuration            *model.Configuration
		status                   int
		reason                   string
	}{
		{"unknown field", "POST", "/v1/command/withdraw", `{"mov":"m"}`, known, 400, "malformed"},
		{"two values", "POST", "/v1/command/pause", `{"move":"m"}{}`, known, 400, "malformed"},
		{"empty body", "POST", "/v1/command/pause", ``, known, 400, "malformed"},
		{"body over a megabyte", "POST", "/v1/command/pause", `{"move":"` + strings.Repeat("x", model.MaxDocumentBytes) + `"}`,
			known, 413, "too-large"},
		{"command by GET", "GET", "/v1/command/pause", ``, known, 405, "method-not-allowed"},
		{"unknown path", "GET", "/v1/query/secrets", ``, known, 404, "not-found"},
		{"token that is not a number", "GET", "/v1/query/events?after=x", ``, known, 400, "malformed"},
		{"configuration not known", "GET", "/v1/query/moves", ``, nil, 503, "unavailable"},
		{"plans not known", "GET", "/v1/query/plans", ``, known, 503, "unavailable"},
		{"status not known", "GET", "/v1/query/targets", ``, known, 503, "unavailable"},
		{"not ready", "GET", "/readyz", ``, known, 503, "not-ready"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &backend{configuration: c.configuration}
			response := serve(b, c.method, c.path, c.body)
			is.Equal(response.Code, c.status)
			var d problem.Document
			is.NoErr(json.Unmarshal(response.Body.Bytes(), &d))
			is.Equal(d.Reason, c.reason)
			is.Equal(d.Executed, problem.NotExecuted)
			is.Equal(b.command, nil)
		})
	}
}

// Guards against a command that is decoded wrongly, or that is submitted without the operator's name.
func TestCommandReachesTheBackend(t *testing.T) {
	is := is.New(t)
	b := &backend{outcome: model.Outcome{Code: model.OutcomeApplied, Number: 7}}
	response := serve(b, http.MethodPost, "/v1/command/withdraw", `{"move":"m","reason":"late"}`)
	is.Equal(response.Code, http.StatusOK)
	is.Equal(b.command, configuration.Withdraw{Move: "m", Reason: "late"})
	is.Equal(b.by, "jana")
}

// Guards against a metric that is lost when the operators rename it, and against a missing final sample of an ended move,
// because the daemon's own view contains active moves only.
func TestMoveMetricKeepsItsNameAndLastSample(t *testing.T) {
	is := is.New(t)
	view := &model.Configuration{
		Services: []model.Service{{Name: "s", Versions: []model.VersionShare{{Version: "v2", Share: 2500}}}},
		Moves: []model.Move{{ID: "good", Service: "s", From: "v1", To: "v2", Phase: model.PhaseRunning},
			{ID: "bad", Service: "u", From: "v1", To: "v2", Phase: model.PhaseWithdrawing}},
		Dashboard: &model.Dashboard{MoveMetric: "rollout_share"},
	}
	handler := New(Options{View: func() *model.Configuration { return view }})
	scrape := func() string {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		is.Equal(recorder.Code, http.StatusOK)
		return recorder.Body.String()
	}
	is.True(strings.Contains(scrape(), `rollout_share{from="v1",move="good",phase="running",service="s",to="v2"} 0.25`))
	view = &model.Configuration{Dashboard: view.Dashboard, Withdrawn: []model.VersionRef{{Service: "u", Version: "v2"}}}
	second := scrape()
	is.True(strings.Contains(second, `rollout_share{from="v1",move="good",phase="done",service="s",to="v2"} 1`))
	is.True(strings.Contains(second, `rollout_share{from="v1",move="bad",phase="withdrawn",service="u",to="v2"} 0`))
	is.Equal(second, scrape()) // an ended move is exported once
}
