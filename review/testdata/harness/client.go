package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a caller got for one request.
type answer struct {
	status    int
	id, stamp string
	bodyBytes int
	// closes says that the connection ends with this answer.
	closes bool
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, id %q, stamp %q, %d body bytes", a.status, a.id, a.stamp, a.bodyBytes)
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, length int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Sniperail-Deadline-Ms: %d\r\n",
		method, path, mapHost, headerID, id, deadline.Milliseconds())
	if length > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

// dial connects a caller to the daemon on its machine.
func (n *node) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", n.w.address(n.host, portOutbound), time.Second)
}

// readAnswer reads one answer.
func readAnswer(conn net.Conn, reader *bufio.Reader, limit time.Duration) answer {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	n, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return answer{response.StatusCode, response.Header.Get(headerID), response.Header.Get(headerStamp), int(n), response.Close, err}
}

// call sends one request on a connection of its own.
func (n *node) call(method, path, id string, deadline time.Duration) answer {
	n.w.logf("sent %s by a caller on %s: %s %s", id, n.name, method, path)
	got := n.exchange(method, path, id, deadline)
	n.w.logf("result of %s: %v", id, got)
	return got
}

func (n *node) exchange(method, path, id string, deadline time.Duration) answer {
	conn, err := n.dial()
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, head(method, path, id, deadline, 0)); err != nil {
		return answer{err: err}
	}
	return readAnswer(conn, bufio.NewReader(conn), deadline+2*time.Second)
}
