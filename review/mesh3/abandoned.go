package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["abandoned"] = playAbandoned }

const (
	abandonedRequests = 96
	abandonedDeadline = 4 * time.Second
	// The first request takes long, the others do not.
	slowWork  = 3 * time.Second
	quickWork = 300 * time.Millisecond
	// goneSlack is the time after the close from which requests may not reach an upstream, and fewRequests how many may.
	goneSlack   = 500 * time.Millisecond
	fewRequests = 5
)

// playAbandoned sends many idempotent requests on one connection and closes it before the first answer.
func playAbandoned(m *mesh, trouble bool) (string, error) {
	routes := []route{{"r-lookup", "/lookup/", "idempotent", "lookups", abandonedDeadline}}
	if err := m.writeConfiguration(7, routes, []string{"lookups"}); err != nil {
		return "", err
	}
	for range 3 {
		a, err := m.addMachine("lookups")
		if err != nil {
			return "", err
		}
		a.upstream.serve = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			if strings.HasSuffix(r.URL.Path, "/slow") {
				work(r, slowWork)
			} else {
				work(r, quickWork)
			}
			_, _ = w.Write([]byte("answer"))
		}
	}
	if err := m.startAll(); err != nil {
		return "", err
	}
	conn, err := m.machines[0].dialOutbound()
	if err != nil {
		return "", err
	}
	text := request(http.MethodGet, "/lookup/slow", "g-00", abandonedDeadline)
	for i := 1; i < abandonedRequests; i++ {
		text += request(http.MethodGet, "/lookup/quick", fmt.Sprintf("g-%02d", i), abandonedDeadline)
	}
	m.record.printf("client sends %d requests on one connection", abandonedRequests)
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	if !trouble {
		answers := m.readAnswers(conn, abandonedRequests, 2*abandonedDeadline, true)
		_ = conn.Close()
		if len(answers) != abandonedRequests {
			return fmt.Sprintf("without the disruption %d of %d requests were answered", len(answers), abandonedRequests), nil
		}
		return "", nil
	}
	time.Sleep(150 * time.Millisecond)
	closed := time.Now()
	_ = conn.Close()
	m.record.printf("client closes the connection")
	time.Sleep(2 * abandonedDeadline)
	late := 0
	for _, a := range m.machines {
		for _, arrived := range a.upstream.arrived() {
			if arrived.at.Sub(closed) > goneSlack {
				late++
			}
		}
	}
	m.record.printf("%d requests reached an upstream more than %s after the close", late, goneSlack)
	if late > fewRequests {
		return fmt.Sprintf("GONE: %d requests reached an upstream more than %s after their client had closed its connection", late, goneSlack), nil
	}
	return "", nil
}
