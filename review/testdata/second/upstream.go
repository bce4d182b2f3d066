package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerRequestID   = "X-Sniperail-Request-Id"
	headerDeadline    = "X-Sniperail-Deadline-Ms"
	headerStamp       = "X-Sniperail-Response-Stamp"
	headerExpect      = "X-Sniperail-Expect-Instance"
	headerNotExecuted = "X-Sniperail-Not-Executed"
	headerInstance    = "X-Sniperail-Instance-Id"

	heartbeatInterval = 870 * time.Millisecond
	// reportTimeout is the time in which a heartbeat must be acknowledged.
	reportTimeout = time.Second
)

// upstream is one run of the upstream of a machine.
type upstream struct {
	machine *machine
	id      string
	born    int64
	slots   int
	work    time.Duration
	server  *http.Server
	free    chan struct{}
	// workByPath holds the time of work for paths that differ from work; nil for none.
	workByPath map[string]time.Duration
	// lateBy delays the heartbeats on their way; zero while they arrive at once.
	lateBy time.Duration
	// onRun is called when a request is executed.
	onRun func(id string, at time.Time)
	// onEnd is called when the upstream has ended its work on a request.
	onEnd func(id string, at time.Time)

	// ran is when the latest request was executed, in Unix nanoseconds.
	ran atomic.Int64

	mu      sync.Mutex
	seq     int
	stopped chan struct{}
	group   sync.WaitGroup
}

// startUpstream starts a run of the upstream, without heartbeats.
func startUpstream(m *machine, id string, slots int, work time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", m.address(portApp))
	if err != nil {
		return nil, err
	}
	u := &upstream{
		machine: m, id: id, born: time.Now().UnixMilli(), slots: slots, work: work, free: make(chan struct{}, slots),
		stopped: make(chan struct{}),
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(listener) }()
	m.world.log("%s: upstream %s of %s starts, born %d", m.name, id, m.service, u.born)
	return u, nil
}

// beat sends heartbeats until the run stops.
func (u *upstream) beat() {
	u.group.Go(func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			go u.sendHeartbeat("ready")
			select {
			case <-ticker.C:
			case <-u.stopped:
				return
			}
		}
	})
}

// stopBeating ends the heartbeats; those that are on their way still arrive.
func (u *upstream) stopBeating() {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.stopped:
	default:
		close(u.stopped)
	}
}

// lastRun returns when the latest request was executed, long ago if none was.
func (u *upstream) lastRun() time.Time { return time.Unix(0, u.ran.Load()) }

// crash ends the run without a word.
func (u *upstream) crash() {
	u.stopBeating()
	_ = u.server.Close()
	u.machine.world.log("%s: upstream %s ends", u.machine.name, u.id)
}

// sendHeartbeat sends one heartbeat. One that is late arrives after its sender has given it up.
func (u *upstream) sendHeartbeat(state string) {
	u.mu.Lock()
	u.seq++
	seq := u.seq
	u.mu.Unlock()
	body := fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":%d,"state":%q,"warmup_left_ms":0,"seq":%d,"born":%d}`,
		u.machine.service, u.machine.address(portApp), u.slots, state, seq, u.born)
	u.machine.world.log("%s: upstream %s sends heartbeat seq %d %s", u.machine.name, u.id, seq, state)
	if u.lateBy > 0 {
		time.Sleep(u.lateBy)
	}
	acknowledged := u.report(http.MethodPut, body)
	u.machine.world.log("%s: heartbeat seq %d of %s has arrived after %s, status %d", u.machine.name, seq, u.id, u.lateBy, acknowledged)
}

// deregister reports the end of the run, up to the given number of times, and returns when that was acknowledged.
func (u *upstream) deregister(tries int) (time.Time, bool) {
	u.stopBeating()
	for range tries {
		status := u.report(http.MethodDelete, "")
		at := time.Now()
		u.machine.world.log("%s: upstream %s deregisters, status %d", u.machine.name, u.id, status)
		if status/100 == 2 {
			return at, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, false
}

// report sends a report to the control address, and returns the status of the answer; 0 if there is none.
func (u *upstream) report(method, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+u.machine.address(portControl)+"/api/instances/"+u.id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// serve executes a request, as the platform's upstreams do: it drops a request whose connection closes, and says so if it does not
// take one.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if r.URL.Path == "/health" {
		w.Header().Set(headerInstance, u.id)
		return
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != u.id {
		w.Header().Set(headerInstance, u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.machine.world.log("%s: request %s reaches upstream %s", u.machine.name, id, u.id)
	select {
	case u.free <- struct{}{}:
	default:
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.free }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	u.machine.world.log("%s: upstream %s runs request %s", u.machine.name, u.id, id)
	u.ran.Store(time.Now().UnixNano())
	if u.onRun != nil {
		u.onRun(id, arrived)
	}
	defer func() {
		if u.onEnd != nil {
			u.onEnd(id, time.Now())
		}
	}()
	work, ok := u.workByPath[r.URL.Path]
	if !ok {
		work = u.work
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		u.machine.world.log("%s: upstream %s drops request %s, its connection is closed", u.machine.name, u.id, id)
		return
	}
	w.Header().Set(headerStamp, "stamp-"+id)
	_, _ = fmt.Fprintf(w, "%s from %s", id, u.id)
}
