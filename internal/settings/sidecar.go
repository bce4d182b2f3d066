package settings

import (
	"net"
	"time"
)

// Sidecar holds the settings of sniperail-sidecar. Embed it in the kong struct; kong then calls Validate.
type Sidecar struct {
	ID         string   `name:"id" required:"" help:"Name of this daemon and of its VM."`
	DataCentre string   `required:"" help:"Data centre of this VM."`
	Region     string   `required:"" help:"Region of the data centre."`
	Service    string   `required:"" help:"Service that the target beside this daemon runs."`
	Target     string   `required:"" placeholder:"HOST:PORT" help:"Address of the target."`
	Ingress    string   `required:"" placeholder:"HOST:PORT" help:"Listen here for requests of callers on this VM and of the target."`
	Admission  string   `required:"" placeholder:"HOST:PORT" help:"Listen here for calls that other daemons send to the target."`
	Control    string   `required:"" placeholder:"HOST:PORT" help:"Listen here for what the target says of itself."`
	Ready      string   `required:"" placeholder:"HOST:PORT" help:"Listen here for the question whether this daemon is ready."`
	Peer       string   `required:"" placeholder:"HOST:PORT" help:"Listen here for messages of other daemons."`
	Advertise  string   `placeholder:"HOST" help:"Host under which other daemons reach the listeners of admission and peer; empty: the hosts of those."`
	Metrics    string   `placeholder:"HOST:PORT" help:"Listen here for metrics; empty serves none."`
	Platform   string   `required:"" placeholder:"URL" help:"Base URL of the platform's store."`
	Seeds      []string `placeholder:"HOST:PORT" help:"Peer addresses of other daemons, asked while the platform cannot be read."`

	FirstStart bool `help:"All daemons start for the first time, so that no target has been announced yet."`

	MinLease    time.Duration `default:"1s" help:"Shortest lease that the platform grants."`
	Grace       time.Duration `default:"6s" help:"Time from SIGTERM until the process is killed."`
	RetryRatio  float64       `default:"0.2" help:"Retries of all daemons for a service, as a part of its requests."`
	RetrySlack  float64       `default:"50" help:"Retries of all daemons for a service beyond that, within the window."`
	RetryWindow time.Duration `default:"10s" help:"Window over which retries are counted."`

	ExposureFraction float64 `default:"0.1" help:"Requests that a new version may get before it is known to be good, as a part of those of its service from the order to the deadline."`
	ExposureSlack    float64 `default:"50" help:"Requests that such a version may get beyond that."`

	RevokeStrict bool          `help:"Refuse requests with an API key once the configuration may be older than revoke-within."`
	RevokeWithin time.Duration `default:"5s" help:"Time from the removal of an API key until no request with it is served."`

	QuotaWindow    time.Duration `default:"5s" help:"Window over which the requests of a tenant are counted."`
	QuotaTolerance float64       `default:"0.1" help:"Requests of a tenant that may be served beyond its quota, as a part of the quota."`
	QuotaSlack     float64       `default:"20" help:"Requests of a tenant that may be served beyond that, within the window."`

	LearnConcurrency bool `help:"Learn from execution times how many calls the target can run at once, up to the slots that it announces."`

	Callers `embed:""`

	LogLevel string `default:"info" help:"Least level of the events that are logged: debug, info, warn or error."`
}

// Advertised returns the address at which other daemons reach a listener.
func (s *Sidecar) Advertised(listener string) string {
	_, port, err := net.SplitHostPort(listener)
	if s.Advertise == "" || err != nil {
		return listener
	}
	return net.JoinHostPort(s.Advertise, port)
}

const (
	// minGrace leaves time for calls in flight after callers have been told to leave this daemon.
	minGrace = time.Second
	maxGrace = 10 * time.Minute
	// maxSlack is far above any retry budget or exposure limit in use; a larger value is a mistake.
	maxSlack = 1e6
)

// Validate returns all wrong values as Problems.
func (s *Sidecar) Validate() error {
	var c Checks
	c.Name("id", s.ID)
	c.Name("data-centre", s.DataCentre)
	c.Name("region", s.Region)
	c.Name("service", s.Service)
	c.Address("target", s.Target)
	listeners := map[string]string{
		"ingress": s.Ingress, "admission": s.Admission, "control": s.Control, "ready": s.Ready, "peer": s.Peer,
	}
	order := []string{"ingress", "admission", "control", "ready", "peer"}
	if s.Metrics != "" {
		listeners["metrics"] = s.Metrics
		order = append(order, "metrics")
	}
	for _, flag := range order {
		c.Listen(flag, listeners[flag])
	}
	c.Distinct(listeners, order...)
	if s.Advertise != "" {
		c.Host("advertise", s.Advertise)
	}
	c.URL("platform", s.Platform)
	c.Addresses("seeds", s.Seeds)
	c.Duration("min-lease", s.MinLease, time.Millisecond, maxWarmup)
	c.Duration("grace", s.Grace, minGrace, maxGrace)
	c.Number("retry-ratio", s.RetryRatio, 0, 1)
	c.Number("retry-slack", s.RetrySlack, 0, maxSlack)
	c.Duration("retry-window", s.RetryWindow, time.Second, maxGrace)
	c.Number("exposure-fraction", s.ExposureFraction, 0, 1)
	c.Number("exposure-slack", s.ExposureSlack, 0, maxSlack)
	c.Duration("revoke-within", s.RevokeWithin, time.Second, maxGrace)
	c.Duration("quota-window", s.QuotaWindow, time.Second, maxGrace)
	c.Number("quota-tolerance", s.QuotaTolerance, 0, 1)
	c.Number("quota-slack", s.QuotaSlack, 0, maxSlack)
	c.OneOf("log-level", s.LogLevel, LogLevels...)
	s.check(&c)
	return c.Err()
}
