// Package process contains what the long-running programs share: signals, random sources and waits.
package process

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	crand "crypto/rand"
)

// Wait waits for d, or until ctx ends, and reports whether ctx has not ended.
func Wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NewRand returns a random source with a random seed, so that daemons that start together do not act in lockstep.
func NewRand() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}
