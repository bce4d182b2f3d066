// Command sniperail-target is a stand-in for a customer's back end.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/settings"
	"sniperail.example/sniperail/internal/standin/target"
	"sniperail.example/sniperail/internal/telemetry"
)

const description = `Stand-in for a back end: slots, connections, latency, cold start, draining and faults on demand.

Example:
  sniperail-target --listen=127.0.0.1:9001 --name=placements-a --target-version=v2 \
    --slots=12 --connections=130 --latency=20ms --spread=0.3 --bad=fail --bad-after=30s --bad-share=0.2

GET /standin/counts returns the executions by path and by Idempotency-Key. ?bytes=N sets the size of a response.`

type flags struct {
	Listen        string        `help:"Address to listen on." default:"127.0.0.1:9001"`
	Name          string        `help:"Name of the target, echoed in responses." default:"target"`
	TargetVersion string        `help:"Version that the target runs, echoed in responses." default:"v1"`
	Slots         int           `help:"Calls executed at once." default:"12"`
	Queue         int           `help:"Calls that wait for a slot; more are shed." default:"0"`
	Connections   int           `help:"Open connections; more are closed at once." default:"130"`
	Latency       time.Duration `help:"Service time (median if --spread is set)." default:"5ms"`
	Spread        float64       `help:"Standard deviation of the logarithm of the service time; 0 means fixed." default:"0"`
	Seed          uint64        `help:"Seed of the drawn service times and faults." default:"1"`
	ColdStart     time.Duration `help:"Time after the start in which calls take longer." default:"0s"`
	ColdFactor    float64       `help:"How much longer calls take in the cold start." default:"5"`
	Bad           string        `help:"Misbehaviour: none, fail or slow." default:"none"`
	BadAfter      time.Duration `help:"Misbehave this long after the start." default:"0s"`
	BadAboveLoad  int           `help:"Misbehave with more calls than this in flight." default:"0"`
	BadRoute      string        `help:"Misbehave on paths with this prefix." default:""`
	BadShare      float64       `help:"Part of the affected calls that misbehave, from 0 to 1." default:"1"`
	AnswerBytes   int           `help:"Size of responses." default:"1024"`
	DrainTimeout  time.Duration `help:"Time for calls in flight after SIGTERM." default:"30s"`
	LogLevel      string        `help:"Log level: debug, info, warn or error." default:"info"`
}

func (s *flags) config() target.Config {
	return target.Config{
		Name: s.Name, Version: s.TargetVersion, Slots: s.Slots, Queue: s.Queue, Latency: s.Latency, Spread: s.Spread,
		Seed: s.Seed, ColdStart: s.ColdStart, ColdFactor: s.ColdFactor, Bad: s.Bad, BadAfter: s.BadAfter,
		BadAboveLoad: s.BadAboveLoad, BadRoute: s.BadRoute, BadShare: s.BadShare, AnswerBytes: s.AnswerBytes,
	}
}

// Validate reports all invalid settings together; kong calls it.
func (s *flags) Validate() error {
	problems := s.config().Problems()
	if s.Connections < 1 {
		problems = append(problems, fmt.Sprintf("--connections=%d: must be at least 1", s.Connections))
	}
	if s.DrainTimeout < 0 {
		problems = append(problems, fmt.Sprintf("--drain-timeout=%s: must be 0 or more", s.DrainTimeout))
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		problems = append(problems, fmt.Sprintf("--listen=%s: must be host:port", s.Listen))
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; "))
	}
	return nil
}

func main() {
	var s flags
	command := kong.Parse(&s, kong.Name("sniperail-target"), kong.Description(description),
		kong.DefaultEnvars("SNIPERAIL_TARGET"), kong.Exit(settings.Exit))
	logger, err := telemetry.NewLogger(os.Stderr, s.LogLevel)
	command.FatalIfErrorf(err)
	command.FatalIfErrorf(serve(&s, logger))
}

// serve runs the target until SIGTERM or SIGINT and then lets the calls in flight finish. A second signal ends the process.
func serve(s *flags, logger *zap.Logger) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	t := target.New(s.config())
	server := &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- server.Serve(target.LimitListener(listener, s.Connections)) }()
	logger.Info("listening", zap.String("address", listener.Addr().String()), zap.String("version", s.TargetVersion))
	select {
	case err := <-done:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stop()
	t.Drain()
	logger.Info("draining")
	limited, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
	defer cancel()
	err = server.Shutdown(limited)
	logger.Info("stopped", zap.Int("executions", t.Counts().Executions))
	return errors.Wrap(err, "drain")
}
