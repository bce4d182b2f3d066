package traffic

import (
	"context"
	"net"
	"net/http"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
)

// probeTimeout bounds one probe of the target.
const probeTimeout = 500 * time.Millisecond

// ProbeOptions configures a Probe.
type ProbeOptions struct {
	// Address is the target's host:port.
	Address string
	// HealthPath is requested until the target is ready; empty means that an accepted connection is enough.
	HealthPath string
	// Interval is the interval of probes, 500 ms if zero. Three failed dials then show a dead target within 1.5 s.
	Interval time.Duration
	Warmup   time.Duration
	// Dial opens connections; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnChange is called with each new state of the target.
	OnChange func(model.TargetState)
}

// Probe checks the state of the local target periodically.
type Probe struct {
	options ProbeOptions
	client  *http.Client
}

// NewProbe returns a probe.
func NewProbe(options ProbeOptions) *Probe {
	if options.Interval <= 0 {
		options.Interval = 500 * time.Millisecond
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	return &Probe{options: options, client: &http.Client{
		Timeout: probeTimeout, Transport: &http.Transport{
			DisableKeepAlives: true, DialContext: options.Dial,
			// By default, up to 10 MB of the head of a response are kept.
			MaxResponseHeaderBytes: int64(DefaultLimits().HeaderBytes),
		},
	}}
}

// Run probes until ctx ends.
func (p *Probe) Run(ctx context.Context) {
	readiness := admission.NewReadiness(p.options.Warmup)
	ticker := time.NewTicker(p.options.Interval)
	defer ticker.Stop()
	for {
		dialled, healthy := p.probe(ctx, readiness.State() != model.TargetReady)
		if ctx.Err() != nil {
			return
		}
		if state, changed := readiness.RecordProbe(time.Now(), dialled, healthy); changed {
			p.options.OnChange(state)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// probe dials the target and, before it is ready, requests its health path. Health endpoints lag behind, so a ready target
// is only dialled.
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
	return true, isSuccess(response.StatusCode)
}
