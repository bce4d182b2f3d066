package target

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sync"
)

// maxKeys bounds the counted paths and keys.
const maxKeys = 1 << 20

// Counts is what a target executed, as GET /standin/counts returns it.
type Counts struct {
	Executions int `json:"executions"`
	Shed       int `json:"shed"`
	// Cancelled counts executions whose caller left.
	Cancelled int `json:"cancelled"`
	// Peak is the highest number of calls executed at once.
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

func (c *counts) execute(path, key string, inFlight int) {
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

func (c *counts) shed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Shed++
}

func (c *counts) cancelled() {
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

func (c *counts) write(w http.ResponseWriter) {
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

// LimitListener closes connections over the limit as soon as they are accepted, like a back end with a fixed number of
// connections.
func LimitListener(listener net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: listener, free: make(chan struct{}, limit)}
}

type limitedListener struct {
	net.Listener
	free chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.free <- struct{}{}:
			return &limitedConn{Conn: conn, free: l.free}, nil
		default:
			_ = conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	free chan struct{}
	once sync.Once
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.free })
	return err
}
