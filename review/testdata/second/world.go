package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"sniperail.example/sniperail/platform/standin"
)

// Ports of each machine. Each machine has a loopback address of its own.
const (
	portInbound  = 8300
	portApp      = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portPeer     = 7620
	portStore    = 8309
)

// bounds are those of the small site files that a daemon reads, and drainTime is their drain_ms.
const (
	bounds = "drain_ms=2000,grace_s=6,config_apply_ms=2000,retry_budget_ratio=0.2,budget_window_s=10,budget_slack=56," +
		"expose_share=0.1,expose_slack=50,rollback_ms=5000"
	drainTime = 2 * time.Second
)

// world is a small deployment on loopback addresses: the stand-in of the platform's store, machines with a daemon each, and the
// record of what was sent, answered and executed.
type world struct {
	block    int
	dir      string
	store    *standin.Store
	machines []*machine
	begun    time.Time

	mu     sync.Mutex
	record *os.File
	ended  bool
}

// machine has a daemon process and the service of the upstream beside it.
type machine struct {
	world   *world
	name    string
	number  int
	service string
	starts  int

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// newWorld starts the store. It uses a block of loopback addresses on which nothing listens.
func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "sniperail-review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: standin.New(), begun: time.Now(), record: record}
	for i := range 60 {
		w.block = 60 + (os.Getpid()+i)%60
		listener, err := net.Listen("tcp", w.address(0, portStore))
		if err != nil {
			continue
		}
		server := &http.Server{Handler: w.store.Handler("daemons"), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(listener) }()
		return w, nil
	}
	return nil, fmt.Errorf("no free block of loopback addresses")
}

// address returns an address of a machine; number 0 is the store.
func (w *world) address(number, port int) string {
	return fmt.Sprintf("127.%d.1.%d:%d", w.block, number+1, port)
}

// log writes a line with the milliseconds since the start to the record.
func (w *world) log(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		_, _ = fmt.Fprintf(w.record, "%7d  %s\n", time.Since(w.begun).Milliseconds(), fmt.Sprintf(format, arguments...))
	}
}

// end kills all processes and closes the record.
func (w *world) end() {
	for _, m := range w.machines {
		m.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	_ = w.record.Close()
	w.store.Close()
	_ = os.RemoveAll(w.dir)
}

// addMachine adds a machine whose daemon is not started yet.
func (w *world) addMachine(service string) *machine {
	m := &machine{world: w, number: len(w.machines) + 1, service: service}
	m.name = fmt.Sprintf("sidecar-%d", m.number)
	w.machines = append(w.machines, m)
	return m
}

func (m *machine) address(port int) string { return m.world.address(m.number, port) }

var placeholder = regexp.MustCompile(`{{[^}]*}}`)

// writeSettings fills in the template of the deploy file.
func (m *machine) writeSettings() (string, error) {
	template, err := os.ReadFile("deploy/sidecar.env")
	if err != nil {
		return "", err
	}
	host, _, _ := net.SplitHostPort(m.address(portInbound))
	values := map[string]string{
		"node_name": m.name, "zone": "a", "region": "r", "service": m.service, "ip": host, "app_addr": m.address(portApp),
		"listen.outbound": m.address(portOutbound), "listen.inbound": m.address(portInbound), "listen.control": m.address(portControl),
		"listen.ready": m.address(portReady), "port_range.0": fmt.Sprint(portPeer), "platform.address": m.world.address(0, portStore),
		"platform.ttl_min_ms": "1000", "bounds": bounds, "bootstrap": fmt.Sprint(m.starts == 0),
		"seeds": m.world.address(1, portControl) + "," + m.world.address(2, portControl),
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(name string) string { return values[strings.Trim(name, "{}")] })
	path := filepath.Join(m.world.dir, m.name+".env")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	settings, err := m.writeSettings()
	if err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/sniperail-sidecar")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "SNIPERAIL_BOOT=" + settings}
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = logs.Close()
		close(exited)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts++
	m.process, m.exited = cmd, exited
	m.world.log("%s: daemon started", m.name)
	return nil
}

// kill kills the daemon and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	process, exited := m.process, m.exited
	m.process = nil
	m.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-exited
		m.world.log("%s: daemon killed", m.name)
	}
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
		m.world.log("%s: signal %s", m.name, s)
	}
}

// isRunning reports whether the daemon has not ended by itself.
func (m *machine) isRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return false
	default:
		return m.process != nil
	}
}

// awaitReady waits until all daemons answer that they are ready.
func (w *world) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if response, err := client.Get("http://" + m.address(portReady) + "/api/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.machines) {
			return nil
		}
	}
	return fmt.Errorf("the daemons are not ready after %s", timeout)
}

// route is a route of the configuration.
type route struct {
	name, prefix, service, kind string
	timeoutMS, latencyMS        int
}

const host = "desk.example"

// configure writes a configuration with the given routes as the operator does.
func (w *world) configure(version int, services []string, routes []route) {
	type resource struct {
		Type     string         `json:"resource_type"`
		Metadata map[string]any `json:"metadata"`
		Spec     map[string]any `json:"spec"`
	}
	var resources []resource
	for _, r := range routes {
		resources = append(resources, resource{"routes", map[string]any{"name": r.name}, map[string]any{
			"host": host, "prefix": r.prefix, "service": r.service, "kind": r.kind, "timeout_ms": r.timeoutMS,
			"target_latency_ms": r.latencyMS, "priority": 1, "max_attempts": 2,
		}})
	}
	for _, s := range services {
		resources = append(resources, resource{"services", map[string]any{"name": s}, map[string]any{
			"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(resources, resource{"limits", map[string]any{}, map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	value, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
	revision := w.store.Put("op/config", string(value))
	w.log("operator: configuration r%d acknowledged at revision %d", version, revision)
}
