// Package load sends a steady open-loop load of HTTP calls through the ingress listeners of several daemons and checks
// that every response is complete and belongs to its request. The targets are stand-ins (internal/standin/target).
package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/settings"
)

const (
	// MaxRate keeps the load small; other experiments measure capacity.
	MaxRate = 5_000
	// MaxBytes is the largest response that a call asks for.
	MaxBytes = 1 << 20
	maxCalls = 10_000_000
	// maxInFlight bounds the calls that wait for a response. A call that is due at the bound is counted as unsent and
	// skipped, so that slow responses never delay the schedule.
	maxInFlight = 1_000
)

// Config describes a load. When it is embedded in a kong command, kong calls Validate.
type Config struct {
	Ingress  []string      `required:"" placeholder:"HOST:PORT" help:"Ingress listeners, used in turn."`
	Paths    []string      `name:"path" required:"" sep:"," placeholder:"PATH" help:"Paths to call, used in turn."`
	Rate     int           `default:"100" help:"Calls per second, all paths together."`
	Calls    int           `default:"1000" help:"Number of calls; an interrupt ends the load earlier."`
	Bytes    int           `default:"1024" help:"Size of a response in bytes."`
	Deadline time.Duration `default:"5s" help:"Time limit of a call."`
}

// Validate returns one error that lists all invalid values.
func (c *Config) Validate() error {
	var checks settings.Checks
	checks.Addresses("ingress", c.Ingress)
	for _, path := range c.Paths {
		checks.Path("path", path)
	}
	checks.Positive("rate", c.Rate, MaxRate)
	checks.Positive("calls", c.Calls, maxCalls)
	checks.Positive("bytes", c.Bytes, MaxBytes)
	checks.Duration("deadline", c.Deadline, time.Millisecond, time.Minute)
	return checks.Err()
}

// Run sends calls until all are sent or ctx ends, waits for the calls in flight, and returns the counts and latencies.
func Run(ctx context.Context, c Config) (Result, error) {
	if len(c.Ingress) == 0 || len(c.Paths) == 0 {
		return Result{}, errors.New("a load needs at least one ingress and one path")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g := generator{config: c, client: &http.Client{Transport: transport, Timeout: c.Deadline},
		outcomes: make(chan outcome, maxInFlight), inFlight: make(chan struct{}, maxInFlight)}
	collected := make(chan Result)
	go func() { collected <- collect(g.outcomes) }()
	started := time.Now()
	g.schedule(ctx, started)
	g.calls.Wait()
	close(g.outcomes)
	result := <-collected
	result.Seconds = time.Since(started).Seconds()
	return result, nil
}

type generator struct {
	config   Config
	client   *http.Client
	outcomes chan outcome
	inFlight chan struct{}
	calls    sync.WaitGroup
}

// schedule starts each call when it is due, independently of the calls before it.
func (g *generator) schedule(ctx context.Context, started time.Time) {
	interval := time.Second / time.Duration(g.config.Rate)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range g.config.Calls {
		due := started.Add(time.Duration(i) * interval)
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		path := g.config.Paths[i%len(g.config.Paths)]
		select {
		case g.inFlight <- struct{}{}:
			g.calls.Go(func() {
				defer func() { <-g.inFlight }()
				g.outcomes <- g.sendCall(i, path, due)
			})
		default:
			g.outcomes <- outcome{path: path, kind: unsent}
		}
	}
}

// sendCall sends one call and classifies the response. It does not use the context of the load, so that an interrupt does
// not abort calls in flight.
func (g *generator) sendCall(i int, path string, due time.Time) outcome {
	// Paths and ingresses are both used in turn. The division by the number of paths makes every pair of them occur.
	ingress := g.config.Ingress[i/len(g.config.Paths)%len(g.config.Ingress)]
	o := outcome{path: path}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		fmt.Sprintf("http://%s%s?bytes=%d", ingress, path, g.config.Bytes), nil)
	if err != nil {
		panic(errors.Wrap(err, "path and address were checked"))
	}
	id := fmt.Sprintf("%s-%d", ingress, i)
	request.Header.Set("X-Request-Id", id)
	response, err := g.client.Do(request)
	if err != nil {
		o.kind, o.reason = lost, reasonOf(err)
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.classify(response, id, g.config.Bytes)
	o.latency = time.Since(due)
	return o
}
