package sidecar

import (
	"context"
	"net"
	"net/http"

	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/settings"
)

// CountReadyTargets exports countReadyTargets to tests.
var CountReadyTargets = countReadyTargets

// CheckHealth checks the health of the target at an address as a daemon does. The target names its run in X-Instance.
func CheckHealth(ctx context.Context, target string) model.InstanceID {
	d := &Sidecar{settings: settings.Sidecar{Target: target}, logger: zap.NewNop()}
	d.adapter.Headers.InstanceID = "X-Instance"
	return d.checkTargetHealth(ctx, "/health").Instance
}

// DrainNotices exports drainNotices for tests.
var DrainNotices = drainNotices

// ServeUntilClosed serves on a listener until close is called, which closes the server as the end of a drain does.
func ServeUntilClosed(listener net.Listener, h http.Handler) (closeServer func(context.Context)) {
	auxiliary := newAuxiliaryServer(h)
	d := &Sidecar{servers: []*server{{"test", listener, auxiliary}}}
	go func() { _ = auxiliary.Serve(listener) }() // ends with closeServer
	return d.closeServers
}
