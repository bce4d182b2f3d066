package traffic

import (
	"context"
	"net"
	"net/http"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
)

// probeTimeout bounds one probe of the local target.
const probeTimeout = 500 * time.Millisecond

// ProbeOptions configure a Probe.
type ProbeOptions struct {
	// Address is the target's host:port.
	Address string
	// HealthPath is requested until the target is ready; empty means that an accepted connection is enough.
	HealthPath string
	// Every is the interval of probes, 500 ms if zero. Three failed dials then show a dead target within 1.5 s.
	Every  time.Duration
	Warmup time.Duration
	// Dial opens connections; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Changed is called with each new state of the target.
	Changed func(model.TargetState)
}

// Probe watches the target beside the daemon.
type Probe struct {
	options ProbeOptions
	client  *http.Client
}

// NewProbe returns a probe.
func NewProbe(options ProbeOptions) *Probe {
	if options.Every <= 0 {
		options.Every = 500 * time.Millisecond
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	return &Probe{options: options, client: &http.Client{
		Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: options.Dial},
	}}
}

// Run probes until ctx ends.
func (p *Probe) Run(ctx context.Context) {
	readiness := admission.NewReadiness(p.options.Warmup)
	ticker := time.NewTicker(p.options.Every)
	defer ticker.Stop()
	for {
		dialled, healthy := p.probe(ctx, readiness.State() != model.TargetReady)
		if ctx.Err() != nil {
			return
		}
		if state, changed := readiness.RecordProbe(time.Now(), dialled, healthy); changed {
			p.options.Changed(state)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// probe dials the target and, before it is ready, asks for its health. Health endpoints lag, so a ready target is not
// judged by them.
func (p *Probe) probe(ctx context.Context, askHealth bool) (dialled, healthy bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := p.options.Dial(ctx, "tcp", p.options.Address)
	if err != nil {
		return false, false
	}
	_ = conn.Close()
	if !askHealth || p.options.HealthPath == "" {
		return true, true
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.options.Address+p.options.HealthPath, nil)
	if err != nil {
		return true, false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return true, false
	}
	_ = response.Body.Close()
	return true, response.StatusCode < http.StatusMultipleChoices
}
