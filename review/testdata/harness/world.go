// Command harness plays the scripted cases of the review. It starts daemons of the project as separate processes on loopback
// addresses, beside stand-ins for the platform's store, the targets and the callers, and checks one rule in what these saw.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sniperail.example/sniperail/platform/standin"
)

// Bounds of the small deployments, as the platform's page of settings shows them.
const (
	bounds = "seed_lag_s=3,reuse_after_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6," +
		"loss_slack_ms=200,config_apply_ms=2000,rollback_slack_ms=250,skew_max_ms=5000,retry_budget_ratio=0.2," +
		"budget_window_s=10,budget_slack=62,expose_share=0.1,expose_slack=50,rollback_ms=5000,recover_s=15"
	drainTime      = 2 * time.Second
	contactTime    = 3 * time.Second
	applyTime      = 2 * time.Second
	heartbeatEvery = 1500 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
	mapHost        = "hulo84.example"
)

// world is one small deployment.
type world struct {
	root  string
	temp  string
	block int
	start time.Time
	// reserved is open for the whole run, so that no other run uses the same block of addresses.
	reserved net.Listener
	store    *standin.Store
	nodes    []*node
	stopWG   sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	mu     sync.Mutex
	record io.WriteCloser
	runs   []run
}

// run is one execution of a request at a target.
type run struct {
	at               time.Time
	id, method, path string
	target, instance string
	bodyBytes        int
	caller           string
}

// logf writes a line with the time since the start to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// newWorld prepares a deployment. What is sent, answered and run is written to the file at recordPath.
func newWorld(recordPath string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, temp: temp, start: time.Now(), store: standin.New(), record: record}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for range 50 {
		w.block = 10 + rand.IntN(200)
		if w.reserve() {
			return w, nil
		}
	}
	err = errors.New("no free block of loopback addresses")
	w.logf("could not run: %v", err)
	return nil, err
}

// Ports of each machine, which are the same on all.
const (
	portInbound  = 8300
	portTarget   = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portPeer     = 7620
	portMetrics  = 9464
	portStore    = 8309
)

func (w *world) ip(host int) string { return fmt.Sprintf("127.%d.1.%d", w.block, host+1) }

func (w *world) address(host, port int) string { return fmt.Sprintf("%s:%d", w.ip(host), port) }

// reserve takes the block of addresses for this run. It returns false if another run has it, or if anything listens in it.
func (w *world) reserve() bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.250:%d", w.block, portStore))
	if err != nil {
		return false
	}
	if !w.isFree() {
		_ = l.Close()
		return false
	}
	w.reserved = l
	return true
}

// isFree reports whether nothing listens in the block of addresses.
func (w *world) isFree() bool {
	for host := range 10 {
		for _, port := range []int{portInbound, portTarget, portReady, portOutbound, portControl, portPeer, portMetrics, portStore} {
			l, err := net.Listen("tcp", w.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, n := range w.nodes {
		n.stopForGood()
	}
	w.cancel()
	for _, n := range w.nodes {
		_ = n.target.server.Close()
		_ = n.storeServer.Close()
	}
	w.stopWG.Wait()
	w.store.Close()
	_ = w.reserved.Close()
	_ = os.RemoveAll(w.temp)
	_ = w.record.Close()
}

// node is a machine: a daemon process and the target beside it.
type node struct {
	w           *world
	host        int
	name, zone  string
	target      *target
	storeServer *http.Server

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	starts  []time.Time
}

// addNode adds a machine with a target of a service, and starts both.
func (w *world) addNode(service string) (*node, error) {
	n := &node{w: w, host: len(w.nodes), zone: fmt.Sprintf("zone-%c", 'a'+len(w.nodes)%3)}
	n.name = fmt.Sprintf("node-%d", n.host)
	l, err := net.Listen("tcp", w.address(n.host, portStore))
	if err != nil {
		return nil, err
	}
	n.storeServer = &http.Server{Handler: w.store.Handler(n.name), ReadHeaderTimeout: time.Minute}
	go func() { _ = n.storeServer.Serve(l) }()
	if n.target, err = newTarget(n, service); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, nil
}

// startAll starts the daemons and the heartbeats.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := n.startProcess(true); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		w.stopWG.Go(n.target.sendHeartbeats)
	}
	return nil
}

// settings fills in the template of the deploy file.
func (n *node) settings(first bool) (string, error) {
	template, err := os.ReadFile(filepath.Join(n.w.root, "deploy", "sidecar.env"))
	if err != nil {
		return "", err
	}
	seeds := ""
	if !first {
		seeds = n.w.address(0, portControl) + "," + n.w.address(1, portControl) + "," + n.w.address(2, portControl)
	}
	fill := strings.NewReplacer(
		"{{node_name}}", n.name, "{{zone}}", n.zone, "{{region}}", "region", "{{service}}", n.target.service,
		"{{app_addr}}", n.w.address(n.host, portTarget), "{{listen.outbound}}", n.w.address(n.host, portOutbound),
		"{{listen.inbound}}", n.w.address(n.host, portInbound), "{{listen.control}}", n.w.address(n.host, portControl),
		"{{listen.ready}}", n.w.address(n.host, portReady), "{{ip}}", n.w.ip(n.host), "{{port_range.0}}", fmt.Sprint(portPeer),
		"{{platform.address}}", n.w.address(n.host, portStore), "{{seeds}}", seeds, "{{platform.ttl_min_ms}}", "1000",
		"{{bounds}}", bounds, "{{bootstrap}}", fmt.Sprint(first))
	return fill.Replace(string(template)), nil
}

func (n *node) startProcess(first bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	text, err := n.settings(first)
	if err != nil {
		return err
	}
	path := filepath.Join(n.w.temp, n.name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.w.temp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/sniperail-sidecar")
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.w.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPERAIL_BOOT=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	n.starts = append(n.starts, time.Now())
	n.w.logf("process %s start, id %d", n.name, cmd.Process.Pid)
	exited := n.exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// killAndRestart kills the process and starts it again as the platform does.
func (n *node) killAndRestart() error {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	n.w.logf("process %s SIGKILL", n.name)
	_ = cmd.Process.Kill()
	<-exited
	time.Sleep(restartDelay)
	return n.startProcess(false)
}

func (n *node) stopForGood() {
	n.mu.Lock()
	n.stopped = true
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// isReady asks the daemon whether it is ready.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.w.address(n.host, portReady) + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, n := range w.nodes {
			ready = ready && n.isReady()
		}
		if ready {
			return nil
		}
	}
	return errors.New("the daemons are not ready")
}

// route returns a route of the operator's configuration.
func route(name, prefix, kind, service string, timeoutMS, objectiveMS int) string {
	return fmt.Sprintf(`{"resource_type":"routes","metadata":{"name":%q},"spec":{"host":%q,"prefix":%q,"kind":%q,`+
		`"timeout_ms":%d,"target_latency_ms":%d,"priority":1,"service":%q,"max_attempts":2}}`,
		name, mapHost, prefix, kind, timeoutMS, objectiveMS, service)
}

// writeConfiguration writes the operator's configuration.
func (w *world) writeConfiguration(version int, services []string, routes ...string) {
	resources := append([]string{}, routes...)
	for _, s := range services {
		resources = append(resources, fmt.Sprintf(
			`{"resource_type":"services","metadata":{"name":%q},"spec":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false}}`, s))
	}
	resources = append(resources, `{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,`+
		`"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	w.store.Put("op/config", fmt.Sprintf(`{"version":"r%d","resources":[%s]}`, version, strings.Join(resources, ",")))
	w.logf("operator: configuration r%d acknowledged", version)
}
