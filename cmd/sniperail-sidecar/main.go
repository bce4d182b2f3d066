// Command sniperail-sidecar is the daemon that runs beside a target on the users' platform.
package main

import (
	"bytes"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/process"
	"sniperail.example/sniperail/internal/settings"
	"sniperail.example/sniperail/internal/sidecar"
	"sniperail.example/sniperail/internal/telemetry"
	"sniperail.example/sniperail/platform"
)

const description = `Daemon beside a target on the users' platform: it takes the requests of its VM, places them on targets,
and is the only way to its own target.

Every flag can also be set by SNIPERAIL_ and its name in upper snake case, in the environment or in the settings file that
the platform names. SIGTERM drains and ends; repeating it changes nothing. SIGQUIT ends at once. SIGHUP reads the settings file
again.`

// settingsPollInterval is the interval at which the settings file is checked for changes, which may come without a signal.
const settingsPollInterval = 2 * time.Second

type cli struct {
	settings.Sidecar `embed:""`
	Bounds           platform.Bounds `help:"Limits of the platform as name=value, separated by commas, or as a JSON object."`
}

// parse reads and validates the flags, the environment and the settings file at path, if there is one.
func parse(args []string, path string, exit func(int)) (*cli, error) {
	c := &cli{}
	options := []kong.Option{
		kong.Name("sniperail-sidecar"), kong.Description(description), kong.DefaultEnvars("SNIPERAIL"),
		kong.UsageOnError(), kong.Exit(exit),
	}
	if path != "" {
		options = append(options, kong.Configuration(platform.Loader, path))
	}
	parser, err := kong.New(c, options...)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := parser.Parse(args); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := c.Bounds.Apply(&c.Sidecar); err != nil {
		return nil, err
	}
	c.Seeds, err = platform.SeedPeerAddresses(c.Seeds, c.Peer)
	if err != nil {
		return nil, err
	}
	return c, c.Validate()
}

func main() {
	signals := process.NotifySignals()
	path := platform.SettingsPath()
	out := telemetry.NewBoundedWriter(os.Stdout)
	c, err := parse(os.Args[1:], path, settings.Exit)
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		settings.Exit(settings.ExitUsage)
	}
	logger, err := telemetry.NewLogger(out, c.LogLevel)
	if err != nil {
		settings.Exit(settings.ExitUsage)
	}
	go signals.Handle(logger)
	d, err := sidecar.New(c.Sidecar, platform.NewAdapter(), logger)
	if err != nil {
		logger.Error("start-failed", zap.Error(err))
		out.Close()
		os.Exit(1)
	}
	go watchSettings(signals, d, logger, path)
	d.Run(signals.Stop())
	out.Close()
}

// watchSettings compares the settings file with its last content on SIGHUP and at each poll, and reloads the settings if it
// has changed. It returns when the daemon stops.
func watchSettings(signals *process.Signals, d *sidecar.Sidecar, logger *zap.Logger, path string) {
	ctx := signals.Stop()
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	known, _ := os.ReadFile(path) // a file that cannot be read yet counts as changed once it can be read
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals.Reload():
			logger.Info("reload-asked", zap.String("by", "SIGHUP"))
		case <-ticker.C:
		}
		if path == "" {
			continue
		}
		now, err := os.ReadFile(path)
		if err != nil {
			logger.Warn("reload-failed", zap.Error(err))
			continue
		}
		if bytes.Equal(known, now) {
			continue
		}
		known = now
		next, err := parse(os.Args[1:], path, func(int) {})
		if err != nil {
			logger.Warn("reload-failed", zap.Error(err))
			continue
		}
		d.Reload(ctx, next.Sidecar)
	}
}
