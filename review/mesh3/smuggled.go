package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["smuggled"] = playSmuggled }

// playSmuggled sends a request whose head has a space before the colon of its length. Its body contains the text of another request.
func playSmuggled(m *mesh, trouble bool) (string, error) {
	routes := []route{
		{"r-lookup", "/lookup/", "idempotent", "lookups", 3 * time.Second},
		{"r-record", "/record/", "non_idempotent", "lookups", 3 * time.Second},
	}
	if err := m.writeConfiguration(7, routes, []string{"lookups"}); err != nil {
		return "", err
	}
	for range 2 {
		if _, err := m.addMachine("lookups"); err != nil {
			return "", err
		}
	}
	if err := m.startAll(); err != nil {
		return "", err
	}
	inner := "DELETE /record/7 HTTP/1.1\r\nHost: " + host + "\r\n" + headerRequestID + ": never-sent\r\n" + headerDeadline + ": 3000\r\n\r\n"
	colon := ":"
	if trouble {
		colon = " :"
	}
	outer := "POST /record/1 HTTP/1.1\r\nHost: " + host + "\r\n" + headerRequestID + ": outer\r\n" + headerDeadline + ": 3000\r\n" +
		fmt.Sprintf("Content-Length%s %d\r\n\r\n", colon, len(inner)) + inner
	conn, err := m.machines[0].dialOutbound()
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	m.record.printf("client sends on one connection: %q", outer)
	if _, err := conn.Write([]byte(outer)); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			m.record.printf("client reads no further answer: %v", err)
			break
		}
		_ = response.Body.Close()
		m.record.printf("client gets %s for %q", response.Status, response.Header.Get(headerRequestID))
	}
	for _, a := range m.machines {
		for _, arrived := range a.upstream.arrived() {
			if strings.HasPrefix(arrived.line, "DELETE") {
				return fmt.Sprintf("UNASKED: %s ran %q, request id %q, which stood in the body of another request", a.name, arrived.line, arrived.id), nil
			}
		}
	}
	return "", nil
}
