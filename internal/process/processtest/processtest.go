// Package processtest runs the program of a test binary as a process of its own, so that tests can send it signals.
package processtest

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// programVariable is set in the environment of a process that runs the program instead of the tests.
const programVariable = "SNIPERAIL_PROCESSTEST_PROGRAM"

// eventTimeout bounds the wait for a log line or for the end of a process.
const eventTimeout = 30 * time.Second

// Main runs the program in a process that Start has started, and the tests otherwise. Call it from TestMain.
func Main(m *testing.M, program func()) {
	if os.Getenv(programVariable) != "" {
		program()
		return
	}
	os.Exit(m.Run())
}

// firstPort is the port of the first address that Address returns.
const firstPort = 7000

var addresses atomic.Int32

// Address returns an unused address of a loopback host that no other test process uses, as long as their process ids differ in the
// lower 15 bits. A port that is only free may be taken by another process before the program listens there.
func Address() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.200:%d", 64+pid%128, pid/128%256, firstPort+int(addresses.Add(1)))
}

// Process is a running program.
type Process struct {
	t      testing.TB
	cmd    *exec.Cmd
	exited chan struct{}

	mu      sync.Mutex
	lines   []string
	changed chan struct{}
}

// Start starts the program with arguments. The process is killed at the end of the test.
func Start(t testing.TB, arguments ...string) *Process {
	t.Helper()
	return StartWithEnvironment(t, nil, arguments...)
}

// StartWithEnvironment is Start with additional environment variables, given as NAME=value.
func StartWithEnvironment(t testing.TB, environment []string, arguments ...string) *Process {
	t.Helper()
	p := &Process{t: t, cmd: exec.Command(os.Args[0], arguments...), exited: make(chan struct{}), changed: make(chan struct{})}
	p.cmd.Env = append(append(os.Environ(), programVariable+"=1"), environment...)
	out, in, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = in, in
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = in.Close()
	read := make(chan struct{})
	go func() {
		defer close(read)
		p.readLines(out)
	}()
	go func() {
		_ = p.cmd.Wait() // the exit code is read from ProcessState
		<-read
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("log of the process:\n%s", strings.Join(p.lines, "\n"))
		}
	})
	return p
}

func (p *Process) readLines(out io.ReadCloser) {
	defer func() { _ = out.Close() }()
	for scanner := bufio.NewScanner(out); scanner.Scan(); {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has ended
	<-p.exited
}

// AwaitLine waits for a log line that contains all parts.
func (p *Process) AwaitLine(parts ...string) {
	p.t.Helper()
	timeout := time.NewTimer(eventTimeout)
	defer timeout.Stop()
	for {
		found, changed := p.find(parts)
		if found {
			return
		}
		select {
		case <-changed:
		case <-p.exited:
			if found, _ := p.find(parts); !found {
				p.t.Fatalf("the process ended without the log line %q", parts)
			}
			return
		case <-timeout.C:
			p.t.Fatalf("no log line %q within %s", parts, eventTimeout)
		}
	}
}

// HasLine reports whether a log line contains all parts.
func (p *Process) HasLine(parts ...string) bool {
	found, _ := p.find(parts)
	return found
}

// find reports whether a line contains all parts, and returns a channel that is closed with the next line.
func (p *Process) find(parts []string) (found bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		if containsAll(line, parts) {
			return true, p.changed
		}
	}
	return false, p.changed
}

func containsAll(line string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(line, part) {
			return false
		}
	}
	return true
}

// AwaitExit waits for the end of the process and returns its exit code, -1 if a signal ended it.
func (p *Process) AwaitExit() int {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(eventTimeout):
		p.t.Fatalf("the process has not ended within %s", eventTimeout)
		return -1
	}
}
