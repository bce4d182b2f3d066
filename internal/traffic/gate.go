package traffic

import (
	"context"
	"sync"
)

// gate counts calls in flight and closes for new ones while draining.
type gate struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	idle     chan struct{}
}

// enter admits a call; leave must follow. It returns false while draining.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.inFlight++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

func (g *gate) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// wait returns when no call is in flight, or with the error of ctx.
func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	if g.inFlight == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}
