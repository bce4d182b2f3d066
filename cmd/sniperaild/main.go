// Command sniperaild is the daemon that runs beside a target: a proxy on the call path and a member of the control plane.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/daemon"
	"sniperail.example/sniperail/internal/process"
	"sniperail.example/sniperail/internal/settings"
	"sniperail.example/sniperail/internal/telemetry"
)

const description = `Daemon beside a target: proxy on the call path and member of the control plane.

Example:
  sniperaild --id ticket-desk-1 --data-centre worcester --region new-england \
    --service ticket-desk --version v1 --target 10.0.0.5:9000 --slots 10 --connections 110 \
    --ingress 10.0.0.5:7000 --admission 10.0.0.5:7001 --peer 10.0.0.5:7002 --api 10.0.0.5:7400 \
    --platform http://10.0.1.1:2379

Every flag can also be set by SNIPERAIL_ and its name in upper snake case, such as SNIPERAIL_DATA_CENTRE.
SIGTERM drains and ends; repeating it changes nothing. SIGQUIT ends at once.`

type cli struct {
	settings.Daemon `embed:""`
}

func main() {
	signals := process.NotifySignals()
	var c cli
	kong.Parse(&c, kong.Name("sniperaild"), kong.Description(description),
		kong.DefaultEnvars("SNIPERAIL"), kong.UsageOnError(), kong.Exit(settings.Exit))
	logger, err := telemetry.NewLogger(os.Stderr, c.LogLevel)
	if err != nil {
		os.Exit(2)
	}
	go signals.Handle(logger)
	d, err := daemon.New(c.Daemon, logger)
	if err != nil {
		logger.Error("start failed", zap.Error(err))
		os.Exit(1)
	}
	d.Run(signals.Stop())
}
