package sidecar_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/sidecar"
)

// Guards against a drain that announces its end for longer than its grace period, at whose end the process is killed.
func TestNoticesFitIntoTheGracePeriod(t *testing.T) {
	is := is.New(t)
	for grace := time.Second; grace <= time.Minute; grace += time.Second {
		target, all := sidecar.DrainNotices(grace)
		is.True(0 < target && target < all && all < grace/2)
	}
	target, all := sidecar.DrainNotices(6 * time.Second)
	is.Equal(target, 1500*time.Millisecond)
	is.Equal(all, 2300*time.Millisecond)
}
