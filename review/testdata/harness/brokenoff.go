package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleTime is how long one target of four breaks off one answer in garbleEvery.
	garbleTime  = 5500 * time.Millisecond
	garbleEvery = 50
	// mediumAnswer is the length of a long answer in bytes, of which the daemon has sent nothing when it breaks off.
	mediumAnswer     = 100 << 10
	garbleClients    = 8
	requestsPerBatch = 6
)

// playBrokenOff pipelines idempotent requests to two services on kept connections: one with long answers, one with short ones. With
// the disruption, one target of the first service breaks off some of its answers.
func playBrokenOff(w *world, trouble bool) (bool, error) {
	for _, service := range []string{"lookups", "lookups", "records", "records"} {
		if _, err := w.addNode(service); err != nil {
			return false, err
		}
	}
	for _, n := range w.nodes {
		n.target.work = func(r *http.Request) (time.Duration, int) {
			if strings.HasPrefix(r.URL.Path, "/long3/") {
				return 10 * time.Millisecond, mediumAnswer
			}
			return 10 * time.Millisecond, 500
		}
	}
	w.writeConfiguration(1, []string{"lookups", "records"},
		route("long", "/long3/", "idempotent", "lookups", 3000, 500), route("short", "/look2/", "idempotent", "records", 3000, 500))
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	faulty := w.nodes[0].target
	if trouble {
		faulty.breakOffEvery.Store(garbleEvery)
		w.logf("target %s begins to break off one answer in %d", faulty.instance, garbleEvery)
	}
	end := time.Now().Add(garbleTime)
	var group sync.WaitGroup
	var sent atomic.Int64
	var mu sync.Mutex
	var unanswered []string
	for i := range garbleClients {
		n := w.nodes[i%len(w.nodes)]
		group.Go(func() {
			for batch := 0; time.Now().Before(end); batch++ {
				lost := w.batches(n, fmt.Sprintf("c%d-%d", i, batch), end, &sent)
				mu.Lock()
				unanswered = append(unanswered, lost...)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	soundRuns, faultyRuns := map[string]bool{}, map[string]bool{}
	for _, r := range w.allRuns() {
		if r.target == faulty.node.name {
			faultyRuns[r.id] = true
		} else {
			soundRuns[r.id] = true
		}
	}
	lost := 0
	for _, id := range unanswered {
		if soundRuns[id] && !faultyRuns[id] {
			w.logf("passed on to a sound target only, and its connection was closed without an answer: %s", id)
			lost++
		}
	}
	w.logf("requests sent: %d; without an answer: %d; of these at sound targets only: %d", sent.Load(), len(unanswered), lost)
	return lost > allowedLosses, nil
}

// batches sends batches of pipelined requests on one connection until the end or until the connection is closed. It returns the
// requests of the last batch that got no answer at all.
func (w *world) batches(n *node, name string, end time.Time, sent *atomic.Int64) []string {
	conn, err := n.dial()
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for k := 0; time.Now().Before(end); k++ {
		var ids []string
		var text strings.Builder
		for j := range requestsPerBatch {
			id := fmt.Sprintf("%s-%d-%d", name, k, j)
			ids = append(ids, id)
			path := "/long3/a"
			if j%2 == 1 {
				path = "/look2/a"
			}
			text.WriteString(head("GET", path, id, 3*time.Second, 0))
		}
		if _, err := io.WriteString(conn, text.String()); err != nil {
			return nil
		}
		sent.Add(requestsPerBatch)
		w.logf("sent %s on one connection by a caller on %s", strings.Join(ids, " "), n.name)
		if broken := w.readBatch(conn, reader, ids); broken >= 0 {
			w.logf("caller on %s: the connection ended at %s; sent behind it: %s", n.name, ids[broken], strings.Join(ids[broken+1:], " "))
			return ids[broken+1:]
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// readBatch reads the answers to a batch. It returns the position of the request at which the connection ended, or -1.
func (w *world) readBatch(conn net.Conn, reader *bufio.Reader, ids []string) int {
	for j := range ids {
		got := readAnswer(conn, reader, 5*time.Second)
		w.logf("result of %s: %v", ids[j], got)
		if got.err != nil {
			return j
		}
	}
	return -1
}
