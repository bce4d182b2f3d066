package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/client"
	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/configfile"
	"sniperail.example/sniperail/internal/process/processtest"
	"sniperail.example/sniperail/internal/standin/platform"
)

func TestMain(m *testing.M) { processtest.Main(m, main) }

const (
	// holdTime is the time for which a request must survive repeated signals before its target answers.
	holdTime = 400 * time.Millisecond
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

// post returns the status of the response, or 0 if there is none.
func post(t *testing.T, url string) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, http.NoBody)
	if err != nil {
		panic(err)
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
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

// Guards against a drain that repeated signals cut short: callers lost the answers of requests that a target was executing.
func TestRepeatedSignalsCutNoRequest(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	p, ingress, api := startDaemon(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/a/held" {
			arrived <- struct{}{}
			<-release
		}
		_, _ = fmt.Fprint(w, "answer") // fails only if the caller has disconnected
	}))
	answer := sync.OnceFunc(func() { close(release) })
	t.Cleanup(answer)
	confirmMesh(t, api)
	poll(t, "the daemon does not serve", func() bool { return post(t, "http://"+ingress+"/a/x") == http.StatusOK })
	status := make(chan int, 1)
	go func() { status <- post(t, "http://"+ingress+"/a/held") }()
	<-arrived

	p.Signal(syscall.SIGHUP)
	p.Signal(syscall.SIGTERM)
	p.AwaitLine("event=draining")
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
		p.Signal(s)
	}
	select {
	case <-status:
		t.Fatal("the request ended before its target answered")
	case <-time.After(holdTime):
	}
	answer()
	is.Equal(<-status, http.StatusOK)
	is.Equal(p.AwaitExit(), 0)
	is.True(p.HasLine("event=drained"))
	is.True(!p.HasLine("event=stopping-cuts"))
}
