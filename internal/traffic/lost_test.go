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

// frozen is a daemon that accepts connections and never answers, such as one stopped by SIGSTOP. It reports the first
// bytes of each request.
type frozen struct {
	listener net.Listener
	arrived  chan string
	wg       sync.WaitGroup
}

func newFrozen(t *testing.T) *frozen {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &frozen{listener: listener, arrived: make(chan string, 10)}
	f.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.wg.Go(func() {
				defer func() { _ = conn.Close() }()
				first := make([]byte, 4)
				if _, err := io.ReadFull(conn, first); err != nil {
					return
				}
				f.arrived <- string(first)
				_, _ = io.Copy(io.Discard, conn) // ends when the ingress closes the connection
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		f.wg.Wait()
	})
	return f
}

// withFrozen returns a mesh whose table gives each call to the frozen target first, and runs its ingress.
func withFrozen(t *testing.T) (*mesh, *frozen) {
	t.Helper()
	m := newMesh(t, nil, ok)
	m.earn(40)
	f := newFrozen(t)
	m.change(func(v *model.View) {
		target := v.Targets[0]
		target.Daemon, target.Address, target.Incarnation = "frozen", f.listener.Addr().String(), 1
		v.Targets[0].DataCentre = "b" // the local data centre goes first
		v.Targets = append(v.Targets, target)
	})
	m.run()
	return m, f
}

// lose are the ways in which a table shows that a target does not live any more.
var lose = map[string]func(v *model.View){
	"silent":      func(v *model.View) { v.Targets[1].State = model.TargetSilent },
	"gone":        func(v *model.View) { v.Targets = v.Targets[:1] },
	"incarnation": func(v *model.View) { v.Targets[1].Incarnation, v.Targets[1].State = 2, model.TargetStarting },
	"draining, then silent": func(v *model.View) {
		v.Targets[1].State = model.TargetSilent
	},
}

// Guards against calls that wait for their deadline at a target that the table shows as lost: idempotent calls go to
// another target, others are refused as in doubt, and nested ones too.
func TestLostTargetEndsItsCalls(t *testing.T) {
	for name, change := range lose {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, f := withFrozen(t)
			var get, post, nested answer
			var calls sync.WaitGroup
			calls.Go(func() { get = m.call("GET", "/a", "") })
			calls.Go(func() { post = m.call("POST", "/a", "body") })
			calls.Go(func() { nested = m.call("GET", "/n", "", traffic.HeaderAttempt, "1") })
			for range 3 {
				<-f.arrived
			}
			if strings.HasPrefix(name, "draining") {
				m.change(func(v *model.View) { v.Targets[1].State = model.TargetDraining })
				is.Equal(m.call("GET", "/a", "").status, 200) // the ingress follows the table
				until(func() bool { return m.ingress.InFlight() == 3 })
			}
			m.change(change)
			calls.Wait()
			is.Equal(get.status, 200)
			is.Equal(get.body, "ok /a ")
			for _, a := range []answer{post, nested} {
				is.Equal(a.status, http.StatusBadGateway)
				is.Equal(a.refusal, "target-lost")
				is.Equal(a.executed, "unknown")
			}
			is.True(strings.Contains(m.scrape(), `sniperail_retries_total{reason="target-lost"} 1`))
			is.True(strings.Contains(m.scrape(), `sniperail_retries_refused_total{reason="nested"} 1`))
		})
	}
}

// Guards against calls in flight that end because their target drains, starts again or is down without being silent, or
// because its version leaves the configuration.
func TestDrainingTargetKeepsItsCalls(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(arrived)
			<-release
		}
		ok(w, r)
	}, ok)
	m.change(func(v *model.View) { v.Targets[1].DataCentre = "b" })
	var calls sync.WaitGroup
	calls.Go(func() { is.Equal(m.call("POST", "/slow", "x").body, "ok /slow x") })
	<-arrived
	for _, state := range []model.TargetState{model.TargetDraining, model.TargetDown, model.TargetReady, model.TargetStarting} {
		m.change(func(v *model.View) { v.Targets[0].State = state })
		is.Equal(m.call("GET", "/a", "").status, 200) // the ingress follows the table
	}
	m.change(func(v *model.View) {
		v.Targets[0].State = model.TargetReady
		v.Targets[1].Version = "v2"
		v.Configuration.Services = []model.Service{{Name: "s", Versions: []model.VersionShare{{Version: "v2", Share: model.FullShare}}}}
		v.Targets = v.Targets[1:]
	})
	is.Equal(m.call("GET", "/a", "").refusal, "wrong-target") // the ingress follows the table
	close(release)
	calls.Wait()
}

// Guards against a long response of a lost target that is ended as if complete.
func TestLostTargetAbortsItsResponse(t *testing.T) {
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
	var a answer
	calls.Go(func() { a = m.call("GET", "/a", "") })
	<-begun
	m.change(func(v *model.View) { v.Targets[0].State = model.TargetSilent })
	calls.Wait()
	is.True(a.err != nil)
	is.Equal(a.body, "begin")
}

// Guards against calls to a new target that are cancelled because a request was accepted with the table before it.
func TestOlderTableLosesNothing(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, ok)
	older := routing.NewTable(&model.View{Ready: true})
	is.True(!traffic.LostAfter(m, older, time.Now()))
}

// Guards against idempotent calls that wait for their deadline beside a daemon that used to answer and was suspended,
// while the roster still shows it as ready. Found by scripts/faults.sh: 11 of 4,580 calls ended with deadline-exceeded.
func TestStalledTargetEndsItsCalls(t *testing.T) {
	is := is.New(t)
	var stopped atomic.Bool
	arrived, release := make(chan string, 10), make(chan struct{})
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if stopped.Load() {
			arrived <- r.Method
			<-release
		}
		ok(w, r)
	}, ok)
	t.Cleanup(func() { close(release) })
	m.earn(40)
	m.change(func(v *model.View) { v.Targets[1].DataCentre = "b" }) // the local data centre goes first
	m.earn(1)
	m.run()
	stopped.Store(true)
	a := m.call("GET", "/a", "", traffic.HeaderDeadline, "9000")
	is.Equal(a.status, http.StatusOK) // the other target answered
	is.Equal(<-arrived, "GET")
	is.True(strings.Contains(m.scrape(), `sniperail_retries_total{reason="target-stalled"} 1`))
}
