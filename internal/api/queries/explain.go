package queries

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"sniperail.example/sniperail/internal/api/problem"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/explanation"
)

const (
	// explanationsPerSecond and explanationBurst bound the explanations of one daemon, since each costs as much CPU time as
	// thousands of requests. One is computed at a time.
	explanationsPerSecond = 2
	explanationBurst      = 4
	// maxExplainedPath bounds the path, whose prefixes are all looked up. The header of a caller is bounded as well.
	maxExplainedPath = 8 << 10
)

// Reasons for which no explanation is given.
const (
	reasonExplainBusy    = "explain-busy"
	reasonExplainInvalid = "explain-invalid"
)

// RouteExplanation is the body of a response to a query for the way of a request. Times are in milliseconds, and shares and chances
// are fractions.
type RouteExplanation struct {
	// Outcome is "sent" or "refused"; Reason says why it is refused.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Public  bool   `json:"public,omitempty"`
	// Details is missing if the request has no valid key and the configuration has tenants.
	Details *RouteDetails `json:"details,omitempty"`
}

// RouteDetails is the part of a RouteExplanation for the holder of a valid key.
type RouteDetails struct {
	Route  model.RouteName `json:"route"`
	Number model.Number    `json:"number"`
	// Confirmed is missing if the daemon needs no confirmation.
	Confirmed         *bool              `json:"confirmed,omitempty"`
	ConfirmationAgeMS *float64           `json:"confirmationAgeMs,omitempty"`
	Tenant            *ExplainedTenant   `json:"tenant,omitempty"`
	Priority          int                `json:"priority"`
	Shares            []ExplainedShare   `json:"shares"`
	Candidates        []ExplainedTarget  `json:"candidates"`
	Refusals          []ExplainedRefusal `json:"refusals,omitempty"`
}

// ExplainedTenant is the tenant of the key. A RatePerSecond of 0 means no quota.
type ExplainedTenant struct {
	Name          model.TenantName `json:"name"`
	RatePerSecond float64          `json:"ratePerSecond"`
	Burst         float64          `json:"burst"`
	Weight        float64          `json:"weight"`
}

// ExplainedShare is the share of a service and of one of its versions.
type ExplainedShare struct {
	Service      model.ServiceName `json:"service"`
	ServiceShare float64           `json:"serviceShare"`
	Version      model.VersionName `json:"version"`
	VersionShare float64           `json:"versionShare"`
}

// ExplainedTarget is a target that may get the request, or is left out.
type ExplainedTarget struct {
	Daemon     model.DaemonID    `json:"daemon"`
	DataCentre model.DataCentre  `json:"dataCentre"`
	Service    model.ServiceName `json:"service"`
	Version    model.VersionName `json:"version"`
	State      model.TargetState `json:"state"`
	Running    int               `json:"running"`
	Queued     int               `json:"queued"`
	Slots      int               `json:"slots"`
	// LoadAgeMS is the age of the load report; missing if there was none.
	LoadAgeMS   *float64 `json:"loadAgeMs,omitempty"`
	WaitMS      *float64 `json:"waitMs,omitempty"`
	ExecutionMS *float64 `json:"executionMs,omitempty"`
	Cold        bool     `json:"cold,omitempty"`
	Suspect     bool     `json:"suspect,omitempty"`
	Leaving     bool     `json:"leaving,omitempty"`
	Evacuated   bool     `json:"evacuated,omitempty"`
	LeftOut     string   `json:"leftOut,omitempty"`
	Chance      float64  `json:"chance"`
}

// ExplainedRefusal is a reason for which a part of such requests is refused.
type ExplainedRefusal struct {
	Reason string  `json:"reason"`
	Chance float64 `json:"chance"`
}

// NewRouteExplanation encodes an explanation.
func NewRouteExplanation(e explanation.Explanation) RouteExplanation {
	out := RouteExplanation{Outcome: "sent", Reason: string(e.Reason), Public: e.Public}
	if e.Reason != "" {
		out.Outcome = "refused"
	}
	if !e.Detailed {
		return out
	}
	d := &RouteDetails{Route: e.Route.Name, Number: e.Number, Priority: e.Priority, Candidates: []ExplainedTarget{}}
	if e.Confirmation.Required {
		d.Confirmed = &e.Confirmation.Serves
		if e.Confirmation.Known {
			d.ConfirmationAgeMS = milliseconds(e.Confirmation.Age)
		}
	}
	if t := e.Tenant; t != nil {
		d.Tenant = &ExplainedTenant{t.Name, t.RatePerSecond, t.Burst, t.Weight()}
	}
	for _, s := range e.Shares {
		d.Shares = append(d.Shares, ExplainedShare(s))
	}
	for i := range e.Candidates {
		d.Candidates = append(d.Candidates, explainedTarget(&e.Candidates[i]))
	}
	for _, r := range e.Refusals {
		d.Refusals = append(d.Refusals, ExplainedRefusal{string(r.Reason), r.Chance})
	}
	out.Details = d
	return out
}

func explainedTarget(c *explanation.Candidate) ExplainedTarget {
	t := c.Target
	out := ExplainedTarget{
		Daemon: t.Daemon, DataCentre: t.DataCentre, Service: t.Service, Version: t.Version, State: t.State,
		Running: c.Load.Running, Queued: c.Load.Queued, Slots: c.Load.Slots, Cold: c.Load.Cold, Suspect: c.Load.Suspect,
		Evacuated: c.Evacuated, Leaving: c.Load.Leaving && !c.Evacuated, LeftOut: c.LeftOut, Chance: c.Chance,
	}
	if c.Load.ReportAge >= 0 {
		out.LoadAgeMS = milliseconds(c.Load.ReportAge)
	}
	if c.Estimated {
		out.WaitMS, out.ExecutionMS = milliseconds(c.Estimate.Wait), milliseconds(c.Estimate.ExecutionTime)
	}
	return out
}

// milliseconds rounds to a tenth.
func milliseconds(d time.Duration) *float64 {
	ms := float64(d.Round(100*time.Microsecond).Microseconds()) / 1000
	return &ms
}

// RouteExplainer serves explanations of requests. The request is described by the query parameters host, method and path; its key is in
// the Authorization header, because URLs get into logs.
type RouteExplainer struct {
	explain func(explanation.Request) explanation.Explanation
	running chan struct{}
	limit   *rate.Limiter
}

// NewRouteExplainer returns a handler.
func NewRouteExplainer(explain func(explanation.Request) explanation.Explanation) *RouteExplainer {
	return &RouteExplainer{explain, make(chan struct{}, 1), rate.NewLimiter(explanationsPerSecond, explanationBurst)}
}

// ServeHTTP explains one request.
func (h *RouteExplainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		refuseExplanation(w, http.StatusMethodNotAllowed, reasonExplainInvalid, "the method must be GET or POST")
		return
	}
	query := r.URL.Query()
	path, err := url.ParseRequestURI(query.Get("path"))
	if err != nil || query.Get("path")[0] != '/' || len(query.Get("path")) > maxExplainedPath {
		refuseExplanation(w, http.StatusBadRequest, reasonExplainInvalid, "path must begin with / and have at most "+
			strconv.Itoa(maxExplainedPath)+" bytes")
		return
	}
	request := explanation.Request{
		Host: query.Get("host"), Method: query.Get("method"), Path: path.EscapedPath(), Authorization: r.Header["Authorization"],
	}
	if request.Method == "" {
		request.Method = http.MethodGet
	}
	select {
	case h.running <- struct{}{}:
		defer func() { <-h.running }()
	default:
		refuseExplanation(w, http.StatusServiceUnavailable, reasonExplainBusy, "another explanation is being computed")
		return
	}
	if !h.limit.Allow() {
		refuseExplanation(w, http.StatusServiceUnavailable, reasonExplainBusy, "there were too many explanations lately")
		return
	}
	writeExplanation(w, http.StatusOK, "application/json", NewRouteExplanation(h.explain(request)))
}

func refuseExplanation(w http.ResponseWriter, status int, reason, detail string) {
	d := problem.New(status, reason, detail)
	d.Type, d.Title = "about:blank", http.StatusText(status)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeExplanation(w, status, problem.ContentType, d)
}

func writeExplanation(w http.ResponseWriter, status int, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
