package traffic

import (
	"context"
	"sync"
)

// inFlightCalls counts calls in flight and closes for new ones while draining.
type inFlightCalls struct {
	mu       sync.Mutex
	active   int
	draining bool
	idle     chan struct{}
}

// begin admits a call; leave must follow. It returns false while draining.
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

// wait returns when no call is in flight, or with the error of ctx.
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

func (c *inFlightCalls) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}
