// Package commands serves the operators' commands over HTTP. It decodes a command, submits it and encodes the outcome.
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

// OperatorHeader names who gives a command. Without it the caller's address is recorded.
const OperatorHeader = "Sniperail-Operator"

// maxOperatorBytes keeps the name from filling the configuration, which records it with each write.
const maxOperatorBytes = 128

// Submitter performs commands and waits for the outcome.
type Submitter interface {
	Submit(ctx context.Context, by string, command configuration.Command) model.Outcome
}

// Register adds the commands to their group.
func Register(g *echo.Group, s Submitter) {
	g.POST("/declare", handle[configuration.Declare](s))
	g.POST("/confirm", handle[configuration.Confirm](s))
	g.POST("/pause", handle[configuration.Pause](s))
	g.POST("/resume", handle[configuration.Resume](s))
	g.POST("/withdraw", handle[configuration.Withdraw](s))
}

func handle[C configuration.Command](s Submitter) echo.HandlerFunc {
	return func(c *echo.Context) error {
		var command C
		if err := decode(c.Response(), c.Request(), &command); err != nil {
			return refusal(err).Write(c)
		}
		outcome := s.Submit(c.Request().Context(), operator(c.Request()), command)
		if !outcome.OK() {
			return refused(command, outcome).Write(c)
		}
		return c.JSON(http.StatusOK, outcome)
	}
}

// refused returns the document of a refused command. A withdrawal that the platform did not take may still have an
// effect: the daemon withholds the version and spreads a mark, which the driver writes as a withdrawal later.
func refused(command configuration.Command, outcome model.Outcome) problem.Document {
	d := problem.FromOutcome(outcome)
	if _, ok := command.(configuration.Withdraw); ok && outcome.Code == model.OutcomeUnavailable {
		d.Executed = problem.ExecutedUnknown
		d.Problems = append(d.Problems, model.Problem{
			Reason: "the version may be withheld already; the withdrawal is then written when the platform answers",
		})
	}
	return d
}

// decode refuses unknown fields and trailing data: a misspelt field must not turn into a different command.
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

func refusal(err error) problem.Document {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem.New(http.StatusRequestEntityTooLarge, "too-large", err.Error())
	}
	return problem.New(http.StatusBadRequest, "malformed", err.Error())
}

func operator(r *http.Request) string {
	if name := r.Header.Get(OperatorHeader); name != "" {
		return name[:min(len(name), maxOperatorBytes)]
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
