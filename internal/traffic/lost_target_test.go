package traffic_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/traffic"
)

// unresponsiveDaemon is a daemon that accepts connections and never answers, such as one stopped by SIGSTOP. It reports the
// first bytes of each request.
type unresponsiveDaemon struct {
	listener net.Listener
	arrived  chan string
	wg       sync.WaitGroup
}

func startUnresponsiveDaemon(t *testing.T) *unresponsiveDaemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	daemon := &unresponsiveDaemon{listener: listener, arrived: make(chan string, 10)}
	daemon.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			daemon.wg.Go(func() {
				defer func() { _ = conn.Close() }()
				first := make([]byte, 4)
				if _, err := io.ReadFull(conn, first); err != nil {
					return
				}
				daemon.arrived <- string(first)
				_, _ = io.Copy(io.Discard, conn) // ends when the ingress closes the connection
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		daemon.wg.Wait()
	})
	return daemon
}

// newMeshWithUnresponsiveDaemon returns a mesh in which each call is sent to the unresponsive daemon first, and runs its
// ingress.
func newMeshWithUnresponsiveDaemon(t *testing.T) (*mesh, *unresponsiveDaemon) {
	t.Helper()
	m := newMesh(t, nil, okHandler)
	m.fillRetryBudget(40)
	daemon := startUnresponsiveDaemon(t)
	m.updateView(func(v *model.View) {
		target := v.Targets[0]
		target.Daemon, target.Address, target.Incarnation = "frozen", daemon.listener.Addr().String(), 1
		v.Targets[0].DataCentre = "b" // the local data centre is preferred
		v.Targets = append(v.Targets, target)
	})
	m.runIngress()
	return m, daemon
}

// targetLosses holds the changes of a table that show that a target is lost.
var targetLosses = map[string]func(v *model.View){
	"silent":      func(v *model.View) { v.Targets[1].State = model.TargetSilent },
	"gone":        func(v *model.View) { v.Targets = v.Targets[:1] },
	"incarnation": func(v *model.View) { v.Targets[1].Incarnation, v.Targets[1].State = 2, model.TargetStarting },
	"draining, then silent": func(v *model.View) {
		v.Targets[1].State = model.TargetSilent
	},
}

// Guards against calls that wait until their deadline for a target that the table shows as lost: idempotent calls are
// retried at another target; others and nested ones are refused with an unknown outcome.
func TestLostTargetCancelsCalls(t *testing.T) {
	for name, change := range targetLosses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, daemon := newMeshWithUnresponsiveDaemon(t)
			var get, post, nested callResult
			var calls sync.WaitGroup
			calls.Go(func() { get = m.call("GET", "/a", "") })
			calls.Go(func() { post = m.call("POST", "/a", "body") })
			calls.Go(func() { nested = m.call("GET", "/n", "", traffic.HeaderAttempt, "1") })
			for range 3 {
				<-daemon.arrived
			}
			if strings.HasPrefix(name, "draining") {
				m.updateView(func(v *model.View) { v.Targets[1].State = model.TargetDraining })
				is.Equal(m.call("GET", "/a", "").status, 200) // the ingress applies the table
				waitUntil(func() bool { return m.ingress.InFlight() == 3 })
			}
			m.updateView(change)
			calls.Wait()
			is.Equal(get.status, 200)
			is.Equal(get.body, "ok /a ")
			for _, a := range []callResult{post, nested} {
				is.Equal(a.status, http.StatusBadGateway)
				is.Equal(a.refusal, "target-lost")
				is.Equal(a.executed, "unknown")
			}
			is.True(strings.Contains(m.scrape(), `sniperail_retries_total{reason="target-lost"} 1`))
			is.True(strings.Contains(m.scrape(), `sniperail_retries_refused_total{reason="nested"} 1`))
		})
	}
}

// Guards against calls in flight that are cancelled because their target drains, restarts or is down without being silent,
// or because its version is removed from the configuration.
func TestDrainingTargetFinishesCalls(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(arrived)
			<-release
		}
		okHandler(w, r)
	}, okHandler)
	m.updateView(func(v *model.View) { v.Targets[1].DataCentre = "b" })
	var calls sync.WaitGroup
	calls.Go(func() { is.Equal(m.call("POST", "/slow", "x").body, "ok /slow x") })
	<-arrived
	for _, state := range []model.TargetState{model.TargetDraining, model.TargetDown, model.TargetReady, model.TargetStarting} {
		m.updateView(func(v *model.View) { v.Targets[0].State = state })
		is.Equal(m.call("GET", "/a", "").status, 200) // the ingress applies the table
	}
	m.updateView(func(v *model.View) {
		v.Targets[0].State = model.TargetReady
		v.Targets[1].Version = "v2"
		v.Configuration.Services = []model.Service{{Name: "s", Versions: []model.VersionShare{{Version: "v2", Share: model.FullShare}}}}
		v.Targets = v.Targets[1:]
	})
	is.Equal(m.call("GET", "/a", "").refusal, "wrong-target") // the ingress applies the table
	close(release)
	calls.Wait()
}

// Guards against a streamed response of a lost target that looks complete to the caller.
func TestLostTargetAbortsResponse(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	m := newMesh(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "begin")
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-release
	})
	defer close(release)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { m.ingress.Run(ctx) })
	defer running.Wait()
	defer cancel()
	var calls sync.WaitGroup
	var a callResult
	calls.Go(func() { a = m.call("GET", "/a", "") })
	<-begun
	m.updateView(func(v *model.View) { v.Targets[0].State = model.TargetSilent })
	calls.Wait()
	is.True(a.err != nil)
	is.Equal(a.body, "begin")
}

// Guards against calls to a new target that are cancelled because a request was accepted with an older table, which does not
// list the target.
func TestOlderTableCancelsNoCalls(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, okHandler)
	older := routing.NewTable(&model.View{Ready: true})
	is.True(!traffic.LostAfterOlderTable(m, older, time.Now()))
}

// Guards against idempotent calls that wait until their deadline for a daemon that has been suspended while the roster still
// shows it as ready. Found by scripts/faults.sh: 11 of 4,580 calls ended with deadline-exceeded.
func TestStalledTargetCancelsCalls(t *testing.T) {
	is := is.New(t)
	var stopped atomic.Bool
	arrived, release := make(chan string, 10), make(chan struct{})
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if stopped.Load() {
			arrived <- r.Method
			<-release
		}
		okHandler(w, r)
	}, okHandler)
	t.Cleanup(func() { close(release) })
	m.fillRetryBudget(40)
	m.updateView(func(v *model.View) { v.Targets[1].DataCentre = "b" }) // the local data centre is preferred
	m.fillRetryBudget(1)
	m.runIngress()
	stopped.Store(true)
	a := m.call("GET", "/a", "", traffic.HeaderDeadline, "9000")
	is.Equal(a.status, http.StatusOK) // the other target answered
	is.Equal(<-arrived, "GET")
	is.True(strings.Contains(m.scrape(), `sniperail_retries_total{reason="target-stalled"} 1`))
}
