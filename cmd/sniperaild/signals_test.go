package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"sniperail.example/sniperail/internal/client"
	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/configfile"
	"sniperail.example/sniperail/internal/process/processtest"
	"sniperail.example/sniperail/internal/standin/platform"
)

func TestMain(m *testing.M) { processtest.Main(m, main) }

const (
	// pollInterval and pollTimeout are for conditions that other processes bring about.
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 30 * time.Second
)

const mesh = `services:
  - {name: s, customer: most-mladych, versions: [{version: v1, share: 100}]}
routes:
  - {name: a, service: s, pathPrefix: /a, methods: [POST], timeoutMs: 20000}
`

// startDaemon starts a process with a target, and returns it with its ingress and API addresses.
func startDaemon(t *testing.T, target http.Handler) (p *processtest.Process, ingress, api string) {
	t.Helper()
	targetServer := httptest.NewServer(target)
	t.Cleanup(targetServer.Close)
	ctx, cancel := context.WithCancel(context.Background())
	store := platform.Start(ctx, platform.Limits{})
	t.Cleanup(func() {
		cancel()
		<-store.Stopped()
	})
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(storeServer.Close)
	ingress, api = processtest.Address(), processtest.Address()
	p = processtest.Start(t, "--id=d", "--data-centre=dc", "--region=r", "--service=s", "--version=v1",
		"--target="+targetServer.Listener.Addr().String(), "--ingress="+ingress, "--admission="+processtest.Address(),
		"--peer="+processtest.Address(), "--api="+api, "--platform="+storeServer.URL)
	return p, ingress, api
}

// poll waits until a condition holds.
func poll(t *testing.T, failure string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(pollTimeout); !met(); <-time.After(pollInterval) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// confirmMesh declares and confirms the mesh.
func confirmMesh(t *testing.T, api string) {
	t.Helper()
	declaration, err := configfile.Decode([]configfile.Source{{Name: "mesh.yaml", Content: []byte(mesh)}}, configfile.Options{Now: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	c := client.New([]string{api}, "test", time.Second)
	poll(t, "the mesh cannot be confirmed", func() bool {
		outcome, err := c.Command(t.Context(), "declare",
			configuration.Declare{Change: declaration.Change, Intents: declaration.Intents})
		if err != nil || len(outcome.Plans) == 0 {
			return false
		}
		_, err = c.Command(t.Context(), "confirm", configuration.Confirm{Plan: outcome.Plans[0].ID})
		return err == nil
	})
}

// Guards against a SIGHUP that ends the process: callers lost the answers of requests that a target was executing.
func TestHangupDoesNotEndTheProcess(t *testing.T) {
	p, _, api := startDaemon(t, http.NotFoundHandler())
	confirmMesh(t, api)
	p.Signal(syscall.SIGHUP)
	p.AwaitLine("event=signal", "signal=hangup")
	p.Signal(syscall.SIGTERM)
	p.AwaitLine("event=draining")
}
