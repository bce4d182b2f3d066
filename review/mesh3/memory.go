package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	crowdConns    = 90
	crowdAhead    = 16
	crowdMachines = 5
	crowdAnswer   = 300_000
	crowdTimeout  = 4 * time.Second
	crowdSlow     = 3 * time.Second
	crowdWork     = 20 * time.Millisecond
	watchTime     = 6 * time.Second
	// Each request has so many fields of its own, with so many bytes each.
	crowdFields = 20
	crowdField  = 60
	watchPoll   = 50 * time.Millisecond
)

// playMemory opens connections on one machine, and sends on each a slow request and then ones with long answers. All are idempotent and
// inside the limits. The platform kills a process that exceeds the memory of its machine.
func playMemory(m *mesh, trouble bool) (string, error) {
	m.memory = leastMemory
	routes := []route{{"r-lookup", "/lookup/", "idempotent", "lookups", crowdTimeout}}
	if err := m.writeConfiguration(7, routes, []string{"lookups"}); err != nil {
		return "", err
	}
	for range crowdMachines {
		a, err := m.addMachine("lookups")
		if err != nil {
			return "", err
		}
		a.upstream.quiet = true
		a.upstream.serve = serveCrowd
	}
	if err := m.startAll(); err != nil {
		return "", err
	}
	a := m.machines[0]
	m.record.printf("%s: the process holds %d MB of %d MB", a.name, a.resident()>>20, m.memory>>20)
	ordinary := make(chan string, 1)
	if trouble {
		closeAll, err := a.openCrowd()
		if err != nil {
			return "", err
		}
		defer closeAll()
	}
	go func() { ordinary <- a.sendOrdinary("ordinary-1") }()
	broken := a.watchMemory()
	m.record.printf("ordinary client: %s", <-ordinary)
	return broken, nil
}

func serveCrowd(w http.ResponseWriter, r *http.Request, _ []byte) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/slow"):
		work(r, crowdSlow)
	case strings.HasSuffix(r.URL.Path, "/long"):
		work(r, crowdWork)
		_, _ = io.WriteString(w, strings.Repeat("a", crowdAnswer))
	default:
		work(r, 100*time.Millisecond)
	}
}

// openCrowd opens the connections and sends the requests of each. Their answers are not read.
func (a *machine) openCrowd() (closeAll func(), err error) {
	var closers []io.Closer
	closeAll = func() {
		for _, c := range closers {
			_ = c.Close()
		}
	}
	fields := ""
	for i := range crowdFields {
		fields += fmt.Sprintf("X-Field-%02d: %s\r\n", i, strings.Repeat("f", crowdField))
	}
	for c := range crowdConns {
		conn, err := a.dialOutbound()
		if err != nil {
			return closeAll, err
		}
		closers = append(closers, conn)
		text := request(http.MethodGet, "/lookup/slow", fmt.Sprintf("crowd-%d-0", c), crowdTimeout)
		for i := 1; i < crowdAhead; i++ {
			head := request(http.MethodGet, "/lookup/long", fmt.Sprintf("crowd-%d-%d", c, i), crowdTimeout)
			text += strings.TrimSuffix(head, "\r\n") + fields + "\r\n"
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			return closeAll, err
		}
	}
	a.mesh.record.printf("%s: %d clients have sent %d requests each", a.name, crowdConns, crowdAhead)
	return closeAll, nil
}

// sendOrdinary sends one request of an ordinary client and returns what it gets.
func (a *machine) sendOrdinary(id string) string {
	conn, err := a.dialOutbound()
	if err != nil {
		return short(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(request(http.MethodGet, "/lookup/1", id, crowdTimeout))); err != nil {
		return short(err)
	}
	if answers := a.mesh.readAnswers(conn, 1, 2*crowdTimeout, false); len(answers) == 1 {
		return fmt.Sprintf("status %d", answers[0].status)
	}
	return "no answer"
}

// watchMemory kills the process, as the platform does, once it holds more than the memory of its machine.
func (a *machine) watchMemory() (broken string) {
	most := int64(0)
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(watchPoll) {
		held := a.resident()
		if held > most+(5<<20) {
			most = held
			a.mesh.record.printf("%s: the process holds %d MB of %d MB", a.name, held>>20, a.mesh.memory>>20)
		}
		if held > a.mesh.memory {
			a.signal(syscall.SIGKILL)
			return fmt.Sprintf("Fault: the process held %d MB of its machine's %d MB, and is killed", held>>20, a.mesh.memory>>20)
		}
	}
	return ""
}

// resident returns the resident memory of the daemon in bytes, without what its sockets hold.
func (a *machine) resident() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", a.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
