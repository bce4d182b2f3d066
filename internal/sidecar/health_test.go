package sidecar_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/sidecar"
	"sniperail.example/sniperail/internal/traffic"
)

// maxHeadKept bounds what a target can write of an endless head before its connection is closed: the limit of a head, and what the
// sockets of both ends hold.
const maxHeadKept = 4 << 20

// Guards against a health check that keeps the head of a response without end until the process exceeds its memory, on both
// daemons.
func TestHealthChecksCutEndlessHeads(t *testing.T) {
	is := is.New(t)
	target := startEndlessTarget(t, "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n")
	is.Equal(sidecar.CheckHealth(t.Context(), target.address), model.InstanceID(""))
	is.True(<-target.written <= maxHeadKept)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	probe := traffic.NewProbe(traffic.ProbeOptions{Address: target.address, HealthPath: "/health", OnChange: func(model.TargetState) {}})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		probe.Run(ctx)
	}()
	// The probe dials the target, which says nothing, before it requests the health path.
	is.True(<-target.written <= maxHeadKept)
	is.True(<-target.written <= maxHeadKept)
	cancel()
	<-ended
}

// Guards against a status line that is no status and is taken for the answer of a healthy target.
func TestHealthChecksNeedStatus200(t *testing.T) {
	is := is.New(t)
	for code, run := range map[string]model.InstanceID{"200": "i", "000": "", "007": "", "099": "", "600": "", "999": "", "2000": "", "20": ""} {
		target := startEndlessTarget(t, "HTTP/1.1 "+code+" Odd\r\nX-Instance: i\r\nContent-Length: 9\r\n\r\n", "whole")
		is.Equal(sidecar.CheckHealth(t.Context(), target.address), run)
	}
}

// endlessTarget is a listener that writes an endless response on each connection.
type endlessTarget struct {
	address string
	// written receives the number of bytes that were written on each connection until it was closed.
	written chan int
}

// startEndlessTarget starts a target that writes start and then filler, again and again, once it has received a request. The test stops it.
func startEndlessTarget(t *testing.T, start, filler string) *endlessTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &endlessTarget{address: listener.Addr().String(), written: make(chan int, 100)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { target.written <- writeEndlessly(conn, start, strings.Repeat(filler, 1000)) }()
		}
	}()
	return target
}

// writeEndlessly reads the beginning of a request and writes until the connection is closed. It returns the number of bytes written.
func writeEndlessly(conn net.Conn, start, filler string) int {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0
	}
	written, err := io.WriteString(conn, start)
	for err == nil {
		var n int
		n, err = io.WriteString(conn, filler)
		written += n
	}
	return written
}
