// Package commands serves the operators' commands over HTTP: it decodes a command, submits it and encodes the outcome.
package commands

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/api/problem"
	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/model"
)

// OperatorHeader carries the name of the operator that gives a command. Without it, the client's address is recorded.
const OperatorHeader = "Sniperail-Operator"

// maxOperatorBytes limits the name, so that names do not fill the configuration, which records one with each write.
const maxOperatorBytes = 128

// Submitter executes commands and waits for the outcome.
type Submitter interface {
	Submit(ctx context.Context, by string, command configuration.Command) model.Outcome
}

// Register adds the endpoints of all commands to a group.
func Register(g *echo.Group, s Submitter) {
	g.POST("/declare", handle[configuration.Declare](s))
	g.POST("/confirm", handle[configuration.Confirm](s))
	g.POST("/pause", handle[configuration.Pause](s))
	g.POST("/resume", handle[configuration.Resume](s))
	g.POST("/withdraw", handle[configuration.Withdraw](s))
}

// handle returns the handler of commands of type C.
func handle[C configuration.Command](s Submitter) echo.HandlerFunc {
	return func(c *echo.Context) error {
		var command C
		if err := decode(c.Response(), c.Request(), &command); err != nil {
			return decodingProblem(err).Write(c)
		}
		outcome := s.Submit(c.Request().Context(), operatorName(c.Request()), command)
		if !outcome.OK() {
			return refusedCommand(command, outcome).Write(c)
		}
		return c.JSON(http.StatusOK, outcome)
	}
}

// refusedCommand returns the document for a refused command. A withdrawal may have an effect even if the platform was
// unavailable: the daemon withholds the version and spreads a mark, which the driver later writes as a withdrawal.
func refusedCommand(command configuration.Command, outcome model.Outcome) problem.Document {
	d := problem.FromOutcome(outcome)
	if _, ok := command.(configuration.Withdraw); ok && outcome.Code == model.OutcomeUnavailable {
		d.Executed = problem.ExecutedUnknown
		d.Problems = append(d.Problems, model.Problem{
			Reason: "the version may be withheld already; the withdrawal is then written when the platform answers",
		})
	}
	return d
}

// decode refuses unknown fields and trailing data, so that a misspelt field does not change what a command does.
func decode(w http.ResponseWriter, r *http.Request, command any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, model.MaxDocumentBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(command); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("the body holds more than one JSON value")
	}
	return nil
}

// decodingProblem returns the document for a body that decode refused.
func decodingProblem(err error) problem.Document {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem.New(http.StatusRequestEntityTooLarge, "too-large", err.Error())
	}
	return problem.New(http.StatusBadRequest, "malformed", err.Error())
}

// operatorName returns the name to record: that in OperatorHeader, or else the client's address.
func operatorName(r *http.Request) string {
	if name := r.Header.Get(OperatorHeader); name != "" {
		return name[:min(len(name), maxOperatorBytes)]
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
