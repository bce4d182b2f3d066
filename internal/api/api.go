// Package api serves the operators' HTTP API of a daemon: commands, queries, health and metrics.
package api

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sniperail.example/sniperail/internal/api/commands"
	"sniperail.example/sniperail/internal/api/problem"
	"sniperail.example/sniperail/internal/api/queries"
	"sniperail.example/sniperail/internal/model"
)

// NumberHeader carries the daemon's configuration number in responses of the health endpoint. This is the cheapest way to
// check the number of many daemons.
const NumberHeader = "Sniperail-Number"

// Options holds the dependencies of the API.
type Options struct {
	Submitter commands.Submitter
	Reader    queries.Reader
	// View returns the daemon's own configuration, or nil while it has none. It is called on each scrape and must be cheap.
	// If View is nil, the metric of moves is not served.
	View func() *model.Configuration
	// Metrics are the daemon's own metrics; the metric of moves is added to them.
	Metrics prometheus.Gatherer
	// Number returns the configuration number that is in force on the daemon.
	Number func() model.Number
	// Ready returns why the daemon is not ready to serve calls, or an empty text if it is ready.
	Ready func() string
}

// New returns the handler of all endpoints.
func New(o Options) http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = problem.HandleError
	commands.Register(e.Group("/v1/command"), o.Submitter)
	queries.Register(e.Group("/v1/query"), o.Reader)
	e.GET("/healthz", func(c *echo.Context) error {
		c.Response().Header().Set(NumberHeader, strconv.FormatUint(uint64(o.Number()), 10))
		return c.String(http.StatusOK, "ok\n")
	})
	e.GET("/readyz", func(c *echo.Context) error {
		if reason := o.Ready(); reason != "" {
			return problem.New(http.StatusServiceUnavailable, "not-ready", reason).Write(c)
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(gatherers(o), promhttp.HandlerOpts{
		// A metric with an invalid name, which a dashboard may set, must not hide the others.
		ErrorHandling: promhttp.ContinueOnError,
	})))
	return e
}

func gatherers(o Options) prometheus.Gatherers {
	var all prometheus.Gatherers
	if o.Metrics != nil {
		all = append(all, o.Metrics)
	}
	if o.View != nil {
		moves := prometheus.NewRegistry()
		moves.MustRegister(queries.NewMoveCollector(o.View))
		all = append(all, moves)
	}
	return all
}
