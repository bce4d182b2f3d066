package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var requests atomic.Int64

func newRequestID() string { return fmt.Sprintf("q-%06d", requests.Add(1)) }

// send sends one request to the daemon of a machine, and returns the status of the answer; 0 if there is none.
func send(m *machine, method, path, body string, deadline time.Duration) (id string, status int) {
	id = newRequestID()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(portOutbound)+path, strings.NewReader(body))
	if err != nil {
		return id, 0
	}
	r.Host = host
	r.Header.Set(headerRequestID, id)
	r.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	m.world.log("%s: client sends %s %s %s", m.name, id, method, path)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		m.world.log("%s: client gets no answer to %s: %v", m.name, id, err)
		return id, 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	m.world.log("%s: client gets %d for %s", m.name, response.StatusCode, id)
	return id, response.StatusCode
}

// load calls a function at a fixed rate until it is stopped.
type load struct {
	stop  chan struct{}
	group sync.WaitGroup
}

// startLoad sends requests of one kind.
func startLoad(m *machine, method, path string, interval, deadline time.Duration) *load {
	return repeat(interval, func() { send(m, method, path, "", deadline) })
}

// repeat calls a function at a fixed rate, each time on a goroutine of its own.
func repeat(interval time.Duration, f func()) *load {
	l := &load{stop: make(chan struct{})}
	l.group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				l.group.Go(f)
			case <-l.stop:
				return
			}
		}
	})
	return l
}

func (l *load) end() {
	close(l.stop)
	l.group.Wait()
}
