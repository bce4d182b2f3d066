// Package queries serves the operators' queries over HTTP. It only reads.
package queries

import (
	"context"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"sniperail.example/sniperail/internal/api/problem"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/reports"
)

// Reader reads what the mesh knows; false means that it cannot be known at the moment. What a daemon that is no leader
// holds itself does not suffice: its copy of the configuration lacks events and finished moves, and its own status covers
// only the daemons below it, so that a change would be reported as in force too early.
type Reader interface {
	// Configuration returns the document as the platform or a leader holds it.
	Configuration(ctx context.Context) (*model.Configuration, bool)
	// Plans returns the stored plans.
	Plans(ctx context.Context) ([]model.Plan, bool)
	// Status returns the status of a leader.
	Status(ctx context.Context) (*message.StatusReply, bool)
}

// List is the body of an answer with rows.
type List[T any] struct {
	Rows []T `json:"rows"`
}

type service struct{ reader Reader }

// Register adds the queries to their group.
func Register(g *echo.Group, r Reader) {
	s := service{reader: r}
	g.GET("/plans", s.plans)
	g.GET("/moves", s.moves)
	g.GET("/versions", s.versions)
	g.GET("/daemons", s.daemons)
	g.GET("/targets", s.targets)
	g.GET("/status", s.status)
	g.GET("/events", s.events)
}

func unavailable(c *echo.Context, what string) error {
	return problem.New(http.StatusServiceUnavailable, string(model.OutcomeUnavailable), "this daemon does not know the "+what).Write(c)
}

// statusOrNil lets reports say "unknown" where only the status is missing.
func (s service) statusOrNil(ctx context.Context) *message.StatusReply {
	status, ok := s.reader.Status(ctx)
	if !ok {
		return nil
	}
	return status
}

func (s service) plans(c *echo.Context) error {
	plans, ok := s.reader.Plans(c.Request().Context())
	if !ok {
		return unavailable(c, "plans")
	}
	// There is no configuration before the first plan is confirmed, but that plan must be listed.
	configuration, ok := s.reader.Configuration(c.Request().Context())
	if !ok {
		configuration = nil
	}
	return c.JSON(http.StatusOK, List[reports.Plan]{reports.Plans(configuration, plans)})
}

func (s service) moves(c *echo.Context) error {
	configuration, ok := s.reader.Configuration(c.Request().Context())
	if !ok {
		return unavailable(c, "configuration")
	}
	return c.JSON(http.StatusOK, List[reports.Move]{reports.Moves(configuration, s.statusOrNil(c.Request().Context()))})
}

func (s service) versions(c *echo.Context) error {
	configuration, ok := s.reader.Configuration(c.Request().Context())
	if !ok {
		return unavailable(c, "configuration")
	}
	return c.JSON(http.StatusOK, List[reports.Version]{reports.Versions(configuration, s.statusOrNil(c.Request().Context()))})
}

func (s service) daemons(c *echo.Context) error {
	status, ok := s.reader.Status(c.Request().Context())
	if !ok {
		return unavailable(c, "daemons")
	}
	return c.JSON(http.StatusOK, List[reports.Daemon]{reports.Daemons(status)})
}

func (s service) targets(c *echo.Context) error {
	status, ok := s.reader.Status(c.Request().Context())
	if !ok {
		return unavailable(c, "targets")
	}
	return c.JSON(http.StatusOK, List[model.Target]{reports.Targets(status)})
}

func (s service) status(c *echo.Context) error {
	configuration, ok := s.reader.Configuration(c.Request().Context())
	if !ok {
		return unavailable(c, "configuration")
	}
	return c.JSON(http.StatusOK, reports.MeshStatus(configuration, s.statusOrNil(c.Request().Context())))
}

func (s service) events(c *echo.Context) error {
	var after uint64
	if text := c.QueryParam("after"); text != "" {
		token, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return problem.New(http.StatusBadRequest, "malformed", "after="+strconv.Quote(text)+" is not a token").Write(c)
		}
		after = token
	}
	configuration, ok := s.reader.Configuration(c.Request().Context())
	if !ok {
		return unavailable(c, "configuration")
	}
	feed, ok := reports.Events(configuration, after)
	if !ok {
		return unavailable(c, "events")
	}
	return c.JSON(http.StatusOK, feed)
}
