package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// uploaders is the number of callers that upload; each sends uploadsEach uploads of pieces*pieceBytes bytes, a piece each
	// pieceEvery, and each upload on a connection of its own.
	uploaders   = 300
	uploadsEach = 4
	// readers is the number of callers on each machine that send short requests meanwhile.
	readers    = 4
	pieces     = 11
	pieceBytes = 5900
	pieceEvery = 220 * time.Millisecond
	// usualTimeout and shortTimeout are the time-outs of the route of the uploads before and after the change.
	usualTimeout = 4000
	shortTimeout = 1000
	// lookupTimeout is the time-out of the route of the requests that follow the uploads on their connections.
	lookupTimeout = 1500 * time.Millisecond
	// answerSlack is the time after a route's time-out within which a request needs an answer, minUnanswered the number without
	// one from which the rule is broken.
	answerSlack   = 500 * time.Millisecond
	minUnanswered = 8
)

// playSwallowed sends uploads that take 2.4 s on kept connections, and then a short request on each. With the disruption, the
// operator has lowered the time-out of the uploads' route before.
func playSwallowed(w *world, trouble bool) (bool, error) {
	for _, service := range []string{"files", "lookups", "lookups", "records"} {
		if _, err := w.addNode(service); err != nil {
			return false, err
		}
	}
	services := []string{"files", "lookups", "records"}
	lookups := route("lookups", "/look2/", "idempotent", "lookups", int(lookupTimeout.Milliseconds()), 500)
	w.writeConfiguration(1, services, lookups, route("files", "/up9/", "non_idempotent", "files", usualTimeout, 900))
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.writeConfiguration(2, services, lookups, route("files", "/up9/", "non_idempotent", "files", shortTimeout, 900))
	}
	time.Sleep(applyTime + time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	late, unanswered, followed := 0, 0, 0
	count := func(took time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		followed++
		if took > lookupTimeout {
			late++
		}
		if took > lookupTimeout+answerSlack {
			unanswered++
		}
	}
	for i := range uploaders {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			for k := range uploadsEach {
				if took, ok := w.uploadAndLookUp(w.nodes[i%len(w.nodes)], i*uploadsEach+k); ok {
					count(took)
				}
			}
		})
	}
	stop := make(chan struct{})
	var background sync.WaitGroup
	for i := range readers * len(w.nodes) {
		background.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				sent := time.Now()
				_ = w.nodes[i%len(w.nodes)].call("GET", "/look2/a", fmt.Sprintf("reader-%d-%d", i, k), 8*time.Second)
				count(time.Since(sent))
			}
		})
	}
	group.Wait()
	close(stop)
	background.Wait()
	w.logf("short requests: %d; still unanswered at their route's time-out: %d; of these %s later: %d",
		followed, late, answerSlack, unanswered)
	return unanswered >= minUnanswered && 2*unanswered > late, nil
}

// uploadAndLookUp sends an upload in pieces and, if the connection is kept, a short request. It returns the time until the answer to
// that request, and false if the connection was not kept.
func (w *world) uploadAndLookUp(n *node, i int) (time.Duration, bool) {
	conn, err := n.dial()
	if err != nil {
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	id := fmt.Sprintf("upload-%d", i)
	w.logf("sent %s by a caller on %s: POST /up9/a, %d body bytes in %d pieces", id, n.name, pieces*pieceBytes, pieces)
	if err := sendPieces(conn, head("POST", "/up9/a", id, 8*time.Second, pieces*pieceBytes)); err != nil {
		w.logf("caller on %s, %s: %v", n.name, id, err)
		return 0, false
	}
	got := readAnswer(conn, reader, 8*time.Second)
	w.logf("result of %s: %v", id, got)
	if got.err != nil || got.closes {
		return 0, false
	}
	time.Sleep(500 * time.Millisecond)
	id = fmt.Sprintf("lookup-%d", i)
	sent := time.Now()
	w.logf("sent %s on the same connection: GET /look2/a", id)
	if _, err := io.WriteString(conn, head("GET", "/look2/a", id, 8*time.Second, 0)); err != nil {
		w.logf("caller on %s, %s: %v", n.name, id, err)
		return 0, false
	}
	got = readAnswer(conn, reader, 4*time.Second)
	took := time.Since(sent)
	w.logf("result of %s: %v after %v", id, got, took.Round(time.Millisecond))
	return took, true
}

// sendPieces sends a head and a body in pieces.
func sendPieces(conn net.Conn, head string) error {
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	for range pieces {
		if _, err := conn.Write(bytes.Repeat([]byte{'b'}, pieceBytes)); err != nil {
			return err
		}
		time.Sleep(pieceEvery)
	}
	return nil
}
