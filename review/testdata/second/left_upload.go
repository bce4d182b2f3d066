package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runLeftUpload: part of the callers close their connections before the answer to a request with a long body, while an upstream works on
// it.
func runLeftUpload(w *world, trouble bool) (broken []string, err error) {
	const (
		bodyBytes  = 100_000
		work       = 2 * time.Second
		slots      = 9
		interval   = 200 * time.Millisecond
		deadline   = 5 * time.Second
		patience   = 500 * time.Millisecond
		sent       = 80
		everyLeave = 4 // one caller in so many leaves
		// noticeTime and tolerated are those of the rule.
		noticeTime = 500 * time.Millisecond
		tolerated  = 0.25
	)
	for _, service := range []string{"desk", "desk", "log", "log"} {
		w.addMachine(service)
	}
	w.configure(1, []string{"desk", "log"}, []route{
		{"r-desk", "/desk/", "desk", "idempotent", 8000, 4000}, {"r-log", "/log/", "log", "idempotent", 1000, 400},
	})
	var mu sync.Mutex
	left, ends := map[string]time.Time{}, map[string]time.Time{}
	for i, m := range w.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
		u, err := startUpstream(m, fmt.Sprintf("i-%d", i+1), slots, work)
		if err != nil {
			return nil, err
		}
		u.onEnd = func(id string, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			ends[id] = at
		}
		u.beat()
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the daemons learn of all upstreams
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var group sync.WaitGroup
	for i := range sent {
		m := w.machines[2+i%2]
		leaves := trouble && i%everyLeave == 0
		group.Go(func() {
			wait := deadline
			if leaves {
				wait = patience
			}
			id, answered := upload(m, body, deadline, wait)
			if leaves && !answered {
				mu.Lock()
				left[id] = time.Now()
				mu.Unlock()
				w.log("%s: client of %s has closed its connection", m.name, id)
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	var worked []string
	for id, closed := range left {
		if at, ok := ends[id]; ok && at.Sub(closed) > noticeTime {
			worked = append(worked, fmt.Sprintf("GONE: an upstream worked on %s until %s after its client had closed the connection", id, at.Sub(closed).Round(time.Millisecond)))
		}
	}
	w.log("%d clients left before the answer; upstreams worked on %d of their requests over %s later", len(left), len(worked), noticeTime)
	if float64(len(worked)) > tolerated*float64(len(left)) {
		return worked, nil
	}
	return nil, nil
}

// upload sends a long body on a connection of its own, and closes that after the given time. It reports whether it was answered.
func upload(m *machine, body []byte, deadline, wait time.Duration) (id string, answered bool) {
	id = newRequestID()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address(portOutbound)+"/desk/up", bytes.NewReader(body))
	if err != nil {
		return id, false
	}
	r.Host = host
	r.Header.Set(headerRequestID, id)
	r.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	m.world.log("%s: client sends %s, %d bytes", m.name, id, len(body))
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return id, false
	}
	_ = response.Body.Close()
	m.world.log("%s: client gets %d for %s", m.name, response.StatusCode, id)
	return id, true
}
