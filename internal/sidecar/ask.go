package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/model"
)

const (
	// askTimeout bounds the question for a target's health. A target whose slots are taken lets it wait, and reports by
	// itself soon.
	askTimeout = time.Second
	// maxHealth bounds the bytes read from the answer, which are not used.
	maxHealth = 4 << 10
)

// askTarget asks the target beside the daemon for its health, and returns the run that says that it is well, or "".
func (d *Sidecar) askTarget(ctx context.Context, path string) model.InstanceID {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.settings.Target+path, nil)
	if err != nil {
		d.logger.Warn("target-unasked", zap.Error(err))
		return ""
	}
	// The connection would count against those of the target.
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		d.logger.Info("target-unasked", zap.Error(err))
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealth)) // the header says it all
	if response.StatusCode != http.StatusOK {
		return ""
	}
	return model.InstanceID(response.Header.Get(d.adapter.Headers.InstanceID))
}
