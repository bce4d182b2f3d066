package target

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sync"
)

// maxKeys bounds the number of paths and of idempotency keys that are counted separately.
const maxKeys = 1 << 20

// Counts are the calls that a target received, as GET /standin/counts returns them.
type Counts struct {
	Executions int `json:"executions"`
	Shed       int `json:"shed"`
	// Cancelled counts executions whose caller disconnected.
	Cancelled int `json:"cancelled"`
	// Peak is the highest number of calls executed at the same time.
	Peak  int            `json:"peak"`
	Paths map[string]int `json:"paths"`
	// Keys counts executions per Idempotency-Key.
	Keys map[string]int `json:"keys"`
}

type counts struct {
	mu         sync.Mutex
	Executions int
	Shed       int
	Cancelled  int
	Peak       int
	Paths      map[string]int
	Keys       map[string]int
}

func (c *counts) recordExecution(path, key string, inFlight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Executions++
	c.Peak = max(c.Peak, inFlight)
	if len(c.Paths) < maxKeys {
		c.Paths[path]++
	}
	if key != "" && len(c.Keys) < maxKeys {
		c.Keys[key]++
	}
}

func (c *counts) recordShed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Shed++
}

func (c *counts) recordCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Cancelled++
}

// Counts returns a copy of the counts.
func (t *Target) Counts() Counts {
	c := &t.counts
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counts{
		Executions: c.Executions, Shed: c.Shed, Cancelled: c.Cancelled, Peak: c.Peak,
		Paths: maps.Clone(c.Paths), Keys: maps.Clone(c.Keys),
	}
}

func (c *counts) writeJSON(w http.ResponseWriter) {
	c.mu.Lock()
	body, err := json.Marshal(Counts{
		Executions: c.Executions, Shed: c.Shed, Cancelled: c.Cancelled, Peak: c.Peak, Paths: c.Paths, Keys: c.Keys,
	})
	c.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// LimitListener returns a listener that closes connections over the limit as soon as it has accepted them, like a back end
// with a fixed number of connections.
func LimitListener(listener net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: listener, semaphore: make(chan struct{}, limit)}
}

type limitedListener struct {
	net.Listener
	semaphore chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.semaphore <- struct{}{}:
			return &limitedConn{Conn: conn, semaphore: l.semaphore}, nil
		default:
			_ = conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	semaphore   chan struct{}
	releaseOnce sync.Once
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(func() { <-c.semaphore })
	return err
}
