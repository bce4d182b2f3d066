package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request returns the text of a request without a body.
func request(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		method, path, host, headerRequestID, id, headerDeadline, deadline.Milliseconds())
}

// dialOutbound opens a connection to the daemon of a machine, as a client on that machine does.
func (a *machine) dialOutbound() (net.Conn, error) {
	return net.Dial("tcp", net.JoinHostPort(a.ip, strconv.Itoa(portOutbound)))
}

// answer is what a client got for one request.
type answer struct {
	id     string
	status int
	// length is the number of bytes of the body, and complete says that the body ended as its framing says.
	length   int
	complete bool
}

// readAnswers reads up to n answers from a connection until it ends or the deadline passes. With quiet, only incomplete answers and those
// without success are recorded.
func (m *mesh) readAnswers(conn net.Conn, n int, timeout time.Duration, quiet bool) []answer {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	reader := bufio.NewReader(conn)
	var answers []answer
	for range n {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			m.record.printf("client reads no further answer: %v", short(err))
			return answers
		}
		length, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		a := answer{response.Header.Get(headerRequestID), response.StatusCode, int(length), err == nil}
		answers = append(answers, a)
		if a.status != http.StatusOK || !a.complete || !quiet {
			m.record.printf("client gets status %d for %q, %d bytes, complete: %t", a.status, a.id, a.length, a.complete)
		}
	}
	return answers
}

// short returns an error without the addresses of the connection.
func short(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		return text[i+2:]
	}
	return text
}
