package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/traffic"
)

const (
	// healthTimeout bounds a health check of the target. A target whose slots are all in use delays its response, and sends
	// a report soon anyway.
	healthTimeout = time.Second
	// maxHealthBytes bounds the bytes read from the response body, which is discarded.
	maxHealthBytes = 4 << 10
)

// healthTransport sends the health checks. The default transport keeps up to 10 MB of the head of a response.
var healthTransport = &http.Transport{MaxResponseHeaderBytes: int64(traffic.DefaultLimits().HeaderBytes), DisableKeepAlives: true}

// checkTargetHealth sends a health check to the local target, and returns the instance that answered that it is healthy, and
// for how long it is still cold. It returns the zero value if none did.
func (d *Sidecar) checkTargetHealth(ctx context.Context, path string) effect.HealthChecked {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.settings.Target+path, nil)
	if err != nil {
		d.logger.Warn("target-unasked", zap.Error(err))
		return effect.HealthChecked{}
	}
	response, err := healthTransport.RoundTrip(request)
	if err != nil {
		d.logger.Info("target-unasked", zap.Error(err))
		return effect.HealthChecked{}
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes)) // only the status and the headers are used
	if response.StatusCode != http.StatusOK {
		return effect.HealthChecked{}
	}
	checked := effect.HealthChecked{Instance: model.InstanceID(response.Header.Get(d.adapter.Headers.InstanceID))}
	checked.WarmupLeft, checked.WarmupKnown = traffic.WarmupLeft(d.adapter.Headers, response.Header)
	return checked
}
