package main

import (
	"bytes"
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
	headerID      = "X-Sniperail-Request-Id"
	headerStamp   = "X-Sniperail-Response-Stamp"
	headerExpect  = "X-Sniperail-Expect-Instance"
	headerNotRun  = "X-Sniperail-Not-Executed"
	headerCaller  = "X-Sniperail-Caller-Service"
	headerLoad    = "X-Sniperail-Server-Load"
	headerInst    = "X-Sniperail-Instance-Id"
	targetSlots   = 12
	defaultWork   = 40 * time.Millisecond
	reportTimeout = time.Second
)

// target is a stand-in for the upstream beside a daemon.
type target struct {
	node     *node
	service  string
	instance string
	born     int64
	server   *http.Server
	running  atomic.Int64
	// work returns how long a request runs and how many bytes its answer has.
	work func(r *http.Request) (time.Duration, int)
	// breakOffEvery, unless 0, makes the target break off every so many answers in the middle of the body.
	breakOffEvery atomic.Int64
	answered      atomic.Int64

	mu      sync.Mutex
	seq     int
	state   string
	silent  bool
	stopped bool
}

func newTarget(n *node, service string) (*target, error) {
	t := &target{
		node: n, service: service, instance: fmt.Sprintf("i-%d-%d", n.w.block, n.host), born: time.Now().UnixMilli(), state: "ready",
		work: func(*http.Request) (time.Duration, int) { return defaultWork, 200 },
	}
	l, err := net.Listen("tcp", n.w.address(n.host, portTarget))
	if err != nil {
		return nil, err
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(l) }()
	return t, nil
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	state, stopped := t.state, t.stopped
	t.mu.Unlock()
	if stopped {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set(headerLoad, fmt.Sprintf("%d,0,%d", min(t.running.Load(), targetSlots), targetSlots))
	id := r.Header.Get(headerID)
	if id != "" {
		h.Set(headerID, id)
	}
	if r.URL.Path == "/health" {
		h.Set(headerInst, t.instance)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id == "" {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expect := r.Header.Get(headerExpect); expect != "" && expect != t.instance {
		h.Set(headerInst, t.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.running.Add(1) > targetSlots {
		t.running.Add(-1)
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	work, size := t.work(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.node.w.recordRun(run{
		at: time.Now(), id: id, method: r.Method, path: r.URL.Path, target: t.node.name, instance: t.instance,
		bodyBytes: len(body), caller: r.Header.Get(headerCaller),
	})
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	h.Set(headerStamp, "stamp."+id)
	h.Set("Content-Length", fmt.Sprint(size))
	content := bytes.Repeat([]byte{'a'}, size)
	if every := t.breakOffEvery.Load(); every > 0 && t.answered.Add(1)%every == 0 {
		t.node.w.logf("target %s breaks off the answer to %s", t.instance, id)
		_, _ = w.Write(content[:size/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(content)
}

func (w *world) recordRun(r run) {
	w.mu.Lock()
	w.runs = append(w.runs, r)
	w.mu.Unlock()
	w.logf("run id=%s %s %s at %s (%s), %d body bytes, caller %s", r.id, r.method, r.path, r.target, r.instance, r.bodyBytes, r.caller)
}

func (w *world) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run{}, w.runs...)
}

// nextBeat returns the body of the next heartbeat.
func (t *target) nextBeat() (body string, seq int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmup_left_ms":0,"seq":%d,"born":%d}`,
		t.service, t.node.w.address(t.node.host, portTarget), t.node.zone, targetSlots, t.state, t.seq, t.born), t.seq
}

// report sends a heartbeat or a deregistration and reports whether it was acknowledged.
func (t *target) report(method, body string) bool {
	url := "http://" + t.node.w.address(t.node.host, portControl) + "/api/instances/" + t.instance
	r, err := http.NewRequestWithContext(t.node.w.ctx, method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	client := http.Client{Timeout: reportTimeout}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// sendHeartbeats sends heartbeats until the deployment ends or the target falls silent.
func (t *target) sendHeartbeats() {
	for t.node.w.ctx.Err() == nil {
		t.mu.Lock()
		silent := t.silent
		t.mu.Unlock()
		wait := heartbeatEvery
		if !silent {
			body, _ := t.nextBeat()
			if !t.report(http.MethodPut, body) {
				wait = 200 * time.Millisecond
			}
		}
		select {
		case <-time.After(wait):
		case <-t.node.w.ctx.Done():
		}
	}
}
