package traffic

import (
	"context"
	"sync"
)

// inFlightCalls counts the calls in flight and admits no new ones while draining.
type inFlightCalls struct {
	mu       sync.Mutex
	active   int
	draining bool
	// idle is closed when the last call in flight ends; nil unless wait is waiting.
	idle chan struct{}
}

// begin counts a new call; end must be called when it ends. It returns false while draining.
func (c *inFlightCalls) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return false
	}
	c.active++
	return true
}

func (c *inFlightCalls) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	if c.active == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

func (c *inFlightCalls) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// wait blocks until no call is in flight, or returns the error of ctx.
func (c *inFlightCalls) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.active == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitAndDrain blocks until no call is in flight, or returns the error of ctx. No call begins once it has returned.
func (c *inFlightCalls) waitAndDrain(ctx context.Context) error {
	err := c.wait(ctx)
	c.drain()
	if err != nil {
		return err
	}
	return c.wait(ctx) // for calls that began between the two lines above
}

func (c *inFlightCalls) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}
