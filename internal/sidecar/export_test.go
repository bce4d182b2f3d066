package sidecar

import (
	"context"

	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/settings"
)

// CountReadyTargets exports countReadyTargets to tests.
var CountReadyTargets = countReadyTargets

// CheckHealth checks the health of the target at an address as a daemon does.
func CheckHealth(ctx context.Context, target string) model.InstanceID {
	d := &Sidecar{settings: settings.Sidecar{Target: target}, logger: zap.NewNop()}
	return d.checkTargetHealth(ctx, "/health")
}

// DrainNotices exports drainNotices for tests.
var DrainNotices = drainNotices
