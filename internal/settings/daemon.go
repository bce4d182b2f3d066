package settings

import "time"

const (
	maxSlots       = 10_000
	maxConnections = 100_000
	// maxWarmup prevents a mistyped unit from keeping a target in its warm-up for hours.
	maxWarmup = 10 * time.Minute
)

// LogLevels lists the allowed values of --log-level.
var LogLevels = []string{"debug", "info", "warn", "error"}

// Daemon holds the settings of sniperaild. Embed it in the kong struct; kong then calls Validate.
type Daemon struct {
	ID          string        `name:"id" required:"" help:"Name of this daemon and of the target beside it. Keep it over restarts."`
	DataCentre  string        `required:"" help:"Data centre of this VM."`
	Region      string        `required:"" help:"Region of the data centre."`
	Service     string        `required:"" help:"Service that the target runs."`
	Version     string        `required:"" help:"Version of the service that the target runs."`
	Target      string        `required:"" placeholder:"HOST:PORT" help:"Address of the target."`
	Ingress     string        `required:"" placeholder:"HOST:PORT" help:"Listen here for calls of callers."`
	Admission   string        `required:"" placeholder:"HOST:PORT" help:"Listen here for calls that other daemons pass on to the target."`
	Peer        string        `required:"" placeholder:"HOST:PORT" help:"Listen here for messages of other daemons."`
	API         string        `name:"api" required:"" placeholder:"HOST:PORT" help:"Listen here for operators: commands, queries, health and metrics."`
	Platform    string        `required:"" placeholder:"URL" help:"Base URL of the platform's key-value service."`
	Seeds       []string      `placeholder:"HOST:PORT" help:"Peer addresses of other daemons, asked for the configuration while the platform is down."`
	Slots       int           `default:"12" help:"Requests that the target runs at once."`
	Connections int           `default:"130" help:"Connections that the target accepts."`
	Warmup      time.Duration `default:"0s" help:"Time from the target's first answer until it counts as warm."`
	Callers     `embed:""`

	LogLevel string `default:"info" help:"Least level of the events that are logged: debug, info, warn or error."`
}

// Validate returns all wrong values as Problems.
func (d *Daemon) Validate() error {
	var c Checks
	c.Name("id", d.ID)
	c.Name("data-centre", d.DataCentre)
	c.Name("region", d.Region)
	c.Name("service", d.Service)
	c.Name("version", d.Version)
	c.Address("target", d.Target)
	listeners := map[string]string{"ingress": d.Ingress, "admission": d.Admission, "peer": d.Peer, "api": d.API}
	order := []string{"ingress", "admission", "peer", "api"}
	for _, flag := range order {
		c.Listen(flag, listeners[flag])
	}
	c.Distinct(listeners, order...)
	c.URL("platform", d.Platform)
	c.Addresses("seeds", d.Seeds)
	c.Positive("slots", d.Slots, maxSlots)
	c.Positive("connections", d.Connections, maxConnections)
	c.Duration("warmup", d.Warmup, 0, maxWarmup)
	c.OneOf("log-level", d.LogLevel, LogLevels...)
	d.check(&c)
	return c.Err()
}
