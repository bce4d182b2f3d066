package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/process/processtest"
	"sniperail.example/sniperail/platform/standin"
)

func TestMain(m *testing.M) { processtest.Main(m, main) }

const (
	configuration = `{"version":"r1","resources":[
 {"resource_type":"routes","metadata":{"name":"a"},"spec":{"host":"h.example","prefix":"/a/","kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":500,"service":"s","max_attempts":1}},
 {"resource_type":"services","metadata":{"name":"s"},"spec":{"max_connections":10}}]}`
	// holdTime is the time for which a request must survive repeated signals before its target answers.
	holdTime = 400 * time.Millisecond
	// pollInterval and pollTimeout are for conditions that other processes bring about.
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 30 * time.Second
)

// daemonProcess is a process of this program with the stand-ins around it.
type daemonProcess struct {
	*processtest.Process
	t       *testing.T
	ingress string
	control string
	target  *heldTarget
}

// heldTarget is a target that holds requests to /a/held until answer is called.
type heldTarget struct {
	address string
	arrived chan struct{}
	answer  func()
	// call is what a held request to /a/calls calls before its answer, and called the status that it got, 0 for none.
	call   func() int
	called chan int
}

func startTarget(t *testing.T) *heldTarget {
	release := make(chan struct{})
	target := &heldTarget{arrived: make(chan struct{}, 1), answer: sync.OnceFunc(func() { close(release) }), called: make(chan int, 1)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Sniperail-Request-Id", r.Header.Get("X-Sniperail-Request-Id"))
		if r.URL.Path == "/a/held" || r.URL.Path == "/a/calls" {
			target.arrived <- struct{}{}
			<-release
		}
		if r.URL.Path == "/a/calls" {
			target.called <- target.call()
		}
		if r.URL.Path == "/a/long" {
			_, _ = w.Write(bytes.Repeat([]byte("a"), longResponse)) // fails only if the caller has disconnected
			return
		}
		_, _ = fmt.Fprint(w, "answer to "+r.URL.Path) // fails only if the caller has disconnected
	}))
	t.Cleanup(func() {
		target.answer()
		server.Close()
	})
	target.address = server.Listener.Addr().String()
	return target
}

func startDaemon(t *testing.T, environment ...string) *daemonProcess {
	t.Helper()
	return startDaemonWithGrace(t, "20s", environment...)
}

func startDaemonWithGrace(t *testing.T, grace string, environment ...string) *daemonProcess {
	t.Helper()
	store := standin.New()
	t.Cleanup(store.Close)
	store.Put("op/config", configuration)
	server := httptest.NewServer(store.Handler("d"))
	t.Cleanup(server.Close)
	d := &daemonProcess{t: t, ingress: processtest.Address(), control: processtest.Address(), target: startTarget(t)}
	d.Process = processtest.StartWithEnvironment(t, environment, "--id=d", "--data-centre=dc", "--region=r", "--service=s", "--target="+d.target.address,
		"--ingress="+d.ingress, "--admission="+processtest.Address(), "--control="+d.control, "--ready="+processtest.Address(),
		"--peer="+processtest.Address(), "--platform="+server.URL, "--grace="+grace, "--min-lease=1s")
	return d
}

// serve reports the target as ready and waits until a request succeeds.
func (d *daemonProcess) serve() {
	d.t.Helper()
	report := fmt.Sprintf(`{"service":"s","address":%q,"zone":"dc","version":"v1","slots":4,"state":"ready","warmup_left_ms":0,"seq":1,"born":1}`,
		d.target.address)
	for end := time.Now().Add(pollTimeout); ; {
		if d.send(http.MethodPut, "http://"+d.control+"/api/instances/i-d", report) == http.StatusOK &&
			d.send(http.MethodPost, "http://"+d.ingress+"/a/x", "") == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			d.t.Fatal("the daemon does not serve")
		}
		<-time.After(pollInterval)
	}
}

// send returns the status of the response, or 0 if there is none.
func (d *daemonProcess) send(method, url, body string) int {
	r, err := http.NewRequestWithContext(d.t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Sniperail-Request-Id", "q")
	r.Header.Set("X-Sniperail-Deadline-Ms", "20000")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a drain that repeated signals cut short: callers lost the answers of requests that a target was executing.
func TestRepeatedSignalsCutNoRequest(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	d.serve()
	status := make(chan int, 1)
	go func() { status <- d.send(http.MethodPost, "http://"+d.ingress+"/a/held", "") }()
	<-d.target.arrived

	d.Signal(syscall.SIGTERM)
	d.AwaitLine("event=stopping")
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
		d.Signal(s)
	}
	select {
	case <-status:
		t.Fatal("the request ended before its target answered")
	case <-time.After(holdTime):
	}
	d.target.answer()
	is.Equal(<-status, http.StatusOK)
	is.Equal(d.AwaitExit(), 0)
	is.True(d.HasLine("event=stopped"))
	is.True(!d.HasLine("event=stopping-cuts"))
}

// hangupStarts is the number of starts that get a SIGHUP. The moment in which one can end the process is short.
const hangupStarts = 30

// Guards against a SIGHUP that ends the process because it comes when the process listens and does not handle signals yet.
func TestHangupRightAfterTheStartDoesNotEndTheProcess(t *testing.T) {
	for range hangupStarts {
		// With one thread, the goroutines that a start leaves for later start late.
		d := startDaemon(t, "GOMAXPROCS=1")
		d.awaitListener()
		d.Signal(syscall.SIGHUP)
		d.AwaitLine("event=signal", "signal=hangup")
		d.Kill()
	}
}

// awaitListener waits until the ingress accepts connections.
func (d *daemonProcess) awaitListener() {
	d.t.Helper()
	for end := time.Now().Add(pollTimeout); ; <-time.After(time.Millisecond) {
		if conn, err := net.Dial("tcp", d.ingress); err == nil {
			_ = conn.Close()
			return
		}
		if time.Now().After(end) {
			d.t.Fatal("the process does not listen")
		}
	}
}
