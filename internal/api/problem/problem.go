// Package problem encodes refusals of requests as application/problem+json (RFC 9457).
package problem

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"

	"sniperail.example/sniperail/internal/model"
)

// ContentType is the media type of a Document.
const ContentType = "application/problem+json"

// Executed says whether the refused request may have had an effect.
type Executed string

// Values of Document.Executed.
const (
	NotExecuted     Executed = "no"
	ExecutedUnknown Executed = "unknown"
)

// Document is the body of a refusal.
type Document struct {
	Type     string          `json:"type"`
	Title    string          `json:"title"`
	Status   int             `json:"status"`
	Detail   string          `json:"detail,omitempty"`
	Reason   string          `json:"reason"`
	Executed Executed        `json:"executed"`
	Problems []model.Problem `json:"problems,omitempty"`
	// Number is the configuration number that the refusal is based on, 0 if there is none.
	Number model.Number `json:"number,omitempty"`
}

var statusByOutcome = map[model.OutcomeCode]int{
	model.OutcomeInvalid:     http.StatusUnprocessableEntity,
	model.OutcomeConflict:    http.StatusConflict,
	model.OutcomeNotFound:    http.StatusNotFound,
	model.OutcomeUnavailable: http.StatusServiceUnavailable,
	model.OutcomeUnknown:     http.StatusBadGateway,
}

// FromOutcome returns the document for the outcome of a refused command.
func FromOutcome(o model.Outcome) Document {
	status, ok := statusByOutcome[o.Code]
	d := Document{Status: status, Reason: string(o.Code), Executed: NotExecuted, Problems: o.Problems, Number: o.Number}
	if !ok || o.Code == model.OutcomeUnknown {
		// A code that is not listed is treated as unknown, because nothing proves that the command had no effect.
		d.Status, d.Reason, d.Executed = http.StatusBadGateway, string(model.OutcomeUnknown), ExecutedUnknown
	}
	details := make([]string, len(o.Problems))
	for i, p := range o.Problems {
		details[i] = p.Reason
		if p.Field != "" {
			details[i] = p.Field + ": " + p.Reason
		}
	}
	d.Detail = strings.Join(details, "; ")
	return d
}

// New returns the document of a request that was refused before it had an effect.
func New(status int, reason, detail string) Document {
	return Document{Status: status, Reason: reason, Detail: detail, Executed: NotExecuted}
}

// Write sends the document.
func (d Document) Write(c *echo.Context) error {
	d.Type, d.Title = "about:blank", http.StatusText(d.Status)
	body, err := json.Marshal(d)
	if err != nil {
		return err
	}
	if d.Status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", "1")
	}
	return c.Blob(d.Status, ContentType, body)
}

// HandleError is the echo error handler. It answers unknown paths, wrong methods and errors of handlers.
func HandleError(c *echo.Context, err error) {
	if r, _ := echo.UnwrapResponse(c.Response()); r != nil && r.Committed {
		return
	}
	status := echo.StatusCode(err)
	d := New(status, strings.ReplaceAll(strings.ToLower(http.StatusText(status)), " ", "-"), err.Error())
	if status == 0 || status >= http.StatusInternalServerError {
		d = Document{Status: http.StatusInternalServerError, Reason: "internal", Detail: err.Error(), Executed: ExecutedUnknown}
	}
	_ = d.Write(c)
}
