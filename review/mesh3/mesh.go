package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// Ports of a machine, as in the platform's examples.
const (
	portInbound  = 8300
	portTarget   = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portPeer     = 7620
	portStore    = 8309
)

// Figures of a small deployment.
const (
	bounds = "seed_lag_s=3,reuse_after_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200," +
		"config_apply_ms=2000,rollback_slack_ms=250,skew_max_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,budget_slack=62," +
		"expose_share=0.1,expose_slack=50,rollback_ms=5000,recover_s=15"
	host               = "lookups.example"
	healthPath         = "/health"
	machineMemory      = 284 << 20
	leastMemory        = 184 << 20
	machineDescriptors = 4100
	drainTime          = 2 * time.Second
	contactTime        = 3 * time.Second
	restartDelay       = 300 * time.Millisecond
	startTimeout       = 15 * time.Second
)

// mesh is a small deployment: the store, and machines with a daemon and an upstream each.
type mesh struct {
	record *record
	daemon string
	block  int
	// reserved keeps other processes from the block.
	reserved net.Listener
	work     string
	store    *standin.Store
	machines []*machine
	servers  []*http.Server
	template string
	// memory is that of each machine in bytes.
	memory int64
}

// machine is one machine: its daemon process, its upstream and the addresses of both.
type machine struct {
	mesh     *mesh
	index    int
	name     string
	ip       string
	upstream *upstream

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	seeds   []string
	starts  int
}

func newMesh(r *record, daemon string) (*mesh, error) {
	template, err := os.ReadFile("deploy/sidecar.env")
	if err != nil {
		return nil, err
	}
	path, err := filepath.Abs(daemon)
	if err != nil {
		return nil, err
	}
	work, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	m := &mesh{record: r, daemon: path, work: work, store: standin.New(), template: string(template), memory: machineMemory}
	m.block, m.reserved, err = reserveBlock()
	return m, err
}

const (
	firstBlock = 200
	blocks     = 50
	netMachine = 1
	netStore   = 3
)

// reserveBlock returns the second byte of loopback addresses that no other process uses, and a listener that keeps it from others.
func reserveBlock() (int, net.Listener, error) {
	for i := range blocks {
		block := firstBlock + (os.Getpid()+i)%blocks
		reserved, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", block, portOutbound))
		if err != nil {
			continue
		}
		return block, reserved, nil
	}
	return 0, nil, errors.New("no block of loopback addresses is free")
}

func (m *mesh) ip(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", m.block, network, host+1)
}

// route is a route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

// writeConfiguration writes the operator's configuration.
func (m *mesh) writeConfiguration(version int, routes []route, services []string) error {
	type resource struct {
		Type     string            `json:"resource_type"`
		Metadata map[string]string `json:"metadata"`
		Spec     map[string]any    `json:"spec"`
	}
	resources := []resource{{"limits", map[string]string{}, map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}}}
	for _, r := range routes {
		resources = append(resources, resource{"routes", map[string]string{"name": r.name}, map[string]any{
			"host": host, "prefix": r.prefix, "kind": r.kind, "service": r.service, "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": 800, "priority": 1, "max_attempts": 2,
		}})
	}
	for _, s := range services {
		resources = append(resources, resource{"services", map[string]string{"name": s}, map[string]any{
			"health_path": healthPath, "max_connections": 130, "protocol": "h1", "tls": false,
		}})
	}
	text, err := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
	if err != nil {
		return err
	}
	m.store.Put("op/config", string(text))
	return nil
}

// addMachine starts a machine with an upstream of a service.
func (m *mesh) addMachine(service string) (*machine, error) {
	i := len(m.machines)
	a := &machine{mesh: m, index: i, name: fmt.Sprintf("sidecar-a-%d", i+1), ip: m.ip(netMachine, i)}
	if err := m.serveStore(a); err != nil {
		return nil, err
	}
	u, err := newUpstream(a, service)
	if err != nil {
		return nil, err
	}
	a.upstream = u
	m.machines = append(m.machines, a)
	return a, nil
}

// serveStore opens the store for one machine. The stand-in names an era in each answer, which the pages in force do not know.
func (m *mesh) serveStore(a *machine) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip(netStore, a.index), portStore))
	if err != nil {
		return err
	}
	handler := m.store.Handler(a.name)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&withoutEra{w}, r)
	})}
	m.servers = append(m.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// withoutEra leaves the header out in which the stand-in names its era.
type withoutEra struct{ http.ResponseWriter }

func (w *withoutEra) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// start starts the daemon of a machine with the command of the deploy file.
func (a *machine) start(first bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	settings := filepath.Join(a.mesh.work, a.name+".conf")
	if err := os.WriteFile(settings, []byte(a.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(a.mesh.work, a.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(a.mesh.daemon)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPERAIL_BOOT=" + settings,
		// On the platform, the machine itself shows these two.
		fmt.Sprintf("SNIPERAIL_MACHINE_MEMORY=%d", a.mesh.memory), fmt.Sprintf("SNIPERAIL_DESCRIPTORS=%d", machineDescriptors),
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	a.process, a.ended = cmd, ended
	a.starts++
	a.mesh.record.printf("%s: daemon started (start %d)", a.name, a.starts)
	return nil
}

// settings fills in the template of the deploy file.
func (a *machine) settings(first bool) string {
	at := func(port int) string { return fmt.Sprintf("%s:%d", a.ip, port) }
	return strings.NewReplacer(
		"{{node_name}}", a.name, "{{zone}}", "zone-a", "{{region}}", "region", "{{service}}", a.upstream.service,
		"{{app_addr}}", at(portTarget), "{{listen.outbound}}", at(portOutbound), "{{listen.inbound}}", at(portInbound),
		"{{listen.control}}", at(portControl), "{{listen.ready}}", at(portReady), "{{ip}}", a.ip,
		"{{port_range.0}}", fmt.Sprint(portPeer), "{{platform.address}}", fmt.Sprintf("%s:%d", a.mesh.ip(netStore, a.index), portStore),
		"{{seeds}}", strings.Join(a.seeds, ","), "{{platform.ttl_min_ms}}", "1000", "{{bounds}}", bounds,
		"{{bootstrap}}", fmt.Sprint(first),
	).Replace(a.mesh.template)
}

// signal sends a signal to the daemon.
func (a *machine) signal(s syscall.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.process != nil {
		_ = a.process.Process.Signal(s)
		a.mesh.record.printf("%s: daemon sent %s", a.name, s)
	}
}

// killAndRestartAll kills all daemons at the same moment and starts them again after restartDelay.
func (m *mesh) killAndRestartAll() error {
	for _, a := range m.machines {
		a.signal(syscall.SIGKILL)
	}
	for _, a := range m.machines {
		<-a.ended
	}
	time.Sleep(restartDelay)
	for _, a := range m.machines {
		if err := a.start(false); err != nil {
			return err
		}
	}
	return nil
}

// isReady asks the daemon whether it is ready.
func (a *machine) isReady() bool {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/api/ready", a.ip, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// setStoreSilent makes the store answer nobody, or ends that.
func (m *mesh) setStoreSilent(silent bool) {
	m.store.SetFaults("", standin.Faults{Silent: silent})
	m.record.printf("the store answers nobody: %t", silent)
}

// startAll starts all daemons and their upstreams, and waits until each daemon is ready and all have been in touch.
func (m *mesh) startAll() error {
	for _, a := range m.machines {
		if err := a.start(true); err != nil {
			return err
		}
		a.upstream.startBeats()
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, a := range m.machines {
		for !a.isReady() {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", a.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * contactTime)
	m.record.printf("all daemons are ready and in touch")
	return nil
}

func (m *mesh) close() {
	for _, a := range m.machines {
		a.upstream.close()
		a.signal(syscall.SIGCONT)
		a.signal(syscall.SIGKILL)
		if a.ended != nil {
			<-a.ended
		}
	}
	for _, s := range m.servers {
		_ = s.Close()
	}
	m.store.Close()
	_ = m.reserved.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.work)
	} else {
		fmt.Println("logs:", m.work)
	}
}
