package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["broken"] = playBroken }

const (
	longAnswer    = 400_000
	brokenAfter   = 250_000
	brokenPause   = 50 * time.Millisecond
	brokenBehind  = 7
	brokenClients = 18
	// brokenFaulty of brokenArchives upstreams are faulty: a part of 0.33.
	brokenArchives = 3
	brokenFaulty   = 1
	brokenLookups  = 11
	// brokenTime is how long the clients send, of which garbleTime is that of the disruption.
	brokenTime    = 8 * time.Second
	garbleTime    = 5500 * time.Millisecond
	brokenTimeout = 4 * time.Second
	lookupWork    = 100 * time.Millisecond
	// brokenEach is the number of answers of the faulty upstream of which it breaks one off: a part of 0.02.
	brokenEach = 50
	// maxLost is the number of lost requests that the rule allows.
	maxLost = 3
)

// playBroken lets clients send batches of idempotent requests on kept connections, each with one for a long answer first. Some of the
// upstreams that give long answers break a few of them off; those of the other requests are sound.
func playBroken(m *mesh, trouble bool) (string, error) {
	routes := []route{
		{"r-archive", "/archive/", "idempotent", "archive", brokenTimeout},
		{"r-lookup", "/lookup/", "idempotent", "lookups", brokenTimeout},
	}
	if err := m.writeConfiguration(7, routes, []string{"archive", "lookups"}); err != nil {
		return "", err
	}
	garbleUntil := make(chan struct{})
	for i := range brokenArchives + brokenLookups {
		service := "archive"
		if i >= brokenArchives {
			service = "lookups"
		}
		a, err := m.addMachine(service)
		if err != nil {
			return "", err
		}
		a.upstream.quiet = true
		if service == "lookups" {
			a.upstream.serve = func(w http.ResponseWriter, r *http.Request, _ []byte) {
				work(r, lookupWork)
				_, _ = w.Write([]byte("answer"))
			}
			continue
		}
		a.upstream.serve = a.serveArchive(trouble && i < brokenFaulty, garbleUntil)
	}
	if err := m.startAll(); err != nil {
		return "", err
	}
	var answered sync.Map
	var clients sync.WaitGroup
	ends := time.Now().Add(brokenTime)
	time.AfterFunc(garbleTime, func() {
		m.record.printf("the upstreams are sound again")
		close(garbleUntil)
	})
	for c := range brokenClients {
		clients.Go(func() { m.sendBatches(m.machines[brokenArchives], c, ends, &answered) })
	}
	clients.Wait()
	return m.countLost(&answered), nil
}

// serveArchive returns the handler of an upstream with long answers. A faulty one breaks one answer in brokenEach off until soundAgain is
// closed.
func (a *machine) serveArchive(faulty bool, soundAgain <-chan struct{}) func(http.ResponseWriter, *http.Request, []byte) {
	var served atomic.Int64
	return func(w http.ResponseWriter, r *http.Request, _ []byte) {
		w.Header().Set("Content-Length", strconv.Itoa(longAnswer))
		_, _ = w.Write([]byte(strings.Repeat("a", brokenAfter)))
		_ = http.NewResponseController(w).Flush()
		work(r, brokenPause)
		breaks := faulty && served.Add(1)%brokenEach == 0
		select {
		case <-soundAgain:
			breaks = false
		default:
		}
		if breaks {
			a.mesh.record.printf("%s: the upstream breaks off its answer to %s", a.name, r.Header.Get(headerRequestID))
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(strings.Repeat("a", longAnswer-brokenAfter)))
	}
}

// sendBatches sends the batches of one client. It keeps each connection for a short request and then a batch, and goes on with a new one.
func (m *mesh) sendBatches(a *machine, client int, ends time.Time, answered *sync.Map) {
	for batch := 0; time.Now().Before(ends); batch++ {
		conn, err := a.dialOutbound()
		if err != nil {
			m.record.printf("client %d cannot connect: %v", client, short(err))
			return
		}
		m.sendBatch(conn, client, batch, answered)
		_ = conn.Close()
	}
}

// sendBatch sends a short request and, after its answer, a batch with the request for a long answer first.
func (m *mesh) sendBatch(conn net.Conn, client, batch int, answered *sync.Map) {
	id := func(i int) string { return fmt.Sprintf("b-%d-%03d-%d", client, batch, i) }
	receive := func(text string, n int) int {
		_, _ = conn.Write([]byte(text)) // a connection that has ended shows in the answers
		answers := m.readAnswers(conn, n, 2*brokenTimeout, true)
		for _, got := range answers {
			answered.Store(got.id, got.complete)
		}
		return len(answers)
	}
	receive(request(http.MethodGet, "/lookup/1", id(0), brokenTimeout), 1)
	text := request(http.MethodGet, "/archive/1", id(1), brokenTimeout)
	for i := range brokenBehind {
		text += request(http.MethodGet, "/lookup/1", id(i+2), brokenTimeout)
	}
	if n := receive(text, brokenBehind+1); n <= brokenBehind {
		m.record.printf("client %d: the connection ended after %d answers of batch %d", client, n, batch)
	}
}

// countLost counts the requests that a sound upstream ran and that have no answer.
func (m *mesh) countLost(answered *sync.Map) (broken string) {
	lost := 0
	for _, a := range m.machines[brokenArchives:] {
		for _, arrived := range a.upstream.arrived() {
			if complete, ok := answered.Load(arrived.id); !ok || complete != true {
				lost++
				m.record.printf("%s ran %s, which has no answer", a.name, arrived.id)
			}
		}
	}
	m.record.printf("%d requests were passed on to a sound upstream and have no answer", lost)
	if lost > maxLost {
		return fmt.Sprintf("LOST: %d requests were passed on to a sound upstream, and their connection was closed without an answer", lost)
	}
	return ""
}
