// Package queries serves the operators' queries over HTTP. It does not change state.
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

// Reader reads the state of the mesh; false means that the state cannot be read at present. The local state of a daemon that
// is not a leader does not suffice: its copy of the configuration lacks events and finished moves, and its status covers
// only the daemons below it in the tree, so a change would be reported as in force too early.
type Reader interface {
	// Configuration returns the whole configuration from the platform or a leader.
	Configuration(ctx context.Context) (*model.Configuration, bool)
	// Plans returns the stored plans.
	Plans(ctx context.Context) ([]model.Plan, bool)
	// Status returns the status of a leader.
	Status(ctx context.Context) (*message.StatusReply, bool)
}

// List is the body of a response with rows.
type List[T any] struct {
	Rows []T `json:"rows"`
}

type handlers struct{ reader Reader }

// Register adds the endpoints of all queries to a group.
func Register(g *echo.Group, r Reader) {
	h := handlers{reader: r}
	g.GET("/plans", h.plans)
	g.GET("/moves", h.moves)
	g.GET("/versions", h.versions)
	g.GET("/daemons", h.daemons)
	g.GET("/targets", h.targets)
	g.GET("/status", h.status)
	g.GET("/events", h.events)
}

func writeUnavailable(c *echo.Context, what string) error {
	return problem.New(http.StatusServiceUnavailable, string(model.OutcomeUnavailable),
		"this daemon does not know the "+what).Write(c)
}

// statusOrNil returns nil if the status cannot be read. Reports then contain "unknown" instead of being refused.
func (h handlers) statusOrNil(ctx context.Context) *message.StatusReply {
	status, ok := h.reader.Status(ctx)
	if !ok {
		return nil
	}
	return status
}

func (h handlers) plans(c *echo.Context) error {
	plans, ok := h.reader.Plans(c.Request().Context())
	if !ok {
		return writeUnavailable(c, "plans")
	}
	// Before the first plan is confirmed there is no configuration, but plans must be listed.
	configuration, ok := h.reader.Configuration(c.Request().Context())
	if !ok {
		configuration = nil
	}
	return c.JSON(http.StatusOK, List[reports.Plan]{reports.Plans(configuration, plans)})
}

func (h handlers) moves(c *echo.Context) error {
	configuration, ok := h.reader.Configuration(c.Request().Context())
	if !ok {
		return writeUnavailable(c, "configuration")
	}
	return c.JSON(http.StatusOK, List[reports.Move]{reports.Moves(configuration, h.statusOrNil(c.Request().Context()))})
}

func (h handlers) versions(c *echo.Context) error {
	configuration, ok := h.reader.Configuration(c.Request().Context())
	if !ok {
		return writeUnavailable(c, "configuration")
	}
	return c.JSON(http.StatusOK, List[reports.Version]{reports.Versions(configuration, h.statusOrNil(c.Request().Context()))})
}

func (h handlers) daemons(c *echo.Context) error {
	status, ok := h.reader.Status(c.Request().Context())
	if !ok {
		return writeUnavailable(c, "daemons")
	}
	return c.JSON(http.StatusOK, List[reports.Daemon]{reports.Daemons(status)})
}

func (h handlers) targets(c *echo.Context) error {
	status, ok := h.reader.Status(c.Request().Context())
	if !ok {
		return writeUnavailable(c, "targets")
	}
	return c.JSON(http.StatusOK, List[model.Target]{reports.Targets(status)})
}

func (h handlers) status(c *echo.Context) error {
	configuration, ok := h.reader.Configuration(c.Request().Context())
	if !ok {
		return writeUnavailable(c, "configuration")
	}
	return c.JSON(http.StatusOK, reports.MeshStatus(configuration, h.statusOrNil(c.Request().Context())))
}

func (h handlers) events(c *echo.Context) error {
	var after uint64
	if text := c.QueryParam("after"); text != "" {
		token, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return problem.New(http.StatusBadRequest, "malformed", "after="+strconv.Quote(text)+" is not a token").Write(c)
		}
		after = token
	}
	configuration, ok := h.reader.Configuration(c.Request().Context())
	if !ok {
		return writeUnavailable(c, "configuration")
	}
	feed, ok := reports.Events(configuration, after)
	if !ok {
		return writeUnavailable(c, "events")
	}
	return c.JSON(http.StatusOK, feed)
}
