package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["broken"] = playBroken }

const (
	longAnswer    = 400 << 10
	brokenAfter   = 200 << 10
	brokenBehind  = 7
	brokenTimeout = 4 * time.Second
)

// playBroken sends several idempotent requests on one connection. The upstream of the first breaks its long answer off; all others are
// sound.
func playBroken(m *mesh, trouble bool) (string, error) {
	routes := []route{
		{"r-archive", "/archive/", "idempotent", "archive", brokenTimeout},
		{"r-lookup", "/lookup/", "idempotent", "lookups", brokenTimeout},
	}
	if err := m.writeConfiguration(7, routes, []string{"archive", "lookups"}); err != nil {
		return "", err
	}
	for _, service := range []string{"archive", "lookups", "lookups"} {
		a, err := m.addMachine(service)
		if err != nil {
			return "", err
		}
		a.upstream.serve = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			if service == "lookups" {
				work(r, 1500*time.Millisecond)
				_, _ = w.Write([]byte("answer"))
				return
			}
			w.Header().Set("Content-Length", strconv.Itoa(longAnswer))
			part := longAnswer
			if trouble {
				part = brokenAfter
			}
			_, _ = w.Write([]byte(strings.Repeat("a", part)))
			_ = http.NewResponseController(w).Flush()
			work(r, 500*time.Millisecond)
			if trouble {
				panic(http.ErrAbortHandler)
			}
		}
	}
	if err := m.startAll(); err != nil {
		return "", err
	}
	conn, err := m.machines[1].dialOutbound()
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	text := request(http.MethodGet, "/archive/1", "long", brokenTimeout)
	for i := range brokenBehind {
		text += request(http.MethodGet, "/lookup/1", fmt.Sprintf("behind-%d", i+1), brokenTimeout)
	}
	m.record.printf("client sends %d requests on one connection", brokenBehind+1)
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	answered := map[string]bool{}
	for _, a := range m.readAnswers(conn, brokenBehind+1, 2*brokenTimeout) {
		answered[a.id] = a.complete
	}
	lost := 0
	for _, a := range m.machines[1:] {
		for _, arrived := range a.upstream.arrived() {
			if !answered[arrived.id] {
				lost++
			}
		}
	}
	m.record.printf("%d requests that a sound upstream ran have no answer", lost)
	if lost > 3 {
		return fmt.Sprintf("LOST: %d requests were passed on to a sound upstream, and their connection was closed without an answer", lost), nil
	}
	return "", nil
}
