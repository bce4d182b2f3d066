package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = playForeign }

const (
	foreignTime     = 5 * time.Second
	foreignInterval = 4 * time.Millisecond
	foreignTimeout  = 2 * time.Second
	// foreignEach is the number of answers of the faulty upstream of which it sends one again: a part of 0.03 at most.
	foreignEach = 34
	// foreignFaulty of foreignUpstreams upstreams are faulty: a part of 0.6.
	foreignUpstreams = 5
	foreignFaulty    = 3
	foreignWork      = 20 * time.Millisecond
)

// playForeign lets one client send requests as the pages say, and another one requests without an id. Some upstreams send some of
// their answers a second time, when the next request on the connection has come.
func playForeign(m *mesh, trouble bool) (string, error) {
	routes := []route{{"r-lookup", "/lookup/", "idempotent", "lookups", foreignTimeout}}
	if err := m.writeConfiguration(7, routes, []string{"lookups"}); err != nil {
		return "", err
	}
	for i := range foreignUpstreams {
		a, err := m.addMachine("lookups")
		if err != nil {
			return "", err
		}
		if err := a.upstream.serveRaw(trouble && i < foreignFaulty); err != nil {
			return "", err
		}
	}
	if err := m.startAll(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), foreignTime)
	defer cancel()
	var clients sync.WaitGroup
	var foreign atomic.Int64
	clients.Go(func() { m.machines[3].sendPrivate(ctx, true, &foreign) })
	clients.Go(func() { m.machines[4].sendPrivate(ctx, false, &foreign) })
	clients.Wait()
	m.record.printf("%d answers went to a client to whose request they do not belong", foreign.Load())
	if n := foreign.Load(); n > 0 {
		return fmt.Sprintf("MIXED: %d times a client got the answer to a request of another client", n), nil
	}
	return "", nil
}

// sendPrivate sends requests until ctx ends, with an id or without one. It counts the answers that belong to other requests.
func (a *machine) sendPrivate(ctx context.Context, withID bool, foreign *atomic.Int64) {
	client := &http.Client{Timeout: 2 * foreignTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		id := ""
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/lookup/%d", a.ip, portOutbound, i), nil)
		if err != nil {
			return
		}
		r.Host = host
		r.Header.Set(headerDeadline, strconv.FormatInt(foreignTimeout.Milliseconds(), 10))
		if withID {
			id = fmt.Sprintf("p-%04d", i)
			r.Header.Set(headerRequestID, id)
		}
		running.Go(func() { a.receivePrivate(client, r, id, foreign) })
		time.Sleep(foreignInterval)
	}
}

func (a *machine) receivePrivate(client *http.Client, r *http.Request, id string, foreign *atomic.Int64) {
	response, err := client.Do(r)
	if err != nil {
		return
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	stamp := response.Header.Get(headerStamp)
	if stamp == "" || id != "" && stamp == "stamp."+id {
		return
	}
	foreign.Add(1)
	a.mesh.record.printf("client asked for %s with the id %q and gets %d, stamp %q, body %q", r.URL.Path, id, response.StatusCode, stamp, body)
}

// serveRaw replaces the server of the upstream by one that writes its answers itself. A faulty one sends one answer in foreignEach again.
func (u *upstream) serveRaw(faulty bool) error {
	_ = u.server.Close() // it may not serve yet
	_ = u.listener.Close()
	listener, err := net.Listen("tcp", net.JoinHostPort(u.machine.ip, strconv.Itoa(portTarget)))
	if err != nil {
		return err
	}
	u.listener = listener
	var answered atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go u.answerRaw(conn, faulty, &answered)
			}
		}
	}()
	return nil
}

func (u *upstream) answerRaw(conn net.Conn, faulty bool, answered *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	again := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(headerRequestID)
		if again != "" {
			u.machine.mesh.record.printf("%s: the upstream sends an earlier answer again, on a request with the id %q", u.machine.name, id)
		}
		text := u.answerText(r, id)
		if again == "" {
			time.Sleep(foreignWork)
		}
		if _, err := io.WriteString(conn, again+text); err != nil {
			return
		}
		again = ""
		if faulty && id != "" && answered.Add(1)%foreignEach == 0 {
			again = text
		}
	}
}

// answerText returns the answer to a request: 400 and not executed without an id.
func (u *upstream) answerText(r *http.Request, id string) string {
	body, status, fields := "private answer to "+id, "200 OK", headerStamp+": stamp."+id+"\r\n"
	switch {
	case r.URL.Path == healthPath:
		body, fields = "", headerInstance+": "+u.instance+"\r\n"
	case id == "":
		body, status, fields = "", "400 Bad Request", headerNotExecuted+": 1\r\n"
	case r.Header.Get(headerExpectInstance) != u.instance:
		body, status, fields = "", "421 Misdirected Request", ""
	}
	if id != "" {
		fields += headerRequestID + ": " + id + "\r\n"
	}
	return "HTTP/1.1 " + status + "\r\n" + fields + fmt.Sprintf("%s: 0,0,%d\r\nContent-Length: %d\r\n\r\n", headerLoad, slots, len(body)) +
		body
}
