package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	headerRequestID      = "X-Sniperail-Request-Id"
	headerDeadline       = "X-Sniperail-Deadline-Ms"
	headerStamp          = "X-Sniperail-Response-Stamp"
	headerExpectInstance = "X-Sniperail-Expect-Instance"
	headerInstance       = "X-Sniperail-Instance-Id"
	headerNotExecuted    = "X-Sniperail-Not-Executed"
	headerLoad           = "X-Sniperail-Server-Load"
	beatInterval         = 1500 * time.Millisecond
	slots                = 12
)

// arrival is one request that reached an upstream.
type arrival struct {
	at       time.Time
	upstream *upstream
	id       string
	line     string
}

// upstream is the stand-in of an application upstream.
type upstream struct {
	machine *machine
	service string
	// quiet leaves the requests out of the record.
	quiet    bool
	server   *http.Server
	listener net.Listener
	// serve answers a request that is run.
	serve func(w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	instance string
	born     int64
	seq      int
	leaving  bool
	arrivals []arrival
	running  int
	stop     context.CancelFunc
}

func newUpstream(a *machine, service string) (*upstream, error) {
	u := &upstream{machine: a, service: service, instance: fmt.Sprintf("i-%08x", 0x7f3a91c2+a.index), born: time.Now().UnixMilli()}
	u.serve = func(w http.ResponseWriter, _ *http.Request, _ []byte) {
		_, _ = io.WriteString(w, "answer of "+u.instance)
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a.ip, portTarget))
	if err != nil {
		return nil, err
	}
	u.listener = listener
	u.server = &http.Server{Handler: http.HandlerFunc(u.handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

func (u *upstream) close() {
	u.stopBeats()
	_ = u.server.Close()
	_ = u.listener.Close()
}

// handle answers the health check, rejects what another instance is expected for, and runs the rest.
func (u *upstream) handle(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	leaving, running := u.leaving, u.running
	u.mu.Unlock()
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", running, slots))
	if r.URL.Path == healthPath {
		w.Header().Set(headerInstance, u.instance)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if expected := r.Header.Get(headerExpectInstance); expected != "" && expected != u.instance {
		w.Header().Set(headerInstance, u.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	line := r.Method + " " + r.URL.RequestURI()
	u.mu.Lock()
	u.running++
	u.arrivals = append(u.arrivals, arrival{time.Now(), u, id, line})
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	u.printf("%s: request %s reaches the upstream and is run: %s", u.machine.name, id, line)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(headerStamp, "stamp."+id)
	u.serve(w, r, body)
	u.printf("%s: request %s ends at the upstream (cancelled: %t)", u.machine.name, id, r.Context().Err() != nil)
}

// printf writes to the record.
func (u *upstream) printf(format string, arguments ...any) {
	if !u.quiet {
		u.machine.mesh.record.printf(format, arguments...)
	}
}

// arrived returns the requests that have reached the upstream.
func (u *upstream) arrived() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

// work waits as long as a request takes, or until its connection closes.
func work(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// startBeats sends heartbeats until stopBeats is called.
func (u *upstream) startBeats() {
	ctx, cancel := context.WithCancel(context.Background())
	u.mu.Lock()
	u.stop = cancel
	u.mu.Unlock()
	go func() {
		for ctx.Err() == nil {
			u.report(ctx, http.MethodPut, u.nextBeat())
			select {
			case <-time.After(beatInterval):
			case <-ctx.Done():
			}
		}
	}()
}

func (u *upstream) stopBeats() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stop != nil {
		u.stop()
	}
}

// nextBeat returns the body of the next heartbeat.
func (u *upstream) nextBeat() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	return fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":"zone-a","version":"v1","slots":%d,"state":"ready","warmup_left_ms":0,`+
		`"seq":%d,"born":%d}`, u.service, u.machine.ip, portTarget, slots, u.seq, u.born)
}

// report sends a heartbeat or a deregistration, and reports whether the daemon acknowledged it within a second.
func (u *upstream) report(ctx context.Context, method, body string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/api/instances/%s", u.machine.ip, portControl, u.instance)
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}
