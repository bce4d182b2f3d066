package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// uploadBytes is the length of the upload, blockBytes that of each request text in it.
	uploadBytes = 256 << 10
	blockBytes  = 256
)

// innerRequest returns the text of one recorded request of blockBytes bytes.
func innerRequest(i int) string {
	start := fmt.Sprintf("POST /rec1/a HTTP/1.1\r\nHost: %s\r\n%s: inner-%04d\r\nX-Sniperail-Deadline-Ms: 2000\r\nX-Note: ", mapHost, headerID, i)
	return start + strings.Repeat("n", blockBytes-len(start)-4) + "\r\n\r\n"
}

// playSmuggled sends an upload whose content is a record of requests, on a route that the operator has removed or, without the
// disruption, has kept. No caller sends the requests in the upload.
func playSmuggled(w *world, trouble bool) (bool, error) {
	for _, service := range []string{"records", "records", "files", "lookups"} {
		if _, err := w.addNode(service); err != nil {
			return false, err
		}
	}
	services := []string{"records", "files", "lookups"}
	records := route("records", "/rec1/", "non_idempotent", "records", 2000, 600)
	files := route("files", "/up9/", "non_idempotent", "files", 4000, 1000)
	w.writeConfiguration(1, services, records, files)
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	client := w.nodes[3]
	for i := range 3 {
		if got := client.call("POST", "/rec1/first", fmt.Sprintf("first-%d", i), 2*time.Second); got.status != 200 {
			return false, fmt.Errorf("the deployment does not serve: %v", got)
		}
	}
	if trouble {
		w.writeConfiguration(2, services, records)
		time.Sleep(applyTime + time.Second)
	}
	var recorded strings.Builder
	for i := range uploadBytes / blockBytes {
		recorded.WriteString(innerRequest(i))
	}
	if err := w.upload(client, "1", recorded.String()); err != nil {
		return false, err
	}
	// Not judged: an upload without any request text, to show what the next request on the connection is answered.
	if err := w.upload(client, "2", strings.Repeat("x", uploadBytes)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	smuggled := 0
	for _, r := range w.allRuns() {
		if strings.HasPrefix(r.id, "inner-") {
			smuggled++
		}
	}
	w.logf("requests that no caller sent and that a target ran: %d", smuggled)
	return smuggled > 0, nil
}

// upload sends an upload and then a request of its own on the same connection, and logs the answers.
func (w *world) upload(client *node, name, body string) error {
	conn, err := client.dial()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	w.logf("sent upload-%s: POST /up9/x with %d body bytes", name, len(body))
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, head("POST", "/up9/x", "upload-"+name, 4*time.Second, len(body))+body)
		written <- err
	}()
	reader := bufio.NewReader(conn)
	w.logf("result of upload-%s: %v", name, readAnswer(conn, reader, 6*time.Second))
	if err := <-written; err != nil {
		w.logf("upload-%s could not be written to its end: %v", name, err)
		return nil
	}
	w.logf("sent next-%s on the same connection: POST /rec1/next", name)
	if _, err := io.WriteString(conn, head("POST", "/rec1/next", "next-"+name, 2*time.Second, 0)); err != nil {
		w.logf("next-%s could not be written: %v", name, err)
		return nil
	}
	w.logf("result of next-%s: %v", name, readAnswer(conn, reader, 4*time.Second))
	return nil
}
