// Command sniperail-platform is an in-memory stand-in for the platform's key-value service.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sniperail.example/sniperail/internal/settings"
	standin "sniperail.example/sniperail/internal/standin/platform"
	"sniperail.example/sniperail/internal/telemetry"
)

const description = `In-memory stand-in for the platform's key-value service (a subset of the etcd v3 JSON-over-HTTP API).

Example:
  sniperail-platform --listen 127.0.0.1:2379 --writes-per-second 300 --reads-per-second 2000

GET /standin/counts returns the calls by kind. POST /standin/faults sets faults, such as
{"down":"refuse"}, {"down":""}, {"slow_ms":200}, {"lose_answers":3}, {"lapse_key":"sniperail/driver"}.

Every flag can also be set by SNIPERAIL_PLATFORM_ and its name, such as SNIPERAIL_PLATFORM_LISTEN.`

type flags struct {
	Listen          string `default:"127.0.0.1:2379" help:"Address to serve on, as IP:port."`
	WritesPerSecond int    `default:"0" help:"Writes allowed per second; 0 is no limit."`
	ReadsPerSecond  int    `default:"0" help:"Reads allowed per second, watches included; 0 is no limit."`
	LogLevel        string `default:"info" help:"Least level that is logged: debug, info, warn or error."`
}

// Validate reports all invalid settings together.
func (s flags) Validate() error {
	var problems []string
	refuse := func(flag, value, allowed string) {
		problems = append(problems, "--"+flag+"="+strconv.Quote(value)+": allowed is "+allowed)
	}
	host, port, err := net.SplitHostPort(s.Listen)
	if _, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || net.ParseIP(host) == nil {
		refuse("listen", s.Listen, "IP:port, such as 127.0.0.1:2379")
	}
	if s.WritesPerSecond < 0 {
		refuse("writes-per-second", strconv.Itoa(s.WritesPerSecond), "0 or more")
	}
	if s.ReadsPerSecond < 0 {
		refuse("reads-per-second", strconv.Itoa(s.ReadsPerSecond), "0 or more")
	}
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		refuse("log-level", s.LogLevel, "debug, info, warn or error")
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; "))
	}
	return nil
}

// shutdownTimeout limits the wait for requests in flight, which end within milliseconds unless the fault slow_ms is set.
const shutdownTimeout = 5 * time.Second

func main() {
	var s flags
	kong.Parse(&s, kong.Name("sniperail-platform"), kong.Description(description),
		kong.DefaultEnvars("SNIPERAIL_PLATFORM"), kong.UsageOnError(), kong.Exit(settings.Exit))
	logger, err := telemetry.NewLogger(os.Stderr, s.LogLevel)
	if err != nil {
		panic(errors.Wrap(err, "validated log level"))
	}
	if err := serve(s, logger); err != nil {
		logger.Error("serve failed", zap.Error(err))
		os.Exit(1)
	}
}

// serve runs the stand-in service until SIGTERM or SIGINT.
func serve(s flags, logger *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	service := standin.Start(ctx, standin.Limits{WritesPerSecond: s.WritesPerSecond, ReadsPerSecond: s.ReadsPerSecond})
	config := echo.StartConfig{
		Address: s.Listen, HideBanner: true, HidePort: true, GracefulTimeout: shutdownTimeout,
		ListenerAddrFunc: func(address net.Addr) { logger.Info("serving", zap.Stringer("address", address)) },
		BeforeServeFunc: func(server *http.Server) error {
			server.ErrorLog, _ = zap.NewStdLogAt(logger, zapcore.WarnLevel)
			return nil
		},
		OnShutdownError: func(err error) { logger.Warn("shutdown incomplete", zap.Error(err)) },
	}
	if err := config.Start(ctx, service.Handler()); err != nil {
		return errors.Wrapf(err, "serve on %s", s.Listen)
	}
	<-service.Stopped()
	logger.Info("stopped")
	return nil
}
