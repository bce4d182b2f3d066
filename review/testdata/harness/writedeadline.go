package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	slowConnections = 6
	// usualWork is the work of a report, slowFactor how much longer it takes at a slow target.
	usualWork  = 700 * time.Millisecond
	slowFactor = 5
	// longAnswer is the length of a long answer in bytes.
	longAnswer = 400 << 10
	// allowedLosses is the number of unanswered requests that the rule allows.
	allowedLosses = 3
)

// playWriteDeadline pipelines three idempotent requests on each of some kept connections: a report, a lookup with a long answer and
// a short deadline, and a lookup with a short answer. With the disruption the target of the reports is slow.
func playWriteDeadline(w *world, trouble bool) (bool, error) {
	for _, service := range []string{"reports", "lookups", "lookups", "lookups", "lookups", "lookups", "lookups"} {
		if _, err := w.addNode(service); err != nil {
			return false, err
		}
	}
	slow := false
	var mu sync.Mutex
	for _, n := range w.nodes {
		n.target.work = func(r *http.Request) (time.Duration, int) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case strings.HasPrefix(r.URL.Path, "/rep1/") && slow:
				return usualWork * slowFactor, 500
			case strings.HasPrefix(r.URL.Path, "/rep1/"):
				return usualWork, 500
			case strings.HasPrefix(r.URL.Path, "/long3/"):
				return defaultWork, longAnswer
			}
			return defaultWork, 500
		}
	}
	w.writeConfiguration(1, []string{"reports", "lookups"},
		route("reports", "/rep1/", "idempotent", "reports", 5000, 1500),
		route("long", "/long3/", "idempotent", "lookups", 1000, 500),
		route("short", "/look2/", "idempotent", "lookups", 5000, 500))
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		mu.Lock()
		slow = true
		mu.Unlock()
		w.logf("target %s turns slow: %d times the work", w.nodes[0].target.instance, slowFactor)
	}
	var group sync.WaitGroup
	var lost, lostSound int
	for i := range slowConnections {
		group.Go(func() {
			answers := w.pipeline(w.nodes[1+i%3], i)
			mu.Lock()
			defer mu.Unlock()
			if answers[0].err != nil {
				lost++
			}
			if answers[2].err != nil {
				lostSound++
			}
		})
	}
	group.Wait()
	ran := map[string]bool{}
	for _, r := range w.allRuns() {
		ran[r.id] = true
	}
	for i := range slowConnections {
		for _, part := range []string{"report", "long", "short"} {
			w.logf("%s-%d was run: %t", part, i, ran[fmt.Sprintf("%s-%d", part, i)])
		}
	}
	w.logf("connections closed without an answer to the report: %d; without one to the last lookup: %d", lost, lostSound)
	// The reports are not judged, since their target is slow; the last lookups went to sound and quick targets.
	return lostSound > allowedLosses, nil
}

// pipeline sends three requests on one connection and returns the answers.
func (w *world) pipeline(n *node, i int) [3]answer {
	var answers [3]answer
	conn, err := n.dial()
	if err != nil {
		return [3]answer{{err: err}, {err: err}, {err: err}}
	}
	defer func() { _ = conn.Close() }()
	ids := []string{fmt.Sprintf("report-%d", i), fmt.Sprintf("long-%d", i), fmt.Sprintf("short-%d", i)}
	heads := head("GET", "/rep1/a", ids[0], 5*time.Second, 0) + head("GET", "/long3/a", ids[1], time.Second, 0) +
		head("GET", "/look2/a", ids[2], 5*time.Second, 0)
	if _, err := io.WriteString(conn, heads); err != nil {
		return [3]answer{{err: err}, {err: err}, {err: err}}
	}
	w.logf("sent %s, %s, %s on one connection by a caller on %s", ids[0], ids[1], ids[2], n.name)
	reader := bufio.NewReader(conn)
	for j := range answers {
		if answers[j] = readAnswer(conn, reader, 7*time.Second); answers[j].err != nil {
			for k := j; k < len(answers); k++ {
				answers[k].err = answers[j].err
			}
		}
		w.logf("result of %s: %v", ids[j], answers[j])
		if answers[j].err != nil {
			break
		}
	}
	return answers
}
